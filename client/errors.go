package client

import (
	"errors"
	"fmt"
	"time"
)

// RefusedError reports that a job did not run, so that the caller may submit the job again.
type RefusedError struct {
	RetryAfter time.Time // earliest time at which the caller should submit the job again
	// Cause is the reason why the client could not send the job. Cause is nil if a scheduler refused the job, or
	// if all schedulers were ejected before the first attempt and none became available before the deadline.
	Cause error
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Cause != nil {
		return "client: job not sent: " + e.Cause.Error()
	}
	return "client: job refused"
}

// Unwrap returns Cause, which may be nil.
func (e *RefusedError) Unwrap() error { return e.Cause }

// FailedError reports that a job failed. The job may have run.
type FailedError struct{ Status int } // HTTP status of the scheduler's answer

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("client: job failed: HTTP status %d", e.Status)
}

// UnknownOutcomeError reports that a job may have run and that its result cannot be determined.
type UnknownOutcomeError struct {
	// Cause is the reason why the last attempt got no response, or the context's error if the caller cancelled
	// the job. Cause is nil if a scheduler refused the last attempt and the job may have run in an earlier
	// attempt.
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	if e.Cause == nil {
		return "client: job may have run, result unknown"
	}
	return "client: job may have run, result unknown: " + e.Cause.Error()
}

// Unwrap returns Cause, which may be nil.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// InvalidJobError reports that a job is invalid. The job did not run, and submitting it again without a
// change fails again.
type InvalidJobError struct {
	Status int    // HTTP status of the scheduler's answer; 0 if the client itself rejected the job
	Text   string // description of the fault, from the scheduler's answer or from the client
}

// Error implements error.
func (e *InvalidJobError) Error() string { return "client: invalid job: " + e.Text }

// ExpiredError reports that the deadline of a job passed before the client could submit the job. The job did
// not run.
type ExpiredError struct{}

// Error implements error.
func (e *ExpiredError) Error() string { return "client: deadline passed before the job was submitted" }

// Verdict returns a name for how a job ended, given the error that Do returned: served, refused, failed,
// unknown, invalid or expired. Verdict returns "" for an error whose type is not from this package. The set
// of names is fixed and small, so the names are suitable as values of a metric label.
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
