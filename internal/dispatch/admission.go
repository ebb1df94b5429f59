package dispatch

import (
	"math"
	"slices"
	"strconv"
)

// Admission: which arriving jobs are queued and which are rejected.
//
// Admission follows a published overload control. It gives each flow (the jobs of one tenant and class) a
// guaranteed rate and tests two conditions, which worstConditionRatio computes:
//
//   - deadline feasibility of a class, condition (4) of the publication: the jobs that have to start within
//     the class's wait target T_k can start within it, including the guaranteed jobs of classes with shorter
//     wait targets that have yet to arrive;
//   - deadline feasibility of a pair of classes, condition (6): the jobs that have to start in the window of
//     length T_k that ends at the longer wait target T_i can start within that window.
//
// If a condition fails, or holds without the margin f, call gapping by rank limits the flows to their
// guaranteed rates: ranks (class, within or beyond the quota) with the least value for each unit of work come
// first. The symbols of the publication are x (serviceTimePerJob), d (flow.rate), f (conditionMargin), T_k
// (classState.waitTarget), N(t) (queuedWithin) and X (gappingStepInterval).

const (
	// conditionMargin is the margin f of the published overload control. In normal load, the time that the jobs
	// of a feasibility condition (of a class or of a pair of classes) need may reach at most this fraction of
	// the time that is available for them.
	conditionMargin = 0.9

	// levelChangeAssessments is the number of consecutive calls of overloadAssessment with the same result after
	// which the overload level changes. The published overload control uses the same number.
	levelChangeAssessments = 5

	quotaBurstSeconds = 2.0 // unused quota that a tenant may save up, in seconds at the rate of the quota

	// minQuotaBurst is the lower bound of quotaBurst, the largest number of jobs that a tenant may save up as
	// unused quota. Each dispatcher has only its part of the quota, and quotaBurstSeconds of a small part could
	// be less than a whole job.
	minQuotaBurst = 2.0

	// classMixDecay is the factor by which the decayed number of arrivals of each class is multiplied once a
	// second.
	classMixDecay = 0.96
)

// overloadLevel says how far the feasibility conditions of classes and of pairs of classes hold.
type overloadLevel int

const (
	// levelNormal means that both feasibility conditions hold, and the jobs need less than the fraction
	// conditionMargin of the available time. Call gapping is lifted rank by rank.
	levelNormal overloadLevel = iota
	// levelOverload means that both feasibility conditions hold, but the jobs need the fraction conditionMargin
	// or more of the available time. Call gapping is extended rank by rank.
	levelOverload
	// levelSevere means that at least one feasibility condition fails. Call gapping applies to all ranks.
	levelSevere
)

// onJobArrived queues an arriving job, or gives the job its final answer at once if admits rejects the job.
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
	// A client timeout of 0 is legal: the job is answered at once.
	clientTimeout := min(max(e.ClientTimeout, 0), c.Deadline)
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

// exceedsQuota reports whether an arriving job is beyond its tenant's quota. A job within the quota takes one
// token from the tenant's quotaTokens, unless the job is a retry by the client.
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

// value returns the value of a job: the weight of an answer within the latency objective.
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

// admits reports whether an arriving job is admitted. Jobs of ranks to which call gapping does not apply now
// are admitted without limit. In the other ranks, time is divided into intervals whose length is the inverse
// of the guaranteed rate of the job's flow, and only the first job of the flow in each interval is admitted.
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

// advanceGapping changes the number of ranks under call gapping by one for each gappingStepInterval that has
// passed: under overload call gapping is extended to the next higher rank, in normal load it is lifted from
// the highest rank to which it applies. Under severe overload setOverloadLevel extends call gapping to all
// ranks at once.
func (d *Dispatcher) advanceGapping() {
	for step := d.gappingStepInterval; d.now >= d.gappingSteppedAt+step; {
		switch {
		case d.level == levelOverload && d.gappedRanks < d.rankCount:
			d.gappedRanks++
		case d.level == levelNormal && d.gappedRanks > 0:
			d.gappedRanks--
		default:
			d.gappingSteppedAt = d.now
			return
		}
		d.gappingSteppedAt += step
	}
}

// updateOverloadLevel makes an overload assessment when a job arrives or an attempt ends, and changes the
// overload level after levelChangeAssessments consecutive assessments that call for another level.
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

// setOverloadLevel changes the overload level. Under overload call gapping then applies to the lowest rank at
// least, under severe overload to all ranks.
func (d *Dispatcher) setOverloadLevel(level overloadLevel) {
	switch level {
	case levelOverload:
		d.gappedRanks = max(d.gappedRanks, 1)
	case levelSevere:
		d.gappedRanks = d.rankCount
		d.log("severe overload: call gapping limits all tenants, queued jobs: " + strconv.Itoa(len(d.queue)))
	}
	d.level, d.gappingSteppedAt = level, d.now
}

// overloadAssessment returns the level that deadline feasibility of the classes and of the pairs of classes
// calls for now.
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

