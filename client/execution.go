package client

import (
	"context"
	"time"

	"dahliaford/client/internal/plan"
)

// execution carries out the steps that the plan decides for one job, from the first attempt to the verdict.
type execution struct {
	client   *Client
	job      *Job
	deadline time.Time

	planJob   *plan.Job
	step      plan.Step     // the plan's latest decision: what to do next with the job
	available chan struct{} // Client.available when the plan returned step; closed once a scheduler is available

	// delivered reports that the client wrote a complete request for the job to a scheduler. If the caller then
	// cancels, the job ends with an UnknownOutcomeError, even if the scheduler's response to that request was a
	// refusal.
	delivered  bool
	attempts   int // number of attempts for this job that got a connection to a scheduler
	lastResult attemptResult
}

// newExecution passes a new job to the plan, which decides the first step, and returns the execution of the
// job. class is the number of the job's class in the plan.
func (c *Client) newExecution(job *Job, class int, deadline time.Time) *execution {
	e := &execution{client: c, job: job, deadline: deadline}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.planJob, e.step = c.plan.Begin(time.Now(), class, deadline)
	e.available = c.available
	return e
}

// run carries out the plan's steps until the job has a verdict. run returns early if the caller's context is
// cancelled.
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

// wait waits until the time at which the next attempt may start. If all schedulers are ejected, wait returns
// earlier when a scheduler becomes available. The error is not nil if the context ends during the wait.
func (e *execution) wait(ctx context.Context) error {
	wake := e.available
	if !e.step.AllEjected {
		wake = nil // a backoff lasts until step.At, even if a scheduler becomes available earlier
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

// sendAttempt sends one attempt and reports its end to the plan. If the caller's context was cancelled before
// the attempt was answered, sendAttempt returns the context's error.
func (e *execution) sendAttempt(ctx context.Context) error {
	c := e.client
	start := time.Now()
	e.lastResult = c.sendAttempt(ctx, e.job, e.step, e.deadline)
	if e.lastResult.submitted() {
		e.attempts++
		e.delivered = e.delivered || e.lastResult.Outcome != plan.NotSent
	}
	// The caller's context may end at the job's deadline. The attempt then timed out and was not cancelled.
	if err := ctx.Err(); err != nil && e.lastResult.Outcome != plan.Answered && time.Now().Before(e.deadline) {
		return err
	}
	scheduler := c.cfg.Schedulers[e.step.Scheduler]
	if e.lastResult.err != nil {
		c.log.Info("attempt failed", "scheduler", scheduler, "class", e.job.Class, "error", e.lastResult.err)
	}
	c.cfg.Observer.AttemptEnded(scheduler, e.job.Class, e.lastResult.label(), time.Since(start))
	e.step, e.available = c.attemptEnded(e.planJob, e.lastResult)
	return nil
}

// attemptEnded reports the end of an attempt to the plan. If all schedulers were ejected and the result makes
// a scheduler available again, attemptEnded wakes the jobs that wait for a scheduler.
func (c *Client) attemptEnded(job *plan.Job, ended attemptResult) (
	step plan.Step, available chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	availableBefore, throttled := c.plan.Available(), c.plan.Throttled()
	step = c.plan.AttemptEnded(time.Now(), ended.sentAt, job, ended.AttemptResult)
	if availableBefore == 0 && c.plan.Available() > 0 {
		close(c.available)
		c.available = make(chan struct{})
	}
	if c.plan.Throttled() > throttled {
		c.cfg.Observer.Throttled()
	}
	return step, c.available
}

// cancel ends a job whose context ended before the plan gave a verdict on the job. cause is the context's
// error. cancel returns the error that Do returns.
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

// result converts the plan's verdict on the job into the result and the error that Do returns.
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

// sleepUntil waits until the given time, until wake is closed or until ctx ends. If ctx has ended, sleepUntil
// returns the error of ctx.
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
