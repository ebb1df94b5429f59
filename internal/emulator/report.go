package emulator

import (
	"fmt"
	"runtime"
	"runtime/metrics"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
)

// Report is what a run found. Model is the same for the same options; Measured is not.
type Report struct {
	Model    Model    `json:"model"`
	Measured Measured `json:"measured"`
	Series   Series   `json:"-"`
}

// OK tells whether no rule was broken.
func (r *Report) OK() bool { return len(r.Model.Violations) == 0 }

// Model is what happened in virtual time, from the first job to the end.
type Model struct {
	Day           string  `json:"day"`
	Workers       int     `json:"workers"`
	Schedulers    int     `json:"schedulers"`
	Seed          uint64  `json:"seed"`
	RatePerSecond float64 `json:"rate_per_s"` // asked for
	TaskSeconds   float64 `json:"task_s"`     // mean run of a job on a standard machine
	LoadSeconds   float64 `json:"seconds"`    // of load

	Jobs               int `json:"jobs"`     // that clients wanted done
	Requests           int `json:"requests"` // their tries
	Starts             int `json:"starts"`
	Served             int `json:"served"`
	Refused            int `json:"refused"` // tries that were refused
	GaveUp             int `json:"gave_up"` // jobs whose last try was refused
	Failed             int `json:"failed"`
	Invalid            int `json:"invalid"`        // answers that no client should get: the model would be wrong
	Unanswered         int `json:"open"`           // at the end
	NotRunning         int `json:"waiting"`        // of them, not running
	MaxNotRunningAtOne int `json:"waiting_at_one"` // the most of these at one scheduler
	CheckedRequests    int `json:"checked"`        // requests whose history was checked

	StartsPerSecond     float64           `json:"starts_per_s"`
	PeakStartsPerSecond int               `json:"peak_starts_per_s"` // in the busiest second
	TimeToStart         map[string]Spread `json:"time_to_start"`     // by class, from the client's first try
	TimeToStartBySlots  map[string]Spread `json:"by_slots"`          // the same by the slots that a job takes
	Attempts            int               `json:"attempts"`
	RejectedAtCapacity  int               `json:"turned_away"` // by a full worker
	NotSent             int               `json:"turned_back"` // by the last look
	KilledAttempts      int               `json:"killed"`      // with their worker
	Cancelled           int               `json:"withdrawn"`
	OverloadCrashes     int               `json:"pushed_over"` // cold workers that fell over

	CallbacksUndelivered int            `json:"callbacks_lost"`
	NoConnection         int            `json:"no_connection"` // attempts and withdrawals without one, for want of room
	LogLines             map[string]int `json:"log"`           // lines of the reducer's log, without their numbers

	ControlTraffic Traffic   `json:"control"` // between a scheduler and discovery
	JobTraffic     Traffic   `json:"work"`    // between a scheduler, clients and workers
	Discovery      Discovery `json:"discovery"`
	Changes        Changes   `json:"changes"`

	Violations map[string]int `json:"broken"` // rules, by how often
	Findings   []string       `json:"findings,omitempty"`
}

