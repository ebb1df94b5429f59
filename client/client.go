// Package client is the client library for dispatch desks: it hands jobs in to the schedulers
// of dahliaford and waits for their ends. It keeps a job's deadline over all tries, marks
// retries as retries, honours refusals, repeats nothing that its class does not allow, and
// bounds what retries may add to the load.
package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"dahliaford/client/internal/plan"
)

// Effect says what a class of jobs allows once a try may have run.
type Effect string

// The effects of a class.
const (
	// Once marks jobs that must never run twice. What may have run is never repeated.
	Once Effect = "once"
	// Rack marks jobs whose repeats are dropped within one rack. A desk cannot say to which
	// rack a repeat would go, so it repeats none that may have run; the scheduler does.
	Rack Effect = "rack"
	// Anywhere marks jobs whose repeats are dropped everywhere, within the class's window.
	Anywhere Effect = "anywhere"
	// Safe marks jobs that may be repeated at will.
	Safe Effect = "safe"
)

var effects = map[Effect]plan.Effect{Once: plan.Once, Rack: plan.Rack, Anywhere: plan.Anywhere,
	Safe: plan.Safe}

// Class describes a class of jobs, as the schedulers know it.
type Class struct {
	Deadline    time.Duration // a job's whole wait, over all its tries; it must be positive
	Effect      Effect
	Window      time.Duration // for Anywhere: how long repeats are dropped, from the first try on
	MaxAttempts int           // at most, the first one included; 0: 3
}

// Config is what a desk is told. Only Schedulers and Classes must be set.
type Config struct {
	Schedulers []string         // host:port of each
	Classes    map[string]Class // by name
	Tenant     string           // whose jobs these are, unless a job says otherwise
	// RetryBudget is the share of fresh jobs that retries may add to the load; 0: 0.1. When it is
	// used up, a caller gets the refusal at once. A negative one allows no retries.
	RetryBudget float64
	// MaxConnections is how many a scheduler may have from this desk; 0: 64.
	MaxConnections int
	// ConnectRate is how many new connections a second the desk opens, all schedulers
	// together, beyond a first burst of a fifth of that; 0: 50.
	ConnectRate float64
	Log         *slog.Logger // nil: none
	Observer    Observer     // is told what happens, for metrics; nil: nobody is
	Seed        uint64       // of all that is left to chance; 0: a new one
}

// Job is one job to hand in.
type Job struct {
	Class  string
	Tenant string // "": the desk's
	Object string // what it is about: the last part of the path; "": its first id
	Key    string // of a keyed class; it stays the same over all tries
	Body   []byte // at most 64 KiB
	Slots  int    // that it takes; 0: one
	// Deadline is when its caller gives up. Zero: the class's deadline from now on. A
	// deadline of the context that is earlier goes before it.
	Deadline time.Time
}

// Result is a job's result.
type Result struct {
	Body     []byte // as the worker made it
	Attempts int    // how many it took
}

// RefusedError says that a job did not run: handing it in again is harmless.
type RefusedError struct {
	RetryAfter time.Time // not before that
	Cause      error     // what kept it from being sent; nil: a scheduler refused it
}

