package emulator

import (
	"math/rand/v2"
	"strings"
	"time"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// node is a simulated scheduler. It runs the real reducer, which contains the real decision module, and
// executes the reducer's effects on the simulated network in the way in which package node executes them on
// sockets.
type node struct {
	fleet   *fleet
	index   int
	zone    int
	reducer *scheduler.Scheduler
	random  *rand.Rand

	effects      []scheduler.Effect // effects of the present reducer step; the slice is reused
	timerDue     Micros             // time at which the reducer's timer fires; 0 if the timer is not set
	timerCheckAt Micros             // time of the next event that checks timerDue; 0 if there is no such event

	// State of the worker list.
	watch           *watch
	previousWatch   *watch            // earlier watch, in use until the first line arrives on watch
	stoppedWorkers  map[string]bool   // UIDs of the workers to which the reducer forbids new attempts
	workerStarts    map[string]Micros // start times of workers by UID, as listed by discovery
	listAsOf        Micros            // time as of which the worker list of the scheduler is current
	validUntil      Micros            // time after which the worker list is stale
	appliedRevision int64             // latest revision of the worker list that the reducer has processed

	// State of the connections to workers.
	idleConns map[*worker][]*conn // idle connections by worker, the one idle for longest first
	idleOrder []idleEntry         // idle connections to all workers, the one idle for longest first
	openConns int
	attempts  map[scheduler.AttemptID]*conn // connections by the attempt that they carry or cancel
	// lastUnsentAttempt is the most recently abandoned attempt of which no byte had been written.
	lastUnsentAttempt scheduler.AttemptID

	callers    map[scheduler.CallerID]*request // unanswered requests
	lastCaller scheduler.CallerID

	usage nodeUsage
}

// nodeUsage counts the network traffic and the processor time of a scheduler since the load began.
type nodeUsage struct {
	controlBytes, jobBytes         int64 // bytes that the scheduler sent and received
	controlMessages, jobMessages   int64
	currentSecond                  Micros // second of virtual time, counted from 0, that bytesInSecond covers
	bytesInSecond, peakSecondBytes int64  // bytes to and from discovery, now and in the busiest second
	// reducerTime is the processor time that the reducer took for all events, and controlTime the processor
	// time for the control events, which are those about the worker list and its watch.
	reducerTime, controlTime time.Duration
	// busyUntil is the virtual time at which a reducer with a core of its own has processed all events so
	// far. controlBusyUntil is the time at which a reducer with the fraction controlCoreBudget of a core has
	// processed all control events so far.
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

// countControlMessage counts a message to or from the discovery service.
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

// submit handles the arrival of a client's request.
func (n *node) submit(req *request) {
	n.lastCaller++
	n.callers[n.lastCaller] = req
	req.recordReceipt()
	n.countJobMessage(requestBytes)
	n.step(scheduler.Submitted{
		Caller:    n.lastCaller,
		RequestID: req.id,
		Class:     classes[req.job.class].name,
		Tenant:    tenantName(req.job.tenant),
		Deadline:  n.fleet.now + req.timeout/millisecond*millisecond,
		Slots:     req.job.slots,
		Retry:     req.job.submissions > 1,
		Payload:   req,
	})
}

// step passes one event to the reducer and executes the effects that the reducer returns.
func (n *node) step(e scheduler.Event) {
	began := time.Now()
	n.effects = n.reducer.Step(n.fleet.now, e, n.effects[:0])
	n.fleet.meter.recordStep(n, e, time.Since(began))
	for _, effect := range n.effects {
		n.execute(effect)
	}
}

// stepLater schedules a reducer step for the present time, after all actions already scheduled for that time.
// Effects use stepLater because effects are executed within a step, and steps must not be nested.
func (n *node) stepLater(e scheduler.Event) { n.fleet.scheduleAfter(0, func() { n.step(e) }) }

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
		n.timerDue = e.At
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

// cancelUnsent ends an attempt as not sent, unless a part of the attempt has been written to a connection.
func (n *node) cancelUnsent(attempt scheduler.AttemptID) {
	c := n.attempts[attempt]
	if c == nil || c.writing {
		return
	}
	delete(n.attempts, attempt)
	n.closeConn(c)
	n.stepLater(scheduler.AttemptEnded{Attempt: attempt, Outcome: dispatch.NotSent})
}

// logTemplate returns a log line with each number replaced by N, so that lines that differ only in numbers
// are counted together.
func logTemplate(text string) string {
	fields := strings.Fields(text)
	for i, field := range fields {
		if strings.Trim(field, "0123456789") == "" {
			fields[i] = "N"
		}
	}
	return strings.Join(fields, " ")
}

// armTimer schedules an event that checks the reducer's timer, unless such an event is already scheduled for
// no later than the timer.
func (n *node) armTimer() {
	at := max(n.timerDue, n.fleet.now)
	if n.timerCheckAt != 0 && n.timerCheckAt <= at {
		return
	}
	n.timerCheckAt = at
	n.fleet.scheduleAt(at, func() {
		if n.timerCheckAt != at {
			return // A timer check scheduled for an earlier time replaces this check.
		}
		n.timerCheckAt = 0
		switch {
		case n.timerDue == 0:
		case n.timerDue <= n.fleet.now:
			n.timerDue = 0
			n.step(scheduler.TimerFired{})
		default:
			n.armTimer()
		}
	})
}
