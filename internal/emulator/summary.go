package emulator

import (
	"fmt"
	"slices"

	"dahliaford/internal/history"
)

// report returns the report of the run. First, it checks the histories of the requests that still await an
// answer or the end of an attempt.
func (f *fleet) report() *Report {
	f.summarizeTimeToStart()
	f.tally.model.Discovery = f.tally.discovery
	f.checkOpenRequests()
	f.summarizeChanges()
	f.summarizeTraffic()
	return &Report{Model: f.tally.model, Measured: f.meter.results(f), Series: f.meter.series}
}

func (f *fleet) summarizeTimeToStart() {
	m := &f.tally.model
	for i, c := range classes {
		s := summarize(f.tally.timeToStart[i])
		s.Total = f.tally.jobsByClass[i]
		if s.Count > 0 {
			s.WithinObjective = float64(f.tally.withinObjective[i]) / float64(s.Count)
		}
		m.TimeToStart[c.name] = s
	}
	for i, mix := range slotMix {
		s := summarize(f.tally.timeToStartBySlots[i])
		s.Total = f.tally.jobsBySlots[i]
		m.TimeToStartBySlots[fmt.Sprint(mix.slots)] = s
	}
	m.StartsPerSecond = float64(m.Starts) / m.LoadSeconds
	for _, starts := range f.meter.series.Starts {
		m.PeakStartsPerSecond = max(m.PeakStartsPerSecond, starts)
	}
}

// checkOpenRequests counts the requests that are unanswered at the end of the run, and checks the histories
// of all requests that await an answer or the end of an attempt.
func (f *fleet) checkOpenRequests() {
	var open []*request
	for _, r := range f.requests {
		open = append(open, r)
	}
	slices.SortFunc(open, func(a, b *request) int { return a.number - b.number })
	notRunning := map[*node]int{}
	m := &f.tally.model
	for _, r := range open {
		if !r.answered {
			m.Unanswered++
			if r.job.firstStarted != r {
				m.NotRunning++
				notRunning[r.node]++
				m.MaxNotRunningAtOneScheduler = max(m.MaxNotRunningAtOneScheduler, notRunning[r.node])
			}
			if f.now > r.deadline+timingSlack {
				r.record(history.Event{Kind: history.Unanswered, ID: r.id})
			}
		}
		// The history needs a last event at the present time, because the check for overdue attempts is
		// relative to the last event. The kind WorkerReady has no other effect on the check.
		r.record(history.Event{Kind: history.WorkerReady})
		r.checkHistory()
	}
}

// summarizeChanges computes how long changes of the worker list took until all schedulers had applied them,
// and until they were in force at all schedulers (see Changes).
func (f *fleet) summarizeChanges() {
	m := &f.tally.model
	inForce, applied := newTimeHistogram(), newTimeHistogram()
	for i, c := range f.tally.changes {
		if f.checkInForce(c, int64(i)+firstChange) {
			recordTime(inForce, c.inForceAt-c.knownSince)
		} else {
			m.Changes.NotInForce++
		}
		if c.pendingSchedulers == 0 {
			recordTime(applied, c.appliedAt-c.knownSince)
		} else {
			m.Changes.Unapplied++
		}
	}
	m.Changes.InForce, m.Changes.Applied = summarize(inForce), summarize(applied)
}

// checkInForce reports whether a change is in force at all schedulers at the end of the run (see Changes).
// For each scheduler that has not applied the change and whose list is stale, checkInForce updates inForceAt
// to the time at which the list became stale.
func (f *fleet) checkInForce(c *changeProgress, rev int64) bool {
	if c.pendingSchedulers == 0 {
		return true
	}
	everywhere := true
	for _, n := range f.nodes {
		switch {
		case n.appliedRevision >= rev:
		case n.validUntil >= f.now:
			everywhere = false
		default:
			c.inForceAt = max(c.inForceAt, n.validUntil, c.publishedAt)
		}
	}
	return everywhere
}

func (f *fleet) summarizeTraffic() {
	m := &f.tally.model
	for _, n := range f.nodes {
		u := &n.usage
		m.ControlTraffic.add(u.controlBytes, u.controlMessages, len(f.nodes), m.LoadSeconds)
		m.ControlTraffic.PeakSecondBytes = max(m.ControlTraffic.PeakSecondBytes, u.peakSecondBytes)
		m.JobTraffic.add(u.jobBytes, u.jobMessages, len(f.nodes), m.LoadSeconds)
	}
}

// add adds the bytes and messages of one scheduler to the means and maxima of all schedulers. The duration
// of the load is in seconds.
func (t *Traffic) add(bytes, messages int64, schedulers int, duration float64) {
	schedulerSeconds := float64(schedulers) * duration
	t.BytesPerSecond += float64(bytes) / schedulerSeconds
	t.MessagesPerSecond += float64(messages) / schedulerSeconds
	t.MaxBytesPerSecond = max(t.MaxBytesPerSecond, float64(bytes)/duration)
}
