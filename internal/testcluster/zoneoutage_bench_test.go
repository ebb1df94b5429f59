package testcluster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/fakes"
)

// scriptedDiscovery is a discovery that says what it is told to say, to the one watch that is open.
type scriptedDiscovery struct {
	net.Listener
	watch net.Conn
	rev   int64
}

func newScriptedDiscovery(tb testing.TB) *scriptedDiscovery {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	return &scriptedDiscovery{Listener: l}
}

// accept waits for the watch and gives it the whole list.
func (d *scriptedDiscovery) accept(tb testing.TB, lines []fakes.Endpoint) {
	tb.Helper()
	conn, err := d.Accept()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	for head := bufio.NewScanner(conn); head.Scan() && head.Text() != ""; {
	}
	d.watch = conn
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	d.send(tb, true, lines)
}

func (d *scriptedDiscovery) send(tb testing.TB, all bool, lines []fakes.Endpoint) {
	tb.Helper()
	d.rev++
	raw, err := json.Marshal(map[string]any{"rev": d.rev, "all": all, "targets": lines})
	if err == nil {
		_, err = fmt.Fprintf(d.watch, "%x\r\n%s\n\r\n", len(raw)+1, raw)
	}
	if err != nil {
		tb.Fatal(err)
	}
}

// cpuTime is the processor time that a process has taken.
func cpuTime(tb testing.TB, p *Process) time.Duration {
	tb.Helper()
	var at unix.Timespec
	if err := unix.ClockGettime(int32(^p.cmd.Process.Pid<<3|2), &at); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(at.Nano())
}

// waitUntilIdle waits until a process has nothing to do, and tells what it has taken by then. Its watch is
// kept alive meanwhile.
func (d *scriptedDiscovery) waitUntilIdle(tb testing.TB, p *Process) time.Duration {
	tb.Helper()
	for before := cpuTime(tb, p); ; {
		if _, err := fmt.Fprint(d.watch, "1\r\n\n\r\n"); err != nil {
			tb.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		now := cpuTime(tb, p)
		if now-before < 2*time.Millisecond {
			return now
		}
		before = now
	}
}

// BenchmarkZoneOutage is the processor time that the real program takes for a zone that goes, a line
// for each worker, and then for one change a second.
func BenchmarkZoneOutage(b *testing.B) {
	const zones = 14
	bin := buildScheduler(b)
	for _, n := range []int{720, 1440, 2880, 4320, 7200} {
		b.Run(fmt.Sprintf("%d workers", n), func(b *testing.B) {
			lines := make([]fakes.Endpoint, n)
			for i := range lines {
				lines[i] = fakes.Endpoint{UID: fmt.Sprintf("worker-%05d", i),
					Addr: fmt.Sprintf("127.0.0.1:%d", 10000+i), Zone: fmt.Sprint("zone-", i%zones),
					Kind: fmt.Sprint("m", i/zones%4), Cell: i / 40, State: "ready"}
			}
			discovery := newScriptedDiscovery(b)
			p, err := StartConfig(bin, b.TempDir(), Config{Name: "n0", Listen: "127.0.0.1:0",
				Discovery:  discovery.Addr().String(),
				Schedulers: 300, MemoryMB: 64, MaxSockets: 512,
				KnownEndpoints: []fakes.Endpoint{}})
			if err != nil {
				b.Fatal(err)
			}
			defer p.Kill()
			discovery.accept(b, lines)
			whole, lost, told := discovery.waitUntilIdle(b, p), time.Duration(0), 0
			b.ReportMetric(whole.Seconds()*1000, "ms/start")
			for range b.N {
				for _, state := range []string{"gone", "ready"} {
					before := cpuTime(b, p)
					for i := 0; i < n; i += zones {
						line := lines[i]
						line.State = state
						discovery.send(b, false, []fakes.Endpoint{line})
					}
					if took := discovery.waitUntilIdle(b, p) - before; state == "gone" {
						lost, told = lost+took, told+(n+zones-1)/zones
					}
				}
			}
			use, err := p.Usage()
			if err != nil {
				b.Fatal(err)
			}
			const seconds = 6
			before, began := cpuTime(b, p), time.Now()
			for i := range seconds {
				line := lines[i*7919%n]
				line.State = "draining"
				discovery.send(b, false, []fakes.Endpoint{line})
				time.Sleep(time.Second)
			}
			share := (cpuTime(b, p) - before).Seconds() / time.Since(began).Seconds()
			b.ReportMetric(share*100, "%core/change/s")
			b.ReportMetric(lost.Seconds()*1000/float64(b.N), "cpu-ms/zone")
			b.ReportMetric(lost.Seconds()*1e6/float64(told), "cpu-us/line")
			b.ReportMetric(use.PeakMemoryMB, "MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}
