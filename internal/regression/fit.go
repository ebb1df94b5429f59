// Package regression says how a measured cost grows with a size: not at all, in line with it, with n log n,
// or with its square. It knows nothing of what was measured.
package regression

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is what was measured at one size.
type Point struct {
	Size   float64 // the size, above 0
	Values []float64
}

// Mean is the mean of the values.
func (p Point) Mean() float64 { return stat.Mean(p.Values, nil) }

// spread is how far the values lie apart, as a part of their mean.
func (p Point) spread() float64 {
	if m := p.Mean(); m != 0 {
		return (slices.Max(p.Values) - slices.Min(p.Values)) / math.Abs(m)
	}
	return 0
}

// Model is how a cost may grow.
type Model struct {
	Name  string
	apply func(n float64) float64
}

// Models are those that are tried.
var Models = []Model{
	{"n", func(n float64) float64 { return n }},
	{"n log n", func(n float64) float64 { return n * math.Log2(n) }},
	{"n²", func(n float64) float64 { return n * n }},
}

// Curve is Base + Rate x law(n).
type Curve struct {
	Model            Model
	Intercept, Slope float64
	MaxResidual      float64 // the largest residual, as a part of what was measured
	squares          float64
}

// At is the curve's value at a size.
func (c Curve) At(n float64) float64 { return c.Intercept + c.Slope*c.Model.apply(n) }

// Result is what a series of points says.
type Result struct {
	Points []Point // by size
	Curves []Curve // one for each of Laws, in their order
	Best   int     // of Curves: the least residuals, those of all sizes weighing alike
	Flat   bool    // the curve rises less between the first and the last size than repeats lie apart
	Spread float64 // the largest spread of one size, as a part of its mean
}

// MinSizes is how many sizes it takes to tell laws apart.
const MinSizes = 5

// ErrNotEnoughSizes is the error of a series of fewer sizes.
var ErrNotEnoughSizes = errors.New("too few sizes to tell how it grows")

// Fit fits all laws to points, by least squares of the residuals as parts of what was measured, so that
// small sizes count as much as large ones. With fewer than LeastSizes sizes the error is ErrTooFew.
func Fit(points []Point) (r Result, err error) {
	r.Points = slices.SortedFunc(slices.Values(points), func(a, b Point) int {
		return cmp.Compare(a.Size,
			b.Size)
	})
	for _, p := range r.Points {
		r.Spread = max(r.Spread, p.spread())
	}
	if len(r.Points) < MinSizes {
		return r, ErrNotEnoughSizes
	}
	ys, weights := make([]float64, len(r.Points)), make([]float64, len(r.Points))
	for i, p := range r.Points {
		if ys[i] = p.Mean(); ys[i] != 0 {
			weights[i] = 1 / (ys[i] * ys[i])
		} else {
			weights[i] = 1
		}
	}
	for _, law := range Models {
		xs := make([]float64, len(ys))
		for i, p := range r.Points {
			xs[i] = law.apply(p.Size)
		}
		c := Curve{Model: law}
		c.Intercept, c.Slope = stat.LinearRegression(xs, ys, weights, false)
		for i, p := range r.Points {
			part := (c.At(p.Size) - ys[i]) * math.Sqrt(weights[i])
			c.MaxResidual = max(c.MaxResidual, math.Abs(part))
			c.squares += part * part
		}
		r.Curves = append(r.Curves, c)
		if c.squares < r.Curves[r.Best].squares {
			r.Best = len(r.Curves) - 1
		}
	}
	best, first, last := r.Curves[r.Best], r.Points[0].Size, r.Points[len(r.Points)-1].Size
	rise := math.Abs(best.At(last) - best.At(first))
	r.Flat = rise <= r.Spread*math.Abs(best.At(first))
	return r, nil
}
