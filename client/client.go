// Package client is the client library of dahliaford. It submits jobs to the schedulers and waits for their
// results. One deadline covers all attempts of a job. The client marks retries as retries, honours
// Retry-After when a scheduler refuses a job, repeats an attempt only if the job's class allows it, and
// bounds the load that retries add.
package client

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"dahliaford/client/internal/plan"
)

// MaxBodyBytes is the maximum length of a job's body, in bytes. Schedulers reject longer bodies.
const MaxBodyBytes = 64 << 10

// Job is one job to submit.
type Job struct {
	Class  string // name of a class in Config.Classes
	Tenant string // tenant that submits the job; "" means Config.Tenant
	Object string // name of the job's object, the last element of the request path; "" means the attempt's id
	Key    string // idempotency key, sent with each attempt; "" means no key
	Body   []byte // content of the job, at most MaxBodyBytes long
	Slots  int    // number of slots that the job takes at its worker; 0 means one slot
	// Deadline is the time by which Do returns. Zero means the deadline of the job's class, counted from the
	// call of Do. An earlier deadline of the context takes precedence.
	Deadline time.Time
}

// Result is the result of a job that was served.
type Result struct {
	Body     []byte // result as the worker returned it
	Attempts int    // number of attempts that got a connection to a scheduler, including the successful attempt
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	cfg     Config
	classes map[string]int // index of each class in the plan's list of classes, by class name
	log     *slog.Logger
	pool    *pool

	mu   sync.Mutex // guards plan and available
	plan *plan.Plan
	// available is closed, to wake the jobs that wait for a scheduler, and replaced by a new channel when a
	// scheduler becomes available after all schedulers were ejected.
	available chan struct{}
}

// New returns a client with the given configuration. The error names the invalid field.
func New(cfg Config) (*Client, error) {
	cfg = cfg.withDefaults()
	planCfg, classes, err := cfg.planConfig()
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	jobPlan, err := plan.New(planCfg, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	onConnect := func(scheduler int, err error) { cfg.Observer.Connected(cfg.Schedulers[scheduler], err) }
	return &Client{
		cfg:       cfg,
		classes:   classes,
		log:       cfg.Log,
		pool:      newPool(cfg.Schedulers, cfg.MaxConnections, cfg.ConnectRate, onConnect),
		plan:      jobPlan,
		available: make(chan struct{}),
	}, nil
}

// Close closes the idle connections. Jobs in flight are not interrupted.
func (c *Client) Close() { c.pool.close() }

// Do submits a job and waits until the job ends or its deadline passes. It returns a result or an error of
// one of this package's types. When the context is cancelled, Do closes the connection to the scheduler at
// once and returns an error that wraps the context's error.
func (c *Client) Do(ctx context.Context, job Job) (*Result, error) {
	class, known := c.classes[job.Class]
	switch {
	case !known:
		return nil, &InvalidJobError{Text: fmt.Sprintf("unknown class %q", job.Class)}
	case len(job.Body) > MaxBodyBytes:
		return nil, &InvalidJobError{
			Text: fmt.Sprintf("body of %d bytes is above the limit of %d bytes", len(job.Body), MaxBodyBytes)}
	}
	deadline := job.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(c.cfg.Classes[job.Class].Deadline)
	}
	if at, set := ctx.Deadline(); set && at.Before(deadline) {
		deadline = at
	}
	start := time.Now()
	result, err := c.newExecution(&job, class, deadline).run(ctx)
	attempts := 0
	if result != nil {
		attempts = result.Attempts
	}
	c.cfg.Observer.JobEnded(job.Class, Verdict(err), attempts, time.Since(start))
	return result, err
}
