package client

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"dahliaford/internal/http1"
)

// BenchmarkServedJob compares the latency of a job that is sent with the client library with the latency of
// the same request sent with net/http. Both run against the same test server, which answers at once.
func BenchmarkServedJob(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := http1.NewReader(conn); ; {
					if _, err := reader.Request(); err != nil {
						return
					}
					if _, err := io.WriteString(conn, served); err != nil {
						return
					}
				}
			}()
		}
	}()
	b.Run("client", func(b *testing.B) {
		c, err := New(Config{Schedulers: []string{l.Addr().String()}, Tenant: "sahel",
			Classes: map[string]Class{"post-reading": {Deadline: defaultDeadline, Effect: Once}}})
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		b.ReportAllocs()
		var latencies []time.Duration
		defer func() { reportPercentiles(b, latencies) }()
		for b.Loop() {
			start := time.Now()
			if _, err := c.Do(b.Context(), Job{Class: "post-reading", Object: "17",
				Body: []byte("4211")}); err != nil {
				b.Fatal(err)
			}
			latencies = append(latencies, time.Since(start))
		}
	})
	b.Run("net-http", func(b *testing.B) {
		var transport http.Transport
		defer transport.CloseIdleConnections()
		c := http.Client{Transport: &transport}
		b.ReportAllocs()
		var latencies []time.Duration
		defer func() { reportPercentiles(b, latencies) }()
		for b.Loop() {
			start := time.Now()
			r, err := http.NewRequestWithContext(b.Context(), "POST", "http://"+l.Addr().String()+"/post-reading/17",
				strings.NewReader("4211"))
			if err != nil {
				b.Fatal(err)
			}
			r.Header.Set("X-Txn", newID())
			r.Header.Set("X-Lane", "post-reading")
			r.Header.Set("X-Org", "sahel")
			r.Header.Set("X-Remaining-Ms", "5000")
			response, err := c.Do(r)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadAll(response.Body); err != nil {
				b.Fatal(err)
			}
			_ = response.Body.Close() // the body was read to its end, so the error of Close does not matter
			latencies = append(latencies, time.Since(start))
		}
	})
}

// reportPercentiles reports the 50th and the 99th percentile of the latencies as metrics of the benchmark, in
// nanoseconds.
func reportPercentiles(b *testing.B, latencies []time.Duration) {
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2]), "p50-ns")
	b.ReportMetric(float64(latencies[len(latencies)*99/100]), "p99-ns")
}

// defaultDeadline is the time that the benchmark's class allows for a job, in nanoseconds.
const defaultDeadline = 5_000_000_000
