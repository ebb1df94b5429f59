package dispatch

// Estimates of slots: how many a worker has, and how many are in use by this dispatcher and its peers.
// Nothing here decides.

// maxTrackedSlots is the largest number of slots in use that is counted apart.
const maxTrackedSlots = 32

// startCounts counts the jobs that began at once with so many slots in use, and those that did not.
type startCounts struct{ prompt, delayed float64 }

// kind is what is known of a machine kind.
type kind struct {
	speedEstimate
	maxBusySlots       float64 // at work on one of its workers
	startCountsBySlots [maxTrackedSlots + 1]startCounts
	maxSlotsTried      int    // the largest number of slots in use at which a job was seen to begin or wait
	capacityProbedAt   Micros // when more slots than its capacity were last tried
}

// add counts a job, after a decay of the earlier ones.
func (c *startCounts) add(prompt bool, keep float64) {
	c.prompt *= keep
	c.delayed *= keep
	if prompt {
		c.prompt++
	} else {
		c.delayed++
	}
}

// startCountsAt is how jobs fared with n slots of a worker in use: its own, and as far as they do not
// show it those of its kind. A dispatcher of many sees each worker too seldom, and what peers have
// there is known too late to trust a single job.
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

// recordStartPromptness records whether a job began at once with so many slots in use.
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

// recordBusySlots records slots of a worker seen at work together.
func (d *Dispatcher) recordBusySlots(w *worker, slots float64) {
	k := d.kindOf(w)
	k.maxBusySlots = max(k.maxBusySlots, slots)
}

// kindOf is what is known of a worker's machine kind.
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

// capacity is how many slots of a worker may be used. Where starts are reported, it is the largest
// number at which jobs begin at once rather than wait.
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
		best++ // nobody had to wait yet
	}
	return float64(max(best, 1))
}

const anyZone = -2 // no zone has this number

// usableSlots counts the slots that this dispatcher may fill on the workers of a zone. After 16
// workers, 32 and so on it calls enough, which reports whether so many settle the question, and may
// then stop.
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

// fillableSlots is how many slots of a worker this dispatcher may fill, those that others use left out.
func (d *Dispatcher) fillableSlots(w *worker) float64 {
	others, _ := d.peerSlots(w)
	return max(d.capacity(w)-others, w.ownSlots)
}

// slotsInUse is the slots of a worker that are in use, by all that we know of.
func (d *Dispatcher) slotsInUse(w *worker) float64 {
	others, _ := d.peerSlots(w)
	return w.ownSlots + others
}

// knownRunningSlots is the slots of a worker whose jobs run, by all that we know of.
func (d *Dispatcher) knownRunningSlots(w *worker) float64 {
	_, others := d.peerSlots(w)
	return d.ownRunningSlots(w) + others
}

// ownRunningSlots is the slots of own jobs that are known to run at a worker.
func (d *Dispatcher) ownRunningSlots(w *worker) float64 {
	n := 0.0
	for _, a := range w.attempts {
		if a.startedAt != 0 {
			n += a.job.slots
		}
	}
	return n
}
