package lifecycle

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"dahliaford/internal/modelcheck"
)

// world is a model of one item, a store that loses unsynced writes at a crash, a scheduler process that may
// be killed and restarted at any point, and two workers in two racks. The process acts by Apply and Recover.
// Before each of the four actions that diskWait names, the process waits until the item is synced to disk.
type world struct {
	Effect           Effect
	Now              Micros
	Mem              *Item   // item in the memory of the process; nil if there is none or if the process is dead
	Disk             *Item   // item on disk, which survives a crash
	Unsaved          []*Item // unsynced writes of the item, oldest first; a crash may lose any of the latest
	AcceptConfirmed  bool    // the client got the confirmation that the item was accepted
	ClientVerdict    Verdict // verdict in the final answer that the client got; None before the answer
	ResultAcked      bool    // a worker got the response 204 for a callback with the result
	Submitted        bool
	Dead             bool
	CallbackWaitOver bool // the time for which recovery waits for callbacks has passed
	ClockWentBack    bool // the wall clock shows an earlier time than the latest commit
	Sent             bool // the latest attempt was sent to its worker
	Workers          [2]workerState
	Crashes          int // number of crashes of the process that may still happen
	Runs             int // number of times that the workers ran the job
	// RanIn is true for each worker that has got a copy of the job, whether the worker ran the copy or dropped
	// the copy as a duplicate. The model reads RanIn only if the effect of the class is Rack. With that effect,
	// a worker runs the first copy that it gets and drops all later copies, so a worker that is true in RanIn
	// ran the job.
	RanIn     [2]bool
	Violation string // description of an event that Apply rejected; empty if there is none
	// SkippedWait names the action before which the process does not wait for the sync to disk, as an injected
	// fault. SkippedWait is empty if the process omits no wait.
	SkippedWait diskWait
}

// diskWait names an action before which the process must wait until all writes of the item are synced to
// disk.
type diskWait string

const (
	beforeAccept diskWait = "accept" // wait for the sync to disk before confirming the item to the client
	beforeRoute  diskWait = "route"  // wait for the sync to disk before sending an attempt to its worker
	before204    diskWait = "204"    // wait for the sync to disk before the response 204 to a worker's callback
	beforeAnswer diskWait = "answer" // wait for the sync to disk before giving the client the final answer
)

// racks lists the rack of each worker, by the worker's index. Each rack has one worker, which has the name of
// the rack.
var racks = []string{"a", "b"}

// workerState is the state of a worker in the model.
type workerState struct {
	HasJob    bool // the worker has the job and has not run the job yet
	CallsBack bool // the job ran, and the worker repeats the callback until a response arrives
}

// maxModelledAttempts is the maximum number of attempts of the item in the model. A limit below MaxAttempts
// keeps the number of states small.
const maxModelledAttempts = 2

// answerRetention is the time for which the modelled process keeps an answer.
const answerRetention = 50 * second

func (w *world) clone() *world {
	raw, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	c := &world{}
	if err := json.Unmarshal(raw, c); err != nil {
		panic(err)
	}
	return c
}

// saved reports whether all writes of the item have been synced to disk.
func (w *world) saved() bool { return len(w.Unsaved) == 0 }

// applyAndWrite applies an event to the item in memory and writes the item without a sync.
func (w *world) applyAndWrite(e Event) {
	if err := w.Mem.Apply(e); err != nil {
		w.Violation = fmt.Sprintf("Apply rejects an event of kind %d at the time of %d microseconds: %v",
			e.Kind, e.At, err)
		return
	}
	it := *w.Mem
	w.Unsaved = append(w.Unsaved, &it)
}

// action is something that may happen next in a state of the model: an action of the process, of a worker or
// of the client, a sync to disk, a crash, or the passing of time.
type action struct {
	name string
	do   func(*world)
}

// actions returns the actions that are possible in the current state. Step takes an index of this list.
func (w *world) actions() []action {
	all := w.workerActions(w.killActions())
	switch {
	case !w.Submitted:
		return append(all, action{"a client submits it", (*world).submit})
	case w.Dead:
		return w.restartActions(all)
	}
	if len(w.Unsaved) > 0 {
		all = append(all, action{"a sync", (*world).sync})
	}
	if w.Mem == nil {
		return all
	}
	return w.processActions(all)
}

