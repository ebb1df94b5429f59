// Package client is the client library of dahliaford: it submits jobs to the schedulers and waits for their
// results. It keeps a job's deadline over all its attempts, marks retries as such, honours refusals with
// their Retry-After, repeats nothing that the job's class does not allow, and bounds the load that retries
// add.
package client

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"dahliaford/client/internal/plan"
)

// MaxBodyBytes is the longest body of a job, in bytes: schedulers accept none that is longer.
const MaxBodyBytes = 64 << 10

// Job is one job to submit.
type Job struct {
	Class  string
	Tenant string // "": the one of the configuration
	Object string // what the job is about, the last part of the request's path; "": the id of the attempt
	Key    string // the idempotency key, the same in all attempts; "": none
	Body   []byte // at most MaxBodyBytes
	Slots  int    // slots that it takes at its worker; 0: one
	// Deadline is when its caller gives up. Zero: the class's deadline, counted from the call. An earlier
	// deadline of the context takes precedence.
	Deadline time.Time
}

// Result is a job's result.
type Result struct {
	Body     []byte // as the worker returned it
	Attempts int    // how many the job took, the last one included
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	cfg     Config
	classes map[string]int // the plan's number of each class
	log     *slog.Logger
	pool    *pool

	mu        sync.Mutex // guards the fields below
	plan      *plan.Plan
	available chan struct{} // closed and replaced when a scheduler is available again after none was
}

// New returns a client. The error names the field that is invalid.
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

// Close closes the idle connections. Jobs in flight go on.
func (c *Client) Close() { c.pool.close() }

// Do submits a job and waits for its end. It returns by the job's deadline, with a result or with one of this
// package's errors. When the context is cancelled, it closes the connection at once, and the error wraps the
// context's.
func (c *Client) Do(ctx context.Context, job Job) (*Result, error) {
	class, known := c.classes[job.Class]
	switch {
	case !known:
		return nil, &InvalidJobError{Text: fmt.Sprintf("unknown class %q", job.Class)}
	case len(job.Body) > MaxBodyBytes:
		return nil, &InvalidJobError{
			Text: fmt.Sprintf("a body of %d bytes, %d at most", len(job.Body), MaxBodyBytes)}
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
