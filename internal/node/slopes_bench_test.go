package node

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/scheduler"
)

// slopeSizes are the numbers of workers at which the benchmarks measure. docs/CAPACITY.md fits costs as
// linear functions of the number of workers to these measurements.
var slopeSizes = []int{200, 450, 800, 2400, 4800, 7200}

// entry is an entry of the worker list with all fields of the discovery protocol, in the protocol's order.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

type listUpdate struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

func slopeEntry(i int) entry {
	return entry{UID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Capacity: 1, BootMs: 1764648000000 + int64(i),
		Endpoint: fmt.Sprintf("10.%d.%d.%d:8443", i>>16, i>>8&255, i&255), Zone: fmt.Sprint("zone-", i%14),
		Model: fmt.Sprint("m", i/14%4), Group: i / 40, State: "ready"}
}

func encodeSlopeUpdate(tb testing.TB, rev int64, all bool, n int) []byte {
	tb.Helper()
	update := listUpdate{Rev: rev, All: all}
	for i := range n {
		update.Targets = append(update.Targets, slopeEntry(i))
	}
	raw, err := json.Marshal(update)
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

func processorMicros(tb testing.TB) float64 {
	tb.Helper()
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000
}

// BenchmarkSlopeList measures a complete worker list on the wire: the number of bytes, uncompressed and with
// gzip, and the processor time for decoding the list, without the reducer.
func BenchmarkSlopeList(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprintf("%d workers", n), func(b *testing.B) {
			raw := encodeSlopeUpdate(b, 41, true, n)
			var packed bytes.Buffer
			z := gzip.NewWriter(&packed)
			if _, err := z.Write(raw); err != nil {
				b.Fatal(err)
			}
			if err := z.Close(); err != nil {
				b.Fatal(err)
			}
			before := processorMicros(b)
			for range b.N {
				if list, invalid, err := DecodeList(raw); err != nil || invalid != nil || len(list.Workers) != n {
					b.Fatal(invalid, err)
				}
			}
			b.ReportMetric((processorMicros(b)-before)/float64(b.N), "cpu-us/list")
			b.ReportMetric(float64(len(raw)), "wire-bytes")
			b.ReportMetric(float64(packed.Len()), "gzip-bytes")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkSlopeApplied measures the time from the write of an update to a socket until the event loop has
// applied the update. The freshness guard rejects attempts during that time.
func BenchmarkSlopeApplied(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprintf("%d workers", n), func(b *testing.B) {
			l := listenLoopback(b)
			set := parseTestSettings(b)
			set.Dispatch.Dispatchers, set.Dispatch.Index = 300, 150
			node := listenNode(b, Config{Name: "n", Listen: "127.0.0.1:0", Settings: set,
				Discovery: l.Addr().String()})
			done := runNode(node)
			defer func() {
				node.Stop()
				checkEnd(b, done)
			}()
			conn, err := l.Accept()
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			head := bufio.NewScanner(conn)
			for head.Scan() && head.Text() != "" {
				continue // The loop skips the node's request for the watch.
			}
			// apply writes an update of the worker list and waits until the event loop has applied the update.
			applied := uint64(0)
			apply := func(raw []byte) time.Duration {
				text := fmt.Sprintf("%x\r\n%s\n\r\n", len(raw)+1, raw)
				began := time.Now()
				write(b, conn, text)
				for applied++; ; {
					next := node.freshness.nextChange()
					if node.freshness.appliedCount() >= applied {
						return time.Since(began)
					}
					<-next
				}
			}
			write(b, conn, watchHead)
			completeTook := apply(encodeSlopeUpdate(b, 1, true, n))
			var took []time.Duration
			before := processorMicros(b)
			for i := range b.N {
				update := listUpdate{Rev: int64(i) + 2, Targets: []entry{slopeEntry(i / 2 * 7919 % n)}}
				update.Targets[0].State = []string{"draining", "ready"}[i%2]
				raw, err := json.Marshal(update)
				if err != nil {
					b.Fatal(err)
				}
				took = append(took, apply(raw))
			}
			b.ReportMetric((processorMicros(b)-before)/float64(b.N), "cpu-us/word")
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "median-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(completeTook.Microseconds()), "whole-us")
			b.ReportMetric(float64(len(encodeSlopeUpdate(b, 2, false, 1))+1), "wire-bytes")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// appliedCount returns how many updates of the worker list the event loop has applied.
func (g *freshnessGuard) appliedCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.appliedUpdates
}

// BenchmarkSlopeMemory measures the memory of a worker list as a scheduler.WorkerList, as the watch's reader
// passes it to the reducer. This memory is needed in addition to the reducer's state and is freed afterwards.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprintf("%d workers", n), func(b *testing.B) {
			raw, lists := encodeSlopeUpdate(b, 41, true, n), scheduler.WorkerList{}
			b.ReportAllocs()
			for range b.N {
				lists, _, _ = DecodeList(raw)
			}
			if len(lists.Workers) != n {
				b.Fatal(len(lists.Workers))
			}
		})
	}
}
