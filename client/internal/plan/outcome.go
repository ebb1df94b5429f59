package plan

import "time"

// Outcome says how an attempt ended, by what that proves about the job.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered: there is a complete response, see AttemptResult.Status.
	Answered Outcome = iota
	// ConnectFailed: the connection was refused or could not be opened. No scheduler has the job.
	ConnectFailed
	// IdleClosed: the scheduler had closed the idle connections, and no other one was opened. It is ending,
	// or short of sockets.
	IdleClosed
	// NotSent: the connection broke before the last byte of the request was written. No scheduler can have
	// read the whole job.
	NotSent
	// ClientLimited: the client had no connection for the attempt in time, by its own limits. That says
	// nothing about the scheduler.
	ClientLimited
	// ReusedClosed: a connection that had been used before ended without a byte of a response. The scheduler
	// may have closed it between requests, before it read this one, or it accepted the job and died. The two
	// cannot be distinguished, so for what must never run twice this is the same as NoResponse.
	ReusedClosed
	// NoResponse: the request was written, and no complete response came.
	NoResponse
	// Malformed: what came is no response: its framing is broken, or it is too large.
	Malformed
)

// The statuses of a response that mean something to the plan.
const (
	statusOK              = 200
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	Outcome Outcome
	Status  int // with Answered
	// RetryAfter is how long after the response the scheduler wants the retry; valid with HasRetryAfter.
	HasRetryAfter bool
	RetryAfter    time.Duration
	// ConnectionClose: the scheduler closes the connection after its response. Together with a refusal it
	// means that the scheduler is ending, or short of sockets.
	ConnectionClose bool
}

// Refused reports whether a scheduler refused the job: it did not run there.
func (r AttemptResult) Refused() bool {
	return r.Outcome == Answered && (r.Status == statusTooManyRequests || r.Status == statusUnavailable)
}

// Invalid reports whether a scheduler rejected the job as invalid.
func (r AttemptResult) Invalid() bool {
	return r.Outcome == Answered && r.Status >= 400 && r.Status < 500 && r.Status != statusTooManyRequests
}

// submitted reports whether a scheduler received any byte of the job.
func (r AttemptResult) submitted() bool { return r.Outcome != ConnectFailed && r.Outcome != IdleClosed }

// mayHaveRun reports whether the job may have run in this attempt.
func mayHaveRun(r AttemptResult) bool {
	switch r.Outcome {
	case ConnectFailed, IdleClosed, NotSent, ClientLimited:
		return false
	case Answered:
		return !r.Refused() && !r.Invalid()
	}
	return true
}

// finalVerdict is the verdict of a job whose last attempt ended so and that gets no further one.
func finalVerdict(r AttemptResult) Verdict {
	switch r.Outcome {
	case Answered:
		if r.Refused() {
			return Refused
		}
		return Failed
	case ConnectFailed, IdleClosed, NotSent, ClientLimited:
		return Refused // no scheduler has it: submitting it again is harmless
	}
	return Unknown
}
