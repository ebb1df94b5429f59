package modelcheck

// Fault is a failure that the model checker may inject, or an event that a client, an operator or discovery
// may cause at any time. A world (simulated configuration) has one budget for each kind of fault and one for
// all kinds together.
type Fault uint8

// The kinds of faults.
const (
	FaultConnectionRefused  Fault = iota // a connection cannot be established
	FaultConnectionBroken                // a connection breaks after the last byte of the request was written
	FaultAtCapacity                      // a ready worker rejects an attempt with 503 as if it were at capacity
	FaultServerError                     // a worker answers 500
	FaultRejected                        // a worker answers 400
	FaultDuplicateCallback               // a callback arrives again at any later time
	FaultDroppedCallback                 // a callback is lost
	FaultJobFailed                       // a job fails
	FaultJobHandedBack                   // a worker hands a job back without starting it
	FaultJobAborted                      // a worker aborts a job
	FaultProcessCrash                    // a worker's process crashes; it may restart
	FaultMachineUnreachable              // a worker's machine loses its network connection for a time
	FaultEndpointStatus                  // discovery lists a worker as draining, removed, or ready again
	FaultClientDisconnect                // a client disconnects before its answer
	FaultDuplicateID                     // the client submits an id again
	FaultWatchClosed                     // the watch of the worker list closes, or discovery restarts
	FaultReload                          // a new configuration is loaded
	FaultShutdown                        // the scheduler receives SIGTERM
	FaultModulePanic                     // the decision module panics at the next event that it processes
	FaultTimerJitter                     // time passes until just before a deadline or just after it
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

// String returns the name of the fault.
func (f Fault) String() string { return faultNames[f] }

// Budget holds, for each kind of fault, the number of faults that may still be injected.
type Budget [faults]uint8

// max returns, for each kind of fault, the largest number among b and others.
func (b Budget) max(others ...Budget) Budget {
	for _, other := range others {
		for f := range b {
			b[f] = max(b[f], other[f])
		}
	}
	return b
}
