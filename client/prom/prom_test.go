package prom_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"dahliaford/client"
	"dahliaford/client/prom"
)

// What a client does shows in its counters: a refusal, a retry, a result, and one job that
// nobody listened to.
func TestCounts(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			w.WriteHeader(503)
		}
	}))
	defer s.Close()
	addr := s.Listener.Addr().String()
	registry := prometheus.NewRegistry()
	o, err := prom.New(registry)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := prom.New(registry); err == nil {
		t.Error("registered twice")
	}
	do := func(addr string, want string) {
		c, err := client.New(client.Config{Schedulers: []string{addr}, Observer: o, RetryBudget: -1,
			Classes: map[string]client.Class{"a": {Deadline: 100 * time.Millisecond, Effect: client.Once}}})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err = c.Do(t.Context(), client.Job{Class: "a"}); client.Verdict(err) != want {
			t.Fatalf("%v, want %s", err, want)
		}
	}
	do(addr, "refused")
	do(addr, "served")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	do(l.Addr().String(), "refused")
	want := strings.ReplaceAll(`
# HELP desk_jobs_total Jobs, by class and how they ended.
# TYPE desk_jobs_total counter
desk_jobs_total{class="a",verdict="refused"} 2
desk_jobs_total{class="a",verdict="served"} 1
# HELP desk_throttled_total Jobs that got no retry because the budget was used up.
# TYPE desk_throttled_total counter
desk_throttled_total 1
# HELP desk_connections_total New connections, by scheduler and whether they came up.
# TYPE desk_connections_total counter
desk_connections_total{result="failed",scheduler="DEAD"} 1
desk_connections_total{result="up",scheduler="LIVE"} 2
`, "LIVE", addr)
	want = strings.ReplaceAll(want, "DEAD", l.Addr().String())
	if err := testutil.GatherAndCompare(registry, strings.NewReader(want), "desk_jobs_total",
		"desk_throttled_total", "desk_connections_total"); err != nil {
		t.Error(err)
	}
}
