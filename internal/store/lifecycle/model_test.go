package lifecycle

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"dahliaford/internal/modelcheck"
)

// world is one item, a store that loses what was not synced, a process that is killed at any point and
// recovers, and two workers in two racks. What the process does follows Apply and Recover; what it must
// wait for is in the package's comment.
type world struct {
	Effect           Effect
	Now              Micros
	Mem              *Item   // the item in the process's memory; nil: none, or the process is dead
	Disk             *Item   // what a crash leaves
	Unsaved          []*Item // written and not synced, in order: a crash loses any number of the last ones
	AcceptConfirmed  bool    // the client got the confirmation that the item is accepted
	ClientVerdict    Verdict // the answer that the client got
	ResultAcked      bool    // a worker got its 204 for the result
	Submitted        bool
	Dead             bool
	CallbackWaitOver bool // recovery has waited for callbacks
	ClockWentBack    bool // the clock shows less than the store has seen
	Sent             bool // the current attempt was sent
	Workers          [2]workerState
	Crashes          int
	Runs             int
	RanIn            [2]bool
	Violation        string
	SkippedWait      diskWait // that the process leaves out: an injected fault
}

// diskWait is what the process waits for the disk for, before it does it.
type diskWait string

const (
	beforeAccept diskWait = "accept" // confirm the item to its client
	beforeRoute  diskWait = "route"  // send an attempt
	before204    diskWait = "204"    // confirm a callback to its worker
	beforeAnswer diskWait = "answer" // give the answer to the client
)

// racks has the rack of each worker, by which a worker is called, too.
var racks = []string{"a", "b"}

type workerState struct {
	HasJob    bool // a job that has not run
	CallsBack bool // it ran, and calls back until it is answered
}

const maxModelledAttempts = 2

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

// saved reports whether the process's item is on disk as it is in memory.
func (w *world) saved() bool { return len(w.Unsaved) == 0 }

// applyAndWrite applies an event in the process, which writes the item.
func (w *world) applyAndWrite(e Event) {
	if err := w.Mem.Apply(e); err != nil {
		w.Violation = fmt.Sprintf("event %d at %d: %v", e.Kind, e.At, err)
		return
	}
	it := *w.Mem
	w.Unsaved = append(w.Unsaved, &it)
}

type action struct {
	name string
	do   func(*world)
}

// actions are the things that may happen next. Their order fixes the numbers that Step takes.
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

// killActions end the process while any number of its last writes are lost.
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

// workerActions adds what the workers do, and the responses to their callbacks.
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

// run lets a worker run the job, unless it drops it as a duplicate.
func (w *world) run(i int) {
	duplicate := w.Effect == Anywhere && w.Runs > 0 || w.Effect == Rack && w.RanIn[i]
	if !duplicate {
		w.Runs++
	}
	w.RanIn[i] = true
	w.Workers[i] = workerState{CallsBack: true}
}

func (w *world) callBack(i int) {
	w.applyAndWrite(Event{Kind: AttemptEnded, At: w.Now, Outcome: Done})
	if w.SkippedWait == before204 {
		w.Workers[i].CallsBack, w.ResultAcked = false, true // before its record is on disk
	}
}

func (w *world) acknowledge(i int) {
	w.Workers[i].CallsBack = false
	// A callback after the answer gets a status that says so, and proves nothing more.
	n := len(w.Mem.Attempts)
	w.ResultAcked = w.ResultAcked || n > 0 && w.Mem.Attempts[n-1].Outcome == Done
}

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

func (w *world) sync() {
	w.Disk, w.Unsaved = w.Unsaved[len(w.Unsaved)-1], nil
	w.AcceptConfirmed = true
}

// restartActions start the process again with what is on disk.
func (w *world) restartActions(all []action) []action {
	for _, wentBack := range []bool{false, true} {
		all = append(all, action{fmt.Sprint("starts again, the clock went back: ", wentBack), func(w *world) {
			w.Dead, w.ClockWentBack = false, wentBack
			if w.Disk != nil {
				it := *w.Disk
				w.Mem, w.Sent = &it, it.Outstanding() // it may have been sent before
			}
		}})
	}
	return all
}

// processActions adds what the process does with the item that it has, and the time.
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
		len(w.Mem.Attempts) < maxModelledAttempts: // fewer than allowed: fewer states
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

func (w *world) route(i int) {
	w.applyAndWrite(Event{Kind: Routed, At: w.Now, Worker: racks[i], Rack: racks[i]})
	if w.SkippedWait == beforeRoute {
		w.send(i)
	}
}

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
		return fmt.Errorf("it ran %d times", w.Runs)
	case w.AcceptConfirmed && w.Disk == nil:
		return fmt.Errorf("an accepted item is missing")
	case w.ClientVerdict != None && w.Disk != nil && w.Mem != nil && w.Mem.Verdict != w.ClientVerdict:
		return fmt.Errorf("the client got %v, and now it is %v", w.ClientVerdict, w.Mem.Verdict)
	case w.ResultAcked && w.ClientVerdict == Failed:
		return fmt.Errorf("a result that a worker got its 204 for is missing")
	case w.ClientVerdict == Expired && w.Runs > 0:
		return fmt.Errorf("it expired, and ran")
	}
	if w.Disk != nil {
		return w.Disk.Check()
	}
	return nil
}

// Every order of events, with crashes at any point, one during recovery and one more: an accepted item is
// never missing, none runs twice that must not, no answer changes.
func TestCrashesInEveryOrder(t *testing.T) {
	for effect := Once; effect <= Safe; effect++ {
		crashes := 3
		if effect >= Anywhere || testing.Short() {
			crashes = 1 // retries multiply the states
		}
		if raceOn {
			crashes = 1 // states cost ten times as much
		}
		tour := modelcheck.Exhaust(&world{Effect: effect, Crashes: crashes}, 300_000)
		if tour.Violation != nil || !tour.Exhausted || tour.States < 1000 {
			t.Errorf("effect %d: %v, %v, by %q", effect, tour, tour.Violation, tour.Path)
		}
		t.Logf("effect %d: %v", effect, tour)
	}
}

// Each of the waits is needed: without any one of them a promise breaks.
func TestEachWaitIsNeeded(t *testing.T) {
	for _, skipped := range []diskWait{beforeAccept, beforeRoute, before204, beforeAnswer} {
		tour := modelcheck.Exhaust(&world{Effect: Once, Crashes: 2, SkippedWait: skipped}, 1_000_000)
		if tour.Violation == nil {
			t.Errorf("nothing breaks without the wait before %s: %v", skipped, tour)
			continue
		}
		t.Logf("%s: %v, by %q", skipped, tour.Violation, tour.Path)
	}
}
