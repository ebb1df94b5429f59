package modelcheck

import (
	"fmt"

	"dahliaford/internal/connstate"
	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// ActionKind is a kind of step that the world can take.
type ActionKind uint8

// The kinds of steps. A is the number of a request, worker, route, job, call or
// withdrawal; B picks among ways.
const (
	Submit ActionKind = iota
	SubmitDuplicate
	RenewRequest
	ClientDisconnects
	RefuseConnection
	WriteRequest
	DeliverWritten
	ArriveAtWorker // B: a way below
	BreakConnection
	DeliverBroken
	DeliverAnswer
	CloseArrives // B: 0 in time, 1 after the worker's 202
	StartJob
	FinishJob
	FailJob
	HandBackJob
	AbortJob
	DeliverCallback
	DuplicateCallback
	DropCallback
	CancellationArrives
	CancellationAnswered
	CancellationBreaks
	ProcessCrashes
	ProcessRestarts
	MachineUnreachable
	MachineReachable
	AnnounceDraining
	AnnounceRemoved
	AnnounceReady
	CloseWatch
	AnswerWatch
	RestartDiscovery
	ReloadConfig
	Terminate
	PanicModule
	AdvanceTime
	AdvanceJustBefore
	AdvanceJustAfter
	DeliverNotSent
	kinds
)

// The ways in which a request ends up at a worker, and a connection breaks.
const (
	accept uint8 = iota
	turnAway
	replyError
	replyReject
)

const (
	breakLost   uint8 = iota // the request never came
	breakRan                 // it came and ran, and ended with the connection
	breakAnswer              // the worker's answer is lost
	breakIdle                // the worker had accepted
)

var kindNames = [kinds]string{"submit", "submit-again", "renew", "client-leaves", "refuse-route", "write",
	"hear-written",
	"arrive", "break-route", "hear-broken", "hear-answer", "close-arrives", "begin", "finish", "fail-job",
	"hand-back-job", "kill-job", "tell", "tell-and-keep", "lose-call", "withdraw-arrives", "withdraw-answered",
	"withdraw-breaks", "process-dies", "process-starts", "machine-silent", "machine-back", "say-draining",
	"say-gone", "say-ready", "watch-lost", "watch-answered", "watch-anew", "reload", "sigterm", "module-breaks",
	"tick", "just-before", "just-after", "hear-kept"}

func (k ActionKind) String() string { return kindNames[k] }

// Action is one step of the world.
type Action struct {
	Kind ActionKind
	A, B uint8
}

func (a Action) String() string { return fmt.Sprintf("%v %d %d", a.Kind, a.A, a.B) }

const jitter = 1 * millisecond

// can tells whether a fault is left in the budget.
func (w *World) can(f Fault) bool { return w.left[f] > 0 && w.most > 0 && !w.quiet }

func (w *World) spend(f Fault) {
	if w.left[f] == 0 || w.most == 0 {
		panic("explore: a fault beyond its budget")
	}
	w.left[f]--
	w.most--
}

// due is the next time at which something must happen, and 0 if nothing must.
func (w *World) due() Micros {
	at := w.wake
	for i := range w.routes {
		if r := &w.routes[i]; r.phase == connecting && (at == 0 || r.writeBy < at) {
			at = r.writeBy
		}
	}
	return at
}

// busy tells whether time matters: somebody waits, or something is still to be done.
func (w *World) busy() bool {
	if !w.over() || len(w.withdraws) > 0 || w.stopped {
		return true
	}
	for i := range w.routes {
		if w.routes[i].phase == connecting {
			return true // it may leave late, for nobody
		}
	}
	return false
}

// enabled appends the steps that the world can take now.
func (w *World) enabled(out []Action) []Action {
	if w.exited || w.broke != nil {
		return out
	}
	add := func(k ActionKind, a, b int) { out = append(out, Action{k, uint8(a), uint8(b)}) }
	first := true // of those not sent yet: the client sends them in order
	for i := range w.requests {
		q := &w.requests[i]
		switch {
		case q.state == unsent && first && !w.quiet:
			add(Submit, i, 0)
			first = false
		case q.state == open && w.can(FaultClientDisconnect):
			add(ClientDisconnects, i, 0)
		}
		if q.state != unsent && int(q.id) == i && w.can(FaultDuplicateID) && len(w.requests) < mostRequests {
			add(SubmitDuplicate, i, 0)
		}
	}
	if w.cfg.RenewRequests && !w.quiet {
		for i := range w.requests {
			if w.forgotten(uint8(i)) {
				add(RenewRequest, i, 0)
			}
		}
	}
	for i := range w.routes {
		out = w.routeSteps(i, out)
	}
	for i := range w.jobs {
		j := &w.jobs[i]
		if !j.running {
			add(StartJob, i, 0)
			if w.can(FaultJobHandedBack) {
				add(HandBackJob, i, 0)
			}
		} else {
			add(FinishJob, i, 0)
			if w.can(FaultJobFailed) {
				add(FailJob, i, 0)
			}
		}
		if w.can(FaultJobAborted) {
			add(AbortJob, i, 0)
		}
	}
	for i := range w.calls {
		if w.workers[w.calls[i].worker].silent {
			continue
		}
		add(DeliverCallback, i, 0)
		if w.can(FaultDuplicateCallback) {
			add(DuplicateCallback, i, 0)
		}
		if w.can(FaultDroppedCallback) {
			add(DropCallback, i, 0)
		}
	}
	for i := range w.withdraws {
		wd := &w.withdraws[i]
		switch {
		case wd.phase == replied:
			add(CancellationAnswered, i, 0)
		case !w.workers[wd.worker].silent && (w.cfg.DeleteOvertakesRequest || !w.onItsWay(wd)):
			add(CancellationArrives, i, 0)
		}
		if wd.phase != replied && w.can(FaultConnectionBroken) {
			add(CancellationBreaks, i, 0)
		}
	}
	for i := range w.workers {
		r := &w.workers[i]
		switch {
		case r.down:
			add(ProcessRestarts, i, 0)
		case w.can(FaultProcessCrash):
			add(ProcessCrashes, i, 0)
		}
		switch {
		case r.silent:
			add(MachineReachable, i, 0)
		case w.can(FaultMachineUnreachable) && !r.down:
			add(MachineUnreachable, i, 0)
		}
		if w.can(FaultEndpointStatus) {
			if r.status == dispatch.Ready {
				add(AnnounceDraining, i, 0)
			} else {
				add(AnnounceReady, i, 0)
			}
			if r.status != dispatch.Removed {
				add(AnnounceRemoved, i, 0)
			}
		}
	}
	if w.asked {
		add(AnswerWatch, 0, 0)
		if w.can(FaultWatchClosed) {
			add(RestartDiscovery, 0, 0)
		}
	}
	if w.can(FaultWatchClosed) {
		add(CloseWatch, 0, 0)
	}
	if w.can(FaultReload) {
		add(ReloadConfig, 0, 0)
	}
	if w.can(FaultShutdown) && !w.stopped {
		add(Terminate, 0, 0)
	}
	if w.can(FaultModulePanic) && !w.breaks {
		add(PanicModule, 0, 0)
	}
	if due := w.due(); due != 0 && w.busy() {
		add(AdvanceTime, 0, 0)
		if w.can(FaultTimerJitter) && due > w.now+jitter {
			add(AdvanceJustBefore, 0, 0)
		}
		if w.can(FaultTimerJitter) && due == w.wake && due > w.now {
			add(AdvanceJustAfter, 0, 0)
		}
	}
	return out
}

// forgotten tells whether a request is over and nothing of it is left anywhere.
func (w *World) forgotten(id uint8) bool {
	q := &w.requests[id]
	if q.id != id || q.state == unsent || q.state == open || q.stage == stageConnecting ||
		w.s.Stats().Cancellations > 0 {
		return false
	}
	for i := range w.requests {
		if i != int(id) && w.requests[i].id == id {
			return false
		}
	}
	for i := range w.routes {
		if w.routes[i].id == id {
			return false
		}
	}
	for i := range w.calls {
		if w.calls[i].id == id {
			return false
		}
	}
	for i := range w.withdraws {
		if w.withdraws[i].id == id {
			return false
		}
	}
	for i := range w.jobs {
		if w.jobs[i].id == id {
			return false
		}
	}
	return true
}

// onItsWay tells whether a request that a withdrawal is about is still on its way there.
func (w *World) onItsWay(wd *withdraw) bool {
	for i := range w.routes {
		if r := &w.routes[i]; r.attempt == wd.attempt && r.phase == closing {
			return true
		}
	}
	return false
}

func (w *World) routeSteps(i int, out []Action) []Action {
	r := &w.routes[i]
	to := &w.workers[r.worker]
	add := func(k ActionKind, b uint8) { out = append(out, Action{k, uint8(i), b}) }
	if r.unheard {
		add(DeliverWritten, 0)
	}
	switch r.phase {
	case connecting:
		switch {
		case to.silent: // it never comes up
		case to.down:
			add(RefuseConnection, 0)
		default:
			add(WriteRequest, 0)
			if w.can(FaultConnectionRefused) {
				add(RefuseConnection, 0)
			}
		}
	case written:
		if to.silent {
			break
		}
		add(ArriveAtWorker, accept)
		if to.status != dispatch.Ready || w.can(FaultAtCapacity) {
			add(ArriveAtWorker, turnAway)
		}
		if w.can(FaultServerError) {
			add(ArriveAtWorker, replyError)
		}
		if w.can(FaultRejected) {
			add(ArriveAtWorker, replyReject)
		}
		if w.can(FaultConnectionBroken) {
			add(BreakConnection, breakLost)
			add(BreakConnection, breakRan)
		}
	case replied:
		if to.silent {
			break
		}
		if !r.unheard || w.cfg.AnswerOvertakesWrite {
			add(DeliverAnswer, 0)
		}
		if w.can(FaultConnectionBroken) {
			add(BreakConnection, breakAnswer)
		}
	case idle:
		if w.can(FaultConnectionBroken) {
			add(BreakConnection, breakIdle)
		}
	case broken:
		if !r.unheard || w.cfg.AnswerOvertakesWrite {
			add(DeliverBroken, 0)
		}
	case closing:
		if !to.silent {
			add(CloseArrives, 0)
			add(CloseArrives, 1)
		}
	case kept:
		add(DeliverNotSent, 0)
	}
	return out
}

// fair appends the step that a fair world takes next, or nothing once it is at rest.
func (w *World) fair(out []Action) []Action {
	for i := range w.workers {
		r := &w.workers[i]
		if r.silent {
			return append(out, Action{MachineReachable, uint8(i), 0})
		}
	}
	if w.asked {
		return append(out, Action{Kind: AnswerWatch})
	}
	for i := range w.routes {
		var steps []Action
		for _, a := range w.routeSteps(i, steps) {
			if a.Kind != CloseArrives || a.B == 1 { // the worst that may be of a close
				return append(out, a)
			}
		}
	}
	if len(w.calls) > 0 {
		return append(out, Action{Kind: DeliverCallback})
	}
	for i := range w.withdraws {
		if w.withdraws[i].phase == replied {
			return append(out, Action{CancellationAnswered, uint8(i), 0})
		}
		return append(out, Action{CancellationArrives, uint8(i), 0})
	}
	if w.exited || w.wake == 0 || w.over() && w.wake > w.rest {
		return out
	}
	return append(out, Action{Kind: AdvanceTime})
}

// mostRest is how long a fair world goes on after the last answer: longer than anything is
// kept, and than a worker that may hold a given-up attempt is called.
const mostRest = 20 * second

// apply takes one step. A step that is not enabled must not be passed.
func (w *World) apply(a Action) {
	i := int(a.A)
	if w.notes != nil {
		w.note("-- %s", w.words(a))
	}
	switch a.Kind {
	case Submit:
		q := &w.requests[i]
		w.submit(q)
	case SubmitDuplicate:
		w.spend(FaultDuplicateID)
		w.requests = append(w.requests, request{class: w.requests[i].class, id: uint8(i)})
		w.submit(&w.requests[len(w.requests)-1])
	case RenewRequest:
		q := &w.requests[i]
		*q = request{class: q.class, id: q.id, gen: q.gen + 1}
	case ClientDisconnects:
		w.spend(FaultClientDisconnect)
		q := &w.requests[i]
		q.state, q.leftAt = gone, w.now
		w.step(scheduler.ClientDisconnected{Caller: q.caller})
	case DeliverCallback, DuplicateCallback, DropCallback:
		w.applyCall(a, i)
	case StartJob, FinishJob, FailJob, HandBackJob, AbortJob:
		w.applyJob(a, i)
	case CancellationArrives, CancellationAnswered, CancellationBreaks:
		w.applyWithdraw(a, i)
	case ProcessCrashes, ProcessRestarts, MachineUnreachable, MachineReachable, AnnounceDraining, AnnounceRemoved, AnnounceReady:
		w.applyWorker(a, i)
	case CloseWatch:
		w.spend(FaultWatchClosed)
		w.step(scheduler.WatchClosed{ValidUntil: w.lost()})
	case AnswerWatch:
		w.answerWatch()
	case RestartDiscovery:
		w.spend(FaultWatchClosed)
		w.rev = 1
		w.answerWatch()
	case ReloadConfig:
		w.spend(FaultReload)
		w.step(scheduler.Reloaded{Discovery: "another"})
	case Terminate:
		w.spend(FaultShutdown)
		w.stopped, w.stopAt = true, w.now
		w.step(scheduler.ShutdownRequested{})
	case PanicModule:
		w.spend(FaultModulePanic)
		w.breaks = true
	case AdvanceTime, AdvanceJustBefore, AdvanceJustAfter:
		w.applyTime(a)
	default:
		w.applyRoute(a, i)
	}
	w.letIdleGo()
	w.inTime()
}

// letIdleGo drops connections whose attempt is over: nothing that happens to them counts.
func (w *World) letIdleGo() {
	for i := len(w.routes) - 1; i >= 0; i-- {
		r := &w.routes[i]
		if q := &w.requests[r.id]; r.phase == idle && (q.last != r.attempt || q.stage >= stageGivenUp ||
			!w.can(FaultConnectionBroken)) {
			w.dropRoute(i)
		}
	}
}

func (w *World) submit(q *request) {
	w.caller++
	q.state, q.caller, q.deadline = open, w.caller, w.now+q.class.deadline()
	w.step(scheduler.Submitted{Caller: q.caller, ID: w.txn(q.id), Class: q.class.String(), Tenant: "sahel",
		Deadline: q.deadline, Slots: 1})
}

func (w *World) applyRoute(a Action, i int) {
	r := &w.routes[i]
	if a.Kind == WriteRequest && w.holdsBack(&w.workers[r.worker]) {
		r.phase = kept
		return
	}
	if a.Kind == WriteRequest {
		w.writes(r)
		r.phase, r.unheard, r.sent = written, true, w.now
		if !w.cfg.AnswerOvertakesWrite {
			w.hearWritten(i)
		}
		return
	}
	switch a.Kind {
	case DeliverWritten:
		w.hearWritten(i)
	case DeliverNotSent:
		w.endRoute(i, scheduler.AttemptEnded{Attempt: r.attempt, Outcome: dispatch.NotSent})
	case RefuseConnection:
		if !w.workers[r.worker].down {
			w.spend(FaultConnectionRefused)
		}
		_, e := r.link.WriteEnded(connstate.ConnectRefused)
		w.endRoute(i, e)
	case ArriveAtWorker:
		w.arrive(i, a.B)
	case BreakConnection:
		w.spend(FaultConnectionBroken)
		if a.B == breakIdle {
			_, e := r.link.ReadEnded()
			w.endRoute(i, e)
			return
		}
		if a.B == breakRan {
			w.arrives(r)
			w.runs(r.id, r.worker, r.sent)
		}
		r.phase = broken
	case DeliverBroken:
		_, e := r.link.ReadEnded()
		if e == nil {
			r.phase = halfHeard // the writer's word is still to come
			return
		}
		w.endRoute(i, e)
	case DeliverAnswer:
		_, e := r.link.Answered(connstate.Answer{Status: r.status, TurnedAway: r.status == 503})
		if r.status == 202 && e != nil {
			r.phase, r.unheard = idle, false
			w.step(e)
			return
		}
		w.endRoute(i, e)
	case CloseArrives:
		id, worker, sent, attempt := r.id, r.worker, r.sent, r.attempt
		if a.B == 1 && !w.workers[worker].down {
			w.arrives(r)
			w.jobs = append(w.jobs, job{id: id, worker: worker, attempt: attempt, sent: sent})
		}
		w.dropRoute(i)
	}
}

func (w *World) hearWritten(i int) {
	r := &w.routes[i]
	r.unheard = false
	if q := &w.requests[r.id]; q.last == r.attempt && q.stage == stageConnecting {
		q.stage = stageWritten
	}
	if _, e := r.link.WriteEnded(connstate.WriteComplete); e != nil {
		w.endRoute(i, e)
	}
}

// endRoute drops a route whose errand is over and passes on what that means.
func (w *World) endRoute(i int, e scheduler.Event) {
	w.dropRoute(i)
	if e != nil {
		w.step(e)
	}
}

func (w *World) arrive(i int, way uint8) {
	r := &w.routes[i]
	r.phase = replied
	switch way {
	case accept:
		w.arrives(r)
		r.status = 202
		w.jobs = append(w.jobs, job{id: r.id, worker: r.worker, attempt: r.attempt, sent: r.sent})
	case turnAway:
		if w.workers[r.worker].status == dispatch.Ready {
			w.spend(FaultAtCapacity)
		}
		w.arrives(r)
		r.status = 503
	case replyError:
		w.spend(FaultServerError)
		w.arrives(r)
		w.runs(r.id, r.worker, r.sent)
		r.status = 500
	case replyReject:
		w.spend(FaultRejected)
		r.status = 400
	}
}

func (w *World) applyJob(a Action, i int) {
	j := w.jobs[i]
	say := func(n scheduler.CallbackKind) { w.calls = append(w.calls, call{j.id, j.worker, n}) }
	switch a.Kind {
	case StartJob:
		w.jobs[i].running = true
		w.runs(j.id, j.worker, j.sent)
		say(scheduler.CallbackStarted)
		return
	case FinishJob:
		w.requests[j.id].made |= 1 << j.worker
		say(scheduler.CallbackDone)
	case FailJob:
		w.spend(FaultJobFailed)
		say(scheduler.CallbackFailed)
	case HandBackJob:
		w.spend(FaultJobHandedBack)
		say(scheduler.CallbackHandedBack)
	case AbortJob:
		w.spend(FaultJobAborted)
		if !j.running { // nobody can say that it did not run
			w.runs(j.id, j.worker, j.sent)
		}
		say(scheduler.CallbackAborted)
	}
	w.dropJob(i)
}

func (w *World) applyCall(a Action, i int) {
	c := w.calls[i]
	switch a.Kind {
	case DropCallback:
		w.spend(FaultDroppedCallback)
		w.dropCall(i)
		return
	case DuplicateCallback:
		w.spend(FaultDuplicateCallback)
	case DeliverCallback:
		w.dropCall(i)
	}
	told := scheduler.Callback{ID: w.txn(c.id), From: uid(int(c.worker)), Kind: c.news}
	if c.news == scheduler.CallbackDone {
		told.Result = []byte(w.txn(c.id) + " by " + uid(int(c.worker)))
	}
	w.step(told)
}

func (w *World) applyWithdraw(a Action, i int) {
	wd := &w.withdraws[i]
	var e scheduler.Event
	switch a.Kind {
	case CancellationArrives:
		if w.workers[wd.worker].down {
			_, e = wd.link.WriteEnded(connstate.ConnectRefused)
			break
		}
		if j := w.jobOf(wd.id, wd.worker); j >= 0 {
			w.dropJob(j)
		}
		wd.phase = replied
		return
	case CancellationAnswered:
		wd.link.WriteEnded(connstate.WriteComplete)
		_, e = wd.link.Answered(connstate.Answer{Status: 200})
	case CancellationBreaks:
		w.spend(FaultConnectionBroken)
		wd.link.WriteEnded(connstate.WriteComplete)
		_, e = wd.link.ReadEnded()
	}
	w.dropWithdraw(i)
	w.step(e)
}

func (w *World) applyWorker(a Action, i int) {
	r := &w.workers[i]
	switch a.Kind {
	case ProcessCrashes:
		w.spend(FaultProcessCrash)
		r.down = true
		for n := len(w.jobs) - 1; n >= 0; n-- {
			if j := w.jobs[n]; int(j.worker) == i {
				w.calls = append(w.calls, call{j.id, j.worker, scheduler.CallbackAborted})
				w.dropJob(n)
			}
		}
		for n := len(w.routes) - 1; n >= 0; n-- {
			if t := &w.routes[n]; int(t.worker) == i {
				switch t.phase {
				case written:
					t.phase = broken
				case closing:
					w.dropRoute(n)
				}
			}
		}
		return
	case ProcessRestarts:
		r.down = false
		r.begun, r.fresh = w.now, nil
	case MachineUnreachable:
		w.spend(FaultMachineUnreachable)
		r.silent = true
		return
	case MachineReachable:
		r.silent = false
		return
	case AnnounceDraining:
		w.spend(FaultEndpointStatus)
		r.status = dispatch.Draining
	case AnnounceRemoved:
		w.spend(FaultEndpointStatus)
		r.status = dispatch.Removed
	case AnnounceReady:
		w.spend(FaultEndpointStatus)
		r.status = dispatch.Ready
	}
	switch {
	case r.status == dispatch.Ready:
		r.made = 0
	case r.made == 0:
		if r.made = w.now; w.moved != 0 {
			r.made = max(w.now, w.moved+movedWithin) // what a new configuration's discovery has counts then
		}
	}
	w.rev++
	if w.watching {
		w.told()
		w.step(scheduler.EndpointsUpdated{List: w.list(false, i)})
	}
}

func (w *World) applyTime(a Action) {
	due := w.due()
	switch a.Kind {
	case AdvanceJustBefore:
		w.spend(FaultTimerJitter)
		w.now = due - jitter
		return
	case AdvanceJustAfter:
		w.spend(FaultTimerJitter)
		w.now = due + jitter
		return
	}
	w.now = max(w.now, due)
	for i := range w.routes {
		if r := &w.routes[i]; r.phase == connecting && r.writeBy <= w.now {
			_, e := r.link.WriteEnded(connstate.WriteFailed)
			w.endRoute(i, e)
			return
		}
	}
	if w.wake != 0 && w.wake <= w.now {
		w.wake = 0
		w.step(scheduler.TimerFired{})
	}
}

// words says in words what a step does, before it is taken.
func (w *World) words(a Action) string {
	i := int(a.A)
	switch a.Kind {
	case Submit, SubmitDuplicate:
		q := &w.requests[i]
		return fmt.Sprintf("client submits %s, a %v, and waits %v", w.txn(q.id), q.class, span(q.class.deadline()))
	case RenewRequest:
		return fmt.Sprintf("%s is over; another request takes its place", w.txn(uint8(i)))
	case ClientDisconnects:
		return fmt.Sprintf("client of %s leaves", w.txn(w.requests[i].id))
	case RefuseConnection, WriteRequest, DeliverWritten, ArriveAtWorker, BreakConnection, DeliverBroken, DeliverAnswer, CloseArrives, DeliverNotSent:
		r := &w.routes[i]
		what := map[ActionKind]string{RefuseConnection: "its connection does not come up", WriteRequest: "is written out",
			DeliverWritten: "loop hears that it is written", DeliverBroken: "loop hears that its connection ended",
			DeliverNotSent: "loop hears that nothing of it has left",
			DeliverAnswer:  fmt.Sprintf("loop hears the answer %d", r.status)}[a.Kind]
		switch a.Kind {
		case ArriveAtWorker:
			what = [...]string{"arrives and is accepted (202 on its way)", "arrives and is turned away",
				"arrives and gets a 500", "arrives and gets a 400"}[a.B]
		case BreakConnection:
			what = [...]string{"connection breaks, nothing arrived", "arrives and runs until its connection breaks",
				"connection breaks, the worker's answer is lost", "connection ends after the 202"}[a.B]
		case CloseArrives:
			what = [...]string{"our close arrives before its 202",
				"our close crosses its 202: the worker holds it"}[a.B]
		}
		return fmt.Sprintf("attempt %d (%s at %s): %s", r.attempt, w.txn(r.id), uid(int(r.worker)), what)
	case StartJob, FinishJob, FailJob, HandBackJob, AbortJob:
		j := &w.jobs[i]
		what := map[ActionKind]string{StartJob: "begins to run", FinishJob: "is done", FailJob: "fails",
			HandBackJob: "hands back unstarted", AbortJob: "loses"}[a.Kind]
		if a.Kind == HandBackJob || a.Kind == AbortJob {
			return fmt.Sprintf("%s %s %s", uid(int(j.worker)), what, w.txn(j.id))
		}
		return fmt.Sprintf("%s at %s %s", w.txn(j.id), uid(int(j.worker)), what)
	case DeliverCallback, DuplicateCallback, DropCallback:
		c := &w.calls[i]
		news := map[scheduler.CallbackKind]string{scheduler.CallbackStarted: "started", scheduler.CallbackDone: "done",
			scheduler.CallbackFailed: "failed", scheduler.CallbackHandedBack: "returned", scheduler.CallbackAborted: "lost"}[c.news]
		end := map[ActionKind]string{DeliverCallback: "", DuplicateCallback: " (and will again)",
			DropCallback: ", which never gets through"}[a.Kind]
		return fmt.Sprintf("%s calls back: %s %s%s", uid(int(c.worker)), w.txn(c.id), news, end)
	case CancellationArrives, CancellationAnswered, CancellationBreaks:
		wd := &w.withdraws[i]
		what := map[ActionKind]string{CancellationArrives: "comes", CancellationAnswered: "is answered",
			CancellationBreaks: "breaks off"}
		return fmt.Sprintf("DELETE of %s to %s %s", w.txn(wd.id), uid(int(wd.worker)), what[a.Kind])
	case ProcessCrashes, ProcessRestarts, MachineUnreachable, MachineReachable, AnnounceDraining, AnnounceRemoved, AnnounceReady:
		what := map[ActionKind]string{ProcessCrashes: "its process dies", ProcessRestarts: "its process starts again",
			MachineUnreachable: "its machine falls silent", MachineReachable: "its machine is back",
			AnnounceDraining: "is said to drain", AnnounceRemoved: "is said to be gone", AnnounceReady: "is said to be ready"}
		return fmt.Sprintf("%s: %s", uid(i), what[a.Kind])
	case AdvanceTime:
		return fmt.Sprintf("%v pass", span(max(w.due()-w.now, 0)))
	}
	return map[ActionKind]string{CloseWatch: "the watch of the worker list is lost",
		AnswerWatch: "discovery answers the watch", RestartDiscovery: "discovery answers, its list started anew",
		ReloadConfig: "a new configuration holds", Terminate: "SIGTERM",
		PanicModule:       "the module is about to break down",
		AdvanceJustBefore: "time passes until just before the next due point",
		AdvanceJustAfter:  "time passes until just after the next due point"}[a.Kind]
}
