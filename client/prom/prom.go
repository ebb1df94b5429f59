// Package prom exports the metrics of a client to Prometheus.
package prom

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dahliaford/client"
)

// Observer is a client.Observer whose counters and histograms are registered with Prometheus. Label values
// are names from the configuration or from fixed sets, so the number of time series is bounded.
type Observer struct {
	attempts    *prometheus.CounterVec
	jobs        *prometheus.CounterVec
	jobSeconds  *prometheus.HistogramVec
	connections *prometheus.CounterVec
	throttled   prometheus.Counter
}

var _ client.Observer = (*Observer)(nil)

// New returns an Observer whose metrics are registered with registerer. Several clients may share one
// Observer. A registerer accepts only one Observer: registering a second one fails with an error that wraps
// the registerer's error.
//
//	client_attempts_total{scheduler,class,outcome}  number of attempts, by outcome (see client.Observer)
//	client_jobs_total{class,verdict}                number of jobs, by verdict (see client.Verdict)
//	client_job_seconds{class,verdict}               time from the call of Do to its return, in seconds
//	client_connections_total{scheduler,result}      number of dials, by result: up or failed
//	client_throttled_total                          number of jobs not retried: retry budget used up
func New(registerer prometheus.Registerer) (*Observer, error) {
	// The buckets range from 1 ms to 33 s, which covers the deadlines of the classes.
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
			return nil, fmt.Errorf("register client metrics: %w", err)
		}
	}
	return o, nil
}

// AttemptEnded implements client.Observer. It counts the attempt.
func (o *Observer) AttemptEnded(scheduler, class, outcome string, _ time.Duration) {
	o.attempts.WithLabelValues(scheduler, class, outcome).Inc()
}

// JobEnded implements client.Observer. It counts the job and records the time that Do took for it.
func (o *Observer) JobEnded(class, verdict string, _ int, took time.Duration) {
	o.jobs.WithLabelValues(class, verdict).Inc()
	o.jobSeconds.WithLabelValues(class, verdict).Observe(took.Seconds())
}

// Connected implements client.Observer. It counts an opened connection or a failed dial.
func (o *Observer) Connected(scheduler string, err error) {
	result := "up"
	if err != nil {
		result = "failed"
	}
	o.connections.WithLabelValues(scheduler, result).Inc()
}

// Throttled implements client.Observer. It counts a job that got no retry because the retry budget was used
// up.
func (o *Observer) Throttled() { o.throttled.Inc() }
