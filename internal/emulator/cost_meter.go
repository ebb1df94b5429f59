package emulator

import (
	"runtime"
	"runtime/metrics"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliaford/internal/scheduler"
)

// controlCoreBudget is the fraction of a processor core that a scheduler may use for control events, which
// are the events about the worker list and its watch.
const controlCoreBudget = 0.029

// costMeter measures the processor time and the memory that a run takes on the machine.
type costMeter struct {
	startedAt        time.Time             // wall time at the start of the run
	timesByKind      map[string]*stepTimes // processor times by kind of event (see kindOfEvent)
	heapPerScheduler float64               // live heap of a scheduler with its worker list, in bytes
	maxHeap          uint64                // largest total size of the heap objects, in bytes
	series           Series
	loadStarted      bool // whether the warm-up is over
	// observe is set by tests to see each event that a reducer processes; otherwise it is nil.
	observe func(scheduler.Event)

	// maxLag is the longest time by which a reducer lags behind the arrival of its events. maxChangeDelay is
	// the longest time from when discovery learns of a change of the worker list until a reducer has applied
	// the change. Both fields assume a processor core for each reducer. The fields with AtBudget assume a
	// reducer that processes only control events, on the fraction controlCoreBudget of a core.
	maxLag, maxLagAtBudget                 time.Duration
	maxChangeDelay, maxChangeDelayAtBudget time.Duration
}

// stepTimes holds the processor times of the reducer steps for one kind of event.
type stepTimes struct {
	histogram *hdrhistogram.Histogram // processor time of each step in nanoseconds
	total     time.Duration
}

func (m *costMeter) start() { m.startedAt, m.timesByKind = time.Now(), map[string]*stepTimes{} }

// startLoad resets the usage counters of all schedulers at the end of the warm-up, because the counters cover
// only the load.
func (m *costMeter) startLoad(f *fleet) {
	m.loadStarted = true
	for _, n := range f.nodes {
		n.usage = nodeUsage{}
	}
}

// kindOfEvent returns the kind of a reducer event, by which the report groups processor times.
func kindOfEvent(e scheduler.Event) string {
	switch e := e.(type) {
	case scheduler.Started:
		return "started with a cached list"
	case scheduler.Submitted:
		return "job submitted"
	case scheduler.AttemptAccepted:
		return "attempt accepted"
	case scheduler.Callback:
		if e.Kind == scheduler.CallbackStarted {
			return "callback: job started"
		}
		return "callback: job ended"
	case scheduler.AttemptEnded:
		return "attempt ended"
	case scheduler.CancellationResult:
		return "cancellation ended"
	case scheduler.EndpointsUpdated:
		return kindOfUpdate(e.List)
	case scheduler.WatchClosed:
		return "watch closed"
	case scheduler.TimerFired:
		return "timer"
	}
	return "others"
}

func kindOfUpdate(list scheduler.WorkerList) string {
	switch {
	case list.Complete:
		return "full list"
	case len(list.Workers) == 0:
		return "update without entries"
	default:
		return "update with entries"
	}
}

// recordStep records the processor time that a scheduler's reducer took to process an event.
func (m *costMeter) recordStep(n *node, e scheduler.Event, elapsed time.Duration) {
	if m.observe != nil {
		m.observe(e)
	}
	kind := kindOfEvent(e)
	times := m.timesByKind[kind]
	if times == nil {
		times = &stepTimes{histogram: hdrhistogram.New(1, int64(time.Hour), 2)}
		m.timesByKind[kind] = times
	}
	// RecordValue fails only for a reducer step that took more than an hour.
	_ = times.histogram.RecordValue(max(int64(elapsed), 1))
	times.total += elapsed
	if !m.loadStarted {
		return
	}
	u := &n.usage
	u.reducerTime += elapsed
	now := toDuration(n.fleet.now)
	switch e.(type) {
	case scheduler.EndpointsUpdated, scheduler.WatchClosed:
		u.controlTime += elapsed
		u.controlBusyUntil = max(u.controlBusyUntil, now) + time.Duration(float64(elapsed)/controlCoreBudget)
	}
	u.busyUntil = max(u.busyUntil, now) + elapsed
	m.maxLag = max(m.maxLag, u.busyUntil-now)
	m.maxLagAtBudget = max(m.maxLagAtBudget, u.controlBusyUntil-now)
	*currentSecond(&m.series.CoreSeconds, n.fleet) += elapsed.Seconds()
}