// worstConditionRatio returns the largest ratio of left to right side among the deadline feasibility
// conditions of all classes and all pairs of classes. A ratio of 1 or more means that a condition fails. The
// left side is the time that the jobs of the condition need, the right side the wait target T_k that is
// available for them.
//
// For a class, these jobs are the queued jobs whose latest start is within T_k, and the guaranteed jobs of
// classes with shorter wait targets that have yet to arrive and must start within T_k. For a pair of classes,
// they are those guaranteed jobs, the queued jobs whose latest start is in the last T_k of the longer wait
// target T_i, and the guaranteed jobs that will have to start in that window.
func (d *Dispatcher) worstConditionRatio(serviceTime float64) float64 {
	worst := 0.0
	for tighter, k := range d.classesByWaitTarget {
		tk := d.classes[k].waitTarget
		arrivals := d.tighterClassArrivals(tighter, tk)
		worst = max(worst, (float64(d.queuedWithin(tk))+arrivals)*serviceTime/float64(tk))
		for looser := tighter + 1; looser < len(d.classesByWaitTarget); looser++ {
			ti := d.classes[d.classesByWaitTarget[looser]].waitTarget
			n := float64(d.queuedWithin(ti) - d.queuedWithin(ti-tk))
			for c := 0; c < looser; c++ {
				st := &d.classes[d.classesByWaitTarget[c]]
				if c < tighter {
					n += st.guaranteedRate * float64(st.waitTarget)
				} else {
					n += st.guaranteedRate * float64(min(tk, ti-st.waitTarget))
				}
			}
			worst = max(worst, (n+arrivals)*serviceTime/float64(tk))
		}
	}
	return worst
}

// tighterClassArrivals returns a term of both feasibility conditions: the number of guaranteed jobs that have
// yet to arrive and must start within the wait target tk of a class. The number covers the classes with
// shorter wait targets; position is the index in classesByWaitTarget of the class whose wait target is tk.
func (d *Dispatcher) tighterClassArrivals(position int, tk Micros) float64 {
	n := 0.0
	for _, k := range d.classesByWaitTarget[:position] {
		n += d.classes[k].guaranteedRate * float64(tk-d.classes[k].waitTarget)
	}
	return n
}

// serviceTimePerJob returns the mean time between two jobs that this dispatcher's slots finish, in
// microseconds (x of the published overload control). The more slots there are, the shorter this time is. The
// counting of slots ends once, with the counted slots, the jobs of every feasibility condition need less than
// the fraction conditionMargin of the available time, because more slots would not change the result of
// overloadAssessment.
func (d *Dispatcher) serviceTimePerJob() float64 {
	serviceTime := func(slots float64) float64 { return d.slotTimes.value / max(1, slots) }
	enough := func(slots float64) bool { return d.worstConditionRatio(serviceTime(slots)) < conditionMargin }
	return serviceTime(d.usableSlots(anyZone, enough))
}

// refreshAdmissionParameters computes the parameters of admission that change slowly: wait targets, ranks and
// guaranteed rates. It runs at most once a second.
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

// rankClasses computes two ranks for each class: one for jobs within the quota and one for jobs beyond the
// quota. The ranks ascend with the utility, which is the value for each unit of work (equation (2) of the
// published overload control). Rank 0 has the least utility, and call gapping blocks jobs of rank 0 first.
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

// setGuaranteedRates sets the guaranteed rate of each flow within its tenant's quota; flows beyond the quota
// have no guaranteed rate. The full rate of a flow is the quota times the class's fraction of all arrivals.
// The ranks get their full rates in descending order until this dispatcher's part of the fleet's capacity is
// spent, and lower ranks get less or nothing. So the sum of the guaranteed rates does not exceed the
// capacity, which is condition (1) of the published overload control.
func (d *Dispatcher) setGuaranteedRates(arrivals float64) {
	capacity := 0.0 // slot-seconds per second that this dispatcher's share of the fleet provides
	for _, w := range d.subset {
		capacity += max(1, d.kindOf(w).maxBusySlots)
	}
	capacity *= conditionMargin / max(1, d.dispatchersPerWorker())
	nc := len(d.classes)
	for k := range d.classes {
		d.classes[k].guaranteedRate = 0
	}
	guarantee := func(t, k int, rate float64) {
		cost := d.classes[k].meanWork(float64(d.settings.Classes[k].LatencyObjective)) / d.fleetSpeed() / second
		rate = min(rate, capacity/cost)
		capacity -= rate * cost
		d.flows[(t*nc+k)*2].rate += rate
		d.classes[k].guaranteedRate += rate / second
	}
	fullRate := func(t, k int) float64 {
		if t < len(d.settings.Tenants) && d.settings.Tenants[t].Quota > 0 {
			return d.quotaShare(t) * d.classes[k].arrivals / arrivals
		}
		return capacity // a tenant without a quota may use all capacity that is left
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
				guarantee(t, k, fullRate(t, k))
			}
		}
	}
	// The feasibility conditions count at most the measured arrival rate of each class, because guaranteed jobs
	// that do not arrive take no capacity.
	seconds := (1 - math.Pow(classMixDecay, float64(d.parameterRefreshes))) / (1 - classMixDecay)
	for k := range d.classes {
		st := &d.classes[k]
		st.guaranteedRate = min(st.guaranteedRate, st.arrivals/max(1, seconds)/second)
	}
}
