package modelcheck

import (
	"fmt"
	"strings"

	"dahliaford/internal/scheduler"
)

// describer returns a description of an action for traces. It is called before the action is performed.
type describer func(w *World, a Action) string

// describers holds the function that describes each kind of action.
var describers = [actionKinds]describer{
	Submit:               describeSubmit,
	SubmitDuplicate:      describeSubmit,
	RenewRequest:         requestDescriber("%s is over; another request takes its place"),
	ClientDisconnects:    requestDescriber("client of %s leaves"),
	RefuseConnection:     connectionDescriber("its connection does not come up"),
	WriteRequest:         connectionDescriber("is written"),
	DeliverWritten:       connectionDescriber("event loop is notified that it is written"),
	DeliverNotSent:       connectionDescriber("event loop is notified that no byte of it was written"),
	DeliverBroken:        connectionDescriber("event loop is notified that its connection ended"),
	DeliverAnswer:        describeAnswer,
	ArriveAtWorker:       connectionDescriber(arrivalTexts[:]...),
	BreakConnection:      connectionDescriber(breakTexts[:]...),
	CloseArrives:         connectionDescriber(closeTexts[:]...),
	StartJob:             jobDescriber("%[1]s at %[2]s starts to run"),
	FinishJob:            jobDescriber("%[1]s at %[2]s is done"),
	FailJob:              jobDescriber("%[1]s at %[2]s fails"),
	HandBackJob:          jobDescriber("%[2]s hands back %[1]s unstarted"),
	AbortJob:             jobDescriber("%[2]s loses %[1]s"),
	DeliverCallback:      callbackDescriber(""),
	DuplicateCallback:    callbackDescriber(" (and will again)"),
	DropCallback:         callbackDescriber(" (the callback is lost)"),
	CancellationArrives:  cancellationDescriber("arrives"),
	CancellationAnswered: cancellationDescriber("is answered"),
	CancellationBreaks:   cancellationDescriber("fails because its connection breaks"),
	ProcessCrashes:       workerDescriber("its process crashes"),
	ProcessRestarts:      workerDescriber("its process restarts"),
	MachineUnreachable:   workerDescriber("its machine becomes unreachable"),
	MachineReachable:     workerDescriber("its machine is reachable again"),
	AnnounceDraining:     workerDescriber("discovery lists it as draining"),
	AnnounceRemoved:      workerDescriber("discovery lists it as removed"),
	AnnounceReady:        workerDescriber("discovery lists it as ready"),
	CloseWatch:           fixedText("the watch of the worker list closes"),
	AnswerWatch:          fixedText("discovery answers the watch"),
	RestartDiscovery:     fixedText("discovery restarts and answers the watch with revision 1"),
	ReloadConfig:         fixedText("a new configuration is loaded"),
	Terminate:            fixedText("SIGTERM"),
	PanicModule:          fixedText("the decision module will panic at its next event"),
	AdvanceTime:          describeTime,
	AdvanceJustBefore:    fixedText("time passes until just before the next deadline"),
	AdvanceJustAfter:     fixedText("time passes until just after the next deadline"),
}

var arrivalTexts = [...]string{
	arriveAccepted:    "arrives and is accepted (202 on its way)",
	arriveAtCapacity:  "arrives while the worker is at capacity (503 on its way)",
	arriveServerError: "arrives and gets a 500",
	arriveRejected:    "arrives and gets a 400",
}

var breakTexts = [...]string{
	breakBeforeArrival: "connection breaks before the request arrives",
	breakWhileRunning:  "arrives and runs until its connection breaks",
	breakBeforeAnswer:  "connection breaks, the worker's answer is lost",
	breakAfterAccept:   "connection ends after the 202",
}

var closeTexts = [...]string{
	closeBeforeAccept: "our close arrives before the worker sends its 202",
	closeAfterAccept:  "our close crosses its 202: the worker holds it",
}

var callbackTexts = map[scheduler.CallbackKind]string{
	scheduler.CallbackStarted:    "started",
	scheduler.CallbackDone:       "done",
	scheduler.CallbackFailed:     "failed",
	scheduler.CallbackHandedBack: "handed back",
	scheduler.CallbackAborted:    "lost",
}

// describe returns a description of an action for traces. It must be called before the action is performed.
func (w *World) describe(a Action) string { return describers[a.Kind](w, a) }

// fixedText describes an action by a constant text.
func fixedText(text string) describer { return func(*World, Action) string { return text } }

// requestDescriber describes an action on a request. The argument of format is the id of the request.
func requestDescriber(format string) describer {
	return func(w *World, a Action) string {
		return fmt.Sprintf(format, w.requestID(w.requests[a.Target].id))
	}
}

// connectionDescriber describes an action on a connection with the text of the variant of the action.
func connectionDescriber(variants ...string) describer {
	return func(w *World, a Action) string { return w.describeAttempt(a.Target, variants[a.Variant]) }
}

func (w *World) describeAttempt(i uint8, text string) string {
	c := &w.connections[i]
	return fmt.Sprintf("attempt %d (%s at %s): %s", c.attempt, w.requestID(c.id), workerUID(c.worker), text)
}

// jobDescriber describes an action on a job. The arguments of format are the id of the request and the UID of
// the worker.
func jobDescriber(format string) describer {
	return func(w *World, a Action) string {
		j := &w.jobs[a.Target]
		return fmt.Sprintf(format, w.requestID(j.id), workerUID(j.worker))
	}
}

func callbackDescriber(end string) describer {
	return func(w *World, a Action) string {
		c := &w.callbacks[a.Target]
		return fmt.Sprintf("%s calls back: %s %s%s", workerUID(c.worker), w.requestID(c.id),
			callbackTexts[c.kind], end)
	}
}

func cancellationDescriber(text string) describer {
	return func(w *World, a Action) string {
		c := &w.cancellations[a.Target]
		return fmt.Sprintf("DELETE of %s to %s %s", w.requestID(c.id), workerUID(c.worker), text)
	}
}

func workerDescriber(text string) describer {
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

// inFlight lists the messages in transit and the jobs that workers hold.
func (w *World) inFlight() string {
	var all []string
	for _, c := range w.connections {
		all = append(all, fmt.Sprintf("attempt %d (%s to %s, %s)", c.attempt, w.requestID(c.id),
			workerUID(c.worker), phaseTexts[c.phase]))
	}
	for _, j := range w.jobs {
		all = append(all, fmt.Sprintf("job %s at worker %s (running: %v)", w.requestID(j.id), workerUID(j.worker),
			j.running))
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
