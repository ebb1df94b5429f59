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
	// Class and tenant of all jobs; package testcluster writes both into the schedulers' settings.
	batchClass    = "district-batch"
	batchDeadline = 4 * time.Second
	tenant        = "sahel"

	maxOpenJobs       = 128                   // limit of outstanding jobs of submitAtRate at each scheduler
	paceInterval      = 5 * time.Millisecond  // interval at which submitAtRate submits the jobs that are due
	shortestRunTime   = 40 * time.Millisecond // jobs of submitAtRate run for 1 to 4 times this time
	maxReportedErrors = 20                    // limit of errors that are kept for the report
	retryDelay        = 10 * time.Millisecond // pause of a client of saturate after a job that was not served

	healthTimeout = time.Second // limit of a health check, including the opening of the connection
)

// clients simulates the clients of all schedulers. Their connections are pooled and reused.
type clients struct {
	pools    []*connPool    // connection pool for each scheduler
	openJobs []atomic.Int64 // outstanding jobs of submitAtRate, by scheduler
	record   fakes.Recorder
	lastID   atomic.Int64

	jobs, served, refused, failed, skipped atomic.Int64

	mu     sync.Mutex
	errors []string // the first maxReportedErrors errors of jobs that got no answer
}

func newClients(addrs []string, record fakes.Recorder, t *traffic) *clients {
	c := &clients{openJobs: make([]atomic.Int64, len(addrs)), record: record}
	for _, addr := range addrs {
		c.pools = append(c.pools, newConnPool(addr, maxOpenJobs, t))
	}
	return c
}

func (c *clients) close() {
	for _, pool := range c.pools {
		pool.close()
	}
}

// addError counts a job that got no answer, and keeps its error for the report.
func (c *clients) addError(id string, err error) {
	c.failed.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.errors) < maxReportedErrors {
		c.errors = append(c.errors, id+": "+err.Error())
	}
}

// submit submits a job to a scheduler and reports whether the job was served.
func (c *clients) submit(scheduler int, purpose jobPurpose, runTime time.Duration) bool {
	s := fakes.Submission{ID: jobID(scheduler, purpose, c.lastID.Add(1)), Class: batchClass, Tenant: tenant,
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

// exchange submits a job on a pooled connection and returns the answer.
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

// submitAtRate submits jobs at a rate, in jobs per second, to all schedulers in turn until the context ends,
// and then waits for the outstanding jobs. It skips a job whose scheduler has maxOpenJobs outstanding jobs.
func (c *clients) submitAtRate(ctx context.Context, rate float64, seed uint64) {
	if rate <= 0 {
		return
	}
	var openJobs sync.WaitGroup
	defer openJobs.Wait()
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
			if c.openJobs[scheduler].Add(1) > maxOpenJobs {
				c.openJobs[scheduler].Add(-1)
				c.skipped.Add(1)
				continue
			}
			// Multiplicative hashing distributes the four factors of the run time over consecutive jobs.
			factor := 1 + (uint64(submitted)*2654435761+seed)%4
			openJobs.Go(func() {
				defer c.openJobs[scheduler].Add(-1)
				c.submit(scheduler, purposeLoad, shortestRunTime*time.Duration(factor))
			})
		}
	}
}

// saturate runs n concurrent clients against one scheduler until the context ends. Each client submits one
// job after another; the jobs take no run time.
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

// isReady reports whether a scheduler's health endpoint answers with status 200.
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
