package modelcheck

// Fault is a failure that a world may inject, or something that a client, an operator or discovery may do at
// any time. A world has a budget for each, and one for all.
type Fault uint8

// The faults.
const (
	FaultConnectionRefused  Fault = iota // a connection does not come up
	FaultConnectionBroken                // a connection breaks after the last byte
	FaultAtCapacity                      // a worker turns an attempt away with a 503
	FaultServerError                     // a worker answers 500
	FaultRejected                        // a worker answers 400
	FaultDuplicateCallback               // a callback arrives once more, at any later time
	FaultDroppedCallback                 // a callback never arrives
	FaultJobFailed                       // a job fails
	FaultJobHandedBack                   // a worker hands a job back unstarted
	FaultJobAborted                      // a worker loses a job
	FaultProcessCrash                    // a worker's process crashes; it may restart
	FaultMachineUnreachable              // a worker's machine is cut off; it may come back
	FaultEndpointStatus                  // discovery lists a worker as draining, removed, or ready again
	FaultClientDisconnect                // a client leaves before its answer
	FaultDuplicateID                     // an id is submitted again
	FaultWatchClosed                     // the watch of the worker list closes, or its revisions begin anew
	FaultReload                          // a new configuration is loaded
	FaultShutdown                        // SIGTERM
	FaultModulePanic                     // the decision module panics at the next event that it gets
	FaultTimerJitter                     // an event comes just before a deadline, or just after it
	faults
)

var faultNames = [faults]string{
	FaultConnectionRefused:  "refuse",
	FaultConnectionBroken:   "break",
	FaultAtCapacity:         "turn-away",
	FaultServerError:        "error",
	FaultRejected:           "reject",
	FaultDuplicateCallback:  "repeat",
	FaultDroppedCallback:    "lose",
	FaultJobFailed:          "fail",
	FaultJobHandedBack:      "hand-back",
	FaultJobAborted:         "kill",
	FaultProcessCrash:       "die",
	FaultMachineUnreachable: "silence",
	FaultEndpointStatus:     "drain",
	FaultClientDisconnect:   "leave",
	FaultDuplicateID:        "same-id",
	FaultWatchClosed:        "lose-watch",
	FaultReload:             "reload",
	FaultShutdown:           "stop",
	FaultModulePanic:        "panic",
	FaultTimerJitter:        "jitter",
}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

// Budget is how often each fault may be injected.
type Budget [faults]uint8

// max returns the larger of each fault's budgets.
func (b Budget) max(others ...Budget) Budget {
	for _, other := range others {
		for f := range b {
			b[f] = max(b[f], other[f])
		}
	}
	return b
}
