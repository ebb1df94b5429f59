package emulator

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliaford/internal/history"
)

const maxFindings = 20 // that a report names

// tally counts what happens in virtual time.
type tally struct {
	fleet              *fleet
	model              Model
	discovery          Discovery
	timeToStart        []*hdrhistogram.Histogram // by class
	withinObjective    []int64                   // by class
	jobsByClass        []int
	timeToStartBySlots []*hdrhistogram.Histogram // as slotMix
	jobsBySlots        []int                     // as slotMix
	changes            []*changeProgress         // by revision, from firstChange on
}

// firstChange is the first revision that is a change: the list begins with the one before.
const firstChange = 2

// changeProgress is how far the schedulers have applied a revision of the list.
type changeProgress struct {
	knownSince, publishedAt Micros // at discovery
	pendingSchedulers       int    // schedulers that have not applied it
	inForceAt, appliedAt    Micros // latest of the schedulers that it is in force at, that have applied it
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
			TaskSeconds:        f.options.Task.Seconds(),
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

// newTimeHistogram returns a histogram for times from a microsecond to the longest run, with three
// significant digits.
func newTimeHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, MaxDuration.Microseconds(), 3)
}

// recordTime adds a time to a histogram of newTimeHistogram.
func recordTime(h *hdrhistogram.Histogram, t Micros) {
	// It fails only for a time beyond MaxDuration. Only one that began in the warm-up can be that long; it
	// is not counted.
	_ = h.RecordValue(max(int64(t), 1))
}

// summarize returns the spread of times in milliseconds.
func summarize(h *hdrhistogram.Histogram) Spread {
	toMilliseconds := func(v int64) float64 { return float64(v) / 1000 }
	return Spread{Count: h.TotalCount(), P50: toMilliseconds(h.ValueAtQuantile(50)),
		P99: toMilliseconds(h.ValueAtQuantile(99)), Max: toMilliseconds(h.Max())}
}

// addFinding counts a violated rule. The first findings are named in the report.
func (t *tally) addFinding(f history.Finding) {
	t.model.Violations[f.Property]++
	if len(t.model.Findings) < maxFindings {
		t.model.Findings = append(t.model.Findings,
			fmt.Sprintf("%.3f s: %v", seconds(t.fleet.now-epoch-warmUp), f))
	}
}

// jobSubmitted counts a job.
func (t *tally) jobSubmitted(job *clientJob) {
	t.model.Jobs++
	t.jobsByClass[job.class]++
	t.jobsBySlots[job.slotMixIndex]++
}

// jobStarted counts the first start of a job, so long after its submission.
func (t *tally) jobStarted(job *clientJob, after Micros) {
	recordTime(t.timeToStart[job.class], after)
	recordTime(t.timeToStartBySlots[job.slotMixIndex], after)
	if after <= classes[job.class].objective {
		t.withinObjective[job.class]++
	}
}

// checkSend checks, when the first byte of an attempt is written, that the worker is not draining or
// removed. A change that a scheduler has applied stops its attempts (see allowSend); one that it has not
// received counts as known after staleAfter.
func (t *tally) checkSend(n *node, w *worker, req *request) {
	notReadySince := t.fleet.discovery.notReadySince[w.index]
	if notReadySince == 0 {
		return
	}
	late := t.fleet.now - notReadySince - staleAfter - t.fleet.settings.DrainGrace
	if late > timingSlack {
		t.addFinding(history.Finding{Property: "drains-kept", ID: req.id,
			Text: fmt.Sprintf("scheduler %d writes to %s, which counts as known not to be ready since %v before",
				n.index, w.uid, toDuration(late))})
	}
}

// published notes a revision that discovery publishes, with the time since when it knew of its first
// change.
func (t *tally) published(rev int64, since Micros, entries int) {
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

// changeApplied notes that a scheduler has applied all changes up to a revision. validBefore is until
// when it relied on the list that it had before: a change is in force already once that list is stale.
func (t *tally) changeApplied(n *node, rev int64, validBefore Micros) {
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
