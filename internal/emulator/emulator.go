// Package emulator simulates a fleet in virtual time. Hundreds of schedulers run the real reducer and the
// real decision module; the workers, the clients, the discovery service and the network are simulated by
// this package. The simulation uses no sockets and never sleeps: a queue of events, ordered by time,
// advances the virtual clock. Equal options give equal results, except for the figures in Measured, which
// depend on the machine. docs/design-emulator.md lists what the simulation omits.
package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// orphanLimit is the longest time that a worker may hold an orphan, an attempt whose result no scheduler
// waits for. The checks of the request histories report an orphan that a worker holds longer.
const orphanLimit = 20 * time.Second

// fleet holds the state of one run: the simulated components, the virtual clock, the pending events and the
// statistics.
type fleet struct {
	options Options
	// settings are common to all schedulers. Each scheduler gets a copy with its own index and zone.
	settings    settings.Settings
	meanRunTime Micros // mean run time of a job on a machine of speed 1
	now         Micros
	end         Micros
	events      eventQueue

	network   network
	discovery *discovery
	nodes     []*node
	workers   []*worker
	byUID     map[string]*worker
	byAddr    map[string]*worker
	clients   *clients
	// requests holds the requests that await an answer or the end of an attempt, by the id of the request.
	requests     map[string]*request
	historyRules history.Rules
	tally        tally
	meter        costMeter
}

// scheduleAt schedules an action for virtual time t, or for the present time if t has passed. Actions for the
// same time run in the order in which they were scheduled.
func (f *fleet) scheduleAt(t Micros, action func()) { f.events.push(max(t, f.now), action) }

// scheduleAfter schedules an action to run after a delay of virtual time.
func (f *fleet) scheduleAfter(d Micros, action func()) { f.events.push(f.now+d, action) }

// The identifiers of the streams of random numbers. Each component draws from a stream of its own, so that
// a change to one component does not change the draws of the others. A changed identifier changes the
// result of every seed.
const (
	networkStream   = 1
	discoveryStream = 2
	clientStream    = 3
	dayStream       = 4
	workerStreams   = 1000      // random stream of worker 0; worker i uses workerStreams + i
	nodeStreams     = 1_000_000 // random stream of scheduler 0; scheduler i uses nodeStreams + i
)

// newRandom returns a random source for the given stream, seeded with the seed of the run.
func (f *fleet) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.options.Seed, stream))
}

// wallTime returns the present virtual time as a time.Time.
func (f *fleet) wallTime() time.Time { return time.UnixMicro(int64(f.now)) }

// Run simulates the fleet and the fault scenario that the options describe, and returns the report. It
// returns the error of Options.Validate for invalid options, and wraps the context's error if the context
// ends before the run does.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if err := opt.Validate(); err != nil {
		return nil, err
	}
	opt = opt.withDefaults()
	f, err := newFleet(opt)
	if err != nil {
		return nil, err
	}
	days[opt.Day].schedule(f)
	if err := f.runEvents(ctx); err != nil {
		return nil, err
	}
	return f.report(), nil
}

// eventsPerContextCheck is the number of simulation events that a run executes between two checks whether its
// context has ended. A check before every event would take a visible part of the processor time.
const eventsPerContextCheck = 4096

// runEvents executes all events in the order of their times, up to the end of the run.
func (f *fleet) runEvents(ctx context.Context) error {
	for n := 0; ; n++ {
		if n%eventsPerContextCheck == 0 {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("run stopped at %.1f s of virtual time: %w", seconds(f.now-epoch), err)
			}
		}
		e, ok := f.events.pop()
		if !ok || e.at > f.end {
			break
		}
		f.now = e.at
		e.action()
	}
	f.now = f.end
	return nil
}

// newFleet returns a fleet whose event queue holds the first events: the starts of the schedulers, and the
// first submission of a job after the warm-up.
func newFleet(opt Options) (*fleet, error) {
	set, err := fleetSettings(opt)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		options:     opt,
		settings:    set,
		meanRunTime: Micros(opt.MeanRunTime.Microseconds()),
		now:         epoch,
		end:         epoch + warmUp + Micros(opt.Duration.Microseconds()),
		byUID:       map[string]*worker{},
		byAddr:      map[string]*worker{},
		requests:    map[string]*request{},
	}
	f.network = network{fleet: f, random: f.newRandom(networkStream), cutRegion: noRegion}
	f.tally = newTally(f)
	f.meter.start()
	f.historyRules = newHistoryRules(set)
	f.discovery = newDiscovery(f)
	for i := range opt.Workers {
		f.register(f.newWorker(i % Zones))
	}
	heapBefore := heapInUse()
	if err := f.startSchedulers(); err != nil {
		return nil, err
	}
	f.scheduleAt(epoch+warmUp, func() {
		f.meter.heapPerScheduler = float64(heapInUse()-heapBefore) / float64(opt.Schedulers)
		f.meter.startLoad(f)
	})
	f.clients = newClients(f)
	f.scheduleAt(epoch+warmUp, f.clients.submitNext)
	f.meter.sampleHeap(f)
	return f, nil
}

// newHistoryRules returns the rules against which the history of each request is checked.
func newHistoryRules(set settings.Settings) history.Rules {
	keyedClass := set.Dispatch.Classes[len(set.Dispatch.Classes)-1]
	rules := history.Rules{
		AtMostOnce:  map[string]bool{},
		RackOf:      map[string]string{},
		MaxAttempts: set.Dispatch.MaxAttempts,
		DrainGrace:  toDuration(set.DrainGrace),
		Slack:       toDuration(timingSlack),
		OrphanLimit: orphanLimit,
		Window:      toDuration(keyedClass.DedupWindow),
	}
	for _, c := range classes {
		rules.AtMostOnce[c.name] = c.atMostOnce
	}
	return rules
}

// startSchedulers creates the schedulers and schedules their starts at random times within the first half
// second of the run. Each scheduler starts with the present worker list as its cached list.
func (f *fleet) startSchedulers() error {
	list := workerList(f.discovery.table.Full())
	for i := range f.options.Schedulers {
		n, err := newNode(f, i, zoneOfScheduler(i, f.options.Schedulers))
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.scheduleAt(epoch+Micros(n.random.Int64N(int64(second/2))), func() {
			n.step(scheduler.Started{Discovery: "discovery", CachedList: list})
		})
	}
	return nil
}

// zoneOfScheduler returns the zone of scheduler i. The schedulers are spread evenly over the zones.
func zoneOfScheduler(i, schedulers int) int {
	if schedulers >= Zones {
		return i % Zones
	}
	return i * Zones / schedulers
}

// heapInUse runs the garbage collector and returns the size of the live heap in bytes.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
