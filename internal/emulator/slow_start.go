package emulator

import (
	"fmt"
	"slices"

	"dahliaford/internal/history"
)

// overloadDowntime is how long a worker is down that crashed of overload.
const overloadDowntime = 5 * second

// arrival is an attempt that a worker got during slow start.
type arrival struct {
	at       Micros
	work     float64 // microseconds on a standard machine, times slots
	informed bool    // its scheduler knew of the worker's start
}

// speedFraction is the fraction of its speed that a worker has: less than 1 during slow start.
func (w *worker) speedFraction() float64 {
	if w.startedAt == 0 || w.fleet.now-w.startedAt >= slowStartTime {
		return 1
	}
	return slowStartInitial + (1-slowStartInitial)*float64(w.fleet.now-w.startedAt)/float64(slowStartTime)
}

// checkOverload crashes a worker in slow start that got more work within the overload window than it
// can take. It is a finding if most of that came from schedulers that knew of its start.
func (w *worker) checkOverload(c *conn, req *request) {
	f := w.fleet
	speed := w.speedFraction()
	if speed == 1 {
		w.recentArrivals = nil
		return
	}
	// After a while a start counts as known, whether or not the scheduler has received it.
	informed := c.node.workerStarts[w.uid] == w.startedAt ||
		f.now-w.startedAt > registrationDelay+batchInterval+staleAfter
	w.recentArrivals = append(w.recentArrivals, arrival{f.now, req.job.work * req.job.slots, informed})
	w.recentArrivals = slices.DeleteFunc(w.recentArrivals,
		func(a arrival) bool { return f.now-a.at > overloadWindow })
	work, informedWork := 0.0, 0.0
	for _, a := range w.recentArrivals {
		work += a.work
		if a.informed {
			informedWork += a.work
		}
	}
	allowance := 2 * float64(f.task)
	if work <= allowance+overloadFactor*speed*w.kind.slots*w.kind.speed*float64(overloadWindow) {
		return
	}
	f.tally.model.OverloadCrashes++
	if informedWork >= work*2/3 {
		f.tally.addFinding(history.Finding{Property: "cold-spared", ID: req.id,
			Text: fmt.Sprintf("%s crashes of overload, with %.0f s of work within its window", w.uid, work/1e6)})
	}
	w.crash()
	f.after(overloadDowntime, w.boot)
}
