package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"dahliaford/client/internal/plan"
	"dahliaford/internal/http1"
)

// attemptResult describes how an attempt ended.
type attemptResult struct {
	plan.AttemptResult
	sentAt time.Time // time just before the request was written; zero if nothing was written
	body   []byte    // body of the response; nil without a response
	err    error     // reason why the attempt got no response; nil with a response
}

// failedAttempt returns the result of an attempt that ended without a response.
func failedAttempt(outcome plan.Outcome, err error) attemptResult {
	return attemptResult{AttemptResult: plan.AttemptResult{Outcome: outcome}, err: err}
}

// submitted reports whether the attempt got a connection to a scheduler, so that the scheduler may have
// received a part of the job.
func (r attemptResult) submitted() bool {
	return r.Outcome != plan.ConnectFailed && r.Outcome != plan.IdleClosed && r.Outcome != plan.ClientLimited
}

// sendAttempt submits the job once, to step.Scheduler, and waits until the deadline at most for the response.
// The outcome in the result says whether the job may have run in this attempt.
func (c *Client) sendAttempt(
	ctx context.Context, job *Job, step plan.Step, deadline time.Time) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	connection, err := c.pool.get(ctx, step.Scheduler, step.WriteDeadline)
	if err != nil {
		return failedAttempt(connectOutcome(err), err)
	}
	reusable := false
	defer func() { c.pool.put(step.Scheduler, connection, reusable) }()
	connection.SetReadDeadline(deadline)
	connection.SetWriteDeadline(step.WriteDeadline)
	// A cancellation by the caller interrupts all reads and writes, so that the connection is closed at once.
	// The closed connection tells the scheduler that the job is cancelled. Nothing may set a deadline of the
	// connection from here on, as that would undo a cancellation.
	defer context.AfterFunc(ctx, func() { connection.SetDeadline(time.Now()) })()
	sentAt := time.Now()
	if err := checkWriteAllowed(ctx, sentAt, step.WriteDeadline); err != nil {
		return failedAttempt(plan.ClientLimited, err)
	}
	remaining := deadline.Sub(sentAt).Milliseconds()
	// If Write returns an error, the last byte was not written, and no scheduler has the whole request.
	if _, err := connection.Write(c.encodeRequest(job, step, remaining)); err != nil {
		c.pool.recordFailure()
		return failedAttempt(plan.NotSent, err)
	}
	result := connection.readResponse()
	result.sentAt = sentAt
	if result.Outcome != plan.Answered {
		c.pool.recordFailure()
	}
	reusable = result.Outcome == plan.Answered && !connection.closeAfterResponse
	return result
}

// errWriteDeadline reports that an attempt was not written because its write deadline passed before it had a
// connection.
var errWriteDeadline = fmt.Errorf("no connection by the write deadline of the attempt: %w",
	context.DeadlineExceeded)

// checkWriteAllowed is the last check before the request of an attempt is written. The attempt may have
// waited for its connection since the plan allowed it, so checkWriteAllowed looks again at everything that
// ends with time: the caller's context, the write deadline, and the deadline of the context in whole
// milliseconds, which is what the request states.
func checkWriteAllowed(ctx context.Context, now, writeDeadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !now.Before(writeDeadline) {
		return errWriteDeadline
	}
	if deadline, _ := ctx.Deadline(); deadline.Sub(now) < time.Millisecond {
		return context.DeadlineExceeded
	}
	return nil
}

// connectOutcome returns the outcome of an attempt that got no connection because of err.
func connectOutcome(err error) plan.Outcome {
	var limited clientLimitError
	switch {
	case errors.As(err, &limited):
		return plan.ClientLimited
	case errors.Is(err, errIdleClosed):
		return plan.IdleClosed
	}
	return plan.ConnectFailed
}

// encodeRequest returns the encoded HTTP request of an attempt. remainingMs is the time until the job's
// deadline, in milliseconds.
func (c *Client) encodeRequest(job *Job, step plan.Step, remainingMs int64) []byte {
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

// newID returns a new random id for an attempt.
func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // rand.Read never returns an error
	return hex.EncodeToString(id[:])
}

// maxInterimResponses bounds the responses that a client reads for one request: the interim responses (status
// 1xx) and the final response together.
const maxInterimResponses = 8

const (
	statusOK         = 200
	firstFinalStatus = 200 // a response with a lower status is an interim response
	statusNoContent  = 204 // a response with this status has no body and needs no length
)

var (
	errMissingLength  = errors.New("response has neither Content-Length nor Transfer-Encoding")
	errTooManyInterim = errors.New("too many interim responses without a final response")
)

// readResponse reads the response to a request that was written completely. A response counts as received
// only if it is complete and states its length: a truncated response without a length would look complete.
func (c *conn) readResponse() attemptResult {
	if err := c.reader.Wait(); err != nil {
		if c.reused && !isTimeout(err) {
			return failedAttempt(plan.ReusedClosed, err)
		}
		return failedAttempt(plan.NoResponse, err)
	}
	for range maxInterimResponses {
		response, err := c.reader.Head()
		switch {
		case err != nil:
			return classifyReadError(err)
		case response.Status < firstFinalStatus:
			continue
		case !hasLength(response):
			return failedAttempt(plan.Malformed, errMissingLength)
		}
		if err := c.reader.ResponseBody(response); err != nil {
			return classifyReadError(err)
		}
		c.closeAfterResponse = response.Close
		return completedAttempt(response)
	}
	return failedAttempt(plan.Malformed, errTooManyInterim)
}

// isTimeout reports whether err is a network time-out.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// hasLength reports whether the header of a response determines the length of its body.
func hasLength(response *http1.Response) bool {
	return response.Header.Get("Content-Length") != "" || response.Header.Get("Transfer-Encoding") != "" ||
		response.Status == statusNoContent
}

// completedAttempt returns the result of an attempt that got a complete response.
func completedAttempt(response *http1.Response) attemptResult {
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

// classifyReadError returns the result of an attempt whose response could not be read: Malformed if the
// response violates HTTP, and NoResponse if the connection ended or timed out before the response was
// complete.
func classifyReadError(err error) attemptResult {
	var protocolError *http1.Error
	if errors.As(err, &protocolError) {
		return failedAttempt(plan.Malformed, err)
	}
	return failedAttempt(plan.NoResponse, err)
}

// parseRetryAfter parses the value of a Retry-After header as a whole or decimal number of seconds, and
// limits it to plan.MaxRetryAfter. It returns false for a date, a negative number and any text that is not a
// number.
func parseRetryAfter(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) { // the negation also rejects NaN
		return 0, false
	}
	if seconds > plan.MaxRetryAfter.Seconds() {
		return plan.MaxRetryAfter, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
