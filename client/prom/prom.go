// Package prom counts what a desk's client does, for Prometheus.
package prom

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dahliaford/client"
)

// Observer is a desk.Observer whose counters and histograms are registered with Prometheus.
// Labels are names from the configuration and a fixed set of words: their number is bounded.
type Observer struct {
	tries     *prometheus.CounterVec
	jobs      *prometheus.CounterVec
	took      *prometheus.HistogramVec
	opened    *prometheus.CounterVec
	throttled prometheus.Counter
}

var _ client.Observer = (*Observer)(nil)

// New registers the metrics of one client, or of several that share them. The error is the
// registerer's: two observers cannot be registered at one place.
//
//	client_attempts_total{scheduler,class,outcome}   tries, by how they ended
//	client_jobs_total{class,verdict}              jobs, by how they ended
//	client_job_seconds{class,verdict}             from Do's call to its return
//	client_connections_total{scheduler,result}    new connections: up or failed
//	client_throttled_total                        jobs that the budget kept from a retry
func New(r prometheus.Registerer) (*Observer, error) {
	o := &Observer{
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "client_attempts_total",
			Help: "Attempts, by scheduler, class and how they ended."}, []string{"scheduler", "class", "outcome"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "client_jobs_total",
			Help: "Jobs, by class and how they ended."}, []string{"class", "verdict"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "client_job_seconds",
			Help:    "From a job's arrival at the client to its end, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16)}, []string{"class", "verdict"}),
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "client_connections_total",
			Help: "New connections, by scheduler and whether they came up."}, []string{"scheduler", "result"}),
		throttled: prometheus.NewCounter(prometheus.CounterOpts{Name: "client_throttled_total",
			Help: "Jobs that got no retry because the budget was used up."}),
	}
	for _, c := range []prometheus.Collector{o.tries, o.jobs, o.took, o.opened, o.throttled} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// AttemptEnded counts a try.
func (o *Observer) AttemptEnded(scheduler, class, outcome string, _ time.Duration) {
	o.tries.WithLabelValues(scheduler, class, outcome).Inc()
}

// JobEnded counts a job.
func (o *Observer) JobEnded(class, verdict string, _ int, took time.Duration) {
	o.jobs.WithLabelValues(class, verdict).Inc()
	o.took.WithLabelValues(class, verdict).Observe(took.Seconds())
}

// Connected counts a new connection, or one that did not come up.
func (o *Observer) Connected(scheduler string, err error) {
	result := "up"
	if err != nil {
		result = "failed"
	}
	o.opened.WithLabelValues(scheduler, result).Inc()
}

// Throttled counts a job that got no retry because the budget was used up.
func (o *Observer) Throttled() { o.throttled.Inc() }
