// Package regression fits how a measured cost grows with a size: not at all, linearly, with n log n, or with
// the square. It knows nothing of what was measured.
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
	Size   float64 // above 0
	Values []float64
}

// Mean is the mean of the values.
func (p Point) Mean() float64 { return stat.Mean(p.Values, nil) }

// spread is the range of the values, relative to their mean.
func (p Point) spread() float64 {
	if mean := p.Mean(); mean != 0 {
		return (slices.Max(p.Values) - slices.Min(p.Values)) / math.Abs(mean)
	}
	return 0
}

// weight makes residuals relative to the mean, so that small sizes count as much as large ones.
func (p Point) weight() float64 {
	if mean := p.Mean(); mean != 0 {
		return 1 / (mean * mean)
	}
	return 1
}

// Sorted returns the points by size.
func Sorted(points []Point) []Point {
	return slices.SortedFunc(slices.Values(points), func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
}

// Model is how a cost may grow.
type Model struct {
	Name  string
	apply func(n float64) float64
}

// Models are those that Fit fits.
var Models = []Model{
	{"n", func(n float64) float64 { return n }},
	{"n log n", func(n float64) float64 { return n * math.Log2(n) }},
	{"n²", func(n float64) float64 { return n * n }},
}

// Curve is Intercept + Slope x model(n).
type Curve struct {
	Model            Model
	Intercept, Slope float64
	MaxResidual      float64 // the largest, relative to what was measured
	squares          float64 // the sum of the squares of the relative residuals
}

// At is the curve's value at a size.
func (c Curve) At(n float64) float64 { return c.Intercept + c.Slope*c.Model.apply(n) }

// Result is what the fits show.
type Result struct {
	Points []Point // by size
	Curves []Curve // one for each of Models, in their order
	Best   int     // the index in Curves of the one with the least residuals
	Flat   bool    // the best curve rises by less between the first and the last size than repeats scatter
	Spread float64 // the largest range of the values at one size, relative to their mean
}

// MinSizes is how many sizes it takes to distinguish the models.
const MinSizes = 5

// ErrNotEnoughSizes is the error of Fit for points of fewer than MinSizes sizes.
var ErrNotEnoughSizes = errors.New("too few sizes to tell how it grows")

// Fit fits all models to points, by least squares of the relative residuals. With fewer than MinSizes sizes
// the error is ErrNotEnoughSizes, and the result has no curves.
func Fit(points []Point) (r Result, err error) {
	r.Points = Sorted(points)
	for _, p := range r.Points {
		r.Spread = max(r.Spread, p.spread())
	}
	if len(r.Points) < MinSizes {
		return r, ErrNotEnoughSizes
	}
	for i, model := range Models {
		r.Curves = append(r.Curves, fitModel(model, r.Points))
		if r.Curves[i].squares < r.Curves[r.Best].squares {
			r.Best = i
		}
	}
	best, first, last := r.Curves[r.Best], r.Points[0].Size, r.Points[len(r.Points)-1].Size
	rise := math.Abs(best.At(last) - best.At(first))
	r.Flat = rise <= r.Spread*math.Abs(best.At(first))
	return r, nil
}

func fitModel(model Model, points []Point) Curve {
	xs, ys, weights := make([]float64, len(points)), make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i], weights[i] = model.apply(p.Size), p.Mean(), p.weight()
	}
	c := Curve{Model: model}
	c.Intercept, c.Slope = stat.LinearRegression(xs, ys, weights, false)
	for i, p := range points {
		residual := (c.At(p.Size) - ys[i]) * math.Sqrt(weights[i])
		c.MaxResidual = max(c.MaxResidual, math.Abs(residual))
		c.squares += residual * residual
	}
	return c
}
