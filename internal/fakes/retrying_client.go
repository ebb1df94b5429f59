package fakes

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	maxAttempts  = 10
	maxBackoff   = time.Second
	maxIdleConns = 64 // limit of idle connections that are kept to each scheduler
)

// RetryingClient is a client that does not use the client library. It retries a job after any failed attempt,
// whether or not the job may have run, at a scheduler chosen at random, until maxAttempts attempts or the
// job's deadline. Clients behaved like this before the client library existed.
type RetryingClient struct {
	schedulers []string
	// backoff is the upper bound of the wait before the first retry; the bound doubles with each retry, up to
	// maxBackoff. 0 stands for no waits.
	backoff time.Duration
	http    http.Client
}

// NewRetryingClient returns a client of the schedulers at the given addresses. The client calls dialled
// before it opens a connection.
func NewRetryingClient(schedulers []string, backoff time.Duration, dialled func()) *RetryingClient {
	var dialer net.Dialer
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialled()
			return dialer.DialContext(ctx, network, addr)
		},
	}
	return &RetryingClient{schedulers: schedulers, backoff: backoff, http: http.Client{Transport: transport}}
}

// Close closes the idle connections of the client.
func (c *RetryingClient) Close() { c.http.CloseIdleConnections() }

// Submit submits a job, with retries, until it is served. It returns the number of attempts that were sent;
// an attempt whose connection could not be opened does not count.
func (c *RetryingClient) Submit(s Submission) (served bool, attempts int) {
	ctx, cancel := context.WithDeadline(context.Background(), s.Deadline)
	defer cancel()
	backoff := c.backoff
	for n := 1; n <= maxAttempts && ctx.Err() == nil; n++ {
		sent, served := c.attempt(ctx, s, n)
		if sent {
			attempts++
		}
		if served {
			return true, attempts
		}
		if backoff > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(rand.N(backoff)):
			}
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return false, attempts
}

// attempt makes the n-th attempt at a job. The attempt's id is the job's id with the suffix "-n".
func (c *RetryingClient) attempt(ctx context.Context, s Submission, n int) (sent, served bool) {
	addr := c.schedulers[rand.IntN(len(c.schedulers))]
	target := "http://" + addr + "/" + s.Class + "/" + s.ID
	request, err := http.NewRequestWithContext(ctx, "POST", target, bytes.NewReader(s.Body))
	if err != nil {
		return false, false
	}
	request.Header.Set("X-Txn", s.ID+"-"+strconv.Itoa(n))
	request.Header.Set("X-Lane", s.Class)
	request.Header.Set("X-Org", s.Tenant)
	remaining := max(time.Until(s.Deadline).Milliseconds(), 1)
	request.Header.Set("X-Remaining-Ms", strconv.FormatInt(remaining, 10))
	if s.Key != "" {
		request.Header.Set("Idempotency-Key", s.Key)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		var op *net.OpError
		return !errors.As(err, &op) || op.Op != "dial", false
	}
	defer func() { _ = answer.Body.Close() }() // an error of the body is already returned by the read below
	_, err = io.Copy(io.Discard, answer.Body)
	return true, err == nil && answer.StatusCode == http.StatusOK
}
