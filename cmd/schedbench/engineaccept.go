package main

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxCommitItems is the maximum number of items in one commit.
const maxCommitItems = 1024

// acceptRequest asks a groupCommitter to store the record of one item under a key.
type acceptRequest struct {
	key, value []byte
	done       chan error // receives the result of the commit
}

// groupCommitter stores the items of concurrent callers. Each commit contains the items that arrived during
// the previous commit.
type groupCommitter struct {
	engine  engine
	inbox   chan acceptRequest
	commits int // number of commits so far; read only after run has returned
}

// run commits the items that arrive in the inbox until the inbox is closed.
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

// fillBatch returns the first request and the requests that already wait in the inbox, at most maxCommitItems
// in total.
func (g *groupCommitter) fillBatch(first acceptRequest) []acceptRequest {
	batch := []acceptRequest{first}
	for len(batch) < maxCommitItems {
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

// accept measures group commit for the duration c.For. c.Count concurrent callers store items; each caller
// waits until its item is on disk before the caller stores the next item.
func (c *engineCmd) accept(e engine, figures map[string]any) error {
	committer := &groupCommitter{engine: e, inbox: make(chan acceptRequest, c.Count)}
	deadline := time.Now().Add(c.For)
	var callers, writer sync.WaitGroup
	writer.Go(committer.run)
	times, errs := make([][]time.Duration, c.Count), make([]error, c.Count)
	for i := range c.Count {
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

// storeItems stores items for one caller until a deadline. It returns the time until each item was on disk.
func (c *engineCmd) storeItems(to *groupCommitter, caller int,
	deadline time.Time) (times []time.Duration, err error) {
	random := rand.New(rand.NewPCG(c.Seed, uint64(caller)))
	done := make(chan error, 1)
	for n := 0; time.Now().Before(deadline); n++ {
		startedAt := time.Now()
		to.inbox <- acceptRequest{encodeKey(uint64(n*c.Count + caller)), randomRecord(random), done}
		if err := <-done; err != nil {
			return nil, err
		}
		times = append(times, time.Since(startedAt))
	}
	return times, nil
}
