package simfleet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/http1"
)

const (
	// The class and the tenant stand in the settings that package testcluster writes.
	batchClass    = "district-batch"
	batchDeadline = 4 * time.Second
	tenant        = "sahel"

	maxOpen      = 128 // jobs at the rate that a scheduler may have open
	paceInterval = 5 * time.Millisecond
	shortRun     = 40 * time.Millisecond // jobs at the rate run once to four times as long
	maxErrors    = 20                    // errors that are kept for the report
	retryDelay   = 10 * time.Millisecond // of a saturating client whose job was not served

	healthTimeout = time.Second
)

// clients submit jobs to the schedulers, on connections that they keep.
type clients struct {
	pools  []*connPool // by scheduler
	open   []atomic.Int64
	record fakes.Recorder
	lastID atomic.Int64

	jobs, served, refused, failed, skipped atomic.Int64

	mu     sync.Mutex
	errors []string // the first that ended a job without an answer
}

func newClients(addrs []string, record fakes.Recorder, t *traffic) *clients {
	c := &clients{open: make([]atomic.Int64, len(addrs)), record: record}
	for _, addr := range addrs {
		c.pools = append(c.pools, newConnPool(addr, maxOpen, t))
	}
	return c
}

func (c *clients) close() {
	for _, pool := range c.pools {
		pool.close()
	}
}

// addError counts a job that ended without an answer.
func (c *clients) addError(id string, err error) {
	c.failed.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.errors) < maxErrors {
		c.errors = append(c.errors, id+": "+err.Error())
	}
}

// submit submits one job to a scheduler and reports whether it was served.
func (c *clients) submit(scheduler int, why purpose, runTime time.Duration) bool {
	s := fakes.Submission{ID: jobID(scheduler, why, c.lastID.Add(1)), Class: batchClass, Tenant: tenant,
		Body: []byte(runTime.String()), Deadline: time.Now().Add(batchDeadline)}
	s.Key = "k-" + s.ID
	record := c.record
	if !isRecorded(s.ID) {
		record = nil
	}
	c.jobs.Add(1)
	answer, err := c.exchange(scheduler, s, record)
	switch {
	case err != nil:
		c.addError(s.ID, err)
	case answer.Status == http.StatusOK:
		c.served.Add(1)
		return true
	case answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	return false
}

func (c *clients) exchange(scheduler int, s fakes.Submission,
	record fakes.Recorder) (*http1.Response, error) {
	pool := c.pools[scheduler]
	conn, err := pool.get()
	if err != nil {
		return nil, err
	}
	answer, err := fakes.SubmitOn(conn.conn, conn.reader, s, record)
	if err != nil || answer.Close {
		conn.conn.Close()
	} else {
		pool.put(conn)
	}
	return answer, err
}

// submitAtRate submits jobs at a rate to all schedulers in turn until the context ends, and waits for the
// jobs to end.
func (c *clients) submitAtRate(ctx context.Context, rate float64, seed uint64) {
	if rate <= 0 {
		return
	}
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(paceInterval)
	defer tick.Stop()
	startedAt, submitted := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for target := int(time.Since(startedAt).Seconds() * rate); submitted < target; submitted++ {
			scheduler := submitted % len(c.pools)
			if c.open[scheduler].Add(1) > maxOpen {
				c.open[scheduler].Add(-1)
				c.skipped.Add(1)
				continue
			}
			// Multiplicative hashing spreads the four run times over consecutive jobs.
			factor := 1 + (uint64(submitted)*2654435761+seed)%4
			open.Go(func() {
				defer c.open[scheduler].Add(-1)
				c.submit(scheduler, purposeLoad, shortRun*time.Duration(factor))
			})
		}
	}
}

// saturate keeps n clients busy with jobs of no run time at one scheduler until the context ends.
func (c *clients) saturate(ctx context.Context, scheduler, n int) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for ctx.Err() == nil {
				if !c.submit(scheduler, purposeJobPath, 0) {
					sleep(ctx, retryDelay)
				}
			}
		})
	}
	all.Wait()
}

// isReady reports whether a scheduler's health endpoint says that it is ready.
func isReady(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, healthTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(healthTimeout))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", "/_health",
		[]http1.Field{{Name: "Host", Value: addr}}, nil)); err != nil {
		return false
	}
	answer, err := http1.NewReader(conn).Response()
	return err == nil && answer.Status == http.StatusOK
}
