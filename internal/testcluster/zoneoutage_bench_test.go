package testcluster

import (
	"fmt"
	"testing"
	"time"

	"dahliaford/internal/endpoints"
)

// BenchmarkZoneOutage measures the CPU time of a scheduler process when discovery removes all workers of a
// zone, with a line of the watch for each worker, and then when one entry changes each second.
func BenchmarkZoneOutage(b *testing.B) {
	bin := buildScheduler(b)
	for _, n := range []int{720, 1440, 2880, 4320, 7200} {
		b.Run(fmt.Sprintf("%d workers", n), func(b *testing.B) {
			workers := benchEndpoints(n)
			discovery := newScriptedDiscovery(b)
			p, err := StartConfig(bin, b.TempDir(), Config{Name: "n0", Listen: anyPortAddr,
				Discovery:  discovery.Addr().String(),
				Schedulers: 300, MemoryMB: 64, MaxSockets: 512,
				KnownEndpoints: []endpoints.Endpoint{}})
			if err != nil {
				b.Fatal(err)
			}
			defer p.Kill()
			discovery.accept(b, workers)
			start := discovery.waitUntilIdle(b, p)
			b.ReportMetric(start.Seconds()*1000, "ms/start")
			var removal time.Duration
			removed := 0
			for range b.N {
				for _, state := range []endpoints.State{endpoints.Removed, endpoints.Ready} {
					before := cpuTime(b, p)
					for i := 0; i < n; i += benchZones {
						entry := workers[i]
						entry.State = state
						discovery.sendChange(b, entry)
					}
					if took := discovery.waitUntilIdle(b, p) - before; state == endpoints.Removed {
						removal, removed = removal+took, removed+(n+benchZones-1)/benchZones
					}
				}
			}
			use, err := p.Usage()
			if err != nil {
				b.Fatal(err)
			}
			const seconds = 6
			before, startedAt := cpuTime(b, p), time.Now()
			for i := range seconds {
				entry := workers[i*7919%n]
				entry.State = endpoints.Draining
				discovery.sendChange(b, entry)
				time.Sleep(time.Second)
			}
			coreFraction := (cpuTime(b, p) - before).Seconds() / time.Since(startedAt).Seconds()
			b.ReportMetric(coreFraction*100, "%core/change/s")
			b.ReportMetric(removal.Seconds()*1000/float64(b.N), "cpu-ms/zone")
			b.ReportMetric(removal.Seconds()*1e6/float64(removed), "cpu-us/line")
			b.ReportMetric(use.PeakMemoryMB, "MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}
