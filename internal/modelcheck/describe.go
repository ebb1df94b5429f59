package modelcheck

import (
	"fmt"
	"strings"

	"dahliaford/internal/scheduler"
)

// describer says in words what an action does, before it is taken.
type describer func(w *World, a Action) string

// describers has the describer of each kind of action.
var describers = [actionKinds]describer{
	Submit:               describeSubmit,
	SubmitDuplicate:      describeSubmit,
	RenewRequest:         ofRequest("%s is over; another request takes its place"),
	ClientDisconnects:    ofRequest("client of %s leaves"),
	RefuseConnection:     ofConnection("its connection does not come up"),
	WriteRequest:         ofConnection("is written"),
	DeliverWritten:       ofConnection("event loop receives that it is written"),
	DeliverNotSent:       ofConnection("event loop receives that nothing of it was written"),
	DeliverBroken:        ofConnection("event loop receives that its connection ended"),
	DeliverAnswer:        describeAnswer,
	ArriveAtWorker:       ofConnection(arrivalTexts[:]...),
	BreakConnection:      ofConnection(breakTexts[:]...),
	CloseArrives:         ofConnection(closeTexts[:]...),
	StartJob:             ofJob("%[1]s at %[2]s starts to run"),
	FinishJob:            ofJob("%[1]s at %[2]s is done"),
	FailJob:              ofJob("%[1]s at %[2]s fails"),
	HandBackJob:          ofJob("%[2]s hands back %[1]s unstarted"),
	AbortJob:             ofJob("%[2]s loses %[1]s"),
	DeliverCallback:      ofCallback(""),
	DuplicateCallback:    ofCallback(" (and will again)"),
	DropCallback:         ofCallback(", which never arrives"),
	CancellationArrives:  ofCancellation("arrives"),
	CancellationAnswered: ofCancellation("is answered"),
	CancellationBreaks:   ofCancellation("breaks with its connection"),
	ProcessCrashes:       ofWorker("its process crashes"),
	ProcessRestarts:      ofWorker("its process restarts"),
	MachineUnreachable:   ofWorker("its machine is cut off"),
	MachineReachable:     ofWorker("its machine is reachable again"),
	AnnounceDraining:     ofWorker("discovery lists it as draining"),
	AnnounceRemoved:      ofWorker("discovery lists it as removed"),
	AnnounceReady:        ofWorker("discovery lists it as ready"),
	CloseWatch:           plain("the watch of the worker list closes"),
	AnswerWatch:          plain("discovery answers the watch"),
	RestartDiscovery:     plain("discovery answers, its revisions begun anew"),
	ReloadConfig:         plain("a new configuration is loaded"),
	Terminate:            plain("SIGTERM"),
	PanicModule:          plain("the module is about to panic"),
	AdvanceTime:          describeTime,
	AdvanceJustBefore:    plain("time passes until just before the next deadline"),
	AdvanceJustAfter:     plain("time passes until just after the next deadline"),
}

var arrivalTexts = [...]string{
	arriveAccepted:    "arrives and is accepted (202 on its way)",
	arriveAtCapacity:  "arrives and is turned away (503 on its way)",
	arriveServerError: "arrives and gets a 500",
	arriveRejected:    "arrives and gets a 400",
}

var breakTexts = [...]string{
	breakBeforeArrival: "connection breaks, nothing arrived",
	breakWhileRunning:  "arrives and runs until its connection breaks",
	breakBeforeAnswer:  "connection breaks, the worker's answer is lost",
	breakAfterAccept:   "connection ends after the 202",
}

var closeTexts = [...]string{
	closeBeforeAccept: "our close arrives before its 202",
	closeAfterAccept:  "our close crosses its 202: the worker holds it",
}

var callbackTexts = map[scheduler.CallbackKind]string{
	scheduler.CallbackStarted:    "started",
	scheduler.CallbackDone:       "done",
	scheduler.CallbackFailed:     "failed",
	scheduler.CallbackHandedBack: "handed back",
	scheduler.CallbackAborted:    "lost",
}

// describe says in words what an action does, before it is taken.
func (w *World) describe(a Action) string { return describers[a.Kind](w, a) }

func plain(text string) describer { return func(*World, Action) string { return text } }

// ofRequest describes an action about a request. The format gets its id.
func ofRequest(format string) describer {
	return func(w *World, a Action) string {
		return fmt.Sprintf(format, w.requestID(w.requests[a.Target].id))
	}
}

// ofConnection describes an action about a connection, with a text for each variant.
func ofConnection(variants ...string) describer {
	return func(w *World, a Action) string { return w.describeAttempt(a.Target, variants[a.Variant]) }
}

func (w *World) describeAttempt(i uint8, text string) string {
	c := &w.connections[i]
	return fmt.Sprintf("attempt %d (%s at %s): %s", c.attempt, w.requestID(c.id), workerUID(c.worker), text)
}

// ofJob describes an action about a job. The format gets the request's id and the worker's UID.
func ofJob(format string) describer {
	return func(w *World, a Action) string {
		j := &w.jobs[a.Target]
		return fmt.Sprintf(format, w.requestID(j.id), workerUID(j.worker))
	}
}

func ofCallback(end string) describer {
	return func(w *World, a Action) string {
		c := &w.callbacks[a.Target]
		return fmt.Sprintf("%s calls back: %s %s%s", workerUID(c.worker), w.requestID(c.id),
			callbackTexts[c.kind], end)
	}
}

func ofCancellation(text string) describer {
	return func(w *World, a Action) string {
		c := &w.cancellations[a.Target]
		return fmt.Sprintf("DELETE of %s to %s %s", w.requestID(c.id), workerUID(c.worker), text)
	}
}

func ofWorker(text string) describer {
	return func(_ *World, a Action) string { return workerUID(a.Target) + ": " + text }
}

func describeSubmit(w *World, a Action) string {
	q := &w.requests[a.Target]
	return fmt.Sprintf("client submits %s, a %v, and waits %v", w.requestID(q.id), q.class,
		duration(q.class.deadline()))
}

func describeAnswer(w *World, a Action) string {
	return w.describeAttempt(a.Target, fmt.Sprintf("event loop receives the answer %d",
		w.connections[a.Target].status))
}

func describeTime(w *World, _ Action) string {
	return fmt.Sprintf("%v pass", duration(max(w.nextDeadline()-w.now, 0)))
}

// inFlight says what is on its way, or held by a worker.
func (w *World) inFlight() string {
	var all []string
	for _, c := range w.connections {
		all = append(all, fmt.Sprintf("attempt %d (%s to %s, %s)", c.attempt, w.requestID(c.id),
			workerUID(c.worker), phaseTexts[c.phase]))
	}
	for _, j := range w.jobs {
		all = append(all, fmt.Sprintf("%s at %s, running %v", w.requestID(j.id), workerUID(j.worker), j.running))
	}
	for _, c := range w.callbacks {
		all = append(all, fmt.Sprintf("callback of %s about %s", workerUID(c.worker), w.requestID(c.id)))
	}
	for _, c := range w.cancellations {
		all = append(all, fmt.Sprintf("DELETE of %s to %s", w.requestID(c.id), workerUID(c.worker)))
	}
	if len(all) == 0 {
		return "nothing"
	}
	return strings.Join(all, "; ")
}
