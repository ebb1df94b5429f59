package scheduler

import (
	"fmt"
	"testing"
)

// BenchmarkJob is one job with all its events, by schedulers and workers.
func BenchmarkJob(b *testing.B) {
	for _, size := range [][2]int{{3, 10}, {80, 60}, {300, 200}, {300, 800}, {300, 2400}, {300, 7200}, {30, 7200},
		{17, 7200}, {7200, 7200}} {
		b.Run(fmt.Sprintf("%d schedulers, %d workers", size[0], size[1]), func(b *testing.B) {
			s := fleetOf(b, size[0], size[1])
			b.ReportAllocs()
			b.ResetTimer()
			jobs(b, s, b.N)
		})
	}
}
