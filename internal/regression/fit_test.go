package regression

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []float64{200, 450, 800, 2400, 4800, 7200}

func pointsOf(noise float64, f func(n float64) float64) (ps []Point) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range sizes {
		p := Point{Size: n}
		for range 5 {
			p.Values = append(p.Values, f(n)*(1+noise*(2*random.Float64()-1)))
		}
		ps = append(ps, p)
	}
	return ps
}

// Each law is told from the others although values scatter by a twentieth, and gives its rate.
func TestModelsAreDistinguished(t *testing.T) {
	for i, law := range Models {
		f := func(n float64) float64 { return 30 + 0.25*law.apply(n) }
		r, err := Fit(pointsOf(0.05, f))
		if err != nil {
			t.Fatal(err)
		}
		c := r.Curves[r.Best]
		if r.Best != i || r.Flat || math.Abs(c.Slope-0.25) > 0.02 || c.MaxResidual > 0.1 {
			t.Errorf("%s is taken for %+v", law.Name, r)
		}
		if off := c.At(7200)/f(7200) - 1; math.Abs(off) > 0.05 {
			t.Errorf("%s at 7,200: off by %v", law.Name, off)
		}
	}
}

// What does not grow is said to be flat; what grows slowly but steadily is not.
func TestFlat(t *testing.T) {
	if r, err := Fit(pointsOf(0.1, func(float64) float64 { return 12 })); err != nil || !r.Flat {
		t.Errorf("%+v, %v", r, err)
	}
	if r, err := Fit(pointsOf(0.01, func(n float64) float64 { return 12 + n/2000 })); err != nil || r.Flat {
		t.Errorf("%+v, %v", r, err)
	}
}

// Two sizes fit any law, so they show none.
func TestNotEnoughSizes(t *testing.T) {
	ps := pointsOf(0, func(n float64) float64 { return n })
	if r, err := Fit(ps[:MinSizes-1]); !errors.Is(err, ErrNotEnoughSizes) || len(r.Curves) != 0 {
		t.Errorf("%+v, %v", r, err)
	}
	if _, err := Fit(ps[:MinSizes]); err != nil {
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