// killActions returns one action that kills the process for each number of unsynced writes that may survive.
func (w *world) killActions() (all []action) {
	if w.Crashes == 0 || w.Dead || !w.Submitted {
		return nil
	}
	for n := range len(w.Unsaved) + 1 {
		all = append(all, action{fmt.Sprint("killed, ", n, " writes survive"), func(w *world) {
			for _, it := range w.Unsaved[:n] {
				w.Disk = it
			}
			w.Crashes--
			w.Dead, w.Mem, w.Unsaved, w.Sent, w.CallbackWaitOver = true, nil, nil, false, false
		}})
	}
	return all
}

// workerActions appends the actions of the workers and the responses to the workers' callbacks to the list
// all.
func (w *world) workerActions(all []action) []action {
	for i, r := range w.Workers {
		add := func(what string, do func(*world)) {
			all = append(all, action{fmt.Sprint("worker ", i, what), do})
		}
		if r.HasJob {
			add(" runs it", func(w *world) { w.run(i) })
		}
		if !r.CallsBack || w.Dead || w.Mem == nil {
			continue
		}
		if w.Mem.Outstanding() {
			add(" calls back", func(w *world) { w.callBack(i) })
		}
		if !w.Mem.Outstanding() && w.saved() {
			add(" gets its 204", func(w *world) { w.acknowledge(i) })
		}
	}
	return all
}

// run lets a worker run the job. A worker drops a duplicate job as the effect of the job's class demands, but
// also calls back for a duplicate.
func (w *world) run(i int) {
	duplicate := w.Effect == Anywhere && w.Runs > 0 || w.Effect == Rack && w.RanIn[i]
	if !duplicate {
		w.Runs++
	}
	w.RanIn[i] = true
	w.Workers[i] = workerState{CallsBack: true}
}

// callBack processes a worker's callback with the result.
func (w *world) callBack(i int) {
	w.applyAndWrite(Event{Kind: AttemptEnded, At: w.Now, Outcome: Done})
	if w.SkippedWait == before204 {
		// The injected fault: the worker gets the response 204 before its result is on disk.
		w.Workers[i].CallsBack, w.ResultAcked = false, true
	}
}

// acknowledge sends the response to a worker's callback.
func (w *world) acknowledge(i int) {
	w.Workers[i].CallsBack = false
	// A callback that comes after a final answer without a result gets a status other than 204, so that the
	// worker's result is not confirmed.
	n := len(w.Mem.Attempts)
	w.ResultAcked = w.ResultAcked || n > 0 && w.Mem.Attempts[n-1].Outcome == Done
}

// submit creates the item in memory and writes it without a sync.
func (w *world) submit() {
	w.Submitted = true
	it := newItem(w.Effect)
	w.Mem = &it
	copied := it
	w.Unsaved = append(w.Unsaved, &copied)
	if w.SkippedWait == beforeAccept {
		w.AcceptConfirmed = true
	}
}

// sync makes all writes durable. The client then gets the confirmation of the item.
func (w *world) sync() {
	w.Disk, w.Unsaved = w.Unsaved[len(w.Unsaved)-1], nil
	w.AcceptConfirmed = true
}

// restartActions appends two restarts of the process with the item on disk to the list all, with and without
// a wall clock that went back.
func (w *world) restartActions(all []action) []action {
	for _, wentBack := range []bool{false, true} {
		all = append(all, action{fmt.Sprint("starts again, the clock went back: ", wentBack), func(w *world) {
			w.Dead, w.ClockWentBack = false, wentBack
			if w.Disk != nil {
				it := *w.Disk
				w.Mem, w.Sent = &it, it.Outstanding() // an outstanding attempt may have been sent before the crash
			}
		}})
	}
	return all
}

// processActions appends the actions of the process on its item, and the passing of time, to the list all.
func (w *world) processActions(all []action) []action {
	add := func(name string, do func(*world)) { all = append(all, action{name, do}) }
	if !w.CallbackWaitOver {
		add("the wait for callbacks is over", func(w *world) { w.CallbackWaitOver = true })
	}
	step, event := Recover(w.Mem, Clock{At: w.Now, WentBack: w.ClockWentBack,
		CallbackWaitOver: w.CallbackWaitOver}, answerRetention)
	switch {
	case step == Apply && w.saved():
		add("it is concluded", func(w *world) { w.applyAndWrite(event) })
	case step == Resume && w.saved() &&
		len(w.Mem.Attempts) < maxModelledAttempts:
		for i, rack := range racks {
			if w.Mem.CheckRoute(w.Now, rack) == nil {
				add("it is routed to "+rack, func(w *world) { w.route(i) })
			}
		}
	}
	if w.Mem.Outstanding() && !w.Sent && w.saved() && !w.CallbackWaitOver {
		last := w.Mem.Attempts[len(w.Mem.Attempts)-1]
		add("it is sent", func(w *world) { w.send(slices.Index(racks, last.Rack)) })
	}
	if w.Mem.Verdict != None && (w.saved() || w.SkippedWait == beforeAnswer) && w.ClientVerdict == None {
		add("its client gets the answer", func(w *world) { w.ClientVerdict = w.Mem.Verdict })
	}
	if w.Now < 4*second {
		add("time passes", func(w *world) { w.Now += 4 * second })
	}
	return all
}

