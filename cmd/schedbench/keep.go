package main

import (
	"fmt"
	"os"
	"sync"

	"dahliaford/internal/store"
	"dahliaford/internal/store/lifecycle"
)

// keepCmd is the process that the drill disk kills: it takes items through their lifecycle, and prints what
// the store has confirmed, line by line.
type keepCmd struct {
	File string `arg:"" type:"path"`
	From int    `arg:"" help:"The number of the first item."`
}

const itemsInFlight = 16

// itemStep is how far an item has come in its lifecycle.
type itemStep int

const (
	stepAccepted itemStep = iota + 1
	stepRouted
	stepEnded
	stepAnswered

	lastStep = stepAnswered
)

// unlimited is a time that does not come.
const unlimited = 1 << 60

// stepOf is the step that a stored item has reached.
func stepOf(it *lifecycle.Item) int {
	steps := 1 + len(it.Attempts)
	if len(it.Attempts) > 0 && !it.Outstanding() {
		steps++
	}
	if it.Verdict != lifecycle.None {
		steps++
	}
	return steps
}

// Run goes on until it is killed, or exits at the first error of the store.
func (c *keepCmd) Run() error {
	s, err := store.Open(store.Config{Path: c.File})
	if err != nil {
		return err
	}
	k := keeper{store: s}
	var all sync.WaitGroup
	for i := range itemsInFlight {
		all.Go(func() {
			for n := c.From + i; ; n += itemsInFlight {
				if err := k.keepItem(n); err != nil {
					fmt.Fprintln(os.Stderr, err)
					os.Exit(exitFailed)
				}
			}
		})
	}
	all.Wait()
	return nil
}

// keeper stores items.
type keeper struct {
	store *store.Store
	out   sync.Mutex
}

// keepItem takes one item through its lifecycle.
func (k *keeper) keepItem(n int) error {
	it := &lifecycle.Item{ID: fmt.Sprint(n), Class: "post-reading", Body: make([]byte, 200), Deadline: unlimited}
	for step := stepAccepted; step <= lastStep; step++ {
		if err := applyStep(it, step); err != nil {
			return err
		}
		if err := k.put(it, step); err != nil {
			return err
		}
		k.out.Lock()
		fmt.Println(n, int(step))
		k.out.Unlock()
	}
	return nil
}

// applyStep changes the item as a step does.
func applyStep(it *lifecycle.Item, step itemStep) error {
	switch step {
	case stepRouted:
		return it.Apply(lifecycle.Event{Kind: lifecycle.Routed, At: 1, Worker: "s-1"})
	case stepEnded:
		return it.Apply(lifecycle.Event{Kind: lifecycle.AttemptEnded, At: 2, Outcome: lifecycle.Done,
			Result: it.Body})
	case stepAnswered:
		return it.Apply(lifecycle.Event{Kind: lifecycle.Answered, At: 3, Verdict: lifecycle.Served,
			KeepUntil: unlimited})
	default:
		return nil // an item is accepted as it is made
	}
}

// put stores the item and waits until the store has confirmed that.
func (k *keeper) put(it *lifecycle.Item, step itemStep) error {
	put := k.store.Update
	if step == stepAccepted {
		put = k.store.Accept
	}
	done := make(chan error, 1)
	if err := put(store.Change{Item: it, Done: func(err error) { done <- err }}); err != nil {
		return err
	}
	return <-done
}
