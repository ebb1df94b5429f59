package modelcheck

import (
	"fmt"
	"strings"
)

// ActionKind is a kind of action. An action is one transition between two states of the simulated system.
type ActionKind uint8

// The kinds of actions. Trace files contain their names from actionNames.
const (
	Submit               ActionKind = iota // the client sends a request
	SubmitDuplicate                        // the client submits a request again under an id that it has used
	RenewRequest                           // a request with a new id replaces a finished request
	ClientDisconnects                      // a client disconnects before its answer
	RefuseConnection                       // the connection of an attempt cannot be established
	WriteRequest                           // the node writes an attempt to its connection
	DeliverWritten                         // the event loop is notified that an attempt has been written
	ArriveAtWorker                         // a request reaches its worker; Variant selects the worker's answer
	BreakConnection                        // a connection breaks; Variant selects when
	DeliverBroken                          // the event loop is notified that a connection has ended
	DeliverAnswer                          // the event loop receives a worker's answer
	CloseArrives                           // the close of a connection reaches the worker; Variant selects when
	StartJob                               // a worker starts a job
	FinishJob                              // a worker finishes a job
	FailJob                                // a job fails
	HandBackJob                            // a worker hands a job back without starting it
	AbortJob                               // a worker aborts a job
	DeliverCallback                        // a callback reaches the scheduler
	DuplicateCallback                      // a callback reaches the scheduler and also stays in transit
	DropCallback                           // a callback is lost
	CancellationArrives                    // a DELETE reaches its worker
	CancellationAnswered                   // the scheduler receives the answer to a DELETE
	CancellationBreaks                     // the connection of a DELETE breaks
	ProcessCrashes                         // a worker's process crashes and aborts all its jobs
	ProcessRestarts                        // a worker's crashed process restarts
	MachineUnreachable                     // a worker's machine loses its network connection
	MachineReachable                       // a worker's machine is reachable again
	AnnounceDraining                       // discovery lists a worker as draining
	AnnounceRemoved                        // discovery lists a worker as removed
	AnnounceReady                          // discovery lists a worker as ready
	CloseWatch                             // the watch of the worker list closes
	AnswerWatch                            // discovery answers a watch with the complete list
	RestartDiscovery                       // discovery restarts and answers the watch with a list of revision 1
	ReloadConfig                           // a new configuration is loaded
	Terminate                              // the scheduler receives SIGTERM
	PanicModule                            // the decision module will panic at the next event that it processes
	AdvanceTime                            // time passes until the next deadline
	AdvanceJustBefore                      // time passes until just before the next deadline
	AdvanceJustAfter                       // time passes until just after the next deadline; no timer fires
	DeliverNotSent                         // the event loop is notified that no byte of an attempt was written
	actionKinds
)

// String returns the name that trace files use.
func (k ActionKind) String() string { return actionNames[k] }

// actionNames holds the names of actions in trace files. The names are part of the trace format and do not
// change when an identifier is renamed.
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

// Variant selects one of several outcomes of an action. Actions with one outcome have variant 0.
type Variant uint8

// The variants of the action ArriveAtWorker: the answers of a worker to a request.
const (
	arriveAccepted    Variant = iota // the worker accepts the job and answers 202
	arriveAtCapacity                 // the worker is at capacity and answers 503 without starting the job
	arriveServerError                // the worker answers 500; the job may have run
	arriveRejected                   // the worker answers 400 without starting the job
)

// The variants of the action BreakConnection: the times at which the connection of an attempt breaks.
const (
	breakBeforeArrival Variant = iota // the request does not reach the worker
	breakWhileRunning                 // the request arrives and runs; the job ends with the connection
	breakBeforeAnswer                 // the worker's answer is lost with the connection
	breakAfterAccept                  // the connection breaks after the event loop has received the 202
)

// The variants of the action CloseArrives: whether the worker sends its 202 before the scheduler's close
// arrives.
const (
	closeBeforeAccept Variant = iota // the close arrives before the worker sends its 202; the job is dropped
	closeAfterAccept                 // the worker sends its 202 before the close arrives, and holds the job
)

// Action is one transition between states of a world, the simulated system.
type Action struct {
	Kind ActionKind
	// Target is the index of the request, worker, connection, job, callback or cancellation that the action
	// concerns; the kind of the action determines which of these. Target is 0 for all other actions.
	Target  uint8
	Variant Variant
}

// String returns the textual form in trace files: name, target and variant. parseAction is the inverse.
func (a Action) String() string { return fmt.Sprintf("%v %d %d", a.Kind, a.Target, a.Variant) }

func parseAction(text string) (Action, error) {
	invalid := fmt.Errorf("%q is not a step: want an action with the numbers of its target and its variant",
		text)
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
