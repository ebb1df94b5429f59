package emulator

import (
	"fmt"
	"slices"

	"dahliaford/internal/history"
)

// overloadDowntime is the time between a worker's crash of overload and its restart.
const overloadDowntime = 5 * second

// arrival records an attempt that a worker received during slow start.
type arrival struct {
	at         Micros
	work       float64 // run time on a machine of speed 1, in microseconds, multiplied by the slots of the job
	startKnown bool    // whether the sending scheduler knew of the worker's start (see checkOverload)
}

// speedFraction returns the worker's present speed as a fraction of its full speed. During slow start the
// fraction grows linearly from slowStartInitial to 1.
func (w *worker) speedFraction() float64 {
	if w.startedAt == 0 || w.fleet.now-w.startedAt >= slowStartTime {
		return 1
	}
	return slowStartInitial + (1-slowStartInitial)*float64(w.fleet.now-w.startedAt)/float64(slowStartTime)
}

// checkOverload crashes a worker in slow start if the work that the worker received within overloadWindow
// exceeds the limit that the comment on overloadWindow describes. The crash counts as a violation if at least
// two thirds of the work came from schedulers that knew of the worker's start.
func (w *worker) checkOverload(c *conn, req *request) {
	f := w.fleet
	speed := w.speedFraction()
	if speed == 1 {
		w.recentArrivals = nil
		return
	}
	// A scheduler counts as knowing of the worker's start if it has received the start time. Every scheduler
	// counts as knowing after registrationDelay, batchInterval and listValidity together, because a worker list
	// from before the start is stale by then.
	startKnown := c.node.workerStarts[w.uid] == w.startedAt ||
		f.now-w.startedAt > registrationDelay+batchInterval+listValidity
	w.recentArrivals = append(w.recentArrivals, arrival{f.now, req.job.work * req.job.slots, startKnown})
	w.recentArrivals = slices.DeleteFunc(w.recentArrivals,
		func(a arrival) bool { return f.now-a.at > overloadWindow })
	work, startKnownWork := 0.0, 0.0
	for _, a := range w.recentArrivals {
		work += a.work
		if a.startKnown {
			startKnownWork += a.work
		}
	}
	allowance := 2 * float64(f.meanRunTime)
	if work <= allowance+overloadFactor*speed*w.kind.slots*w.kind.speed*float64(overloadWindow) {
		return
	}
	f.tally.model.OverloadCrashes++
	if startKnownWork >= work*2/3 {
		f.tally.addFinding(history.Finding{Property: "cold-spared", ID: req.id,
			Text: fmt.Sprintf("%s crashes of overload, with %.0f s of work within overloadWindow", w.uid, work/1e6)})
	}
	w.crash()
	f.scheduleAfter(overloadDowntime, w.boot)
}
