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
	// diskDrillMargin is the time that is reserved for one more round of storing, killing and checking.
	diskDrillMargin = 5 * time.Second
	// maxConfirmedItems limits the number of items of which the store has confirmed a step, and so the time that
	// a check takes.
	maxConfirmedItems = 400_000
	// skippedItemNumbers is the gap in item numbers between two rounds. The killed process may have stored
	// items beyond the last confirmed number; the gap keeps the next round from reusing their numbers.
	skippedItemNumbers = 10 * itemsInFlight
)

// diskDrill repeatedly starts a process that stores items and kills it at a random time. After each kill it
// checks that the store holds every lifecycle step of an item that the store had confirmed, and that every
// stored item is readable.
type diskDrill struct {
	program, path string // the paths of this executable and of the file of the store
	random        *rand.Rand
	progress      progressFunc

	confirmed map[int]int // the last lifecycle step that the store confirmed of each item, by the item's number
	nextItem  int         // the number of the first item of the next round

	// The counts in the report. kills counts the killed processes. The other counts are sums over all checks:
	// lost counts items whose stored step is earlier than the step that the store confirmed, unreadable counts
	// stored items that cannot be read, and storedUnconfirmed counts items whose stored step is later than the
	// confirmed step.
	kills, lost, unreadable, storedUnconfirmed int
}

// runDiskDrill runs rounds of the disk drill. A round starts a process that stores items, kills the process
// at a random time, and checks that the store holds every confirmed step. The drill ends when less than
// diskDrillMargin is left until the deadline of the context, or when the store has confirmed
// maxConfirmedItems items.
func runDiskDrill(ctx context.Context, seed uint64, progress progressFunc) (*report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "disk")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
	d := &diskDrill{program: self, path: filepath.Join(folder, "jobs"), random: rand.New(rand.NewPCG(seed, 0)),
		progress: progress, confirmed: map[int]int{}}
	deadline, _ := ctx.Deadline()
	for time.Until(deadline) > diskDrillMargin && len(d.confirmed) < maxConfirmedItems {
		if err := d.storeAndKill(ctx); err != nil {
			return nil, err
		}
		if err := d.check(); err != nil {
			return nil, fmt.Errorf("check the store after kill %d of the storing process: %w", d.kills, err)
		}
	}
	return d.report(), nil
}

// storeAndKill starts the process that stores items, and kills it after a random time of 20 to 420 ms.
func (d *diskDrill) storeAndKill(ctx context.Context) error {
	process := exec.CommandContext(ctx, d.program, "keep", d.path, fmt.Sprint(d.nextItem))
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
		// Kill fails only if the process has already exited. The end of the output then ends readConfirmed too.
		_ = process.Process.Kill()
	})
	d.readConfirmed(out)
	kill.Stop()
	_ = process.Wait() // the error is expected: the process was killed
	d.kills++
	d.nextItem += skippedItemNumbers
	return nil
}

// readConfirmed reads the output of the process that stores items, until the output ends. Each line has the
// number of an item and a lifecycle step that the store has confirmed.
func (d *diskDrill) readConfirmed(out io.Reader) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		var n, step int
		if _, err := fmt.Sscan(lines.Text(), &n, &step); err != nil {
			continue // the last line may be truncated by the kill
		}
		d.confirmed[n] = max(d.confirmed[n], step)
		d.nextItem = max(d.nextItem, n+1)
	}
}

// check compares the lifecycle step of each stored item with the last step that the killed processes printed
// as confirmed.
func (d *diskDrill) check() error {
	stored, err := d.readStore()
	if err != nil {
		return err
	}
	for n, step := range d.confirmed {
		switch {
		case stored[n] < step:
			d.lost++
			d.progress("after kill %d: item %d: step %d was confirmed, found step %d", d.kills, n, step, stored[n])
		case stored[n] > step:
			d.storedUnconfirmed++
			d.confirmed[n] = stored[n] // the later step is on disk, so the next checks must find that step
		}
	}
	return nil
}

// readStore returns the last completed lifecycle step of each stored item, by the item's number.
func (d *diskDrill) readStore() (stored map[int]int, err error) {
	r, err := store.OpenReader(d.path)
	if err != nil {
		return nil, err
	}
	stored = map[int]int{}
	err = r.Each(func(id string, it *lifecycle.Item, fault error) error {
		var n int
		if _, err := fmt.Sscan(id, &n); fault != nil || err != nil {
			d.unreadable++
			d.progress("after kill %d: item %q: invalid ID or unreadable record: %v", d.kills, id, fault)
			return nil
		}
		stored[n] = reachedStep(it)
		return nil
	})
	if closeErr := r.Close(); closeErr != nil {
		return nil, closeErr
	}
	return stored, err
}

// report returns the counts of the disk drill. The drill fails if a confirmed step was lost, an item could
// not be read, or no process was killed.
func (d *diskDrill) report() *report {
	steps := 0
	for _, step := range d.confirmed {
		steps += step
	}
	return &report{ok: d.lost == 0 && d.unreadable == 0 && d.kills > 0,
		figures: map[string]any{"kills": d.kills, "items": len(d.confirmed), "confirmed": steps,
			"lost": d.lost, "broken": d.unreadable, "stored_unconfirmed": d.storedUnconfirmed},
		table: [][]string{{"kills", "items", "confirmed steps", "lost", "broken", "stored, not confirmed"},
			{fmt.Sprint(d.kills), fmt.Sprint(len(d.confirmed)), fmt.Sprint(steps), fmt.Sprint(d.lost),
				fmt.Sprint(d.unreadable), fmt.Sprint(d.storedUnconfirmed)}}}
}