// route records in the item that an attempt is routed to worker i. The job reaches the worker later, by send.
func (w *world) route(i int) {
	w.applyAndWrite(Event{Kind: Routed, At: w.Now, Worker: racks[i], Rack: racks[i]})
	if w.SkippedWait == beforeRoute {
		w.send(i)
	}
}

// send delivers the job of the latest attempt to a worker.
func (w *world) send(i int) {
	w.Sent = true
	w.Workers[i].HasJob = true
}

// Steps implements modelcheck.Model.
func (w *world) Steps() (names []string) {
	for _, a := range w.actions() {
		names = append(names, a.name)
	}
	return names
}

// Step implements modelcheck.Model.
func (w *world) Step(i int) *world {
	a := w.actions()[i]
	w = w.clone()
	a.do(w)
	return w
}

// AppendState implements modelcheck.Model.
func (w *world) AppendState(b []byte) []byte {
	raw, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return append(b, raw...)
}

// Check implements modelcheck.Model.
func (w *world) Check() error {
	switch {
	case w.Violation != "":
		return fmt.Errorf("%s", w.Violation)
	case w.Runs > 1 && w.Effect != Safe:
		return fmt.Errorf("the job ran %d times, want at most once, as the effect of its class is not Safe", w.Runs)
	case w.AcceptConfirmed && w.Disk == nil:
		return fmt.Errorf("the client got the confirmation of its item, but the item is not on disk")
	case w.ClientVerdict != None && w.Disk != nil && w.Mem != nil && w.Mem.Verdict != w.ClientVerdict:
		return fmt.Errorf("the client got the final answer %v, but the verdict in the item is now %v",
			w.ClientVerdict, w.Mem.Verdict)
	case w.ResultAcked && w.ClientVerdict == Failed:
		return fmt.Errorf("a worker got the response 204 for its result, but the client's answer is \"failed\"")
	case w.ClientVerdict == Expired && w.Runs > 0:
		return fmt.Errorf("the client got the final answer \"expired\", but a worker ran the job")
	}
	if w.Disk != nil {
		return w.Disk.Check()
	}
	return nil
}

// TestCrashesInEveryOrder explores all orders of events with crashes at any point, including crashes during
// recovery. No accepted item may be lost, no job may run twice unless the effect of its class allows repeats,
// and no answer may change after a client got the answer.
func TestCrashesInEveryOrder(t *testing.T) {
	for effect := Once; effect <= Safe; effect++ {
		crashes := 3
		if effect >= Anywhere || testing.Short() {
			crashes = 1 // class effects that allow repeated attempts multiply the number of states
		}
		if raceOn {
			crashes = 1 // the race detector makes each explored state ten times as expensive
		}
		tour := modelcheck.Exhaust(&world{Effect: effect, Crashes: crashes}, 300_000)
		if tour.Violation != nil || !tour.Exhausted || tour.States < 1000 {
			t.Errorf(
				"class with effect %d: explored %v, violation %v by actions %q, want all states explored, no violation",
				effect, tour, tour.Violation, tour.Path)
		}
		t.Logf("item of a class with effect %d: the model checker explored %v", effect, tour)
	}
}

// TestEachWaitIsNeeded checks that each of the four waits for a sync to disk that diskWait names is
// necessary: if the process omits any of these waits, the model checker must find an order of events that
// breaks a promise to a client or a worker.
func TestEachWaitIsNeeded(t *testing.T) {
	for _, skipped := range []diskWait{beforeAccept, beforeRoute, before204, beforeAnswer} {
		tour := modelcheck.Exhaust(&world{Effect: Once, Crashes: 2, SkippedWait: skipped}, 1_000_000)
		if tour.Violation == nil {
			t.Errorf("process omits the wait for the disk before %s: got no violation, want one; explored %v",
				skipped, tour)
			continue
		}
		t.Logf("process omits the wait for the disk before %s: got violation %v by actions %q, as expected",
			skipped, tour.Violation, tour.Path)
	}
}
