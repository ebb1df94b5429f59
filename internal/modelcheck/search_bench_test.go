package modelcheck

import (
	"context"
	"runtime/debug"
	"testing"
	"time"
)

// BenchmarkSearch measures the rate of a search: copied states on all cores and on one, against states made
// anew from the root on one.
func BenchmarkSearch(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(600)) // as schedbench does
	for name, opt := range map[string]Options{"copy": {}, "copy-one": {Parallel: 1},
		"replay-one": {Parallel: 1, ReplayStates: true}} {
		b.Run(name, func(b *testing.B) {
			cfg, err := WorldByName("attempt")
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), 3*time.Second)
				began := time.Now()
				r, err := Search(ctx, cfg, opt)
				cancel()
				if err != nil || r.Violation != nil {
					b.Fatal(err, r.Violation)
				}
				b.ReportMetric(float64(r.States)/time.Since(began).Seconds(), "states/s")
			}
		})
	}
}
