package regression

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []float64{200, 450, 800, 2400, 4800, 7200}

// pointsOf is five values at each size, scattered evenly by so much to both sides of a curve.
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

// Each model is distinguished from the others although values scatter by a twentieth, and its slope is found.
func TestModelsAreDistinguished(t *testing.T) {
	for i, model := range Models {
		curve := func(n float64) float64 { return 30 + 0.25*model.apply(n) }
		r, err := Fit(pointsOf(0.05, curve))
		if err != nil {
			t.Fatal(err)
		}
		c := r.Curves[r.Best]
		if r.Best != i || r.Flat || math.Abs(c.Slope-0.25) > 0.02 || c.MaxResidual > 0.1 {
			t.Errorf("%s is taken for %+v", model.Name, r)
		}
		if off := c.At(7200)/curve(7200) - 1; math.Abs(off) > 0.05 {
			t.Errorf("%s at 7,200: off by %v", model.Name, off)
		}
	}
}

// What does not grow is flat; what grows slowly but steadily is not.
func TestFlat(t *testing.T) {
	if r, err := Fit(pointsOf(0.1, func(float64) float64 { return 12 })); err != nil || !r.Flat {
		t.Errorf("%+v, %v", r, err)
	}
	if r, err := Fit(pointsOf(0.01, func(n float64) float64 { return 12 + n/2000 })); err != nil || r.Flat {
		t.Errorf("%+v, %v", r, err)
	}
}

// Two sizes fit any model, so they show none.
func TestNotEnoughSizes(t *testing.T) {
	points := pointsOf(0, func(n float64) float64 { return n })
	if r, err := Fit(points[:MinSizes-1]); !errors.Is(err, ErrNotEnoughSizes) || len(r.Curves) != 0 {
		t.Errorf("%+v, %v", r, err)
	}
	if _, err := Fit(points[:MinSizes]); err != nil {
		t.Error(err)
	}
}

// Costs of nothing are fitted, too.
func TestZeroCost(t *testing.T) {
	r, err := Fit(pointsOf(0, func(float64) float64 { return 0 }))
	if c := r.Curves[r.Best]; err != nil || !r.Flat || c.At(7200) != 0 || math.IsNaN(c.MaxResidual) {
		t.Errorf("%+v, %v", r, err)
	}
}
