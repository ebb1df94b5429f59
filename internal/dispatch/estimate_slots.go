package dispatch

// This file estimates how many slots a worker has, and how many slots this dispatcher and its peers use. It
// makes no dispatch decisions.

// maxTrackedSlots is the largest number of slots in use for which start counts are kept separately. Larger
// numbers are counted as this number.
const maxTrackedSlots = 32

// startCounts counts the jobs that started promptly with a given number of slots in use, their own included,
// and the jobs whose start was delayed. Both counts decay with each new job.
type startCounts struct{ prompt, delayed float64 }

// kind holds the estimates for a machine kind.
type kind struct {
	speedEstimate
	// Most slots seen in use together on one worker. Where starts are reported, the field has the capacity
	// computed after the last prompt start instead.
	maxBusySlots float64

	startCountsBySlots [maxTrackedSlots + 1]startCounts // by slots in use when a job was sent
	maxSlotsTried      int                              // most slots in use with which a job started or waited
	capacityProbedAt   Micros                           // time when more slots than the capacity were last tried
}

// add counts a job after it multiplies the earlier counts by keep.
func (c *startCounts) add(prompt bool, keep float64) {
	c.prompt *= keep
	c.delayed *= keep
	if prompt {
		c.prompt++
	} else {
		c.delayed++
	}
}

// startCountsAt returns the start counts for n slots of a worker in use: the worker's own counts plus those
// of its machine kind, which are scaled down to at most maxKindStartCount jobs. In a large fleet a dispatcher
// sends to each worker too seldom to rely on the worker's own counts alone. The counts of a single job may
// also be wrong, because the peers' use of the worker is known late.
func (d *Dispatcher) startCountsAt(w *worker, n int) startCounts {
	counts := d.kindOf(w).startCountsBySlots[n]
	if seen := counts.prompt + counts.delayed; seen > maxKindStartCount {
		counts.prompt, counts.delayed = counts.prompt*maxKindStartCount/seen, counts.delayed*maxKindStartCount/seen
	}
	if w.startCountsBySlots != nil {
		counts.prompt += w.startCountsBySlots[n].prompt
		counts.delayed += w.startCountsBySlots[n].delayed
	}
	return counts
}

// recordStartPromptness counts an attempt as started promptly or as delayed, under the number of slots in use
// when the attempt was sent.
func (d *Dispatcher) recordStartPromptness(a *attempt, prompt bool) {
	n := min(int(a.slotsAtSend), maxTrackedSlots)
	k := d.kindOf(a.worker)
	k.maxSlotsTried = max(k.maxSlotsTried, n)
	k.startCountsBySlots[n].add(prompt, kindSampleDecay)
	if a.worker.startCountsBySlots == nil {
		a.worker.startCountsBySlots = new([maxTrackedSlots + 1]startCounts)
	}
	a.worker.startCountsBySlots[n].add(prompt, workerSampleDecay)
	if prompt {
		k.maxBusySlots = d.capacity(a.worker)
	} else {
		k.capacityProbedAt = d.now
	}
}

// recordBusySlots records the number of slots of a worker that were seen in use at the same time.
func (d *Dispatcher) recordBusySlots(w *worker, slots float64) {
	k := d.kindOf(w)
	k.maxBusySlots = max(k.maxBusySlots, slots)
}

// kindOf returns the estimates for a worker's machine kind, which it creates if there are none.
func (d *Dispatcher) kindOf(w *worker) *kind {
	if w.kind == nil {
		w.kind = d.kinds[w.entry.Kind]
	}
	if w.kind == nil {
		w.kind = &kind{}
		d.kinds[w.entry.Kind] = w.kind
	}
	return w.kind
}

// capacity returns the number of slots of a worker that may be used. Where starts are reported, the capacity
// is the largest number of slots in use at which at least as many jobs start promptly as are delayed.
func (d *Dispatcher) capacity(w *worker) float64 {
	if !d.settings.StartReported {
		return w.slotLimit
	}
	k, best := d.kindOf(w), 0
	for n := k.maxSlotsTried; n > 0 && best == 0; n-- {
		if counts := d.startCountsAt(w, n); counts.prompt > 0 && counts.prompt >= counts.delayed {
			best = n
		}
	}
	if best == k.maxSlotsTried && best < maxTrackedSlots {
		best++ // no larger number was tried, so the worker may have more slots
	}
	return float64(max(best, 1))
}

const anyZone = -2 // stands for all zones; no zone has this number

// usableSlots counts the slots that this dispatcher may fill on the usable workers of a zone of its subset.
// After 16, 32, 64 and so on workers the function calls enough with the number of slots so far, and returns
// that number if enough reports that a larger number would change nothing for the caller.
func (d *Dispatcher) usableSlots(zone int, enough func(slots float64) bool) float64 {
	slots, nextCheck := 0.0, 16
	for i, w := range d.subset {
		if (zone == anyZone || w.entry.Zone == zone) && d.usable(w) {
			slots += d.fillableSlots(w)
		}
		if i+1 == nextCheck {
			if enough(slots) {
				return slots
			}
			nextCheck *= 2
		}
	}
	return slots
}

// fillableSlots returns the number of slots of a worker that this dispatcher may fill: the capacity without
// the slots that peers use, but at least the slots that this dispatcher uses already.
func (d *Dispatcher) fillableSlots(w *worker) float64 {
	others, _ := d.peerSlots(w)
	return max(d.capacity(w)-others, w.ownSlots)
}

// slotsInUse returns the number of slots of a worker that this dispatcher's jobs use and peers report to use.
func (d *Dispatcher) slotsInUse(w *worker) float64 {
	others, _ := d.peerSlots(w)
	return w.ownSlots + others
}

// knownRunningSlots returns the number of slots of a worker whose jobs are known to run: own jobs, and the
// jobs that peers report.
func (d *Dispatcher) knownRunningSlots(w *worker) float64 {
	_, others := d.peerSlots(w)
	return d.ownRunningSlots(w) + others
}

// ownRunningSlots returns the number of slots of own jobs that are known to run at a worker.
func (d *Dispatcher) ownRunningSlots(w *worker) float64 {
	n := 0.0
	for _, a := range w.attempts {
		if a.startedAt != 0 {
			n += a.job.slots
		}
	}
	return n
}
