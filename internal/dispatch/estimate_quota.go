package dispatch

// This file computes a dispatcher's part of the quotas, and the times and slots of arriving jobs. It makes no
// dispatch decisions.

// firstAttemptAt returns the time when the client's first try of a job began, from which the latency
// objective counts. The function assumes that a client has the whole deadline of the job's class at its first
// try, so the part of the deadline that is missing at a retry is the time since the first try. A first try
// with a shorter time-out than the deadline would then seem to have begun before its arrival, and the job
// could be late on arrival. So where clients mark their retries, an unmarked job counts from its arrival in a
// large fleet without gossip. In other fleets an unmarked job with a short time-out keeps the earlier
// objective that follows from the assumption. Each dispatcher of such a fleet sees an overload itself, and
// under overload it refuses first the jobs that can no longer meet their objective. A job with a short
// time-out is then rightly among the first.
func (d *Dispatcher) firstAttemptAt(j *job, retried bool) Micros {
	if d.settings.RetriesMarked && !retried && d.largeFleetWithoutGossip() {
		return d.now
	}
	return j.deadline - d.settings.Classes[j.class].Deadline
}

// quotaShare returns this dispatcher's equal part of a tenant's quota, in jobs per second; 0 means no quota.
func (d *Dispatcher) quotaShare(tenant int) float64 {
	if tenant >= len(d.settings.Tenants) {
		return 0
	}
	return d.settings.Tenants[tenant].Quota / float64(d.settings.Dispatchers)
}

// quotaBurst returns the largest number of jobs of its unused quota that a tenant may save up at this
// dispatcher.
func (d *Dispatcher) quotaBurst(tenant int) float64 {
	return max(minQuotaBurst, d.quotaShare(tenant)*quotaBurstSeconds)
}

// MaxSlots is the largest number of worker slots that counts for one job: far more than any machine has, and
// small enough for every type that holds a sum of slots.
const MaxSlots = 1 << 20

// clampSlots returns the number of worker slots that counts for a job: the number that the job's submission
// states, but 1 at least and MaxSlots at most. NaN counts as 1, because NaN added to a worker's use could not
// be subtracted again.
func clampSlots(stated float64) float64 {
	if !(stated >= 1) {
		return 1
	}
	return min(stated, MaxSlots)
}
