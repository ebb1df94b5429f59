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
	maxIdleConns = 64 // to each scheduler
)

// RetryingClient is a client without the client library, as all were before it: it retries after whatever
// came back, of its own accord, at any scheduler, up to a number of attempts and its deadline.
type RetryingClient struct {
	schedulers []string
	backoff    time.Duration // the longest wait before the first retry, doubling with each; 0: none
	http       http.Client
}

// NewRetryingClient returns a client of schedulers; dialled is called at each new connection.
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

// Close closes its idle connections.
func (c *RetryingClient) Close() { c.http.CloseIdleConnections() }

// Submit submits a job until it is served. It returns the number of attempts that were sent: those that
// found nobody listening do not count.
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

// attempt makes the n-th attempt, with an id of its own.
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
	defer func() { _ = answer.Body.Close() }() // an error of the body shows as it is read
	_, err = io.Copy(io.Discard, answer.Body)
	return true, err == nil && answer.StatusCode == http.StatusOK
}