func (e *RefusedError) Error() string {
	if e.Cause != nil {
		return "client: not sent: " + e.Cause.Error()
	}
	return "client: refused"
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// FailedError says that a job failed. It may have run.
type FailedError struct{ Status int }

func (e *FailedError) Error() string { return fmt.Sprintf("client: failed, status %d", e.Status) }

// UnknownOutcomeError says that a job may have run, and that nobody can say how it ended.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string {
	if e.Cause == nil {
		return "client: may have run"
	}
	return "client: may have run: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// InvalidJobError says that a job makes no sense, to the desk (Status is 0) or to a scheduler.
type InvalidJobError struct {
	Status int
	Text   string
}

func (e *InvalidJobError) Error() string { return "client: invalid: " + e.Text }

// ExpiredError says that no time was left to hand a job in. It did not run.
type ExpiredError struct{}

func (e *ExpiredError) Error() string { return "client: no time left" }

// Client hands jobs in. It is safe for many goroutines.
type Client struct {
	cfg     Config
	classes map[string]int
	log     *slog.Logger
	pool    *pool

	mu        sync.Mutex // guards what follows
	plan      *plan.Plan
	available chan struct{} // closed when a scheduler can be reached again, and then replaced
}

// The figures that a desk does not choose.
const (
	defaultMaxAttempts = 3
	defaultBudget      = 0.1
	maxRetryTokens     = 10
	defaultConnections = 64
	defaultReconnects  = 50
)

// MaxBodyBytes is the longest body of a job, in bytes: schedulers take none that is longer.
const MaxBodyBytes = 64 << 10

// New returns a client. The error names the field that makes no sense.
func New(cfg Config) (*Client, error) {
	if cfg.RetryBudget == 0 {
		cfg.RetryBudget = defaultBudget
	}
	spare := float64(maxRetryTokens)
	if cfg.RetryBudget < 0 {
		cfg.RetryBudget, spare = 0, 0
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = defaultConnections
	}
	if cfg.ConnectRate == 0 {
		cfg.ConnectRate = defaultReconnects
	}
	if cfg.Seed == 0 {
		cfg.Seed = uint64(time.Now().UnixNano())
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.MaxConnections < 0 || cfg.ConnectRate < 0 {
		return nil, errors.New("client: connections and reconnects must not be negative")
	}
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	c := &Client{cfg: cfg, classes: map[string]int{}, log: cfg.Log, available: make(chan struct{})}
	p := plan.Config{Schedulers: len(cfg.Schedulers), RetryBudget: cfg.RetryBudget, MaxTokens: spare,
		Backoff: 50 * time.Millisecond, MaxBackoff: time.Second, EjectAfter: 3, BaseEjection: time.Second,
		MaxEjection: 30 * time.Second}
	for _, name := range slices.Sorted(maps.Keys(cfg.Classes)) {
		class := cfg.Classes[name]
		effect, known := effects[class.Effect]
		switch {
		case !known:
			return nil, fmt.Errorf("client: classes.%s.effect: unknown effect %q", name, class.Effect)
		case class.Deadline <= 0:
			return nil, fmt.Errorf("client: classes.%s.deadline: it must be positive", name)
		case class.MaxAttempts < 0:
			return nil, fmt.Errorf("client: classes.%s.tries: it must not be negative", name)
		case class.Effect == Anywhere && class.Window <= 0:
			return nil, fmt.Errorf("client: classes.%s.window: it must be positive", name)
		case class.MaxAttempts == 0:
			class.MaxAttempts = defaultMaxAttempts
		}
		c.classes[name] = len(p.Classes)
		p.Classes = append(p.Classes, plan.Class{Effect: effect, Window: class.Window, MaxAttempts: class.MaxAttempts})
	}
	var err error
	if c.plan, err = plan.New(p, cfg.Seed); err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	c.pool = newPool(cfg.Schedulers, cfg.MaxConnections, cfg.ConnectRate,
		func(i int, err error) { cfg.Observer.Connected(cfg.Schedulers[i], err) })
	return c, nil
}

// Close closes the connections that idle. Jobs under way go on.
func (c *Client) Close() { c.pool.close() }

// Do hands a job in and waits for its end. It returns by the job's deadline, with a result
// or with one of this package's errors; when the context is cancelled, it closes the
// connection at once, and the error wraps the context's.
func (c *Client) Do(ctx context.Context, job Job) (*Result, error) {
	class, known := c.classes[job.Class]
	switch {
	case !known:
		return nil, &InvalidJobError{Text: fmt.Sprintf("unknown class %q", job.Class)}
	case len(job.Body) > MaxBodyBytes:
		return nil, &InvalidJobError{Text: fmt.Sprintf("a body of %d bytes, %d at most", len(job.Body), MaxBodyBytes)}
	}
	deadline := job.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(c.cfg.Classes[job.Class].Deadline)
	}
	if at, set := ctx.Deadline(); set && at.Before(deadline) {
		deadline = at
	}
	began := time.Now()
	result, err := c.run(ctx, &job, class, deadline)
	attempts := 0
	if result != nil {
		attempts = result.Attempts
	}
	c.cfg.Observer.JobEnded(job.Class, Verdict(err), attempts, time.Since(began))
	return result, err
}

// run takes a job through its tries to its end.
func (c *Client) run(ctx context.Context, job *Job, class int, deadline time.Time) (*Result, error) {
	c.mu.Lock()
	planned, step := c.plan.Begin(time.Now(), class, deadline)
	back := c.available
	c.mu.Unlock()
	ran, attempts := false, 0
	var last attemptResult
	for step.Verdict == plan.Pending {
		if !step.StartNow {
			if !step.AllEjected {
				back = nil // this wait is for its own sake
			}
			if err := sleepUntil(ctx, step.At, back); err != nil {
				return nil, c.cancel(planned, ran, err)
			}
			c.mu.Lock()
			step, back = c.plan.Start(time.Now(), planned), c.available
			c.mu.Unlock()
			continue
		}
		began := time.Now()
		last = c.attempt(ctx, job, step, deadline)
		if last.submitted() {
			attempts++
			ran = ran || last.Outcome != plan.NotSent
		}
		if err := ctx.Err(); err != nil && last.Outcome != plan.Answered && time.Now().Before(deadline) {
			return nil, c.cancel(planned, ran, err)
		}
		scheduler := c.cfg.Schedulers[step.Scheduler]
		if last.err != nil {
			c.log.Info("a try failed", "scheduler", scheduler, "class", job.Class, "error", last.err)
		}
		c.cfg.Observer.AttemptEnded(scheduler, job.Class, last.label(), time.Since(began))
		step, back = c.attemptEnded(began, planned, last)
	}
	switch step.Verdict {
	case plan.Served:
		return &Result{Body: last.body, Attempts: attempts}, nil
	case plan.Refused:
		return nil, &RefusedError{RetryAfter: step.At, Cause: last.err}
	case plan.Failed:
		return nil, &FailedError{Status: last.Status}
	case plan.Invalid:
		return nil, &InvalidJobError{Status: last.Status, Text: string(last.body)}
	case plan.Expired:
		return nil, &ExpiredError{}
	}
	return nil, &UnknownOutcomeError{Cause: last.err}
}

// attemptEnded tells the plan of a try's end, and wakes those who wait if a scheduler is back.
func (c *Client) attemptEnded(began time.Time, j *plan.Job, o attemptResult) (plan.Step, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	well, throttled := c.plan.Available(), c.plan.Throttled()
	step := c.plan.AttemptEnded(time.Now(), began, j, o.AttemptResult)
	if well == 0 && c.plan.Available() > 0 {
		close(c.available)
		c.available = make(chan struct{})
	}
	if c.plan.Throttled() > throttled {
		c.cfg.Observer.Throttled()
	}
	return step, c.available
}

// cancel ends a job whose caller has gone.
func (c *Client) cancel(j *plan.Job, ran bool, cause error) error {
	c.mu.Lock()
	c.plan.Cancel(j)
	c.mu.Unlock()
	if ran {
		return &UnknownOutcomeError{Cause: cause}
	}
	return &RefusedError{RetryAfter: time.Now(), Cause: cause}
}

// sleepUntil waits until a time or a word, or for the context's end, which is the error.
func sleepUntil(ctx context.Context, until time.Time, wake <-chan struct{}) error {
	wait := time.Until(until)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-wake:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newID makes the id of a try.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
