package main

import (
	"fmt"
	"os"
	"sync"

	"dahliaford/internal/store"
	"dahliaford/internal/store/lifecycle"
)

// storeItemsCmd is the command that the disk drill runs and kills. The command takes items through their
// lifecycle in a store. When the store confirms that a step is on disk, the command prints a line with the
// item's number and the step.
type storeItemsCmd struct {
	File string `arg:"" type:"path"`
	From int    `arg:"" help:"The number of the first item."`
}

// itemsInFlight is the number of items that the command stores concurrently.
const itemsInFlight = 16

// itemStep is a step in the lifecycle of an item. The steps are numbered from 1.
type itemStep int

const (
	stepAccepted itemStep = iota + 1
	stepRouted
	stepAttemptEnded
	stepAnswered

	lastStep = stepAnswered
)

// farFuture is a time that no run reaches, for the deadlines of items and for the end of their retention.
const farFuture = 1 << 60

// reachedStep returns the itemStep that a stored item has completed last.
func reachedStep(it *lifecycle.Item) int {
	steps := 1 + len(it.Attempts)
	if len(it.Attempts) > 0 && !it.Outstanding() {
		steps++
	}
	if it.Verdict != lifecycle.None {
		steps++
	}
	return steps
}

// Run stores items until the process is killed. At the first error of the store it exits with exitFailed.
func (c *storeItemsCmd) Run() error {
	s, err := store.Open(store.Config{Path: c.File})
	if err != nil {
		return err
	}
	w := itemWriter{store: s}
	var all sync.WaitGroup
	for i := range itemsInFlight {
		all.Go(func() {
			for n := c.From + i; ; n += itemsInFlight {
				if err := w.storeItem(n); err != nil {
					fmt.Fprintln(os.Stderr, err)
					os.Exit(exitFailed)
				}
			}
		})
	}
	all.Wait()
	return nil
}

// itemWriter stores items and prints each lifecycle step that the store confirms.
type itemWriter struct {
	store *store.Store
	out   sync.Mutex // serializes the lines on standard output
}

// storeItem takes one item through its lifecycle and stores the item after each step.
func (w *itemWriter) storeItem(n int) error {
	it := &lifecycle.Item{ID: fmt.Sprint(n), Class: "post-reading", Body: make([]byte, 200), Deadline: farFuture}
	for step := stepAccepted; step <= lastStep; step++ {
		if err := applyStep(it, step); err != nil {
			return err
		}
		if err := w.put(it, step); err != nil {
			return err
		}
		w.out.Lock()
		fmt.Println(n, int(step))
		w.out.Unlock()
	}
	return nil
}

// applyStep applies the lifecycle event of a step to an item.
func applyStep(it *lifecycle.Item, step itemStep) error {
	switch step {
	case stepRouted:
		return it.Apply(lifecycle.Event{Kind: lifecycle.Routed, At: 1, Worker: "s-1"})
	case stepAttemptEnded:
		return it.Apply(lifecycle.Event{Kind: lifecycle.AttemptEnded, At: 2, Outcome: lifecycle.Done,
			Result: it.Body})
	case stepAnswered:
		return it.Apply(lifecycle.Event{Kind: lifecycle.Answered, At: 3, Verdict: lifecycle.Served,
			KeepUntil: farFuture})
	default:
		return nil // a new item is already in the accepted state
	}
}

// put stores the state of an item and waits until the store confirms the write.
func (w *itemWriter) put(it *lifecycle.Item, step itemStep) error {
	put := w.store.Update
	if step == stepAccepted {
		put = w.store.Accept
	}
	done := make(chan error, 1)
	if err := put(store.Change{Item: it, Done: func(err error) { done <- err }}); err != nil {
		return err
	}
	return <-done
}
