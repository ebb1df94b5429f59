package modelcheck

import (
	"fmt"
)

// stage is how far an attempt is, by the events that the scheduler has received.
type stage uint8

const (
	stageNone stage = iota
	stageConnecting
	stageWritten
	stageAccepted
	stageStarted
	stageGivenUp
	stageEnded
	stageEarlier // the event is about an attempt before the last one
	stages
)

var stageNames = [stages]string{
	stageNone:       "none",
	stageConnecting: "connecting",
	stageWritten:    "written",
	stageAccepted:   "accepted",
	stageStarted:    "started",
	stageGivenUp:    "given up",
	stageEnded:      "ended",
	stageEarlier:    "earlier",
}

// eventKind is a kind of event, for coverage.
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

// Coverage counts, for each kind of event, in which stages of an attempt it was met.
type Coverage [evKinds][stages]uint64

func (c *Coverage) add(o *Coverage) {
	for e := range c {
		for s := range c[e] {
			c[e][s] += o[e][s]
		}
	}
}

// The groups of events that impossible distinguishes.

// onConnection reports whether an event is about an attempt on its connection.
func (e eventKind) onConnection() bool { return e >= evAccepted && e <= evRejected }

// isCallback reports whether an event is a callback.
func (e eventKind) isCallback() bool { return e >= evStarted && e <= evAborted }

// isCancellation reports whether an event is the result of a cancellation.
func (e eventKind) isCancellation() bool { return e == evCancelled || e == evNotCancelled }

// impossible says why no world can have a pair of event and stage; "" for those that should be met.
func impossible(e eventKind, s stage) string {
	switch {
	case s == stageEarlier && (e == evSubmitted || e == evDisconnected || e >= evList):
		return "is about no attempt"
	case s == stageNone && (e.onConnection() || e.isCallback() || e.isCancellation()):
		return "needs an attempt"
	case e == evNotSent && s != stageConnecting:
		return "is only said of an attempt of which nothing was written"
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
		return "needs the last byte"
	case e != evAccepted && (s == stageAccepted || s == stageStarted):
		return "the connection has had its answer"
	case e == evAccepted && s == stageAccepted:
		return "one answer on a connection"
	case s == stageGivenUp:
		return "its connection is closed"
	case e == evConnectFailed && s == stageWritten:
		return "its last byte is written"
	case e != evAccepted && (s == stageEnded || s == stageEarlier):
		return "its connection has had its end"
	}
	return ""
}

func impossibleCallback(e eventKind, s stage) string {
	switch {
	case s == stageConnecting:
		return "its last byte is not written"
	case e == evHandedBack && s == stageStarted:
		return "what has started is not handed back"
	}
	return ""
}

func impossibleCancellation(s stage) string {
	switch {
	case s >= stageConnecting && s <= stageStarted:
		return "only what is given up or ended is cancelled"
	case s == stageEnded:
		return "what is cancelled counts as given up"
	case s == stageEarlier:
		return "no further attempt is sent before it is acknowledged"
	}
	return ""
}

// Uncovered lists the pairs of event and stage that are possible and were not met.
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

// Table gives the counts, a line for each kind of event, a column for each stage; "-" marks what no world
// can have.
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
