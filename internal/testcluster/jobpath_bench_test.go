package testcluster

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dahliaford/internal/http1"
)

// These benchmarks measure the costs in docs/CAPACITY.md that only a real scheduler process shows. The CPU
// time is that of the measured process alone, so that clients and workers in other processes are not
// included.

// loadDuration is the time for which clients submit jobs for each measurement.
const loadDuration = 1500 * time.Millisecond

// startJobPath starts the process that a benchmark of the job path measures, a scheduler or the relay, with
// one fastWorker. kind is one of the variants of BenchmarkSlopePath.
func startJobPath(b testing.TB, bin, kind string) (*fastWorker, *Process) {
	b.Helper()
	var w *fastWorker
	var p *Process
	if strings.HasPrefix(kind, "relay") {
		w = newFastWorker(b)
		p = startRelay(b, w.addr)
		w.scheduler.Store(&p.Addr)
		b.Cleanup(p.Kill)
	} else {
		w, p = startWithFastWorker(b, bin, 300)
	}
	if strings.HasSuffix(kind, "new callbacks") {
		w.client.Transport.(*http.Transport).DisableKeepAlives = true
	}
	return w, p
}

// cpuTicks returns the CPU time of a process from /proc/PID/stat, in steps of 10 ms.
func cpuTicks(tb testing.TB, p *Process) time.Duration {
	tb.Helper()
	ticks, err := p.CPUTicks()
	if err != nil {
		tb.Fatal(err)
	}
	return ticks
}

// BenchmarkSlopePath measures the CPU time for each job on the whole job path over sockets: the client's
// request, the attempt at the one worker, two callbacks, and the answer. Jobs take no run time. The variants
// are a scheduler with reused connections, a scheduler with a new connection for each job or for each
// callback, and, for comparison, a relay on net/http that makes no scheduling decisions.
func BenchmarkSlopePath(b *testing.B) {
	bin := buildScheduler(b)
	b.Setenv("GOMAXPROCS", "1") // GOMAXPROCS applies to the processes that the benchmark starts
	for _, kind := range []string{"program", "relay", "new clients", "new callbacks", "relay, new callbacks"} {
		for _, clients := range []int{1, 4, 8, 32, 64, 128} {
			b.Run(fmt.Sprintf("%s/%d clients", kind, clients), func(b *testing.B) {
				w, p := startJobPath(b, bin, kind)
				newConns := kind == "new clients"
				var warmUp, t tally
				err := warmUp.runClients(p.Addr, clients, time.Now().Add(loadDuration/3), newConns)
				if err != nil {
					b.Fatal(err)
				}
				ticksBefore, cpuBefore := cpuTicks(b, p), cpuTime(b, p)
				attempts, connections, bytes := w.attempts.Load(), w.connections.Load(), w.bytes.Load()
				if err := t.runClients(p.Addr, clients, time.Now().Add(loadDuration), newConns); err != nil {
					b.Fatal(err)
				}
				ticks := cpuTicks(b, p) - ticksBefore
				used, served := cpuTime(b, p)-cpuBefore, float64(t.served.Load())
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(used.Seconds()*1e6/served, "cpu-us/job")
				b.ReportMetric(ticks.Seconds()*1e6/served, "proc-us/job") // CPU time from /proc/PID/stat
				b.ReportMetric(served/loadDuration.Seconds(), "jobs/s")
				b.ReportMetric(float64(t.other.Load())/served, "refused/job")
				b.ReportMetric(float64(w.attempts.Load()-attempts)/served, "attempts/job")
				b.ReportMetric(float64(w.connections.Load()-connections)/served, "dials/job")
				b.ReportMetric(float64(t.bytes.Load())/served, "client-bytes/job")
				b.ReportMetric(float64(w.bytes.Load()-bytes)/served, "worker-bytes/job")
			})
		}
	}
}

// BenchmarkSlopeInFlight measures the memory of a scheduler process by its number of requests in flight, each
// of which holds a client's connection.
func BenchmarkSlopeInFlight(b *testing.B) {
	bin := buildScheduler(b)
	for _, n := range []int{25, 100, 200, 300, 400, 600} {
		b.Run(fmt.Sprintf("%d held", n), func(b *testing.B) {
			w, p := startWithFastWorker(b, bin, 300)
			w.neverFinishes = true
			idle, err := p.Usage()
			if err != nil {
				b.Fatal(err)
			}
			var conns []net.Conn
			for range n {
				conn, err := net.Dial("tcp", p.Addr)
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				conns = append(conns, conn)
			}
			for i, conn := range conns {
				go func() {
					// The job never finishes, so that this call returns an error when the connection is closed.
					_, _ = submitJob(conn, http1.NewReader(conn), fmt.Sprintf("%016x", i))
				}()
			}
			time.Sleep(time.Second) // the wait is shorter than the jobs' latency objective of 2 s
			use, err := p.Usage()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(use.PeakMemoryMB*1024, "resident-kB")
			b.ReportMetric((use.PeakMemoryMB-idle.PeakMemoryMB)*1024/float64(n), "kB/request")
			b.ReportMetric(float64(use.Descriptors), "descriptors")
		})
	}
}
