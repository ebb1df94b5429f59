package modelcheck

import (
	"fmt"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// stage is how far an attempt is, as the scheduler has heard.
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

var stageNames = [stages]string{"none", "connecting", "written", "accepted", "started", "given up", "ended",
	"earlier"}

// eventKind tells events apart for coverage.
type eventKind uint8

const (
	evSubmitted eventKind = iota
	evLeft
	evAccepted
	evConnectFailed
	evReset
	evTurnedAway
	evError
	evRejected
	evStarted
	evDone
	evFailed
	evReturned
	evLost
	evWithdrawn
	evNotWithdrawn
	evKept
	evList
	evListLost
	evReloaded
	evWoke
	evStopping
	evBreakdown
	evKinds
)

var eventNames = [evKinds]string{"submitted", "caller left", "accepted", "connect failed", "reset",
	"turned away",
	"error", "rejected", "told started", "told done", "told failed", "told returned", "told lost", "withdrawn",
	"not withdrawn", "kept back", "table read", "table lost", "reloaded", "woke", "stopping", "breakdown"}

// Coverage counts, for each kind of event, in which stages of an attempt it was met.
type Coverage [evKinds][stages]uint64

func (c *Coverage) add(o *Coverage) {
	for e := range c {
		for s := range c[e] {
			c[e][s] += o[e][s]
		}
	}
}

// impossible are the pairs that no world can have, and why. All others should be met.
func impossible(e eventKind, s stage) string {
	about := e >= evAccepted && e <= evRejected // of an attempt on its connection
	told := e >= evStarted && e <= evLost
	switch {
	case s == stageEarlier && (e == evSubmitted || e == evLeft || e >= evList):
		return "concerns no attempt of its own"
	case (about || told || e == evWithdrawn || e == evNotWithdrawn) && s == stageNone:
		return "needs an attempt"
	case about && e != evConnectFailed && s == stageConnecting:
		return "needs the last byte"
	case about && (s == stageAccepted || s == stageStarted) && e != evAccepted:
		return "the connection has had its answer"
	case e == evAccepted && s == stageAccepted:
		return "one answer on a connection"
	case about && s == stageGivenUp:
		return "its connection is closed"
	case e == evConnectFailed && (s == stageWritten || s == stageStarted):
		return "its last byte is out"
	case about && s == stageEnded && e != evAccepted:
		return "its connection has had its end"
	case about && s == stageEarlier && e != evAccepted:
		return "its connection had its end before"
	case told && s == stageConnecting:
		return "its last byte is not out"
	case (e == evWithdrawn || e == evNotWithdrawn) && s >= stageConnecting && s <= stageStarted:
		return "only what is given up or ended is withdrawn"
	case (e == evWithdrawn || e == evNotWithdrawn) && s == stageEnded:
		return "what is withdrawn counts as given up"
	case (e == evWithdrawn || e == evNotWithdrawn) && s == stageEarlier:
		return "no further attempt goes out before it is heard"
	case e == evKept && s != stageConnecting:
		return "only that of which nothing left is kept back"
	case e == evReturned && s == stageStarted:
		return "what has begun is not handed back"
	}
	return ""
}

// Uncovered lists the pairs of event and stage that are possible and were not met.
func (c *Coverage) Uncovered() (missed []string) {
	for e := range evKinds {
		for s := range stages {
			if c[e][s] == 0 && impossible(e, s) == "" {
				missed = append(missed, fmt.Sprintf("%s while %s", eventNames[e], stageNames[s]))
			}
		}
	}
	return missed
}

// Table gives the counts, a line a kind of event, a column a stage; "-" marks what no
// world can have.
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

var newsKinds = map[scheduler.CallbackKind]eventKind{scheduler.CallbackStarted: evStarted, scheduler.CallbackDone: evDone,
	scheduler.CallbackFailed: evFailed, scheduler.CallbackHandedBack: evReturned, scheduler.CallbackAborted: evLost}

var endKinds = map[dispatch.Outcome]eventKind{dispatch.ConnectFailed: evConnectFailed,
	dispatch.Reset:      evReset,
	dispatch.AtCapacity: evTurnedAway, dispatch.Failed: evError, dispatch.NotSent: evKept}

// see counts an event before it is passed on, and notes what the scheduler hears by it.
func (w *World) see(e scheduler.Event) {
	attempt := func(kind eventKind, t scheduler.AttemptID, to stage) {
		for i := range w.requests {
			if q := &w.requests[i]; q.last == t && t != 0 {
				w.cover[kind][q.stage]++
				if to != stageNone && q.stage != stageGivenUp && q.stage != stageEnded {
					q.stage = to
				}
				return
			}
		}
		w.cover[kind][stageEarlier]++
	}
	all := func(kind eventKind) {
		for i := range w.requests {
			if q := &w.requests[i]; int(q.id) == i {
				w.cover[kind][q.stage]++
			}
		}
	}
	switch e := e.(type) {
	case scheduler.Submitted:
		w.cover[evSubmitted][w.requests[idOf(e.ID)].stage]++
	case scheduler.ClientDisconnected:
		for i := range w.requests {
			if q := &w.requests[i]; q.caller == e.Caller {
				w.cover[evLeft][w.requests[q.id].stage]++
			}
		}
	case scheduler.AttemptAccepted:
		attempt(evAccepted, e.Attempt, stageAccepted)
	case scheduler.AttemptEnded:
		attempt(endKinds[e.Outcome], e.Attempt, stageEnded)
	case scheduler.AttemptRejected:
		attempt(evRejected, e.Attempt, stageEnded)
	case scheduler.CancellationResult:
		attempt(map[bool]eventKind{true: evWithdrawn, false: evNotWithdrawn}[e.Acknowledged], e.Attempt, stageNone)
	case scheduler.Callback:
		to := stageEnded
		if e.Kind == scheduler.CallbackStarted {
			to = stageStarted
		}
		q := &w.requests[idOf(e.ID)]
		if q.at != workerOf(e.From) {
			w.cover[newsKinds[e.Kind]][stageEarlier]++
			break
		}
		attempt(newsKinds[e.Kind], q.last, to)
	case scheduler.EndpointsUpdated:
		all(evList)
	case scheduler.WatchClosed:
		all(evListLost)
	case scheduler.Reloaded:
		all(evReloaded)
	case scheduler.TimerFired:
		all(evWoke)
	case scheduler.ShutdownRequested:
		all(evStopping)
	}
	if w.breaks {
		all(evBreakdown)
	}
}
