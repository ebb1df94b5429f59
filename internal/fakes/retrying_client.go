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

// RetryingClient is a desk as desks were: it tries again whatever came back, on its own account,
// at any scheduler, up to a number of tries and its deadline.
type RetryingClient struct {
	schedulers []string
	backoff    time.Duration // the first wait before a retry, doubling; 0: none
	http       http.Client
}

const (
	maxAttempts  = 10
	maxBackoff   = time.Second // of its waits
	maxIdleConns = 64          // connections for each scheduler that it keeps
)

// NewRetryingClient returns one; dialled is told of each new connection.
func NewRetryingClient(schedulers []string, backoff time.Duration, dialled func()) *RetryingClient {
	var dialer net.Dialer
	return &RetryingClient{schedulers: schedulers, backoff: backoff,
		http: http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				dialled()
				return dialer.DialContext(ctx, network, addr)
			}}}}
}

// Close closes its idle connections.
func (p *RetryingClient) Close() { p.http.CloseIdleConnections() }

// Submit hands a job in until it is served. It tells how many tries were handed in: those
// that found nobody listening do not count.
func (p *RetryingClient) Submit(s Submission) (served bool, attempts int) {
	ctx, cancel := context.WithDeadline(context.Background(), s.Deadline)
	defer cancel()
	wait := p.backoff
	for n := 1; n <= maxAttempts && ctx.Err() == nil; n++ {
		sent, done := p.attempt(ctx, s, n)
		if sent {
			attempts++
		}
		if done {
			return true, attempts
		}
		if wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(rand.N(wait)):
			}
			wait = min(2*wait, maxBackoff)
		}
	}
	return false, attempts
}

func (p *RetryingClient) attempt(ctx context.Context, s Submission, n int) (sent, served bool) {
	addr := p.schedulers[rand.IntN(len(p.schedulers))]
	target := "http://" + addr + "/" + s.Class + "/" + s.ID
	r, err := http.NewRequestWithContext(ctx, "POST", target, bytes.NewReader(s.Body))
	if err != nil {
		return false, false
	}
	r.Header.Set("X-Txn", s.ID+"-"+strconv.Itoa(n))
	r.Header.Set("X-Lane", s.Class)
	r.Header.Set("X-Org", s.Tenant)
	r.Header.Set("X-Remaining-Ms", strconv.FormatInt(max(time.Until(s.Deadline).Milliseconds(), 1), 10))
	if s.Key != "" {
		r.Header.Set("Idempotency-Key", s.Key)
	}
	answer, err := p.http.Do(r)
	if err != nil {
		var op *net.OpError
		return !errors.As(err, &op) || op.Op != "dial", false
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return true, err == nil && answer.StatusCode == 200
}
