package modelcheck

import (
	"fmt"
)

// stage is the progress of an attempt according to the events that the scheduler has received.
type stage uint8

const (
	stageNone stage = iota
	stageConnecting
	stageWritten
	stageAccepted
	stageStarted
	stageAbandoned
	stageEnded
	stageEarlier // the event concerns an attempt before the last attempt of its request
	stages
)

var stageNames = [stages]string{
	stageNone:       "none",
	stageConnecting: "connecting",
	stageWritten:    "written",
	stageAccepted:   "accepted",
	stageStarted:    "started",
	stageAbandoned:  "given up",
	stageEnded:      "ended",
	stageEarlier:    "earlier",
}

// eventKind is a kind of scheduler event that Coverage counts separately.
type eventKind uint8

const (
	evSubmitted eventKind = iota
	evDisconnected
	evAccepted
	evConnectFailed
	evReset
	evAtCapacity
	evError
	evRejected
	evStarted
	evDone
	evFailed
	evHandedBack
	evAborted
	evCancelled
	evNotCancelled
	evNotSent
	evList
	evWatchClosed
	evReloaded
	evTimer
	evStopping
	evPanic
	evKinds
)

var eventNames = [evKinds]string{
	evSubmitted:     "submitted",
	evDisconnected:  "client left",
	evAccepted:      "accepted",
	evConnectFailed: "connect failed",
	evReset:         "reset",
	evAtCapacity:    "at capacity",
	evError:         "error",
	evRejected:      "rejected",
	evStarted:       "callback started",
	evDone:          "callback done",
	evFailed:        "callback failed",
	evHandedBack:    "callback handed back",
	evAborted:       "callback aborted",
	evCancelled:     "cancelled",
	evNotCancelled:  "not cancelled",
	evNotSent:       "not sent",
	evList:          "list received",
	evWatchClosed:   "watch closed",
	evReloaded:      "reloaded",
	evTimer:         "timer fired",
	evStopping:      "stopping",
	evPanic:         "panic",
}

// Coverage counts how often each kind of event occurred in each stage of an attempt.
type Coverage [evKinds][stages]uint64

func (c *Coverage) add(o *Coverage) {
	for e := range c {
		for s := range c[e] {
			c[e][s] += o[e][s]
		}
	}
}

// The following methods group the kinds of events for the function impossible.

// onConnection reports whether an event comes from the connection of an attempt.
func (e eventKind) onConnection() bool { return e >= evAccepted && e <= evRejected }

// isCallback reports whether an event is a callback from a worker.
func (e eventKind) isCallback() bool { return e >= evStarted && e <= evAborted }

// isCancellation reports whether an event is the result of a cancellation.
func (e eventKind) isCancellation() bool { return e == evCancelled || e == evNotCancelled }

// impossible returns the reason why an event of a kind cannot occur in a stage of an attempt in any world
// (simulated configuration), or "" if the event can occur.
func impossible(e eventKind, s stage) string {
	switch {
	case s == stageEarlier && (e == evSubmitted || e == evDisconnected || e >= evList):
		return "the event does not concern an attempt"
	case s == stageNone && (e.onConnection() || e.isCallback() || e.isCancellation()):
		return "the event requires an attempt"
	case e == evNotSent && s != stageConnecting:
		return "the event requires an attempt of which no byte was written"
	case e.onConnection():
		return impossibleOnConnection(e, s)
	case e.isCallback():
		return impossibleCallback(e, s)
	case e.isCancellation():
		return impossibleCancellation(s)
	}
	return ""
}

func impossibleOnConnection(e eventKind, s stage) string {
	switch {
	case e != evConnectFailed && s == stageConnecting:
		return "the event requires that the last byte was written"
	case e != evAccepted && (s == stageAccepted || s == stageStarted):
		return "the worker has already answered on this connection"
	case e == evAccepted && s == stageAccepted:
		return "a connection carries one answer"
	case s == stageAbandoned:
		return "the connection of an abandoned attempt is closed"
	case e == evConnectFailed && s == stageWritten:
		return "the connection was established and the last byte written"
	case e != evAccepted && (s == stageEnded || s == stageEarlier):
		return "the connection has already ended"
	}
	return ""
}

func impossibleCallback(e eventKind, s stage) string {
	switch {
	case s == stageConnecting:
		return "the last byte of the request is not written yet"
	case e == evHandedBack && s == stageStarted:
		return "a worker does not hand back a started job"
	}
	return ""
}

func impossibleCancellation(s stage) string {
	switch {
	case s >= stageConnecting && s <= stageStarted:
		return "only abandoned or ended attempts are cancelled"
	case s == stageEnded:
		return "a cancelled attempt counts as abandoned"
	case s == stageEarlier:
		return "no further attempt is sent before the cancellation is acknowledged"
	}
	return ""
}

// Uncovered lists the pairs of event kind and attempt stage that are possible but did not occur.
func (c *Coverage) Uncovered() []string {
	var uncovered []string
	for e := range evKinds {
		for s := range stages {
			if c[e][s] == 0 && impossible(e, s) == "" {
				uncovered = append(uncovered, fmt.Sprintf("%s while %s", eventNames[e], stageNames[s]))
			}
		}
	}
	return uncovered
}

// Table returns the counts as a table with one line for each kind of event and one column for each stage. "-"
// marks pairs that no world (simulated configuration) can produce.
func (c *Coverage) Table() [][]string {
	table := [][]string{append([]string{"event"}, stageNames[:]...)}
	for e := range evKinds {
		line := []string{eventNames[e]}
		for s := range stages {
			cell := fmt.Sprint(c[e][s])
			if c[e][s] == 0 && impossible(e, s) != "" {
				cell = "-"
			}
			line = append(line, cell)
		}
		table = append(table, line)
	}
	return table
}
