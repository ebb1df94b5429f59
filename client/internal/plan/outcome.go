package plan

import "time"

// Outcome classifies how an attempt ended, by what the end proves about whether the job may have run.
type Outcome uint8

// The outcomes of an attempt to submit a job to a scheduler. The function mayHaveRun says after which of them
// the job may have run.
const (
	// Answered means that the scheduler sent a complete response; AttemptResult.Status holds its HTTP status.
	Answered Outcome = iota
	// ConnectFailed means that the scheduler refused the connection or that the connection could not be
	// opened. The scheduler did not receive the job.
	ConnectFailed
	// IdleClosed means that the scheduler had closed all idle connections of the client before the attempt could
	// use one, and that the client did not open a new connection. The scheduler is shutting down or has too few
	// sockets. The scheduler did not receive the job.
	IdleClosed
	// NotSent means that the connection broke before the last byte of the request was written. The scheduler
	// cannot have read the whole job.
	NotSent
	// ClientLimited means that the attempt got no connection before its write deadline, because of the client's
	// own limits on the number and the rate of connections or because the connection took too long. Nothing was
	// written. This outcome does not show whether the scheduler is healthy.
	ClientLimited
	// ReusedClosed means that a connection that had carried an earlier request closed before the first byte of
	// the response. Either the scheduler closed the connection as idle before it read this request, or it
	// accepted the job and crashed. The client cannot distinguish the two cases, so a job that must never run
	// twice is handled as after NoResponse.
	ReusedClosed
	// NoResponse means that the whole request was written and that no complete response arrived.
	NoResponse
	// Malformed means that the received bytes are not a valid HTTP response, or that the response is too large.
	Malformed
)

// The HTTP statuses of a response that the plan distinguishes.
const (
	statusOK              = 200
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Outcome Outcome
	Status  int // HTTP status of the response; only set if Outcome is Answered
	// HasRetryAfter reports that the response has a valid Retry-After header. RetryAfter is then the delay,
	// counted from the response, before which the scheduler asks the client not to retry.
	HasRetryAfter bool
	RetryAfter    time.Duration
	// ConnectionClose reports that the scheduler closes the connection after its response. A refusal with
	// ConnectionClose means that the scheduler is shutting down or has too few sockets.
	ConnectionClose bool
}

// Refused reports whether the scheduler refused the job with status 429 or 503. A refused job did not run in
// this attempt.
func (r AttemptResult) Refused() bool {
	return r.Outcome == Answered && (r.Status == statusTooManyRequests || r.Status == statusUnavailable)
}

// Invalid reports whether the scheduler rejected the job as invalid: with a 4xx status other than 429.
func (r AttemptResult) Invalid() bool {
	return r.Outcome == Answered && r.Status >= 400 && r.Status < 500 && r.Status != statusTooManyRequests
}

// submitted reports whether the attempt counts towards Class.MaxAttempts. An attempt does not count if the
// client could not open a connection or if the scheduler had closed all idle connections.
func (r AttemptResult) submitted() bool { return r.Outcome != ConnectFailed && r.Outcome != IdleClosed }

// mayHaveRun reports whether a worker may have run the job in an attempt with this result.
func mayHaveRun(r AttemptResult) bool {
	switch r.Outcome {
	case ConnectFailed, IdleClosed, NotSent, ClientLimited:
		return false
	case Answered:
		return !r.Refused() && !r.Invalid()
	}
	return true
}

// finalVerdict returns the verdict of a job whose last attempt ended with result r, if no other attempt
// follows and no earlier attempt may have run.
func finalVerdict(r AttemptResult) Verdict {
	switch r.Outcome {
	case Answered:
		if r.Refused() {
			return Refused
		}
		return Failed
	case ConnectFailed, IdleClosed, NotSent, ClientLimited:
		return Refused // no scheduler has the whole job, so the caller may submit it again
	}
	return Unknown
}
