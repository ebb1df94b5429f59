package emulator

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliaford/internal/history"
)

const maxFindings = 20 // largest number of violations that a report describes

// tally collects the figures of the report that depend on virtual time only.
type tally struct {
	fleet              *fleet
	model              Model
	discovery          Discovery
	timeToStart        []*hdrhistogram.Histogram // times in microseconds, by index of classes
	withinObjective    []int64                   // jobs that started within StartObjective, by index of classes
	jobsByClass        []int                     // submitted jobs, by index of classes
	timeToStartBySlots []*hdrhistogram.Histogram // times in microseconds, by index of slotMix
	jobsBySlots        []int                     // submitted jobs, by index of slotMix
	changes            []*changeProgress         // progress of the revisions of the list from firstChange on
}

// firstChange is the number of the first revision of the worker list that discovery publishes during a run.
// The schedulers start with revision 1.
const firstChange = 2

// changeProgress describes how far a revision of the worker list has reached the schedulers.
type changeProgress struct {
	// knownSince is the time at which discovery learned of the first change in the revision, publishedAt the
	// time at which discovery published the revision.
	knownSince, publishedAt Micros
	pendingSchedulers       int // number of schedulers that have not applied the revision
	// inForceAt is the latest time at which the revision came into force at one of the schedulers so far, and
	// appliedAt the latest time at which one of the schedulers applied the revision (see Changes).
	inForceAt, appliedAt Micros
}

func newTally(f *fleet) tally {
	t := tally{
		fleet: f,
		model: Model{
			Day:                f.options.Day,
			Workers:            f.options.Workers,
			Schedulers:         f.options.Schedulers,
			Seed:               f.options.Seed,
			RatePerSecond:      jobRate(f.options),
			MeanRunSeconds:     f.options.MeanRunTime.Seconds(),
			LoadSeconds:        f.options.Duration.Seconds(),
			TimeToStart:        map[string]Spread{},
			TimeToStartBySlots: map[string]Spread{},
			LogLines:           map[string]int{},
			Violations:         map[string]int{},
		},
		withinObjective: make([]int64, len(classes)),
		jobsByClass:     make([]int, len(classes)),
		jobsBySlots:     make([]int, len(slotMix)),
	}
	for range classes {
		t.timeToStart = append(t.timeToStart, newTimeHistogram())
	}
	for range slotMix {
		t.timeToStartBySlots = append(t.timeToStartBySlots, newTimeHistogram())
	}
	return t
}

// newTimeHistogram returns a histogram for times in microseconds, from 1 to MaxDuration, with three
// significant digits.
func newTimeHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, MaxDuration.Microseconds(), 3)
}

// recordTime adds a time to a histogram that newTimeHistogram has created.
func recordTime(h *hdrhistogram.Histogram, t Micros) {
	// RecordValue fails only for a time longer than MaxDuration, the longest load. Such a time must have begun
	// in the warm-up, and is not counted.
	_ = h.RecordValue(max(int64(t), 1))
}

// summarize returns the distribution of the times in a histogram of microseconds, converted to milliseconds.
func summarize(h *hdrhistogram.Histogram) Spread {
	toMilliseconds := func(v int64) float64 { return float64(v) / 1000 }
	return Spread{Count: h.TotalCount(), P50: toMilliseconds(h.ValueAtQuantile(50)),
		P99: toMilliseconds(h.ValueAtQuantile(99)), Max: toMilliseconds(h.Max())}
}

// addFinding counts a violation of a checked property. The report describes the first maxFindings violations.
func (t *tally) addFinding(f history.Finding) {
	t.model.Violations[f.Property]++
	if len(t.model.Findings) < maxFindings {
		t.model.Findings = append(t.model.Findings,
			fmt.Sprintf("%.3f s: %v", seconds(t.fleet.now-epoch-warmUp), f))
	}
}

// countJob counts a submitted job, in total, by class and by slots. Retries of the job are not counted.
func (t *tally) countJob(job *clientJob) {
	t.model.Jobs++
	t.jobsByClass[job.class]++
	t.jobsBySlots[job.slotMixIndex]++
}

// recordStart records the first start of a job. after is the time since the first submission of the job.
func (t *tally) recordStart(job *clientJob, after Micros) {
	recordTime(t.timeToStart[job.class], after)
	recordTime(t.timeToStartBySlots[job.slotMixIndex], after)
	if after <= classes[job.class].objective {
		t.withinObjective[job.class]++
	}
}

// checkSend checks, when the first byte of an attempt is written, that the worker is not draining or removed.
// It reports a violation if the worker's entry has not been ready for longer than listValidity and the drain
// grace together: within this time each scheduler must stop sending even if it has not received the change. A
// scheduler that has applied the change is stopped earlier, by allowSend.
func (t *tally) checkSend(n *node, w *worker, req *request) {
	notReadySince := t.fleet.discovery.notReadySince[w.index]
	if notReadySince == 0 {
		return
	}
	late := t.fleet.now - notReadySince - listValidity - t.fleet.settings.DrainGrace
	if late > timingSlack {
		t.addFinding(history.Finding{Property: "drains-kept", ID: req.id,
			Text: fmt.Sprintf("scheduler %d writes to %s, which is not ready, %v after the last allowed time",
				n.index, w.uid, toDuration(late))})
	}
}

// recordRevision records that discovery publishes a revision of the worker list with the given number of
// entries. since is the time at which discovery learned of the first change in the revision.
func (t *tally) recordRevision(rev int64, since Micros, entries int) {
	for int64(len(t.changes)) <= rev-firstChange {
		t.changes = append(t.changes, &changeProgress{
			knownSince:        since,
			publishedAt:       t.fleet.now,
			pendingSchedulers: len(t.fleet.nodes),
		})
	}
	t.model.Changes.Updates++
	t.model.Changes.Entries += entries
}

// recordChangeApplied records that scheduler n has applied all changes up to revision rev. validBefore is the
// time at which the scheduler's previous list became or would have become stale. If the previous list was
// stale before, the changes have been in force since then, because the scheduler sent no attempts.
func (t *tally) recordChangeApplied(n *node, rev int64, validBefore Micros) {
	now := t.fleet.now
	for r := n.appliedRevision + 1; r <= rev; r++ {
		c := t.changes[r-firstChange]
		c.pendingSchedulers--
		c.appliedAt = now
		inForceAt := now
		if validBefore < now {
			inForceAt = max(validBefore, c.publishedAt)
		} else {
			t.fleet.meter.recordChange(n, c.knownSince)
		}
		c.inForceAt = max(c.inForceAt, inForceAt)
	}
	n.appliedRevision = max(n.appliedRevision, rev)
}
