package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"dahliaford/internal/store"
	"dahliaford/internal/store/lifecycle"
)

// keepCmd is the process that the drill disk kills: it takes items through their lives, and
// prints what the store has confirmed, line by line.
type keepCmd struct {
	File string `arg:"" type:"path"`
	From int    `arg:"" help:"The number of the first item."`
}

const (
	itemsInFlight = 16 // items under way at once
	itemSteps     = 4  // accepted, routed, ended, answered
)

// stepOf is how far a record has come in an item's life.
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

// Run goes on until it is killed.
func (c *keepCmd) Run() error {
	s, err := store.Open(store.Config{Path: c.File})
	if err != nil {
		return err
	}
	var out sync.Mutex
	var all sync.WaitGroup
	for k := range itemsInFlight {
		all.Go(func() {
			done := make(chan error, 1)
			for n := c.From + k; ; n += itemsInFlight {
				it := &lifecycle.Item{ID: fmt.Sprint(n), Class: "post-reading", Body: make([]byte, 200),
					Deadline: 1 << 60}
				for step := 1; step <= itemSteps; step++ {
					var err error
					switch step {
					case 2:
						err = it.Apply(lifecycle.Event{Kind: lifecycle.Routed, At: 1, Worker: "s-1"})
					case 3:
						err = it.Apply(lifecycle.Event{Kind: lifecycle.AttemptEnded, At: 2, Outcome: lifecycle.Done, Result: it.Body})
					case 4:
						err = it.Apply(lifecycle.Event{Kind: lifecycle.Answered, At: 3, Verdict: lifecycle.Served,
							KeepUntil: 1 << 60})
					}
					change := store.Change{Item: it, Done: func(err error) { done <- err }}
					if put := s.Update; err == nil {
						if step == 1 {
							put = s.Accept
						}
						err = put(change)
					}
					if err == nil {
						err = <-done
					}
					if err != nil {
						fmt.Fprintln(os.Stderr, err)
						os.Exit(failed)
					}
					out.Lock()
					fmt.Println(n, step)
					out.Unlock()
				}
			}
		})
	}
	all.Wait()
	return nil
}

// diskKills kills a process that stores items, at random and over and over, and checks after
// each kill that all that was confirmed is there, and that nothing is broken.
func diskKills(ctx context.Context, seed uint64, say sayer) (*report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "disk")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	path := filepath.Join(folder, "jobs")
	random := rand.New(rand.NewPCG(seed, 0))
	confirmed := map[int]int{} // how far each item had come
	kills, next, lost, broken, ahead := 0, 0, 0, 0, 0
	until, _ := ctx.Deadline()
	const spare, mostItems = 5 * time.Second, 400_000
	for time.Until(until) > spare && len(confirmed) < mostItems {
		run := exec.CommandContext(ctx, self, "keep", path, fmt.Sprint(next))
		run.Stderr = os.Stderr
		out, err := run.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := run.Start(); err != nil {
			return nil, err
		}
		kill := time.AfterFunc(time.Duration(20+random.IntN(400))*time.Millisecond, func() { run.Process.Kill() })
		for lines := bufio.NewScanner(out); lines.Scan(); {
			var n, step int
			if _, err := fmt.Sscan(lines.Text(), &n, &step); err == nil { // the last may be cut
				confirmed[n] = max(confirmed[n], step)
				next = max(next, n+1)
			}
		}
		kill.Stop()
		run.Wait()
		kills++
		next += 10 * itemsInFlight // past what was stored and not confirmed
		r, err := store.OpenReader(path)
		if err != nil {
			return nil, fmt.Errorf("after kill %d: %w", kills, err)
		}
		held := map[int]int{}
		err = r.Each(func(id string, it *lifecycle.Item, fault error) error {
			var n int
			if _, err := fmt.Sscan(id, &n); fault != nil || err != nil {
				broken++
				say("after kill %d: item %q: %v", kills, id, fault)
				return nil
			}
			held[n] = stepOf(it)
			return nil
		})
		if err := r.Close(); err != nil {
			return nil, err
		}
		if err != nil {
			return nil, fmt.Errorf("after kill %d: %w", kills, err)
		}
		for n, step := range confirmed {
			switch {
			case held[n] < step:
				lost++
				say("after kill %d: item %d had come to step %d, and is at %d", kills, n, step, held[n])
			case held[n] > step:
				ahead++
				confirmed[n] = held[n] // it is on disk now, and must stay there
			}
		}
	}
	steps := 0
	for _, step := range confirmed {
		steps += step
	}
	return &report{ok: lost == 0 && broken == 0 && kills > 0,
		figures: map[string]any{"kills": kills, "items": len(confirmed), "confirmed": steps, "lost": lost,
			"broken": broken, "stored_unconfirmed": ahead},
		table: [][]string{{"kills", "items", "confirmed steps", "lost", "broken", "stored, not confirmed"},
			{fmt.Sprint(kills), fmt.Sprint(len(confirmed)), fmt.Sprint(steps), fmt.Sprint(lost), fmt.Sprint(broken),
				fmt.Sprint(ahead)}}}, nil
}
