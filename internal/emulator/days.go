package emulator

import (
	"maps"
	"math"
	"slices"

	"dahliaford/internal/endpoints"
)

// Numbers of faults, as they occur in a fleet of referenceWorkers workers. A fleet of another size has
// proportionally many (see scaledCount).
const (
	referenceWorkers     = 7200
	restartsPerDay       = 410  // workers that are restarted or replaced within 24 hours
	failuresPerDay       = 130  // worker processes and machines that fail within 24 hours
	configChangesPerHour = 296  // configuration changes per hour; 7,100 in 24 hours
	delayedLineFraction  = 0.01 // fraction of a watch's lines that arrive late in scenario "storm"
)

// Durations of outages and of recovery from faults.
const (
	restartDelay    = 3 * second        // time between the end of a process and its restart
	rebootDelay     = 10 * second       // time between the failure of a machine and its next start
	powerOnSpread   = 2 * second        // time within which all machines of a zone or a rack start again
	powerOffSpread  = 100 * millisecond // time within which all machines of a zone fail
	discoveryOutage = 5 * second        // longest outage of discovery while it restarts
)

// day is a fault scenario. Its function schedule adds the events of the faults, which happen during the load,
// to the event queue.
type day struct {
	description string
	schedule    func(*fleet)
}

var days map[string]day

func init() {
	days = map[string]day{
		"calm": {"no faults", func(*fleet) {}},
		"zone": {"a zone's machines fail at 1/4 of the time and start again, in slow start, from 1/2 on",
			(*fleet).scheduleZoneFailure},
		"region": {"a region is cut off from all others from 1/4 to 3/5 of the time",
			(*fleet).scheduleRegionPartition},
		"roll": {"the worker restarts and replacements of 24 hours (410 of 7,200) in ten steps",
			(*fleet).scheduleRollingRestart},
		"discovery": {"discovery restarts at 1/3 of the time: all watches are closed and opened again",
			(*fleet).scheduleDiscoveryRestart},
		"storm": {
			"failures of 24 hours (130 of 7,200 workers) and of a rack; configuration changes of an hour; late lines",
			(*fleet).scheduleFailureStorm},
	}
}

// Days returns the names of the fault scenarios in alphabetical order.
func Days() []string { return slices.Sorted(maps.Keys(days)) }

// DescribeDay returns a description of the faults of a scenario, or "" for an unknown name.
func DescribeDay(name string) string { return days[name].description }

// atFraction returns the virtual time at which the given fraction of the duration of the load has passed.
func (f *fleet) atFraction(fraction float64) Micros {
	start := epoch + warmUp
	return start + Micros(fraction*float64(f.end-start))
}

// scaledCount scales a number of faults in a fleet of referenceWorkers workers to the size of this fleet. The
// result is at least minimum and at most the number of workers.
func (f *fleet) scaledCount(count, minimum int) int {
	scaled := int(math.Ceil(float64(count) * float64(f.options.Workers) / referenceWorkers))
	return min(max(scaled, minimum), f.options.Workers)
}

func (f *fleet) scheduleZoneFailure() {
	const failedZone = 5
	random := f.newRandom(dayStream)
	for _, w := range f.workers {
		if w.zone == failedZone {
			f.scheduleAt(f.atFraction(0.25)+Micros(random.Int64N(int64(powerOffSpread))), w.failMachine)
			f.scheduleAt(f.atFraction(0.5)+Micros(random.Int64N(int64(powerOnSpread))), w.boot)
		}
	}
}

func (f *fleet) scheduleRegionPartition() {
	const cutRegion = 3
	random := f.newRandom(dayStream)
	f.scheduleAt(f.atFraction(0.25), func() {
		f.network.cutRegion = cutRegion
		for _, w := range f.workers {
			if region(w.zone) == cutRegion {
				w.missHeartbeats()
			}
		}
	})
	f.scheduleAt(f.atFraction(0.6), func() {
		f.network.heal()
		for _, s := range f.discovery.watches {
			s.flush()
		}
		for _, w := range f.workers {
			if region(w.zone) == cutRegion {
				f.scheduleAfter(100*millisecond+Micros(random.Int64N(int64(second))), func() {
					w.setStateIfRunning(endpoints.Ready)
				})
			}
		}
	})
}

func (f *fleet) scheduleRollingRestart() {
	const steps = 10
	random := f.newRandom(dayStream)
	rolled := random.Perm(len(f.workers))[:f.scaledCount(restartsPerDay, 4)]
	drainTimeout := 10*second + 3*f.meanRunTime/2
	for i, index := range rolled {
		w := f.workers[index]
		f.scheduleAt(f.atFraction(0.1+0.7*float64(i%steps)/steps), func() {
			f.discovery.setState(w, endpoints.Draining)
			f.whenDrained(w, f.now+drainTimeout, func() {
				if replaced := i%3 == 2; replaced {
					w.stop(reportedByAgent)
					f.scheduleAfter(restartDelay, w.replace)
					return
				}
				w.crash()
				f.scheduleAfter(restartDelay, w.boot)
			})
		})
	}
}

// whenDrained runs an action once a worker has no attempts left, or at the deadline. The attempts are checked
// once per second of virtual time.
func (f *fleet) whenDrained(w *worker, deadline Micros, action func()) {
	if w.idle() || f.now >= deadline {
		action()
		return
	}
	f.scheduleAfter(second, func() { f.whenDrained(w, deadline, action) })
}

func (f *fleet) scheduleDiscoveryRestart() {
	f.scheduleAt(f.atFraction(1./3), func() { f.discovery.restart(min(discoveryOutage, (f.end-f.now)/4)) })
}

func (f *fleet) scheduleFailureStorm() {
	const bursts = 20
	f.discovery.delayedFraction = delayedLineFraction
	random := f.newRandom(dayStream)
	burst := func() Micros { return f.atFraction(0.1 + 0.7*float64(random.IntN(bursts))/bursts) }
	order := random.Perm(len(f.workers))
	for i, index := range order[:f.scaledCount(failuresPerDay, 4)] {
		w := f.workers[index]
		switch i % 4 {
		case 0, 1:
			f.scheduleAt(burst(), func() { w.crash(); f.scheduleAfter(restartDelay, w.boot) })
		case 2:
			f.scheduleAt(burst(), func() { w.failMachine(); f.scheduleAfter(rebootDelay, w.boot) })
		default:
			f.scheduleAt(burst(), func() { w.failMachine(); w.retired = true })
		}
	}
	failedRack := f.workers[order[0]].rack
	for _, w := range f.workers {
		if w.rack == failedRack {
			f.scheduleAt(f.atFraction(0.4), w.failMachine)
			f.scheduleAt(f.atFraction(0.7)+Micros(random.Int64N(int64(powerOnSpread))), w.boot)
		}
	}
	// Each pair of configuration changes sets a worker to draining and, after a tenth of the duration of the
	// load, to ready again. The worker list expresses no other change of configuration.
	for range f.scaledCount(configChangesPerHour, 8) / 2 {
		w := f.workers[order[random.IntN(len(order))]]
		start := burst()
		f.scheduleAt(start, func() { w.setStateIfRunning(endpoints.Draining) })
		f.scheduleAt(start+f.atFraction(0.1)-f.atFraction(0), func() { w.setStateIfRunning(endpoints.Ready) })
	}
}
