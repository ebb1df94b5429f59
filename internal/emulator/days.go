package emulator

import (
	"math"

	"dahliaford/internal/endpoints"
)

// The size that the counts of faults are given for; a smaller fleet gets its part of them.
const (
	referenceWorkers     = 7200
	restartsPerDay       = 410 // restarted or replaced on an ordinary day
	failuresPerDay       = 130 // machines that fail on an ordinary day
	configChangesPerHour = 296 // changes of configuration in an hour: 7,100 a day
	lateLineFraction     = 0.01
)

// day is what befalls the fleet while the load is on.
type day struct {
	description string
	schedule    func(*fleet)
}

var days map[string]day

func init() {
	days = map[string]day{
		"calm": {"nothing but the load", func(*fleet) {}},
		"zone": {"a zone's machines vanish at 1/4 of the time and are back, cold, from 1/2 on",
			(*fleet).zoneDay},
		"region": {"a region is cut off from all others from 1/4 to 3/5 of the time", (*fleet).regionDay},
		"roll":   {"a day's restarts and replacements (410 of 7,200) in ten steps", (*fleet).rollDay},
		"discovery": {"discovery restarts at 1/3 of the time: all watches end, all ask again",
			(*fleet).discoveryDay},
		"storm": {"a day's failures (130 of 7,200), a rack, an hour's changes of configuration, and late lines",
			(*fleet).stormDay},
	}
}

// DescribeDay says what befalls the fleet on a day.
func DescribeDay(name string) string { return days[name].description }

// atFraction is the time at which a part of the load is over.
func (f *fleet) atFraction(part float64) Micros {
	start := epoch + warmUp
	return start + Micros(part*float64(f.end-start))
}

// scaledCount is a fleet's part of a count, and least at the least.
func (f *fleet) scaledCount(of, least int) int {
	return min(max(int(math.Ceil(float64(of)*float64(f.options.Workers)/referenceWorkers)), least), f.options.Workers)
}

func (f *fleet) zoneDay() {
	const lost = 5
	random := f.newRandom(4)
	for _, w := range f.workers {
		if w.zone == lost {
			f.at(f.atFraction(0.25)+Micros(random.Int64N(int64(100*millisecond))), w.vanish)
			f.at(f.atFraction(0.5)+Micros(random.Int64N(int64(2*second))), w.boot)
		}
	}
}

func (f *fleet) regionDay() {
	const off = 3
	random := f.newRandom(4)
	f.at(f.atFraction(0.25), func() {
		f.network.cutRegion = off
		for _, w := range f.workers {
			if region(w.zone) == off {
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
			if region(w.zone) == off {
				f.after(100*millisecond+Micros(random.Int64N(int64(second))), func() {
					if w.running {
						f.discovery.setState(w, endpoints.Ready)
					}
				})
			}
		}
	})
}

func (f *fleet) rollDay() {
	const steps = 10
	random := f.newRandom(4)
	which := random.Perm(len(f.workers))[:f.scaledCount(restartsPerDay, 4)]
	patience := 10*second + 3*f.task/2
	for i, at := range which {
		w := f.workers[at]
		f.at(f.atFraction(0.1+0.7*float64(i%steps)/steps), func() {
			f.discovery.setState(w, endpoints.Draining)
			f.whenDrained(w, f.now+patience, func() {
				if i%3 == 2 {
					w.abortAll(true)
					f.after(3*second, w.replace)
					return
				}
				w.crash()
				f.after(3*second, w.boot)
			})
		})
	}
}

// whenDrained waits until a worker holds nothing, or for so long.
func (f *fleet) whenDrained(w *worker, until Micros, do func()) {
	if w.idle() || f.now >= until {
		do()
		return
	}
	f.after(second, func() { f.whenDrained(w, until, do) })
}

func (f *fleet) discoveryDay() {
	f.at(f.atFraction(1./3), func() { f.discovery.restart(min(5*second, (f.end-f.now)/4)) })
}

func (f *fleet) stormDay() {
	const bursts = 20
	f.discovery.lateFraction = lateLineFraction
	random := f.newRandom(4)
	when := func() Micros { return f.atFraction(0.1 + 0.7*float64(random.IntN(bursts))/bursts) }
	order := random.Perm(len(f.workers))
	broken := f.scaledCount(failuresPerDay, 4)
	rack := f.workers[order[0]].rack
	for i, at := range order[:broken] {
		w := f.workers[at]
		switch i % 4 {
		case 0, 1:
			f.at(when(), func() { w.crash(); f.after(3*second, w.boot) })
		case 2:
			f.at(when(), func() { w.vanish(); f.after(10*second, w.boot) })
		default:
			f.at(when(), func() { w.vanish(); w.retired = true })
		}
	}
	for _, w := range f.workers {
		if w.rack == rack {
			f.at(f.atFraction(0.4), w.vanish)
			f.at(f.atFraction(0.7)+Micros(random.Int64N(int64(2*second))), w.boot)
		}
	}
	// What the worker list can carry of the configuration: a worker that is taken out of use and given back.
	for range f.scaledCount(configChangesPerHour, 8) / 2 {
		w := f.workers[order[random.IntN(len(order))]]
		at := when()
		f.at(at, func() {
			if w.running {
				f.discovery.setState(w, endpoints.Draining)
			}
		})
		f.at(at+f.atFraction(0.1)-f.atFraction(0), func() {
			if w.running {
				f.discovery.setState(w, endpoints.Ready)
			}
		})
	}
}
