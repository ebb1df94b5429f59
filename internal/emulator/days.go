package emulator

import (
	"maps"
	"math"
	"slices"

	"dahliaford/internal/endpoints"
)

// The fleet that the counts of faults are given for, and the counts. A smaller fleet gets its fraction.
const (
	referenceWorkers     = 7200
	restartsPerDay       = 410  // restarted or replaced on an ordinary day
	failuresPerDay       = 130  // machines that fail on an ordinary day
	configChangesPerHour = 296  // 7,100 a day
	lateLineFraction     = 0.01 // of the lines of a watch on a day of failures
)

// Delays of what follows a fault.
const (
	restartDelay    = 3 * second  // until a process that ended runs again
	rebootDelay     = 10 * second // until a machine that failed is back
	powerOnSpread   = 2 * second  // within which the machines of a zone or rack come back
	powerOffSpread  = 100 * millisecond
	discoveryOutage = 5 * second // at most
)

// day is what happens to the fleet while the load is on.
type day struct {
	description string
	schedule    func(*fleet)
}

var days map[string]day

func init() {
	days = map[string]day{
		"calm": {"nothing but the load", func(*fleet) {}},
		"zone": {"a zone's machines vanish at 1/4 of the time and are back, in slow start, from 1/2 on",
			(*fleet).scheduleZoneDay},
		"region": {"a region is cut off from all others from 1/4 to 3/5 of the time",
			(*fleet).scheduleRegionDay},
		"roll": {"a day's restarts and replacements (410 of 7,200) in ten steps", (*fleet).scheduleRollDay},
		"discovery": {"discovery restarts at 1/3 of the time: all watches end and are opened anew",
			(*fleet).scheduleDiscoveryDay},
		"storm": {"a day's failures (130 of 7,200), a rack, an hour's changes of configuration, and late lines",
			(*fleet).scheduleStormDay},
	}
}

// Days are the names of the days that can be played, sorted.
func Days() []string { return slices.Sorted(maps.Keys(days)) }

// DescribeDay says what happens to the fleet on a day; "" for an unknown day.
func DescribeDay(name string) string { return days[name].description }

// atFraction is the time at which a fraction of the load is over.
func (f *fleet) atFraction(fraction float64) Micros {
	start := epoch + warmUp
	return start + Micros(fraction*float64(f.end-start))
}

// scaledCount scales a count of the reference fleet to this one, with a minimum.
func (f *fleet) scaledCount(count, minimum int) int {
	scaled := int(math.Ceil(float64(count) * float64(f.options.Workers) / referenceWorkers))
	return min(max(scaled, minimum), f.options.Workers)
}

func (f *fleet) scheduleZoneDay() {
	const failedZone = 5
	random := f.newRandom(dayStream)
	for _, w := range f.workers {
		if w.zone == failedZone {
			f.at(f.atFraction(0.25)+Micros(random.Int64N(int64(powerOffSpread))), w.vanish)
			f.at(f.atFraction(0.5)+Micros(random.Int64N(int64(powerOnSpread))), w.boot)
		}
	}
}

func (f *fleet) scheduleRegionDay() {
	const cutRegion = 3
	random := f.newRandom(dayStream)
	f.at(f.atFraction(0.25), func() {
		f.network.cutRegion = cutRegion
		for _, w := range f.workers {
			if region(w.zone) == cutRegion {
				w.missHeartbeats()
			}
		}
	})
	f.at(f.atFraction(0.6), func() {
		f.network.heal()
		for _, s := range f.discovery.watches {
			s.flush()
		}
		for _, w := range f.workers {
			if region(w.zone) == cutRegion {
				f.after(100*millisecond+Micros(random.Int64N(int64(second))), func() {
					w.setStateIfRunning(endpoints.Ready)
				})
			}
		}
	})
}

func (f *fleet) scheduleRollDay() {
	const steps = 10
	random := f.newRandom(dayStream)
	rolled := random.Perm(len(f.workers))[:f.scaledCount(restartsPerDay, 4)]
	drainTimeout := 10*second + 3*f.task/2
	for i, index := range rolled {
		w := f.workers[index]
		f.at(f.atFraction(0.1+0.7*float64(i%steps)/steps), func() {
			f.discovery.setState(w, endpoints.Draining)
			f.whenDrained(w, f.now+drainTimeout, func() {
				if replaced := i%3 == 2; replaced {
					w.stop(reportedByAgent)
					f.after(restartDelay, w.replace)
					return
				}
				w.crash()
				f.after(restartDelay, w.boot)
			})
		})
	}
}

// whenDrained runs an action once a worker has no job any more, or at the deadline. It checks once a
// second.
func (f *fleet) whenDrained(w *worker, deadline Micros, action func()) {
	if w.idle() || f.now >= deadline {
		action()
		return
	}
	f.after(second, func() { f.whenDrained(w, deadline, action) })
}

func (f *fleet) scheduleDiscoveryDay() {
	f.at(f.atFraction(1./3), func() { f.discovery.restart(min(discoveryOutage, (f.end-f.now)/4)) })
}

func (f *fleet) scheduleStormDay() {
	const bursts = 20
	f.discovery.lateFraction = lateLineFraction
	random := f.newRandom(dayStream)
	burst := func() Micros { return f.atFraction(0.1 + 0.7*float64(random.IntN(bursts))/bursts) }
	order := random.Perm(len(f.workers))
	for i, index := range order[:f.scaledCount(failuresPerDay, 4)] {
		w := f.workers[index]
		switch i % 4 {
		case 0, 1:
			f.at(burst(), func() { w.crash(); f.after(restartDelay, w.boot) })
		case 2:
			f.at(burst(), func() { w.vanish(); f.after(rebootDelay, w.boot) })
		default:
			f.at(burst(), func() { w.vanish(); w.retired = true })
		}
	}
	failedRack := f.workers[order[0]].rack
	for _, w := range f.workers {
		if w.rack == failedRack {
			f.at(f.atFraction(0.4), w.vanish)
			f.at(f.atFraction(0.7)+Micros(random.Int64N(int64(powerOnSpread))), w.boot)
		}
	}
	// What the worker list can carry of configuration: a worker that is taken out of use and given back.
	for range f.scaledCount(configChangesPerHour, 8) / 2 {
		w := f.workers[order[random.IntN(len(order))]]
		start := burst()
		f.at(start, func() { w.setStateIfRunning(endpoints.Draining) })
		f.at(start+f.atFraction(0.1)-f.atFraction(0), func() { w.setStateIfRunning(endpoints.Ready) })
	}
}