// Spread is a distribution, in milliseconds.
type Spread struct {
	Total int     `json:"of,omitempty"` // of so many
	Count int64   `json:"n"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	// WithinObjective is the part that began within the class's aim, without its stretch.
	WithinObjective float64 `json:"in_aim,omitempty"`
}

// Traffic is what a scheduler receives and sends, bytes as the wire would have them by estimate.
type Traffic struct {
	BytesPerSecond    float64 `json:"bytes_per_s"`      // on the mean of all schedulers
	MaxBytesPerSecond float64 `json:"most_bytes_per_s"` // of the scheduler with the most
	PeakSecondBytes   int64   `json:"worst_second_bytes,omitempty"`
	MessagesPerSecond float64 `json:"messages_per_s"`
}

// Discovery is what discovery did.
type Discovery struct {
	FullLists     int     `json:"whole_lists"`
	Deltas        int     `json:"deltas"`
	RefusedCalls  int     `json:"refused_calls"`
	WatchesClosed int     `json:"lost_watches"`
	BusySeconds   float64 `json:"busy_s"`
}

// Changes is how long words of discovery took until they were in force everywhere, from when
// discovery knew the first change in them. A change is in force at a scheduler once it has applied
// it, or sends nothing because it has not heard discovery for too long.
type Changes struct {
	Updates    int    `json:"words"`
	Entries    int    `json:"entries"`
	InForce    Spread `json:"in_force"`
	Applied    Spread `json:"applied"` // until the last one has applied it
	NotInForce int    `json:"open"`    // not in force everywhere at the end
	Unapplied  int    `json:"unread"`  // not applied everywhere at the end
}

// Measured is what was measured on the machine.
type Measured struct {
	WallSeconds             float64     `json:"seconds"`              // that the run took
	Events                  uint64      `json:"events"`               // of the model
	EventCosts              []EventCost `json:"kinds"`                // processor time of the reducer, by kind of event
	CorePercent             float64     `json:"core_percent"`         // of a core, by a scheduler's reducer on the mean
	MaxCorePercent          float64     `json:"core_percent_most"`    // by the scheduler with the most
	ControlCorePercent      float64     `json:"core_percent_control"` // of the mean, for words of discovery
	MaxLagMs                float64     `json:"lag_ms"`               // most that a reducer is behind, with a core of its own
	MaxLagMsAtControlBudget float64     `json:"lag_at_2.9_percent_ms"`
	// MaxChangeMs is the longest that a change took to the last scheduler that heard it, counting the time
	// of the reducers.
	MaxChangeMs                float64 `json:"change_ms"`
	MaxChangeMsAtControlBudget float64 `json:"change_at_2.9_percent_ms"`
	HeapKBPerScheduler         float64 `json:"heap_kb_a_scheduler"` // once it has the list
	MaxHeapMB                  float64 `json:"heap_mb"`             // of the whole run, at the most
	AvailableCores             int     `json:"cores"`               // that the run could use
}

// EventCost is the processor time of one kind of event.
type EventCost struct {
	Kind         string  `json:"kind"`
	Count        int64   `json:"n"`
	MeanUs       float64 `json:"mean_us"`
	P50Us        float64 `json:"p50_us"`
	P99Us        float64 `json:"p99_us"`
	MaxUs        float64 `json:"max_us"`
	TotalSeconds float64 `json:"total_s"`
}

// Series are figures by second of the load.
type Series struct {
	Starts, Refused []int     // of all schedulers
	ControlKB       []float64 // of all schedulers
	CoreSeconds     []float64 // processor time of all reducers
}

// ---- Counting in virtual time

const maxFindings = 20

type tally struct {
	fleet              *fleet
	model              Model
	discovery          Discovery
	timeToStart        []*hdrhistogram.Histogram // by class
	withinObjective    []int64
	jobsByClass        []int
	timeToStartBySlots []*hdrhistogram.Histogram // as in gangs
	jobsBySlots        []int
	changes            []*changeProgress // by version from 2 on
}

// changeProgress is a word of discovery on its way into force.
type changeProgress struct {
	knownSince, publishedAt Micros
	pendingSchedulers       int // schedulers that have not applied it
	inForceAt, appliedAt    Micros
}

func newTally(f *fleet) tally {
	t := tally{fleet: f, model: Model{Day: f.options.Day, Workers: f.options.Workers, Schedulers: f.options.Schedulers,
		Seed: f.options.Seed, RatePerSecond: jobRate(f.options), TaskSeconds: f.options.Task.Seconds(), LoadSeconds: f.options.Duration.Seconds(),
		TimeToStart: map[string]Spread{}, TimeToStartBySlots: map[string]Spread{}, LogLines: map[string]int{},
		Violations: map[string]int{}}, withinObjective: make([]int64, len(classes)), jobsByClass: make([]int, len(classes)),
		jobsBySlots: make([]int, len(slotMix))}
	for range classes {
		t.timeToStart = append(t.timeToStart, newTimeHistogram())
	}
	for range slotMix {
		t.timeToStartBySlots = append(t.timeToStartBySlots, newTimeHistogram())
	}
	return t
}

// newTimeHistogram is a histogram of times up to the longest run.
func newTimeHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(MaxDuration.Microseconds()), 3)
}

func (t *tally) addFinding(f history.Finding) {
	t.model.Violations[f.Property]++
	if len(t.model.Findings) < maxFindings {
		t.model.Findings = append(t.model.Findings, fmt.Sprintf("%.3f s: %v", seconds(t.fleet.now-epoch-warmUp), f))
	}
}

// jobSubmitted and starts count a job, and its first start.
func (t *tally) jobSubmitted(i *clientJob) {
	t.model.Jobs++
	t.jobsByClass[i.class]++
	t.jobsBySlots[i.slotMixIndex]++
}

func (t *tally) jobStarted(i *clientJob, after Micros) {
	t.timeToStart[i.class].RecordValue(max(int64(after), 1))
	t.timeToStartBySlots[i.slotMixIndex].RecordValue(max(int64(after), 1))
	if after <= classes[i.class].objective {
		t.withinObjective[i.class]++
	}
}

// checkSend checks the rule on drains when a first byte goes out.
func (t *tally) checkSend(n *node, w *worker, req *request) {
	left := t.fleet.discovery.notReadySince[w.index]
	if left == 0 {
		return
	}
	// Heard words stop a send by themselves, see may. Unheard ones count as told after a while.
	if over := t.fleet.now - left - staleAfter - t.fleet.settings.DrainGrace; over > timingSlack {
		t.addFinding(history.Finding{Property: "drains-kept", ID: req.id,
			Text: fmt.Sprintf("%d writes to %s, which counts as told off since %v before", n.index, w.uid, toDuration(over))})
	}
}

// published notes a word that discovery writes.
func (t *tally) published(rev int64, since Micros, entries int) {
	for int64(len(t.changes)) < rev-1 {
		t.changes = append(t.changes, &changeProgress{knownSince: since, publishedAt: t.fleet.now, pendingSchedulers: len(t.fleet.nodes)})
	}
	t.model.Changes.Updates++
	t.model.Changes.Entries += entries
}

// changeApplied notes that a scheduler has taken in all up to a version; trusted is until when it relied on
// what it knew before.
func (t *tally) changeApplied(n *node, rev int64, trusted Micros) {
	for r := n.appliedRevision + 1; r <= rev; r++ {
		c := t.changes[r-2]
		c.pendingSchedulers--
		c.appliedAt = t.fleet.now
		at := t.fleet.now
		if trusted < at {
			at = max(trusted, c.publishedAt)
		} else {
			t.fleet.meter.recordChange(n, c.knownSince)
		}
		c.inForceAt = max(c.inForceAt, at)
	}
	n.appliedRevision = max(n.appliedRevision, rev)
}

func summarize(h *hdrhistogram.Histogram) Spread {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Spread{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)),
		Max: ms(h.Max())}
}

// report sums up.
func (f *fleet) report() *Report {
	m := &f.tally.model
	for i, c := range classes {
		s := summarize(f.tally.timeToStart[i])
		if s.Total = f.tally.jobsByClass[i]; s.Count > 0 {
			s.WithinObjective = float64(f.tally.withinObjective[i]) / float64(s.Count)
		}
		m.TimeToStart[c.name] = s
	}
	for i, g := range slotMix {
		s := summarize(f.tally.timeToStartBySlots[i])
		s.Total = f.tally.jobsBySlots[i]
		m.TimeToStartBySlots[fmt.Sprint(g.slots)] = s
	}
	m.Discovery = f.tally.discovery
	f.checkOpenRequests()
	inForce, applied := newTimeHistogram(), newTimeHistogram()
	for i, c := range f.tally.changes {
		rev, waits := int64(i)+2, false
		for _, n := range f.nodes {
			if n.appliedRevision >= rev || c.pendingSchedulers == 0 {
				continue
			}
			if n.validUntil >= f.now {
				waits = true
			} else {
				c.inForceAt = max(c.inForceAt, n.validUntil, c.publishedAt)
			}
		}
		if waits {
			m.Changes.NotInForce++
		} else {
			inForce.RecordValue(max(int64(c.inForceAt-c.knownSince), 1))
		}
		if c.pendingSchedulers > 0 {
			m.Changes.Unapplied++
		} else {
			applied.RecordValue(max(int64(c.appliedAt-c.knownSince), 1))
		}
	}
	m.Changes.InForce, m.Changes.Applied = summarize(inForce), summarize(applied)
	m.StartsPerSecond = float64(m.Starts) / m.LoadSeconds
	for _, n := range f.meter.series.Starts {
		m.PeakStartsPerSecond = max(m.PeakStartsPerSecond, n)
	}
	for _, n := range f.nodes {
		each := float64(len(f.nodes)) * m.LoadSeconds
		m.ControlTraffic.BytesPerSecond += float64(n.usage.controlBytes) / each
		m.ControlTraffic.MessagesPerSecond += float64(n.usage.controlMessages) / each
		m.ControlTraffic.MaxBytesPerSecond = max(m.ControlTraffic.MaxBytesPerSecond, float64(n.usage.controlBytes)/m.LoadSeconds)
		m.ControlTraffic.PeakSecondBytes = max(m.ControlTraffic.PeakSecondBytes, n.usage.peakSecondBytes)
		m.JobTraffic.BytesPerSecond += float64(n.usage.jobBytes) / each
		m.JobTraffic.MessagesPerSecond += float64(n.usage.jobMessages) / each
		m.JobTraffic.MaxBytesPerSecond = max(m.JobTraffic.MaxBytesPerSecond, float64(n.usage.jobBytes)/m.LoadSeconds)
	}
	return &Report{Model: *m, Measured: f.meter.results(f), Series: f.meter.series}
}

// checkOpenRequests checks what is not over at the end.
func (f *fleet) checkOpenRequests() {
	var all []*request
	for _, r := range f.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return a.number - b.number })
	waiting := map[*node]int{}
	for _, r := range all {
		if !r.answered {
			f.tally.model.Unanswered++
			if r.job.firstStarted != r {
				f.tally.model.NotRunning++
				waiting[r.node]++
				f.tally.model.MaxNotRunningAtOne = max(f.tally.model.MaxNotRunningAtOne, waiting[r.node])
			}
			if f.now > r.deadline+timingSlack {
				r.record(history.Event{Kind: history.Unanswered, ID: r.id})
			}
		}
		// An event that says nothing tells how late it is for what is held for nobody.
		r.record(history.Event{Kind: history.WorkerReady})
		r.checkHistory()
	}
}

// ---- Measuring on the machine

// controlCoreBudget is the part of a core that a scheduler may take for control.
const controlCoreBudget = 0.029

type costMeter struct {
	startedAt        time.Time
	byKind           map[string]*stepTimes
	heapPerScheduler float64 // bytes a scheduler that has the list
	maxHeap          uint64  // heap in use
	series           Series
	loadStarted      bool
	observe          func(scheduler.Event) // looks on, for tests; nil: nobody does
	// The most that a reducer is behind, and until a change is applied: with a core for all, and with the
	// part that is for control for that alone.
	maxLag, maxLagAtBudget, maxChangeDelay, maxChangeDelayAtBudget time.Duration
}

type stepTimes struct {
	histogram *hdrhistogram.Histogram // nanoseconds
	total     time.Duration
}

func (s *costMeter) start() { s.startedAt, s.byKind = time.Now(), map[string]*stepTimes{} }

// startLoad starts the figures of the schedulers, with the load.
func (s *costMeter) startLoad(f *fleet) {
	s.loadStarted = true
	for _, n := range f.nodes {
		n.usage = nodeUsage{}
	}
}

func kindOfEvent(e scheduler.Event) string {
	switch e := e.(type) {
	case scheduler.Started:
		return "began, list known"
	case scheduler.Submitted:
		return "job submitted"
	case scheduler.AttemptAccepted:
		return "job accepted"
	case scheduler.Callback:
		if e.Kind == scheduler.CallbackStarted {
			return "job started"
		}
		return "job ended, told"
	case scheduler.AttemptEnded:
		return "attempt ended, seen"
	case scheduler.CancellationResult:
		return "job withdrawn"
	case scheduler.EndpointsUpdated:
		switch {
		case e.List.Complete:
			return "whole list"
		case len(e.List.Workers) == 0:
			return "word without entries"
		}
		return "word with entries"
	case scheduler.WatchClosed:
		return "watch lost"
	case scheduler.TimerFired:
		return "timer"
	}
	return "others"
}

func (s *costMeter) recordStep(n *node, e scheduler.Event, took time.Duration) {
	if s.observe != nil {
		s.observe(e)
	}
	kind := kindOfEvent(e)
	k := s.byKind[kind]
	if k == nil {
		k = &stepTimes{histogram: hdrhistogram.New(1, int64(time.Hour), 2)}
		s.byKind[kind] = k
	}
	k.histogram.RecordValue(max(int64(took), 1))
	k.total += took
	if !s.loadStarted {
		return
	}
	n.usage.reducerTime += took
	now := toDuration(n.fleet.now)
	switch e.(type) {
	case scheduler.EndpointsUpdated, scheduler.WatchClosed:
		n.usage.controlTime += took
		n.usage.controlBusyUntil = max(n.usage.controlBusyUntil, now) + time.Duration(float64(took)/controlCoreBudget)
	}
	n.usage.busyUntil = max(n.usage.busyUntil, now) + took
	s.maxLag, s.maxLagAtBudget = max(s.maxLag, n.usage.busyUntil-now), max(s.maxLagAtBudget, n.usage.controlBusyUntil-now)
	*currentSecond(&s.series.CoreSeconds, n.fleet) += took.Seconds()
}

// recordChange notes when a change, known to discovery since a time, is applied at a scheduler that hears
// it at once: when its reducer is through with it and all before.
func (s *costMeter) recordChange(n *node, since Micros) {
	s.maxChangeDelay = max(s.maxChangeDelay, n.usage.busyUntil-toDuration(since))
	s.maxChangeDelayAtBudget = max(s.maxChangeDelayAtBudget, n.usage.controlBusyUntil-toDuration(since))
}

// currentSecond is the place of the present second in a series.
func currentSecond[T any](series *[]T, f *fleet) *T {
	i := int((f.now - epoch - warmUp) / second)
	for len(*series) <= i {
		*series = append(*series, *new(T))
	}
	return &(*series)[i]
}

func (s *costMeter) countStart(f *fleet)   { *currentSecond(&s.series.Starts, f)++ }
func (s *costMeter) countRefusal(f *fleet) { *currentSecond(&s.series.Refused, f)++ }

func (s *costMeter) countControlBytes(f *fleet, n int) {
	if s.loadStarted {
		*currentSecond(&s.series.ControlKB, f) += float64(n) / 1000
	}
}

// sampleHeap looks at the heap once a second of virtual time.
func (s *costMeter) sampleHeap(f *fleet) {
	one := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(one)
	s.maxHeap = max(s.maxHeap, one[0].Value.Uint64())
	f.after(second, func() { s.sampleHeap(f) })
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (s *costMeter) results(f *fleet) Measured {
	m := Measured{WallSeconds: time.Since(s.startedAt).Seconds(), Events: f.events.seq, HeapKBPerScheduler: s.heapPerScheduler / 1000,
		MaxHeapMB: float64(s.maxHeap) / 1e6, AvailableCores: runtime.GOMAXPROCS(0),
		MaxLagMs: milliseconds(s.maxLag), MaxLagMsAtControlBudget: milliseconds(s.maxLagAtBudget), MaxChangeMs: milliseconds(s.maxChangeDelay), MaxChangeMsAtControlBudget: milliseconds(s.maxChangeDelayAtBudget)}
	for kind, k := range s.byKind {
		us := func(v int64) float64 { return float64(v) / 1000 }
		m.EventCosts = append(m.EventCosts, EventCost{Kind: kind, Count: k.histogram.TotalCount(), MeanUs: k.histogram.Mean() / 1000,
			P50Us: us(k.histogram.ValueAtQuantile(50)), P99Us: us(k.histogram.ValueAtQuantile(99)), MaxUs: us(k.histogram.Max()),
			TotalSeconds: k.total.Seconds()})
	}
	slices.SortFunc(m.EventCosts, func(a, b EventCost) int { return int(b.TotalSeconds*1e9 - a.TotalSeconds*1e9) })
	load := f.options.Duration.Seconds() / 100
	for _, n := range f.nodes {
		m.CorePercent += n.usage.reducerTime.Seconds() / load / float64(len(f.nodes))
		m.MaxCorePercent = max(m.MaxCorePercent, n.usage.reducerTime.Seconds()/load)
		m.ControlCorePercent += n.usage.controlTime.Seconds() / load / float64(len(f.nodes))
	}
	return m
}