// recordChange records the delay from time since, at which discovery learned of a change of the worker list,
// until the reducer of scheduler n has processed the change and all earlier events.
func (m *costMeter) recordChange(n *node, since Micros) {
	m.maxChangeDelay = max(m.maxChangeDelay, n.usage.busyUntil-toDuration(since))
	m.maxChangeDelayAtBudget = max(m.maxChangeDelayAtBudget, n.usage.controlBusyUntil-toDuration(since))
}

// currentSecond returns a pointer to the element of a series for the present second of the load, and extends
// the series if necessary. A series has one element for each second of the load.
func currentSecond[T any](series *[]T, f *fleet) *T {
	i := int((f.now - epoch - warmUp) / second)
	for len(*series) <= i {
		*series = append(*series, *new(T))
	}
	return &(*series)[i]
}

func (m *costMeter) countStart(f *fleet)   { *currentSecond(&m.series.Starts, f)++ }
func (m *costMeter) countRefusal(f *fleet) { *currentSecond(&m.series.Refused, f)++ }

func (m *costMeter) countControlBytes(f *fleet, bytes int) {
	if m.loadStarted {
		*currentSecond(&m.series.ControlKB, f) += float64(bytes) / 1000
	}
}

// sampleHeap updates maxHeap with the present heap size, and schedules the next sample after a second of
// virtual time.
func (m *costMeter) sampleHeap(f *fleet) {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	m.maxHeap = max(m.maxHeap, heap[0].Value.Uint64())
	f.scheduleAfter(second, func() { m.sampleHeap(f) })
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// results returns the processor times and heap sizes of the run in the form of the report.
func (m *costMeter) results(f *fleet) Measured {
	measured := Measured{
		WallSeconds:                time.Since(m.startedAt).Seconds(),
		Events:                     f.events.seq,
		HeapKBPerScheduler:         m.heapPerScheduler / 1000,
		MaxHeapMB:                  float64(m.maxHeap) / 1e6,
		AvailableCores:             runtime.GOMAXPROCS(0),
		MaxLagMs:                   milliseconds(m.maxLag),
		MaxLagMsAtControlBudget:    milliseconds(m.maxLagAtBudget),
		MaxChangeMs:                milliseconds(m.maxChangeDelay),
		MaxChangeMsAtControlBudget: milliseconds(m.maxChangeDelayAtBudget),
	}
	for kind, times := range m.timesByKind {
		measured.EventCosts = append(measured.EventCosts, times.cost(kind))
	}
	slices.SortFunc(measured.EventCosts, func(a, b EventCost) int {
		return int(b.TotalSeconds*1e9 - a.TotalSeconds*1e9)
	})
	loadPercent := f.options.Duration.Seconds() / 100
	for _, n := range f.nodes {
		percent := n.usage.reducerTime.Seconds() / loadPercent
		measured.CorePercent += percent / float64(len(f.nodes))
		measured.MaxCorePercent = max(measured.MaxCorePercent, percent)
		measured.ControlCorePercent += n.usage.controlTime.Seconds() / loadPercent / float64(len(f.nodes))
	}
	return measured
}

// cost returns the processor times of the reducer steps for a kind of event in the form of the report.
func (t *stepTimes) cost(kind string) EventCost {
	micros := func(nanoseconds int64) float64 { return float64(nanoseconds) / 1000 }
	return EventCost{
		Kind:         kind,
		Count:        t.histogram.TotalCount(),
		MeanUs:       t.histogram.Mean() / 1000,
		P50Us:        micros(t.histogram.ValueAtQuantile(50)),
		P99Us:        micros(t.histogram.ValueAtQuantile(99)),
		MaxUs:        micros(t.histogram.Max()),
		TotalSeconds: t.total.Seconds(),
	}
}
