package main

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxCommitted is how many items one commit carries at most.
const maxCommitted = 1024

// acceptRequest is one item that a caller wants stored.
type acceptRequest struct {
	key, value []byte
	done       chan error
}

// groupCommitter stores the items of concurrent callers: each commit carries what has come meanwhile.
type groupCommitter struct {
	engine  engine
	inbox   chan acceptRequest
	commits int // valid once run has returned
}

// run commits until the inbox is closed.
func (g *groupCommitter) run() {
	for first := range g.inbox {
		batch := g.fillBatch(first)
		var keys, values [][]byte
		for _, request := range batch {
			keys, values = append(keys, request.key), append(values, request.value)
		}
		err := g.engine.commit(keys, values)
		g.commits++
		for _, request := range batch {
			request.done <- err
		}
	}
}

// fillBatch adds what waits in the inbox, without waiting for more.
func (g *groupCommitter) fillBatch(first acceptRequest) []acceptRequest {
	batch := []acceptRequest{first}
	for len(batch) < maxCommitted {
		select {
		case request, open := <-g.inbox:
			if !open {
				return batch
			}
			batch = append(batch, request)
		default:
			return batch
		}
	}
	return batch
}

// accept lets so many callers store one item after another, each on disk before the next.
func (c *engineCmd) accept(e engine, figures map[string]any) error {
	committer := &groupCommitter{engine: e, inbox: make(chan acceptRequest, c.Many)}
	deadline := time.Now().Add(c.For)
	var callers, writer sync.WaitGroup
	writer.Go(committer.run)
	times, errs := make([][]time.Duration, c.Many), make([]error, c.Many)
	for i := range c.Many {
		callers.Go(func() { times[i], errs[i] = c.storeItems(committer, i, deadline) })
	}
	callers.Wait()
	close(committer.inbox)
	writer.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	all := slices.Concat(times...)
	slices.Sort(all)
	figures["accepts_per_s"] = float64(len(all)) / c.For.Seconds()
	figures["p99_ms"] = milliseconds(all[len(all)*99/100])
	figures["a_commit"] = float64(len(all)) / float64(max(committer.commits, 1))
	return nil
}

// storeItems stores items of one caller until a deadline, and returns how long each took.
func (c *engineCmd) storeItems(to *groupCommitter, caller int,
	deadline time.Time) (times []time.Duration, err error) {
	random := rand.New(rand.NewPCG(c.Seed, uint64(caller)))
	done := make(chan error, 1)
	for n := 0; time.Now().Before(deadline); n++ {
		startedAt := time.Now()
		to.inbox <- acceptRequest{keyOf(uint64(n*c.Many + caller)), recordOf(random), done}
		if err := <-done; err != nil {
			return nil, err
		}
		times = append(times, time.Since(startedAt))
	}
	return times, nil
}
