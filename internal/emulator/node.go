package emulator

import (
	"math/rand/v2"
	"strings"
	"time"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// node is a simulated scheduler: the real reducer and decision module, and in place of sockets what
// package node does on them.
type node struct {
	fleet   *fleet
	index   int
	zone    int
	reducer *scheduler.Scheduler
	random  *rand.Rand

	effects []scheduler.Effect // of one step; the slice is used again
	wakeAt  Micros             // the reducer's timer; 0: not set
	timerAt Micros             // of the next event that checks wakeAt; 0: none

	// The worker list.
	watch           *watch
	previousWatch   *watch // in use until watch has its first line
	stoppedWorkers  map[string]bool
	workerStarts    map[string]Micros // by UID, for workers that discovery listed with a start
	listAsOf        Micros            // the list is known as of then
	validUntil      Micros            // the list is stale from then on
	appliedRevision int64

	// Connections to workers.
	idleConns  map[*worker][]*conn
	idleOrder  []idleEntry // of all workers, the longest idle first
	openConns  int
	attempts   map[scheduler.AttemptID]*conn
	lastUnsent scheduler.AttemptID // the last attempt that was closed before anything of it was written

	callers    map[scheduler.CallerID]*request
	lastCaller scheduler.CallerID

	usage nodeUsage
}

// nodeUsage is what a scheduler has used since the load began.
type nodeUsage struct {
	controlBytes, jobBytes         int64 // sent and received
	controlMessages, jobMessages   int64
	currentSecond                  Micros // that bytesInSecond counts
	bytesInSecond, peakSecondBytes int64  // of control messages
	reducerTime, controlTime       time.Duration
	// Until when the reducer is busy: with a core for everything, and with the control budget for
	// control events alone.
	busyUntil, controlBusyUntil time.Duration
}

func newNode(f *fleet, index, zone int) (*node, error) {
	set := f.settings
	set.Dispatch.Index, set.Dispatch.Zone = index, zone
	reducer, err := scheduler.New(set, f.options.Seed<<20+uint64(index))
	if err != nil {
		return nil, err
	}
	return &node{
		fleet:           f,
		index:           index,
		zone:            zone,
		reducer:         reducer,
		random:          f.newRandom(nodeStreams + uint64(index)),
		stoppedWorkers:  map[string]bool{},
		workerStarts:    map[string]Micros{},
		appliedRevision: 1,
		idleConns:       map[*worker][]*conn{},
		attempts:        map[scheduler.AttemptID]*conn{},
		callers:         map[scheduler.CallerID]*request{},
	}, nil
}

// countControlMessage counts a message to or from discovery.
func (n *node) countControlMessage(bytes int) {
	u := &n.usage
	u.controlBytes += int64(bytes)
	u.controlMessages++
	if now := n.fleet.now / second; now != u.currentSecond {
		u.currentSecond, u.bytesInSecond = now, 0
	}
	u.bytesInSecond += int64(bytes)
	u.peakSecondBytes = max(u.peakSecondBytes, u.bytesInSecond)
	n.fleet.meter.countControlBytes(n.fleet, bytes)
}

// countJobMessage counts a message to or from a client or a worker.
func (n *node) countJobMessage(bytes int) {
	n.usage.jobBytes += int64(bytes)
	n.usage.jobMessages++
}

// submit handles a client's request.
func (n *node) submit(req *request) {
	n.lastCaller++
	n.callers[n.lastCaller] = req
	req.received()
	n.countJobMessage(requestBytes)
	n.step(scheduler.Submitted{
		Caller:    n.lastCaller,
		RequestID: req.id,
		Class:     classes[req.job.class].name,
		Tenant:    teamName(req.job.team),
		Deadline:  n.fleet.now + req.timeout/millisecond*millisecond,
		Slots:     req.job.slots,
		Retry:     req.job.submissions > 1,
		Payload:   req,
	})
}

// step passes one event to the reducer and executes its effects.
func (n *node) step(e scheduler.Event) {
	began := time.Now()
	n.effects = n.reducer.Step(n.fleet.now, e, n.effects[:0])
	n.fleet.meter.recordStep(n, e, time.Since(began))
	for _, effect := range n.effects {
		n.execute(effect)
	}
}

// stepLater passes an event to the reducer behind all that is scheduled for now: an effect must not
// start a step within a step.
func (n *node) stepLater(e scheduler.Event) { n.fleet.after(0, func() { n.step(e) }) }

func (n *node) execute(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.SendAttempt:
		n.sendAttempt(e)
	case scheduler.CloseConnection:
		n.abandonAttempt(e.Attempt)
	case scheduler.CancelUnsent:
		n.cancelUnsent(e.Attempt)
	case scheduler.CancelAttempt:
		n.cancelAttempt(e)
	case scheduler.Answer:
		n.answer(e)
	case scheduler.SetTimer:
		n.wakeAt = e.At
		n.armTimer()
	case scheduler.OpenWatch:
		n.openWatch(e)
	case scheduler.StopUsingWorker:
		n.stoppedWorkers[e.UID] = true
		n.closeIdleTo(n.fleet.byUID[e.UID])
	case scheduler.ResumeWorker:
		delete(n.stoppedWorkers, e.UID)
	case scheduler.Log:
		n.fleet.tally.model.LogLines[logTemplate(e.Text)]++
	}
}

// answer writes the answer to a client.
func (n *node) answer(a scheduler.Answer) {
	req := n.callers[a.Caller]
	if req == nil {
		return
	}
	delete(n.callers, a.Caller)
	n.countJobMessage(answerBytes + len(a.Body))
	req.recordAnswer(a)
	n.fleet.network.send(n.zone, req.zone, answerBytes, func() { n.fleet.clients.handleAnswer(req, a) })
}

// cancelUnsent keeps an attempt back if nothing of it was written yet.
func (n *node) cancelUnsent(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil || c.writing {
		return
	}
	delete(n.attempts, attempt)
	n.closeConn(c)
	n.stepLater(scheduler.AttemptEnded{Attempt: attempt, Outcome: dispatch.NotSent})
}

// logTemplate is a line of the log without its numbers.
func logTemplate(text string) string {
	fields := strings.Fields(text)
	for i, field := range fields {
		if strings.Trim(field, "0123456789") == "" {
			fields[i] = "N"
		}
	}
	return strings.Join(fields, " ")
}

// armTimer schedules a check of the reducer's timer, unless one that is early enough is scheduled.
func (n *node) armTimer() {
	at := max(n.wakeAt, n.fleet.now)
	if n.timerAt != 0 && n.timerAt <= at {
		return
	}
	n.timerAt = at
	n.fleet.at(at, func() {
		if n.timerAt != at {
			return // an earlier check was scheduled since
		}
		n.timerAt = 0
		switch {
		case n.wakeAt == 0:
		case n.wakeAt <= n.fleet.now:
			n.wakeAt = 0
			n.step(scheduler.TimerFired{})
		default:
			n.armTimer()
		}
	})
}
