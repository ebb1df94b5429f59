package dispatch

import (
	"math"
	"slices"
	"strconv"
)

// Admission: quotas, the gate, and conditions (4) and (6) of the paper, which decide how much it gaps.

const (
	conditionMargin        = 0.9  // f of the paper: the margin on the right side of (4) and (6)
	levelChangeAssessments = 5    // consecutive overload assessments before the level changes (the paper's)
	quotaBurstSeconds      = 2.0  // how much of its quota a tenant may save up, in seconds
	minQuotaBurst          = 2.0  // it may save up so many jobs: many dispatchers split a small quota too fine
	classMixDecay          = 0.96 // what a second leaves of the counts for the class mix
)

// overloadLevel is how conditions (4) and (6) stand, and what the gate does about it.
type overloadLevel int

const (
	levelNormal   overloadLevel = iota // both hold with the margin: gapping is lifted rank by rank
	levelOverload                      // both hold, but not with the margin: rank by rank is gapped
	levelSevere                        // one fails: all ranks are gapped
)

// onJobArrived queues a job and decides whether it passes the gate.
func (d *Dispatcher) onJobArrived(e *Event) {
	if _, known := d.jobs[e.Job]; known {
		return
	}
	d.seq++
	j := &job{id: e.Job, class: e.Class, tenant: e.Tenant, seq: d.seq, slots: clampSlots(e.Slots)}
	if j.class < 0 || j.class >= len(d.classes) {
		j.class = 0
	}
	if j.tenant < 0 || j.tenant >= len(d.quotaTokens) {
		j.tenant = 0
	}
	c, st := &d.settings.Classes[j.class], &d.classes[j.class]
	clientTimeout := min(max(e.ClientTimeout, 0), c.Deadline) // none left is legal: answered at once
	j.deadline = d.now + clientTimeout
	j.work = float64(e.Work)
	if j.hinted = e.Work > 0; j.hinted {
		d.hintsSeen = true
		st.addWork(j.work)
	} else {
		j.work = d.unhintedWork(st, float64(c.LatencyObjective))
	}
	firstAttempt := d.firstAttemptAt(j, e.Retry)
	j.objective = min(firstAttempt+c.LatencyObjective+Micros(c.ObjectiveStretch*j.work), j.deadline)
	d.jobs[j.id] = j
	d.retryBudget = min(d.retryBudget+retryBudgetPerJob, maxRetryBudget)
	st.arrivals++
	j.overQuota = d.exceedsQuota(j.tenant, firstAttempt < d.now-d.settings.Granularity)
	d.meanJobValue += (d.value(j) - d.meanJobValue) / math.Min(float64(d.seq), 200)
	d.enqueue(j)
	d.updateOverloadLevel()
	if !d.admits(j) {
		d.dequeue(j)
		d.finish(j)
	}
}

// exceedsQuota reports whether a tenant is over its quota, and takes a token of it for a first attempt.
// Retries take none.
func (d *Dispatcher) exceedsQuota(tenant int, retried bool) bool {
	q := d.quotaShare(tenant)
	if q == 0 {
		return false
	}
	earned := q * float64(d.now-d.quotaRefilledAt[tenant]) / second
	d.quotaTokens[tenant] = min(d.quotaTokens[tenant]+earned, d.quotaBurst(tenant))
	d.quotaRefilledAt[tenant] = d.now
	if d.quotaTokens[tenant] < 1 {
		return true
	}
	if !retried {
		d.quotaTokens[tenant]--
	}
	return false
}

// value is what a timely answer earns.
func (d *Dispatcher) value(j *job) float64 {
	v := d.settings.Classes[j.class].PriorityWeight
	if d.settings.WeightByWork {
		v *= j.work
	}
	if j.overQuota {
		v *= d.settings.OverQuotaWeight
	}
	return v
}

// admits is the gate: call gapping on the ranks that advanceGapping has reached. An interval passes its
// first job.
func (d *Dispatcher) admits(j *job) bool {
	d.advanceGapping()
	over := 0
	if j.overQuota {
		over = 1
	}
	if d.gappedRanks <= d.ranks[j.class*2+over] {
		return true
	}
	f := &d.flows[(j.tenant*len(d.classes)+j.class)*2+over]
	if f.rate <= 0 {
		return false
	}
	if i := int64(float64(d.now) * f.rate / second); i != f.lastGappingInterval {
		f.lastGappingInterval = i
		return true
	}
	return false
}

