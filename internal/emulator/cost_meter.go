package emulator

import (
	"runtime"
	"runtime/metrics"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliaford/internal/scheduler"
)

// controlCoreBudget is the fraction of a core that a scheduler may use for control events.
const controlCoreBudget = 0.029

// costMeter measures what a run costs on the machine.
type costMeter struct {
	startedAt        time.Time
	byKind           map[string]*stepTimes // by kindOfEvent
	heapPerScheduler float64               // bytes, once all have the list
	maxHeap          uint64                // bytes in use
	series           Series
	loadStarted      bool
	observe          func(scheduler.Event) // sees each event, for tests; nil: not set

	// The longest that a reducer is behind, and the longest until a change is applied: with a core for
	// everything, and with the control budget for control events alone.
	maxLag, maxLagAtBudget                 time.Duration
	maxChangeDelay, maxChangeDelayAtBudget time.Duration
}

// stepTimes is the processor time of one kind of event.
type stepTimes struct {
	histogram *hdrhistogram.Histogram // nanoseconds
	total     time.Duration
}

func (m *costMeter) start() { m.startedAt, m.byKind = time.Now(), map[string]*stepTimes{} }

// startLoad resets the usage of the schedulers: it counts from the start of the load.
func (m *costMeter) startLoad(f *fleet) {
	m.loadStarted = true
	for _, n := range f.nodes {
		n.usage = nodeUsage{}
	}
}

// kindOfEvent is the kind of event by which processor time is reported.
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

// recordStep notes the processor time of one step of a scheduler's reducer.
func (m *costMeter) recordStep(n *node, e scheduler.Event, took time.Duration) {
	if m.observe != nil {
		m.observe(e)
	}
	kind := kindOfEvent(e)
	times := m.byKind[kind]
	if times == nil {
		times = &stepTimes{histogram: hdrhistogram.New(1, int64(time.Hour), 2)}
		m.byKind[kind] = times
	}
	_ = times.histogram.RecordValue(max(int64(took), 1)) // fails for more than an hour
	times.total += took
	if !m.loadStarted {
		return
	}
	u := &n.usage
	u.reducerTime += took
	now := toDuration(n.fleet.now)
	switch e.(type) {
	case scheduler.EndpointsUpdated, scheduler.WatchClosed:
		u.controlTime += took
		u.controlBusyUntil = max(u.controlBusyUntil, now) + time.Duration(float64(took)/controlCoreBudget)
	}
	u.busyUntil = max(u.busyUntil, now) + took
	m.maxLag = max(m.maxLag, u.busyUntil-now)
	m.maxLagAtBudget = max(m.maxLagAtBudget, u.controlBusyUntil-now)
	*currentSecond(&m.series.CoreSeconds, n.fleet) += took.Seconds()
}

// recordChange notes when a change, known to discovery since a time, is applied at a scheduler that
// receives it at once: when its reducer has processed it and everything before.
func (m *costMeter) recordChange(n *node, since Micros) {
	m.maxChangeDelay = max(m.maxChangeDelay, n.usage.busyUntil-toDuration(since))
	m.maxChangeDelayAtBudget = max(m.maxChangeDelayAtBudget, n.usage.controlBusyUntil-toDuration(since))
}

// currentSecond returns the element of a series for the present second of the load.
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

// sampleHeap measures the heap once a second of virtual time.
func (m *costMeter) sampleHeap(f *fleet) {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	m.maxHeap = max(m.maxHeap, heap[0].Value.Uint64())
	f.after(second, func() { m.sampleHeap(f) })
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// results returns what was measured.
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
	for kind, times := range m.byKind {
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

// cost returns the times of a kind of event in the form of the report.
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
