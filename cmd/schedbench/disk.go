package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"dahliaford/internal/store"
	"dahliaford/internal/store/lifecycle"
)

const (
	// diskDrillMargin is the time that a round and its check may take.
	diskDrillMargin = 5 * time.Second
	maxItems        = 400_000 // with confirmed steps
	// skippedNumbers is what the next round leaves out, past what was stored and not confirmed.
	skippedNumbers = 10 * itemsInFlight
)

// diskDrill kills a process that stores items, at random and over and over, and checks after each kill that
// all that was confirmed is there, and that nothing is broken.
type diskDrill struct {
	program, path string
	random        *rand.Rand
	progress      progressFunc

	confirmed map[int]int // how far each item has come, by number
	next      int         // the number of the first item of the next round

	kills, missing, broken, ahead int
}

// diskKills runs the drill disk until its context ends.
func diskKills(ctx context.Context, seed uint64, progress progressFunc) (*report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "disk")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder that stays does no harm
	d := &diskDrill{program: self, path: filepath.Join(folder, "jobs"), random: rand.New(rand.NewPCG(seed, 0)),
		progress: progress, confirmed: map[int]int{}}
	deadline, _ := ctx.Deadline()
	for time.Until(deadline) > diskDrillMargin && len(d.confirmed) < maxItems {
		if err := d.storeAndKill(ctx); err != nil {
			return nil, err
		}
		if err := d.check(); err != nil {
			return nil, fmt.Errorf("after kill %d: %w", d.kills, err)
		}
	}
	return d.report(), nil
}

// storeAndKill starts the process and kills it within half a second.
func (d *diskDrill) storeAndKill(ctx context.Context) error {
	process := exec.CommandContext(ctx, d.program, "keep", d.path, fmt.Sprint(d.next))
	process.Stderr = os.Stderr
	out, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	lifetime := time.Duration(20+d.random.IntN(400)) * time.Millisecond
	kill := time.AfterFunc(lifetime, func() {
		_ = process.Process.Kill() // it fails if the process has exited, which shows as its output ends
	})
	d.readConfirmed(out)
	kill.Stop()
	_ = process.Wait() // the process was killed: that is its error
	d.kills++
	d.next += skippedNumbers
	return nil
}

// readConfirmed takes in what the process says is confirmed, until its end.
func (d *diskDrill) readConfirmed(out io.Reader) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		var n, step int
		if _, err := fmt.Sscan(lines.Text(), &n, &step); err != nil {
			continue // the last line may be cut
		}
		d.confirmed[n] = max(d.confirmed[n], step)
		d.next = max(d.next, n+1)
	}
}

// check reads the store and compares it with what was confirmed.
func (d *diskDrill) check() error {
	stored, err := d.readStore()
	if err != nil {
		return err
	}
	for n, step := range d.confirmed {
		switch {
		case stored[n] < step:
			d.missing++
			d.progress("after kill %d: item %d had come to step %d, and is at %d", d.kills, n, step, stored[n])
		case stored[n] > step:
			d.ahead++
			d.confirmed[n] = stored[n] // it is on disk now, and must stay there
		}
	}
	return nil
}

// readStore returns how far each item has come, by number.
func (d *diskDrill) readStore() (stored map[int]int, err error) {
	r, err := store.OpenReader(d.path)
	if err != nil {
		return nil, err
	}
	stored = map[int]int{}
	err = r.Each(func(id string, it *lifecycle.Item, fault error) error {
		var n int
		if _, err := fmt.Sscan(id, &n); fault != nil || err != nil {
			d.broken++
			d.progress("after kill %d: item %q: %v", d.kills, id, fault)
			return nil
		}
		stored[n] = stepOf(it)
		return nil
	})
	if closeErr := r.Close(); closeErr != nil {
		return nil, closeErr
	}
	return stored, err
}

func (d *diskDrill) report() *report {
	steps := 0
	for _, step := range d.confirmed {
		steps += step
	}
	return &report{ok: d.missing == 0 && d.broken == 0 && d.kills > 0,
		figures: map[string]any{"kills": d.kills, "items": len(d.confirmed), "confirmed": steps,
			"lost": d.missing, "broken": d.broken, "stored_unconfirmed": d.ahead},
		table: [][]string{{"kills", "items", "confirmed steps", "lost", "broken", "stored, not confirmed"},
			{fmt.Sprint(d.kills), fmt.Sprint(len(d.confirmed)), fmt.Sprint(steps), fmt.Sprint(d.missing),
				fmt.Sprint(d.broken), fmt.Sprint(d.ahead)}}}
}
