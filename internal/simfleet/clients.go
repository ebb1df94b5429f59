package simfleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/http1"
)

const (
	batchClass    = "district-batch" // of package rig's settings
	batchDeadline = 4 * time.Second
	tenant        = "sahel"

	maxOpen      = 128 // jobs of ours that a scheduler may have open
	paceInterval = 5 * time.Millisecond
	shortRun     = 40 * time.Millisecond // and up to four times that, of the jobs at a rate
)

// clients hand jobs in at the schedulers, on connections that they keep.
type clients struct {
	addrs   []string
	idle    []chan *pooledConn
	open    []atomic.Int64
	record  fakes.Recorder
	traffic *traffic
	lastID  atomic.Int64

	jobs, served, refused, failed, skipped atomic.Int64

	mu     sync.Mutex
	errors []string // the first of those that ended a job without an answer
}

const maxErrors = 20

func (c *clients) addError(id string, err error) {
	c.failed.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.errors) < maxErrors {
		c.errors = append(c.errors, id+": "+err.Error())
	}
}

func newClients(addrs []string, rec fakes.Recorder, t *traffic) *clients {
	c := &clients{addrs: addrs, idle: make([]chan *pooledConn, len(addrs)), open: make([]atomic.Int64,
		len(addrs)),
		record: rec, traffic: t}
	for i := range c.idle {
		c.idle[i] = make(chan *pooledConn, maxOpen)
	}
	return c
}

func (c *clients) close() {
	for _, idle := range c.idle {
		for len(idle) > 0 {
			(<-idle).conn.Close()
		}
	}
}

// submit hands one job in at the k-th scheduler, and tells whether it was served.
func (c *clients) submit(k int, what string, run time.Duration) bool {
	s := fakes.Submission{ID: jobID(k, what, c.lastID.Add(1)), Class: batchClass, Tenant: tenant,
		Body: []byte(run.String()), Deadline: time.Now().Add(batchDeadline)}
	s.Key = "k-" + s.ID
	rec := c.record
	if !isRecorded(s.ID) {
		rec = nil
	}
	c.jobs.Add(1)
	m, err := c.exchange(k, s, rec)
	switch {
	case err != nil:
		c.addError(s.ID, err)
	case m.Status == 200:
		c.served.Add(1)
		return true
	case m.Status == 429 || m.Status == 503:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	return false
}

func (c *clients) exchange(k int, s fakes.Submission, rec fakes.Recorder) (*http1.Response, error) {
	var to *pooledConn
	select {
	case to = <-c.idle[k]:
	default:
		var err error
		if to, err = dial(c.addrs[k], c.traffic); err != nil {
			return nil, err
		}
	}
	m, err := fakes.SubmitOn(to.conn, to.reader, s, rec)
	if err != nil || m.Close {
		to.conn.Close()
	} else {
		to.release(c.idle[k])
	}
	return m, err
}

// submitAtRate hands jobs in at a rate over all schedulers in turn, until the context ends, and waits for
// their ends.
func (c *clients) submitAtRate(ctx context.Context, rate float64, seed uint64) {
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(paceInterval)
	defer tick.Stop()
	began, handed := time.Now(), 0
	for rate > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for due := int(time.Since(began).Seconds() * rate); handed < due; handed++ {
			k := handed % len(c.addrs)
			if c.open[k].Add(1) > maxOpen {
				c.open[k].Add(-1)
				c.skipped.Add(1)
				continue
			}
			run := shortRun + shortRun*time.Duration((uint64(handed)*2654435761+seed)%4)
			open.Go(func() {
				defer c.open[k].Add(-1)
				c.submit(k, "rate", run)
			})
		}
	}
}

// saturate keeps so many clients busy with jobs of no length at one scheduler until the context ends.
func (c *clients) saturate(ctx context.Context, k, n int) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for ctx.Err() == nil {
				if !c.submit(k, jobPathPurpose, 0) {
					sleep(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	all.Wait()
}

// isReady tells whether a scheduler says that it is ready.
func isReady(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", "/_health",
		[]http1.Field{{Name: "Host", Value: addr}}, nil)); err != nil {
		return false
	}
	m, err := http1.NewReader(conn).Response()
	return err == nil && m.Status == 200
}
