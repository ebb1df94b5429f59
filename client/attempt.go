package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/url"
	"strconv"
	"time"

	"dahliaford/client/internal/plan"
	"dahliaford/internal/http1"
)

// attemptResult is the end of an attempt.
type attemptResult struct {
	plan.AttemptResult
	body []byte
	err  error // why there is no response; nil: there is one
}

// failedAttempt is an attempt that ended without a response.
func failedAttempt(outcome plan.Outcome, err error) attemptResult {
	return attemptResult{AttemptResult: plan.AttemptResult{Outcome: outcome}, err: err}
}

// submitted reports whether a scheduler received any byte of the job.
func (r attemptResult) submitted() bool {
	return r.Outcome != plan.ConnectFailed && r.Outcome != plan.IdleClosed && r.Outcome != plan.ClientLimited
}

// attempt makes one attempt, and says what its end proves.
func (c *Client) attempt(ctx context.Context, job *Job, step plan.Step, deadline time.Time) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	connection, err := c.pool.get(ctx, step.Scheduler)
	if err != nil {
		return failedAttempt(connectOutcome(err), err)
	}
	reusable := false
	defer func() { c.pool.put(step.Scheduler, connection, reusable) }()
	// When the caller cancels, the connection is closed at once: that is how the scheduler learns of it.
	defer context.AfterFunc(ctx, func() { connection.SetDeadline(time.Now()) })()
	connection.SetDeadline(deadline)
	remaining := time.Until(deadline).Milliseconds()
	if remaining <= 0 {
		return failedAttempt(plan.ClientLimited, context.DeadlineExceeded)
	}
	// An error says that the last byte was not written: no scheduler has the whole request.
	if _, err := connection.Write(c.request(job, step, remaining)); err != nil {
		c.pool.noteFailure()
		return failedAttempt(plan.NotSent, err)
	}
	result := connection.readResponse()
	if result.Outcome != plan.Answered {
		c.pool.noteFailure()
	}
	reusable = result.Outcome == plan.Answered && !connection.closing
	return result
}

// connectOutcome is the outcome of an attempt that got no connection.
func connectOutcome(err error) plan.Outcome {
	var limited limitError
	switch {
	case errors.As(err, &limited):
		return plan.ClientLimited
	case errors.Is(err, errIdleClosed):
		return plan.IdleClosed
	}
	return plan.ConnectFailed
}

// request returns the request of an attempt, in bytes.
func (c *Client) request(job *Job, step plan.Step, remainingMs int64) []byte {
	id := newID()
	object, tenant, resent, labels := job.Object, job.Tenant, "", ""
	if object == "" {
		object = id
	}
	if tenant == "" {
		tenant = c.cfg.Tenant
	}
	if step.Retry {
		resent = "1"
	}
	if job.Slots > 1 {
		labels = "slots=" + strconv.Itoa(job.Slots)
	}
	target := "/" + url.PathEscape(job.Class) + "/" + url.PathEscape(object)
	return http1.AppendRequest(nil, "POST", target, []http1.Field{
		{Name: "Host", Value: c.cfg.Schedulers[step.Scheduler]},
		{Name: "X-Txn", Value: id},
		{Name: "X-Lane", Value: job.Class},
		{Name: "X-Org", Value: tenant},
		{Name: "X-Remaining-Ms", Value: strconv.FormatInt(remainingMs, 10)},
		{Name: "X-Resent", Value: resent},
		{Name: "X-Labels", Value: labels},
		{Name: "Idempotency-Key", Value: job.Key},
	}, job.Body)
}

// newID returns the id of an attempt.
func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // it never returns an error
	return hex.EncodeToString(id[:])
}

// maxInterim bounds the interim responses (1xx) that a scheduler may send before the final one.
const maxInterim = 8

const (
	statusOK         = 200
	firstFinalStatus = 200 // those below it are interim responses
	statusNoContent  = 204 // has no body, and so needs no length
)

var (
	errNoLength    = errors.New("a response that does not say how long it is")
	errManyInterim = errors.New("interim responses without end")
)

// readResponse reads the response to a request that was written. Only one that is complete and states its
// length counts as a response.
func (c *conn) readResponse() attemptResult {
	if err := c.reader.Wait(); err != nil {
		if c.reused && !isTimeout(err) {
			return failedAttempt(plan.ReusedClosed, err)
		}
		return failedAttempt(plan.NoResponse, err)
	}
	for range maxInterim {
		response, err := c.reader.Head()
		switch {
		case err != nil:
			return readFailure(err)
		case response.Status < firstFinalStatus:
			continue
		case !statesLength(response):
			return failedAttempt(plan.Malformed, errNoLength)
		}
		if err := c.reader.ResponseBody(response); err != nil {
			return readFailure(err)
		}
		c.closing = response.Close
		return answered(response)
	}
	return failedAttempt(plan.Malformed, errManyInterim)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func statesLength(response *http1.Response) bool {
	return response.Header.Get("Content-Length") != "" || response.Header.Get("Transfer-Encoding") != "" ||
		response.Status == statusNoContent
}

// answered is an attempt with a complete response.
func answered(response *http1.Response) attemptResult {
	result := attemptResult{
		AttemptResult: plan.AttemptResult{
			Outcome:         plan.Answered,
			Status:          response.Status,
			ConnectionClose: response.Close,
		},
		body: response.Body,
	}
	result.RetryAfter, result.HasRetryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	return result
}

// readFailure distinguishes a response that violates the protocol from one that was cut off.
func readFailure(err error) attemptResult {
	var protocolError *http1.Error
	if errors.As(err, &protocolError) {
		return failedAttempt(plan.Malformed, err)
	}
	return failedAttempt(plan.NoResponse, err)
}

// parseRetryAfter reads Retry-After: seconds, whole or decimal, plan.MaxRetryAfter at most. A date, or what
// is no number, counts as no advice.
func parseRetryAfter(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) { // NaN is not, either
		return 0, false
	}
	if seconds > plan.MaxRetryAfter.Seconds() {
		return plan.MaxRetryAfter, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
