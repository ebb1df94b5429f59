package client

import (
	"context"
	"time"

	"dahliaford/client/internal/plan"
)

// execution takes one job through its attempts to its end. The plan decides, it carries out.
type execution struct {
	client   *Client
	job      *Job
	deadline time.Time

	planJob   *plan.Job
	step      plan.Step     // what the plan wants next
	available chan struct{} // Client.available as of that step

	// delivered: a complete request was written to a scheduler. A cancellation then ends as unknown, whatever
	// the response was.
	delivered  bool
	attempts   int // that were submitted to a scheduler
	lastResult attemptResult
}

func (c *Client) newExecution(job *Job, class int, deadline time.Time) *execution {
	e := &execution{client: c, job: job, deadline: deadline}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.planJob, e.step = c.plan.Begin(time.Now(), class, deadline)
	e.available = c.available
	return e
}

// run makes attempts as the plan wants them. It ends early when the caller's context does.
func (e *execution) run(ctx context.Context) (*Result, error) {
	for e.step.Verdict == plan.Pending {
		next := e.wait
		if e.step.StartNow {
			next = e.sendAttempt
		}
		if err := next(ctx); err != nil {
			return nil, e.cancel(err)
		}
	}
	return e.result()
}

// wait waits until the next attempt may start, or until a scheduler is available again if it waits for one.
// The error is the context's.
func (e *execution) wait(ctx context.Context) error {
	wake := e.available
	if !e.step.AllEjected {
		wake = nil // a backoff is not cut short
	}
	if err := sleepUntil(ctx, e.step.At, wake); err != nil {
		return err
	}
	c := e.client
	c.mu.Lock()
	defer c.mu.Unlock()
	e.step, e.available = c.plan.Start(time.Now(), e.planJob), c.available
	return nil
}

// sendAttempt makes one attempt and reports its end to the plan. The error is the context's, where it cut the
// attempt short.
func (e *execution) sendAttempt(ctx context.Context) error {
	c := e.client
	start := time.Now()
	e.lastResult = c.sendAttempt(ctx, e.job, e.step, e.deadline)
	if e.lastResult.submitted() {
		e.attempts++
		e.delivered = e.delivered || e.lastResult.Outcome != plan.NotSent
	}
	// At the deadline the context of the attempt ends, too: that is an ordinary end and not a cancellation.
	if err := ctx.Err(); err != nil && e.lastResult.Outcome != plan.Answered && time.Now().Before(e.deadline) {
		return err
	}
	scheduler := c.cfg.Schedulers[e.step.Scheduler]
	if e.lastResult.err != nil {
		c.log.Info("attempt failed", "scheduler", scheduler, "class", e.job.Class, "error", e.lastResult.err)
	}
	c.cfg.Observer.AttemptEnded(scheduler, e.job.Class, e.lastResult.label(), time.Since(start))
	e.step, e.available = c.attemptEnded(start, e.planJob, e.lastResult)
	return nil
}

// attemptEnded reports the end of an attempt to the plan, and wakes the jobs that wait for a scheduler if
// this one is the first to be available again.
func (c *Client) attemptEnded(start time.Time, job *plan.Job, ended attemptResult) (
	step plan.Step, available chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	availableBefore, throttled := c.plan.Available(), c.plan.Throttled()
	step = c.plan.AttemptEnded(time.Now(), start, job, ended.AttemptResult)
	if availableBefore == 0 && c.plan.Available() > 0 {
		close(c.available)
		c.available = make(chan struct{})
	}
	if c.plan.Throttled() > throttled {
		c.cfg.Observer.Throttled()
	}
	return step, c.available
}

// cancel ends a job whose caller has given up, and returns the error for it.
func (e *execution) cancel(cause error) error {
	c := e.client
	c.mu.Lock()
	c.plan.Cancel(e.planJob)
	c.mu.Unlock()
	if e.delivered {
		return &UnknownOutcomeError{Cause: cause}
	}
	return &RefusedError{RetryAfter: time.Now(), Cause: cause}
}

// result turns the plan's verdict into what Do returns.
func (e *execution) result() (*Result, error) {
	switch e.step.Verdict {
	case plan.Served:
		return &Result{Body: e.lastResult.body, Attempts: e.attempts}, nil
	case plan.Refused:
		return nil, &RefusedError{RetryAfter: e.step.At, Cause: e.lastResult.err}
	case plan.Failed:
		return nil, &FailedError{Status: e.lastResult.Status}
	case plan.Invalid:
		return nil, &InvalidJobError{Status: e.lastResult.Status, Text: string(e.lastResult.body)}
	case plan.Expired:
		return nil, &ExpiredError{}
	}
	return nil, &UnknownOutcomeError{Cause: e.lastResult.err}
}

// sleepUntil waits until a time or until wake is closed. The error is the context's, if that ended first.
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
