package regression

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []float64{200, 450, 800, 2400, 4800, 7200}

// pointsOf returns a point with five values for each element of sizes. The values scatter uniformly around
// the value of the curve, to both sides by up to the fraction noise of the curve's value.
func pointsOf(noise float64, curve func(n float64) float64) (points []Point) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range sizes {
		p := Point{Size: n}
		for range 5 {
			p.Values = append(p.Values, curve(n)*(1+noise*(2*random.Float64()-1)))
		}
		points = append(points, p)
	}
	return points
}

// Fit must find the model and the slope from which values were generated, although the values scatter by up
// to 5% around the curve.
func TestModelsAreDistinguished(t *testing.T) {
	for i, model := range Models {
		curve := func(n float64) float64 { return 30 + 0.25*model.apply(n) }
		r, err := Fit(pointsOf(0.05, curve))
		if err != nil {
			t.Fatal(err)
		}
		c := r.Curves[r.Best]
		if r.Best != i || r.Flat || math.Abs(c.Slope-0.25) > 0.02 || c.MaxResidual > 0.1 {
			t.Errorf("values of model %s with slope 0.25: got the fit %+v, want this model and slope", model.Name, r)
		}
		if off := c.At(7200)/curve(7200) - 1; math.Abs(off) > 0.05 {
			t.Errorf("model %s at size 7200: the fit is off by the fraction %v, want at most 0.05", model.Name, off)
		}
	}
}

// A constant cost with scattered values is flat. A cost that grows slowly, but by more than its values
// scatter, is not flat.
func TestFlat(t *testing.T) {
	if r, err := Fit(pointsOf(0.1, func(float64) float64 { return 12 })); err != nil || !r.Flat {
		t.Errorf("constant cost: got %+v, error %v, want a flat result", r, err)
	}
	if r, err := Fit(pointsOf(0.01, func(n float64) float64 { return 12 + n/2000 })); err != nil || r.Flat {
		t.Errorf("growing cost: got %+v, error %v, want a result that is not flat", r, err)
	}
}

// With fewer than MinSizes sizes Fit returns ErrNotEnoughSizes and no curves: few points fit any model.
func TestNotEnoughSizes(t *testing.T) {
	points := pointsOf(0, func(n float64) float64 { return n })
	if r, err := Fit(points[:MinSizes-1]); !errors.Is(err, ErrNotEnoughSizes) || len(r.Curves) != 0 {
		t.Errorf("fewer than MinSizes points: got %+v, error %v, want no curves and ErrNotEnoughSizes", r, err)
	}
	if _, err := Fit(points[:MinSizes]); err != nil {
		t.Error(err)
	}
}

// A cost of 0 at each size is fitted without a division by zero, and the result is flat.
func TestZeroCost(t *testing.T) {
	r, err := Fit(pointsOf(0, func(float64) float64 { return 0 }))
	if c := r.Curves[r.Best]; err != nil || !r.Flat || c.At(7200) != 0 || math.IsNaN(c.MaxResidual) {
		t.Errorf("cost 0: got %+v, error %v, want a flat curve of value 0", r, err)
	}
}
