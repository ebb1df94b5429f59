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

// A job that is served at once, through the library and by a bare net/http call, against the same scheduler
// in the same run.
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
				for read := http1.NewReader(conn); ; {
					if _, err := read.Request(); err != nil {
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
		var took []time.Duration
		defer func() { percentiles(b, took) }()
		for b.Loop() {
			began := time.Now()
			if _, err := c.Do(b.Context(), Job{Class: "post-reading", Object: "17",
				Body: []byte("4211")}); err != nil {
				b.Fatal(err)
			}
			took = append(took, time.Since(began))
		}
	})
	b.Run("net-http", func(b *testing.B) {
		var transport http.Transport
		defer transport.CloseIdleConnections()
		c := http.Client{Transport: &transport}
		b.ReportAllocs()
		var took []time.Duration
		defer func() { percentiles(b, took) }()
		for b.Loop() {
			began := time.Now()
			r, err := http.NewRequestWithContext(b.Context(), "POST", "http://"+l.Addr().String()+"/post-reading/17",
				strings.NewReader("4211"))
			if err != nil {
				b.Fatal(err)
			}
			r.Header.Set("X-Txn", newID())
			r.Header.Set("X-Lane", "post-reading")
			r.Header.Set("X-Org", "sahel")
			r.Header.Set("X-Remaining-Ms", "5000")
			answer, err := c.Do(r)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadAll(answer.Body); err != nil {
				b.Fatal(err)
			}
			_ = answer.Body.Close() // it was read to its end
			took = append(took, time.Since(began))
		}
	})
}

func percentiles(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2]), "p50-ns")
	b.ReportMetric(float64(took[len(took)*99/100]), "p99-ns")
}

const defaultDeadline = 5_000_000_000 // ns
