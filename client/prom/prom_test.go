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

// TestCounts checks the metrics after three jobs: a scheduler refuses the first job and serves the second,
// and another scheduler refuses the connection for the third job.
func TestCounts(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
		t.Error("got no error for a second observer registered with the same registry, want an error")
	}
	do := func(addr string, want string) {
		c, err := client.New(client.Config{Schedulers: []string{addr}, Observer: o, RetryBudget: -1,
			Classes: map[string]client.Class{"a": {Deadline: 100 * time.Millisecond, Effect: client.Once}}})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err = c.Do(t.Context(), client.Job{Class: "a"}); client.Verdict(err) != want {
			t.Fatalf("Do returns error %v, want an error with the verdict %s", err, want)
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
# HELP client_jobs_total Jobs, by class and how they ended.
# TYPE client_jobs_total counter
client_jobs_total{class="a",verdict="refused"} 2
client_jobs_total{class="a",verdict="served"} 1
# HELP client_throttled_total Jobs that got no retry because the budget was used up.
# TYPE client_throttled_total counter
client_throttled_total 1
# HELP client_connections_total New connections, by scheduler and whether they came up.
# TYPE client_connections_total counter
client_connections_total{result="failed",scheduler="DEAD"} 1
client_connections_total{result="up",scheduler="LIVE"} 2
# HELP client_attempts_total Attempts, by scheduler, class and how they ended.
# TYPE client_attempts_total counter
client_attempts_total{class="a",outcome="refused",scheduler="LIVE"} 1
client_attempts_total{class="a",outcome="served",scheduler="LIVE"} 1
client_attempts_total{class="a",outcome="unreached",scheduler="DEAD"} 1
`, "LIVE", addr)
	want = strings.ReplaceAll(want, "DEAD", l.Addr().String())
	if err := testutil.GatherAndCompare(registry, strings.NewReader(want), "client_jobs_total",
		"client_throttled_total", "client_connections_total", "client_attempts_total"); err != nil {
		t.Error(err)
	}
	if n, err := testutil.GatherAndCount(registry, "client_job_seconds"); err != nil || n != 2 {
		t.Errorf(
			"got %d histograms of client_job_seconds, error %v, want 2: one for served and one for refused jobs",
			n, err)
	}
}
