// Package regression fits growth models to a cost that was measured at several sizes n: linear, n log n and
// quadratic growth. It also tells whether the cost grows with the size at all. The package works with any
// kind of cost, such as time or memory.
package regression

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point holds the values that were measured at one size.
type Point struct {
	Size   float64 // above 0, since the models take the logarithm of the size
	Values []float64
}

// Mean returns the arithmetic mean of the values.
func (p Point) Mean() float64 { return stat.Mean(p.Values, nil) }

// spread returns the difference between the largest and the smallest value, as a fraction of their mean, or 0
// if the mean is 0.
func (p Point) spread() float64 {
	if mean := p.Mean(); mean != 0 {
		return (slices.Max(p.Values) - slices.Min(p.Values)) / math.Abs(mean)
	}
	return 0
}

// weight returns the weight of the squared residual at the point in the least-squares fit. The weight makes
// residuals relative to the mean of the point, so that points of small sizes count as much as points of large
// sizes.
func (p Point) weight() float64 {
	if mean := p.Mean(); mean != 0 {
		return 1 / (mean * mean)
	}
	return 1
}

// Sorted returns the points in ascending order of size.
func Sorted(points []Point) []Point {
	return slices.SortedFunc(slices.Values(points), func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
}

// Model is a function of the size to which the variable part of a cost may be proportional.
type Model struct {
	Name  string
	apply func(n float64) float64
}

// Models lists the growth models that Fit compares.
var Models = []Model{
	{"n", func(n float64) float64 { return n }},
	{"n log n", func(n float64) float64 { return n * math.Log2(n) }},
	{"n²", func(n float64) float64 { return n * n }},
}

// Curve is the fitted curve of one model: cost(n) = Intercept + Slope * model(n).
type Curve struct {
	Model            Model
	Intercept, Slope float64
	MaxResidual      float64 // the largest residual at a point, as a fraction of the measured mean
	sumOfSquares     float64 // the sum of the squares of the relative residuals of all points
}

// At returns the cost that the curve predicts for size n.
func (c Curve) At(n float64) float64 { return c.Intercept + c.Slope*c.Model.apply(n) }

// Result holds the fitted curves of all models and their comparison.
type Result struct {
	Points []Point // in ascending order of size
	Curves []Curve // one curve for each model, in the order of Models
	Best   int     // the index in Curves of the curve with the least sum of squared residuals
	Flat   bool    // whether the best curve changes by at most the fraction Spread over the measured sizes
	Spread float64 // the largest relative spread of the values at one size: (largest - smallest) / mean
}

// MinSizes is the least number of sizes at which the models can be distinguished.
const MinSizes = 5

// ErrNotEnoughSizes is the error of Fit for fewer than MinSizes points.
var ErrNotEnoughSizes = errors.New("too few sizes to fit growth models")

// Fit fits each of Models to points, which have distinct sizes, by least squares of the relative residuals.
// With fewer than MinSizes points the error is ErrNotEnoughSizes, and the result has no curves.
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
		if r.Curves[i].sumOfSquares < r.Curves[r.Best].sumOfSquares {
			r.Best = i
		}
	}
	best, first, last := r.Curves[r.Best], r.Points[0].Size, r.Points[len(r.Points)-1].Size
	rise := math.Abs(best.At(last) - best.At(first))
	r.Flat = rise <= r.Spread*math.Abs(best.At(first))
	return r, nil
}

// fitModel fits one model to points by weighted linear regression.
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
		c.sumOfSquares += residual * residual
	}
	return c
}
