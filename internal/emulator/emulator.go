// Package emulator runs a fleet in virtual time: hundreds of hollow schedulers, each the real
// reducer and decision module, among hollow workers, clients, one discovery and a network that
// are written here. There is no socket and no sleep: one queue of events, in the order of their
// times, moves the clock. The same options give the same run, except for what is measured on the
// machine (see Measured). docs/design-emulator.md says what is left out.
package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/scheduler"
	"dahliaford/internal/settings"
)

// Micros is a time or a span in microseconds of virtual time.
type Micros = scheduler.Micros

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond

	epoch       = 1_000_000 * second // when the clock starts
	warmUp      = 3 * second         // from the start of the schedulers to the first job
	timingSlack = 50 * millisecond   // that each time limit grows by on sockets
)

// The bounds of a run.
const (
	MaxWorkers     = 20_000
	MaxSchedulers  = 2_000
	MaxRate        = 10_000    // jobs a second
	MaxPairs       = 6_000_000 // schedulers times workers: each takes about a kilobyte
	MaxRunningJobs = 200_000   // jobs a second times the seconds that one takes
	MaxDuration    = time.Hour
	MaxTask        = 10 * time.Minute
)

// Options say what is run. Zero values stand for the defaults that are given.
type Options struct {
	Workers    int           // 1 to MostWorkers
	Schedulers int           // 1 to MostSchedulers; times Workers at most MostPairs
	Rate       float64       // jobs a second that clients hand in; 0: LoadOf of what the workers carry
	Duration   time.Duration // of load, in virtual time
	Seed       uint64
	Day        string        // one of Days; "": calm
	Task       time.Duration // mean run time of a job on a standard machine; 0: DefaultTask
}

// The defaults.
const (
	DefaultTask = 13 * time.Second
	DefaultLoad = 0.6
)

// Check returns an error in one line if the options make no sense, or go beyond a bound.
func (o Options) Check() error {
	switch {
	case o.Workers < 1 || o.Workers > MaxWorkers:
		return fmt.Errorf("workers must be 1 to %d", MaxWorkers)
	case o.Schedulers < 1 || o.Schedulers > MaxSchedulers:
		return fmt.Errorf("schedulers must be 1 to %d", MaxSchedulers)
	case !(o.Rate >= 0 && o.Rate <= MaxRate):
		return fmt.Errorf("rate must be 0 to %d", MaxRate)
	case o.Duration < time.Second || o.Duration > MaxDuration:
		return fmt.Errorf("the time must be 1s to %v", MaxDuration)
	case o.Task < 0 || o.Task > MaxTask || o.Task > 0 && o.Task < 10*time.Millisecond:
		return fmt.Errorf("a task must be 10ms to %v", MaxTask)
	case o.Workers*o.Schedulers > MaxPairs:
		return fmt.Errorf("schedulers times workers must be %d at the most", MaxPairs)
	case jobRate(o.withDefaults())*o.withDefaults().Task.Seconds() > MaxRunningJobs:
		return fmt.Errorf("the rate times the seconds of a task must be %d at the most", MaxRunningJobs)
	case o.Day != "" && days[o.Day].schedule == nil:
		return fmt.Errorf("unknown day %q: there are %s", o.Day, strings.Join(Days(), ", "))
	}
	return nil
}

// withDefaults returns the options with their defaults.
func (o Options) withDefaults() Options {
	if o.Day == "" {
		o.Day = "calm"
	}
	if o.Task == 0 {
		o.Task = DefaultTask
	}
	return o
}

// fleet is one run.
type fleet struct {
	options  Options
	settings settings.Settings
	task     Micros
	now      Micros
	end      Micros
	events   queue

	network      network
	discovery    *discovery
	nodes        []*node
	workers      []*worker
	byUID        map[string]*worker
	byAddr       map[string]*worker
	clients      *clients
	requests     map[string]*request
	historyRules history.Rules
	tally        tally
	meter        costMeter
}

// at has something done at a time, behind all that was asked for before for the same time.
func (f *fleet) at(t Micros, do func()) { f.events.push(max(t, f.now), do) }

func (f *fleet) after(d Micros, do func()) { f.events.push(f.now+d, do) }

// newRandom is a source of its own for one part of the world, so that a change in one part does
// not deal others differently.
func (f *fleet) newRandom(part uint64) *rand.Rand { return rand.New(rand.NewPCG(f.options.Seed, part)) }

// Run plays a day. It ends when the day does, or with an error once the context ends.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if err := opt.Check(); err != nil {
		return nil, err
	}
	opt = opt.withDefaults()
	f, err := newFleet(opt)
	if err != nil {
		return nil, err
	}
	days[opt.Day].schedule(f)
	for n := 0; ; n++ {
		if n%4096 == 0 {
			if err := ctx.Err(); err != nil {
				return nil, fmt.Errorf("given up at %.1f s of virtual time: %w", seconds(f.now-epoch), err)
			}
		}
		e, any := f.events.pop()
		if !any || e.at > f.end {
			break
		}
		f.now = e.at
		e.do()
	}
	f.now = f.end
	return f.report(), nil
}

func newFleet(opt Options) (*fleet, error) {
	set, err := fleetSettings(opt)
	if err != nil {
		return nil, err
	}
	f := &fleet{options: opt, settings: set, task: Micros(opt.Task.Microseconds()), now: epoch,
		end: epoch + warmUp + Micros(opt.Duration.Microseconds()), byUID: map[string]*worker{},
		byAddr: map[string]*worker{}, requests: map[string]*request{}}
	f.network = network{fleet: f, random: f.newRandom(1), cutRegion: -1}
	f.tally = newTally(f)
	f.meter.start()
	f.historyRules = history.Rules{AtMostOnce: map[string]bool{}, RackOf: map[string]string{},
		MaxAttempts: set.Dispatch.MaxAttempts, DrainGrace: toDuration(set.DrainGrace), Slack: toDuration(timingSlack),
		OrphanLimit: 20 * time.Second,
		Window:      toDuration(set.Dispatch.Classes[len(set.Dispatch.Classes)-1].DedupWindow)}
	for _, c := range classes {
		f.historyRules.AtMostOnce[c.name] = c.atMostOnce
	}
	f.discovery = newDiscovery(f)
	for i := range opt.Workers {
		f.register(f.newWorker(i % Zones))
	}
	empty := heapInUse()
	table := workerList(f.discovery.table.Full())
	for i := range opt.Schedulers {
		n, err := newNode(f, i, zoneOfScheduler(i, opt.Schedulers))
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.at(epoch+Micros(n.random.Int64N(int64(second/2))), func() {
			n.step(scheduler.Started{Discovery: "discovery", CachedList: table})
		})
	}
	f.at(epoch+warmUp, func() {
		f.meter.heapPerScheduler = float64(heapInUse()-empty) / float64(opt.Schedulers)
		f.meter.startLoad(f)
	})
	f.clients = newClients(f)
	f.at(epoch+warmUp, f.clients.submitNext)
	f.meter.sampleHeap(f)
	return f, nil
}

// zoneOfScheduler deals schedulers out over the zones.
func zoneOfScheduler(i, of int) int {
	if of >= Zones {
		return i % Zones
	}
	return i * Zones / of
}

// heapInUse is what is in use, in bytes, after a collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func toDuration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

func seconds(m Micros) float64 { return float64(m) / float64(second) }

func (f *fleet) wallTime() time.Time { return time.UnixMicro(int64(f.now)) }

// Days are the days that can be played.
func Days() []string {
	var names []string
	for name := range days {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
