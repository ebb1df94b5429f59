package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliaford/internal/endpoints"
)

// idleBench is a scheduler process that has a list of workers and receives no jobs.
type idleBench struct {
	*scriptedDiscovery
	process *Process
	workers []endpoints.Endpoint
}

// BenchmarkSlopeIdle measures the CPU time of a scheduler process that has a list of workers and receives no
// jobs: for its start, for a heartbeat of the watch, for an idle second, for a SIGHUP with a configuration
// file that lists all workers, and for a line of the watch with one changed entry. The number of workers
// varies, so that the results show the growth with the length of the list.
func BenchmarkSlopeIdle(b *testing.B) {
	bin := buildScheduler(b)
	for _, n := range []int{200, 450, 800, 2400, 4800, 7200} {
		b.Run(fmt.Sprintf("%d workers", n), func(b *testing.B) {
			workers, discovery, folder := benchEndpoints(n), newScriptedDiscovery(b), b.TempDir()
			p, err := StartConfig(bin, folder, Config{Name: "n0", Listen: anyPortAddr,
				Discovery: discovery.Addr().String(), Schedulers: 300, MemoryMB: 64, MaxSockets: 512,
				KnownEndpoints: workers})
			if err != nil {
				b.Fatal(err)
			}
			defer p.Kill()
			discovery.accept(b, workers)
			start := discovery.waitUntilIdle(b, p)
			file, err := os.Stat(filepath.Join(folder, "n0.json"))
			if err != nil {
				b.Fatal(err)
			}
			bench := idleBench{discovery, p, workers}
			idle, heartbeat := bench.idleAndHeartbeatCost(b)
			changeCost, reloadCost := bench.changeCost(b), bench.reloadCost(b)
			use, err := p.Usage()
			if err != nil {
				b.Fatal(err)
			}
			microseconds := func(d time.Duration) float64 { return d.Seconds() * 1e6 }
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(microseconds(start), "cpu-us/start")
			b.ReportMetric(microseconds(idle), "cpu-us/s-idle")
			b.ReportMetric(microseconds(heartbeat), "cpu-us/beat")
			b.ReportMetric(microseconds(changeCost), "cpu-us/word")
			b.ReportMetric(microseconds(reloadCost), "cpu-us/reload")
			b.ReportMetric(float64(file.Size()), "file-bytes")
			b.ReportMetric(use.PeakMemoryMB, "MB")
		})
	}
}

// idleAndHeartbeatCost returns the scheduler's CPU time for an idle second and for a heartbeat.
func (i *idleBench) idleAndHeartbeatCost(b testing.TB) (idle, heartbeat time.Duration) {
	b.Helper()
	const heartbeats, seconds = 5000, 2
	before := cpuTime(b, i.process)
	time.Sleep(seconds * time.Second)
	idle = cpuTime(b, i.process) - before
	for range heartbeats {
		if err := i.heartbeat(); err != nil {
			b.Fatal(err)
		}
	}
	heartbeat = i.waitUntilIdle(b, i.process) - before - idle
	return idle / seconds, heartbeat / heartbeats
}

// changeCost returns the scheduler's CPU time for a line of the watch with one changed entry.
func (i *idleBench) changeCost(b testing.TB) time.Duration {
	b.Helper()
	const changes = 100
	before := cpuTime(b, i.process)
	for n := range changes {
		entry := i.workers[n/2*7919%len(i.workers)]
		entry.State = []endpoints.State{endpoints.Draining, endpoints.Ready}[n%2]
		i.sendChange(b, entry)
		time.Sleep(2 * time.Millisecond) // the pause lets the scheduler apply each line separately
	}
	return (i.waitUntilIdle(b, i.process) - before) / changes
}

// reloadCost returns the scheduler's CPU time for a reload of its configuration on SIGHUP.
func (i *idleBench) reloadCost(b testing.TB) time.Duration {
	b.Helper()
	const signals = 5
	before := cpuTime(b, i.process)
	for range signals {
		if err := i.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			b.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond) // the pause keeps a SIGHUP from merging with a pending one
	}
	took := i.waitUntilIdle(b, i.process) - before
	reloads := 0
	for _, line := range i.process.Log() {
		reloads += strings.Count(line, "configuration reloaded")
	}
	if reloads == 0 {
		b.Fatal("log has no line of a reloaded configuration, want at least one after the signals")
	}
	return took / time.Duration(reloads)
}