// advanceGapping moves the gate: overload gaps one rank more every step, severe overload all, and
// normal load lifts one every step, highest first.
func (d *Dispatcher) advanceGapping() {
	for x := d.gappingStepInterval; d.now >= d.gappingSteppedAt+x; {
		switch {
		case d.level == levelOverload && d.gappedRanks < d.rankCount:
			d.gappedRanks++
		case d.level == levelNormal && d.gappedRanks > 0:
			d.gappedRanks--
		default:
			d.gappingSteppedAt = d.now
			return
		}
		d.gappingSteppedAt += x
	}
}

// updateOverloadLevel tests (4) and (6) at an arrival or a departure and changes the level after enough
// assessments in a row.
func (d *Dispatcher) updateOverloadLevel() {
	if d.now-d.parametersRefreshedAt >= second {
		d.refreshAdmissionParameters()
	}
	overloadAssessment := d.overloadAssessment()
	d.consecutiveNormal = countConsecutive(d.consecutiveNormal, overloadAssessment == levelNormal)
	d.consecutiveOverload = countConsecutive(d.consecutiveOverload, overloadAssessment > levelNormal)
	d.consecutiveSevere = countConsecutive(d.consecutiveSevere, overloadAssessment == levelSevere)
	level := d.level
	switch {
	case d.consecutiveSevere >= levelChangeAssessments:
		level = levelSevere
	case d.consecutiveOverload >= levelChangeAssessments && d.consecutiveSevere == 0:
		level = levelOverload
	case d.consecutiveNormal >= levelChangeAssessments:
		level = levelNormal
	}
	if level != d.level {
		d.advanceGapping()
		d.setOverloadLevel(level)
	}
}

func (d *Dispatcher) setOverloadLevel(level overloadLevel) {
	switch level {
	case levelOverload:
		d.gappedRanks = max(d.gappedRanks, 1)
	case levelSevere:
		d.gappedRanks = d.rankCount
		d.log("severe overload: all tenants gapped, held " + strconv.Itoa(len(d.queue)))
	}
	d.level, d.gappingSteppedAt = level, d.now
}

// overloadAssessment is the level that (4) and (6) call for now.
func (d *Dispatcher) overloadAssessment() overloadLevel {
	if len(d.queue) == 0 {
		return levelNormal
	}
	worst := d.worstConditionRatio(d.serviceTimePerJob())
	switch {
	case worst < conditionMargin:
		return levelNormal
	case worst < 1:
		return levelOverload
	}
	return levelSevere
}

// worstConditionRatio is the largest left side of (4) and (6) over its right side, with x the time per slot.
func (d *Dispatcher) worstConditionRatio(x float64) float64 {
	worst := 0.0
	for a, k := range d.classesByWaitTarget {
		tk := d.classes[k].waitTarget
		before := d.tighterClassArrivals(a, tk)
		worst = max(worst, (float64(d.queuedWithin(tk))+before)*x/float64(tk))
		for b := a + 1; b < len(d.classesByWaitTarget); b++ {
			ti := d.classes[d.classesByWaitTarget[b]].waitTarget
			n := float64(d.queuedWithin(ti) - d.queuedWithin(ti-tk))
			for c := 0; c < b; c++ {
				st := &d.classes[d.classesByWaitTarget[c]]
				if c < a {
					n += st.guaranteedRate * float64(st.waitTarget)
				} else {
					n += st.guaranteedRate * float64(min(tk, ti-st.waitTarget))
				}
			}
			worst = max(worst, (n+before)*x/float64(tk))
		}
	}
	return worst
}

// tighterClassArrivals is (4)'s second term: guaranteed jobs of tighter classes yet to come.
func (d *Dispatcher) tighterClassArrivals(a int, tk Micros) float64 {
	n := 0.0
	for _, k := range d.classesByWaitTarget[:a] {
		n += d.classes[k].guaranteedRate * float64(tk-d.classes[k].waitTarget)
	}
	return n
}

