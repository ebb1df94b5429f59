package modelcheck

import (
	"fmt"
	"strings"
)

// ActionKind is a kind of step that the world can take.
type ActionKind uint8

// The kinds of actions. Trace files have their names, of actionNames.
const (
	Submit               ActionKind = iota // the client sends a request
	SubmitDuplicate                        // the client sends the same id again
	RenewRequest                           // a finished request gives place to one with a new id
	ClientDisconnects                      // a client leaves before its answer
	RefuseConnection                       // an attempt's connection does not come up
	WriteRequest                           // an attempt is written to its connection
	DeliverWritten                         // the event loop receives that it is written
	ArriveAtWorker                         // the request reaches its worker; the variant says with which result
	BreakConnection                        // a connection breaks; the variant says when
	DeliverBroken                          // the event loop receives that a connection ended
	DeliverAnswer                          // the event loop receives the worker's answer
	CloseArrives                           // the scheduler's close reaches the worker; the variant says when
	StartJob                               // a worker starts a job
	FinishJob                              // a worker finishes a job
	FailJob                                // a job fails
	HandBackJob                            // a worker hands a job back unstarted
	AbortJob                               // a worker loses a job
	DeliverCallback                        // a callback reaches the scheduler
	DuplicateCallback                      // a callback reaches the scheduler and will do so again
	DropCallback                           // a callback never reaches the scheduler
	CancellationArrives                    // a DELETE reaches its worker
	CancellationAnswered                   // the scheduler receives the answer to a DELETE
	CancellationBreaks                     // the connection of a DELETE breaks
	ProcessCrashes                         // a worker's process dies with all its jobs
	ProcessRestarts                        // and starts again
	MachineUnreachable                     // a worker's machine is cut off
	MachineReachable                       // and is back
	AnnounceDraining                       // discovery says that a worker drains
	AnnounceRemoved                        // discovery says that a worker is gone
	AnnounceReady                          // discovery says that a worker is ready
	CloseWatch                             // the watch of the worker list ends
	AnswerWatch                            // discovery answers a watch
	RestartDiscovery                       // discovery answers with a list whose revisions begin anew
	ReloadConfig                           // a new configuration is loaded
	Terminate                              // SIGTERM
	PanicModule                            // the decision module panics at the next event that it gets
	AdvanceTime                            // time passes until the next deadline
	AdvanceJustBefore                      // time passes until just before the next deadline
	AdvanceJustAfter                       // time passes until just after it, before the timer has fired
	DeliverNotSent                         // the event loop receives that nothing of an attempt was written
	actionKinds
)

// String returns the name that trace files use.
func (k ActionKind) String() string { return actionNames[k] }

// actionNames are part of the format of trace files: they stay when an identifier is renamed.
var actionNames = [actionKinds]string{
	Submit:               "submit",
	SubmitDuplicate:      "submit-again",
	RenewRequest:         "renew",
	ClientDisconnects:    "client-leaves",
	RefuseConnection:     "refuse-route",
	WriteRequest:         "write",
	DeliverWritten:       "hear-written",
	ArriveAtWorker:       "arrive",
	BreakConnection:      "break-route",
	DeliverBroken:        "hear-broken",
	DeliverAnswer:        "hear-answer",
	CloseArrives:         "close-arrives",
	StartJob:             "begin",
	FinishJob:            "finish",
	FailJob:              "fail-job",
	HandBackJob:          "hand-back-job",
	AbortJob:             "kill-job",
	DeliverCallback:      "tell",
	DuplicateCallback:    "tell-and-keep",
	DropCallback:         "lose-call",
	CancellationArrives:  "withdraw-arrives",
	CancellationAnswered: "withdraw-answered",
	CancellationBreaks:   "withdraw-breaks",
	ProcessCrashes:       "process-dies",
	ProcessRestarts:      "process-starts",
	MachineUnreachable:   "machine-silent",
	MachineReachable:     "machine-back",
	AnnounceDraining:     "say-draining",
	AnnounceRemoved:      "say-gone",
	AnnounceReady:        "say-ready",
	CloseWatch:           "watch-lost",
	AnswerWatch:          "watch-answered",
	RestartDiscovery:     "watch-anew",
	ReloadConfig:         "reload",
	Terminate:            "sigterm",
	PanicModule:          "module-breaks",
	AdvanceTime:          "tick",
	AdvanceJustBefore:    "just-before",
	AdvanceJustAfter:     "just-after",
	DeliverNotSent:       "hear-kept",
}

// Variant picks among the ways in which an action can happen. Actions with one way have variant 0.
type Variant uint8

// The variants of ArriveAtWorker.
const (
	arriveAccepted    Variant = iota // 202
	arriveAtCapacity                 // 503: the worker did not begin
	arriveServerError                // 500: it may have run
	arriveRejected                   // 400
)

// The variants of BreakConnection.
const (
	breakBeforeArrival Variant = iota // the request never arrives
	breakWhileRunning                 // it arrives and runs, and ends with its connection
	breakBeforeAnswer                 // the worker's answer is lost
	breakAfterAccept                  // the worker had accepted
)

// The variants of CloseArrives.
const (
	closeBeforeAccept Variant = iota // in time: the worker does not take the job
	closeAfterAccept                 // it crosses the worker's 202: the worker holds the job
)

// Action is one step of the world.
type Action struct {
	Kind ActionKind
	// Target is the index of the request, worker, connection, job, callback or cancellation that the
	// action is about, by its kind; 0 if it is about none.
	Target  uint8
	Variant Variant
}

// String returns the form that trace files use; parseAction reads it.
func (a Action) String() string { return fmt.Sprintf("%v %d %d", a.Kind, a.Target, a.Variant) }

func parseAction(text string) (Action, error) {
	invalid := fmt.Errorf("%q is no step", text)
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return Action{}, invalid
	}
	kind, known := actionKindByName(fields[0])
	if !known {
		return Action{}, invalid
	}
	a := Action{Kind: kind}
	if _, err := fmt.Sscanf(fields[1]+" "+fields[2], "%d %d", &a.Target, &a.Variant); err != nil {
		return Action{}, invalid
	}
	return a, nil
}

func actionKindByName(name string) (ActionKind, bool) {
	for kind := range actionKinds {
		if actionNames[kind] == name {
			return kind, true
		}
	}
	return 0, false
}
