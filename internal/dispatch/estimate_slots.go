package dispatch

// This file estimates how many slots a worker has, and how many slots this dispatcher and its peers use. It
// makes no dispatch decisions.

// maxTrackedSlots is the largest number of slots in use for which start counts are kept separately. Larger
// numbers are counted as this number.
const maxTrackedSlots = 32

// startCounts counts the jobs that a worker started promptly, which means within startReportTimeout, and the
// jobs whose start was delayed. Both counts are for one number of slots in use, which includes the slots of
// the counted job, and decay with each new job.
type startCounts struct{ prompt, delayed float64 }

// kind holds the estimates for a machine kind.
type kind struct {
	speedEstimate
	// maxBusySlots is the largest number of slots seen in use at the same time on one worker of the kind. Where
	// workers report starts (Settings.StartReported), it is instead the capacity of the worker that last
	// reported a start within startReportTimeout, computed at that report.
	maxBusySlots float64

	startCountsBySlots [maxTrackedSlots + 1]startCounts // start counts by number of slots in use at the send
	maxSlotsTried      int                              // largest index in startCountsBySlots with a counted job
	// capacityProbedAt is the time when a job was last sent beyond a worker's capacity or last had a delayed
	// start.
	capacityProbedAt Micros
}

// add multiplies the earlier counts by the factor keep, and then counts a job as started promptly or as
// delayed.
func (c *startCounts) add(prompt bool, keep float64) {
	c.prompt *= keep
	c.delayed *= keep
	if prompt {
		c.prompt++
	} else {
		c.delayed++
	}
}

// startCountsAt returns the start counts for n slots of a worker in use: the counts of the worker plus the
// counts of its machine kind, which are scaled down to at most maxKindStartCount jobs. In a large fleet a
// dispatcher sends to each worker too seldom to rely on the worker's counts alone. A single job may also be
// counted under the wrong number of slots, because the peers' use of the worker is known late.
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

// capacity returns the number of slots of a worker that may be used. Where workers report starts, the
// capacity is the largest number of slots in use at which at least as many jobs start promptly (within
// startReportTimeout) as are delayed.
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

const anyZone = -2 // zone number that stands for all zones; no zone has this number

// usableSlots counts the slots that this dispatcher may fill on the usable workers of its subset that are in
// a given zone. After 16, 32, 64 and so on workers the function calls enough with the number of slots so far,
// and returns that number if enough reports that a larger number would change nothing for the caller.
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

// slotsInUse returns the number of slots of a worker that are in use: by this dispatcher's jobs, and by the
// peers' jobs according to their gossip.
func (d *Dispatcher) slotsInUse(w *worker) float64 {
	others, _ := d.peerSlots(w)
	return w.ownSlots + others
}

// knownRunningSlots returns the number of slots of a worker that are known to run a job, either a job of this
// dispatcher or a job that a peer reports.
func (d *Dispatcher) knownRunningSlots(w *worker) float64 {
	_, others := d.peerSlots(w)
	return d.ownRunningSlots(w) + others
}

// ownRunningSlots returns the number of slots that this dispatcher's jobs take at a worker, over the jobs
// that are known to run.
func (d *Dispatcher) ownRunningSlots(w *worker) float64 {
	n := 0.0
	for _, a := range w.attempts {
		if a.startedAt != 0 {
			n += a.job.slots
		}
	}
	return n
}
