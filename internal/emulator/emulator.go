// Package emulator runs a fleet in virtual time: hundreds of simulated schedulers, each with the real
// reducer and decision module, among simulated workers, clients, one discovery service and a network,
// which are written here. There is no socket and no sleep: one queue of events, ordered by time, moves
// the clock. The same options give the same run, except for what is measured on the machine (see
// Measured). docs/design-emulator.md says what is left out.
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

// orphanLimit is how long a worker may hold a job that no scheduler waits for.
const orphanLimit = 20 * time.Second

// fleet is one run: all simulated actors, the clock and what is counted.
type fleet struct {
	options  Options
	settings settings.Settings // of all schedulers; their index and zone are set in a copy each
	task     Micros            // mean run time of a job on a standard machine
	now      Micros
	end      Micros
	events   eventQueue

	network      network
	discovery    *discovery
	nodes        []*node
	workers      []*worker
	byUID        map[string]*worker
	byAddr       map[string]*worker
	clients      *clients
	requests     map[string]*request // with something outstanding, by id
	historyRules history.Rules
	tally        tally
	meter        costMeter
}

// at schedules an action for a time, behind all actions that were scheduled before for that time.
func (f *fleet) at(t Micros, action func()) { f.events.push(max(t, f.now), action) }

// after schedules an action for so much later.
func (f *fleet) after(d Micros, action func()) { f.events.push(f.now+d, action) }

// The streams of random numbers. Each actor draws from a stream of its own, so that a change in one
// actor does not change what the others draw. The numbers are part of what a seed means.
const (
	networkStream   = 1
	discoveryStream = 2
	clientStream    = 3
	dayStream       = 4
	workerStreams   = 1000      // plus the worker's index
	nodeStreams     = 1_000_000 // plus the scheduler's index
)

// newRandom returns the random source of a stream.
func (f *fleet) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.options.Seed, stream))
}

// wallTime is the present virtual time as a time.Time.
func (f *fleet) wallTime() time.Time { return time.UnixMicro(int64(f.now)) }

// Run plays a day and returns its report. It fails with the error of Validate for bad options, and with
// the context's error, wrapped, if the context ends first.
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
	if err := f.play(ctx); err != nil {
		return nil, err
	}
	return f.report(), nil
}

// eventsPerContextCheck keeps the check of the context out of the profile.
const eventsPerContextCheck = 4096

// play runs all events up to the end of the run.
func (f *fleet) play(ctx context.Context) error {
	for n := 0; ; n++ {
		if n%eventsPerContextCheck == 0 {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("given up at %.1f s of virtual time: %w", seconds(f.now-epoch), err)
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

// newFleet returns a fleet whose first events are scheduled: the schedulers start, and the load begins
// after the warm-up.
func newFleet(opt Options) (*fleet, error) {
	set, err := fleetSettings(opt)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		options:  opt,
		settings: set,
		task:     Micros(opt.Task.Microseconds()),
		now:      epoch,
		end:      epoch + warmUp + Micros(opt.Duration.Microseconds()),
		byUID:    map[string]*worker{},
		byAddr:   map[string]*worker{},
		requests: map[string]*request{},
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
	f.at(epoch+warmUp, func() {
		f.meter.heapPerScheduler = float64(heapInUse()-heapBefore) / float64(opt.Schedulers)
		f.meter.startLoad(f)
	})
	f.clients = newClients(f)
	f.at(epoch+warmUp, f.clients.submitNext)
	f.meter.sampleHeap(f)
	return f, nil
}

// newHistoryRules returns the rules that each request's history is checked by.
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

// startSchedulers creates the schedulers and starts them within the first half second, each with the
// worker list as it is now.
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
		f.at(epoch+Micros(n.random.Int64N(int64(second/2))), func() {
			n.step(scheduler.Started{Discovery: "discovery", CachedList: list})
		})
	}
	return nil
}

// zoneOfScheduler spreads the schedulers evenly over the zones.
func zoneOfScheduler(i, schedulers int) int {
	if schedulers >= Zones {
		return i % Zones
	}
	return i * Zones / schedulers
}

// heapInUse is the heap in use after a collection, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
