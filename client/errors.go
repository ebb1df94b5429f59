package client

import (
	"errors"
	"fmt"
	"time"
)

// RefusedError says that a job did not run: submitting it again is harmless.
type RefusedError struct {
	RetryAfter time.Time // earliest time to submit it again
	Cause      error     // what kept the client from sending it; nil: a scheduler refused it
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Cause != nil {
		return "client: not sent: " + e.Cause.Error()
	}
	return "client: refused"
}

// Unwrap returns the cause; it may be nil.
func (e *RefusedError) Unwrap() error { return e.Cause }

// FailedError says that a job failed. It may have run.
type FailedError struct{ Status int } // the HTTP status that the scheduler answered with

// Error implements error.
func (e *FailedError) Error() string { return fmt.Sprintf("client: failed, status %d", e.Status) }

// UnknownOutcomeError says that a job may have run and that its result cannot be determined.
type UnknownOutcomeError struct {
	Cause error // nil: an earlier attempt may have run, the last one was refused
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	if e.Cause == nil {
		return "client: may have run"
	}
	return "client: may have run: " + e.Cause.Error()
}

// Unwrap returns the cause; it may be nil.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// InvalidJobError says that a job is invalid. It did not run, and will not as it is.
type InvalidJobError struct {
	Status int    // of the scheduler's answer; 0: the client rejected the job itself
	Text   string // what is invalid, in the words of whoever rejected it
}

// Error implements error.
func (e *InvalidJobError) Error() string { return "client: invalid: " + e.Text }

// ExpiredError says that a job's deadline passed before it could be submitted. It did not run.
type ExpiredError struct{}

// Error implements error.
func (e *ExpiredError) Error() string { return "client: no time left" }

// Verdict names how a job ended, by the error that Do returned: served, refused, failed, unknown, invalid
// or expired; "" for an error that is none of this package's. The names are few and fit for a metric's
// label.
func Verdict(err error) string {
	var refused *RefusedError
	var failed *FailedError
	var unknown *UnknownOutcomeError
	var invalid *InvalidJobError
	var expired *ExpiredError
	switch {
	case err == nil:
		return "served"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &failed):
		return "failed"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &invalid):
		return "invalid"
	case errors.As(err, &expired):
		return "expired"
	}
	return ""
}
