package modelcheck

import (
	"context"
	"runtime/debug"
	"testing"
	"time"
)

// BenchmarkSearch measures the number of states per second of a search: with copied states on all cores, with
// copied states on one core, and with states rebuilt by a replay on one core.
func BenchmarkSearch(b *testing.B) {
	// 600 is the garbage collection target, in percent, that cmd/schedbench sets.
	defer debug.SetGCPercent(debug.SetGCPercent(600))
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
