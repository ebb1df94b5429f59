// Package prom counts what a client does, for Prometheus.
package prom

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dahliaford/client"
)

// Observer is a client.Observer whose counters and histograms are registered with Prometheus. Label values
// are names from the configuration and from fixed sets, so that their number is bounded.
type Observer struct {
	attempts    *prometheus.CounterVec
	jobs        *prometheus.CounterVec
	jobSeconds  *prometheus.HistogramVec
	connections *prometheus.CounterVec
	throttled   prometheus.Counter
}

var _ client.Observer = (*Observer)(nil)

// New registers the metrics of one client, or of several that share them. The error wraps the registerer's:
// two observers cannot be registered at one place.
//
//	client_attempts_total{scheduler,class,outcome}  attempts, by how they ended
//	client_jobs_total{class,verdict}                jobs, by how they ended
//	client_job_seconds{class,verdict}               from the call of Do to its return
//	client_connections_total{scheduler,result}      new connections: up or failed
//	client_throttled_total                          jobs that got no retry because of the budget
func New(registerer prometheus.Registerer) (*Observer, error) {
	// 1 ms to 33 s: a class's deadline lies within.
	buckets := prometheus.ExponentialBuckets(0.001, 2, 16)
	o := &Observer{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "client_attempts_total",
			Help: "Attempts, by scheduler, class and how they ended."}, []string{"scheduler", "class", "outcome"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "client_jobs_total",
			Help: "Jobs, by class and how they ended."}, []string{"class", "verdict"}),
		jobSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "client_job_seconds",
			Help: "From a job's arrival at the client to its end, in seconds.", Buckets: buckets},
			[]string{"class", "verdict"}),
		connections: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "client_connections_total",
			Help: "New connections, by scheduler and whether they came up."}, []string{"scheduler", "result"}),
		throttled: prometheus.NewCounter(prometheus.CounterOpts{Name: "client_throttled_total",
			Help: "Jobs that got no retry because the budget was used up."}),
	}
	for _, c := range []prometheus.Collector{o.attempts, o.jobs, o.jobSeconds, o.connections, o.throttled} {
		if err := registerer.Register(c); err != nil {
			return nil, fmt.Errorf("registering the client's metrics: %w", err)
		}
	}
	return o, nil
}

// AttemptEnded counts an attempt.
func (o *Observer) AttemptEnded(scheduler, class, outcome string, _ time.Duration) {
	o.attempts.WithLabelValues(scheduler, class, outcome).Inc()
}

// JobEnded counts a job and the time that it took.
func (o *Observer) JobEnded(class, verdict string, _ int, took time.Duration) {
	o.jobs.WithLabelValues(class, verdict).Inc()
	o.jobSeconds.WithLabelValues(class, verdict).Observe(took.Seconds())
}

// Connected counts a new connection, or one that could not be opened.
func (o *Observer) Connected(scheduler string, err error) {
	result := "up"
	if err != nil {
		result = "failed"
	}
	o.connections.WithLabelValues(scheduler, result).Inc()
}

// Throttled counts a job that got no retry because the budget was used up.
func (o *Observer) Throttled() { o.throttled.Inc() }