// serviceTimePerJob is the paper's x: the time in which this dispatcher's slots clear one job, as
// exactly as overloadAssessment needs it. With fewer slots it is longer, so none are counted past those that
// pass.
func (d *Dispatcher) serviceTimePerJob() float64 {
	x := func(slots float64) float64 { return d.slotTimes.value / max(1, slots) }
	pass := func(slots float64) bool { return d.worstConditionRatio(x(slots)) < conditionMargin }
	return x(d.usableSlots(anyZone, pass))
}

// refreshAdmissionParameters computes what changes slowly: T_k, ranks and guaranteed rates.
func (d *Dispatcher) refreshAdmissionParameters() {
	d.parametersRefreshedAt = d.now
	d.parameterRefreshes++
	fleet := d.fleetSpeed()
	arrivals := 0.0
	for k := range d.classes {
		c, st := &d.settings.Classes[k], &d.classes[k]
		work := st.meanWork(float64(c.LatencyObjective))
		if !d.hintsSeen {
			work = st.sizeBiasedWork(float64(c.LatencyObjective))
		}
		run := work / fleet
		if d.hintsSeen && st.runTimes.count > 0 {
			run = st.runTimes.value
		}
		objective := min(c.LatencyObjective+Micros(c.ObjectiveStretch*work), c.Deadline)
		st.waitTarget = max(objective-Micros(run), c.LatencyObjective/4, d.settings.Granularity)
		arrivals += st.arrivals
	}
	slices.SortStableFunc(d.classesByWaitTarget, func(a, b int) int {
		return int(d.classes[a].waitTarget - d.classes[b].waitTarget)
	})
	d.rankClasses()
	d.setGuaranteedRates(max(arrivals, 1))
	for k := range d.classes {
		d.classes[k].arrivals *= classMixDecay
	}
}

// rankClasses orders (class, within or over quota) by value per unit of work: utility (2) of the paper.
func (d *Dispatcher) rankClasses() {
	utility := make([]float64, len(d.ranks))
	for k := range d.classes {
		c := &d.settings.Classes[k]
		u := c.PriorityWeight
		if !d.settings.WeightByWork {
			u /= max(1, d.classes[k].meanWork(float64(c.LatencyObjective)))
		}
		utility[k*2], utility[k*2+1] = u, u*d.settings.OverQuotaWeight
	}
	distinct := slices.Clone(utility)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	for i, u := range utility {
		d.ranks[i], _ = slices.BinarySearch(distinct, u)
	}
	d.rankCount = len(distinct)
}

// setGuaranteedRates sets the paper's d for each flow: its quota by the class mix, cut from the lowest rank
// up until the fleet can carry the sum, (1) of the paper.
func (d *Dispatcher) setGuaranteedRates(arrivals float64) {
	capacity := 0.0 // slot-seconds a second that this dispatcher's part of the fleet gives
	for _, w := range d.subset {
		capacity += max(1, d.kindOf(w).maxBusySlots)
	}
	capacity *= conditionMargin / max(1, d.dispatchersPerWorker())
	nc := len(d.classes)
	for k := range d.classes {
		d.classes[k].guaranteedRate = 0
	}
	spend := func(t, k int, rate float64) {
		cost := d.classes[k].meanWork(float64(d.settings.Classes[k].LatencyObjective)) / d.fleetSpeed() / second
		rate = min(rate, capacity/cost)
		capacity -= rate * cost
		d.flows[(t*nc+k)*2].rate += rate
		d.classes[k].guaranteedRate += rate / second
	}
	full := func(t, k int) float64 {
		if t < len(d.settings.Tenants) && d.settings.Tenants[t].Quota > 0 {
			return d.quotaShare(t) * d.classes[k].arrivals / arrivals
		}
		return capacity // no quota: what the fleet can carry
	}
	for i := range d.flows {
		d.flows[i].rate = 0
	}
	for r := d.rankCount - 1; r >= 0; r-- {
		for k := range d.classes {
			if d.ranks[k*2] != r {
				continue
			}
			for t := range d.quotaTokens {
				spend(t, k, full(t, k))
			}
		}
	}
	// (4) and (6) count no more than arrives: what nobody sends takes no capacity.
	seconds := (1 - math.Pow(classMixDecay, float64(d.parameterRefreshes))) / (1 - classMixDecay)
	for k := range d.classes {
		st := &d.classes[k]
		st.guaranteedRate = min(st.guaranteedRate, st.arrivals/max(1, seconds)/second)
	}
}
