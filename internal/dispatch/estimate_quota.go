package dispatch

// This file computes a dispatcher's part of the quotas, and the times and slots of arriving jobs. It makes no
// dispatch decisions.

// firstAttemptAt returns the time when the client's first try of a job began, from which the latency
// objective counts. The function assumes that the client had its class's whole deadline then and has used up
// what is missing of it on arrival. But the first try of a client with a shorter time-out would then seem to
// have begun before it arrived, and the job could be late on arrival. So where clients mark their retries, an
// unmarked job of a large fleet without gossip counts from its arrival. In other fleets a dispatcher sees an
// overload itself, and a job with a short time-out is then the first that should be refused.
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

// quotaBurst returns the largest number of unused jobs of its quota that a tenant may save up here.
func (d *Dispatcher) quotaBurst(tenant int) float64 {
	return max(minQuotaBurst, d.quotaShare(tenant)*quotaBurstSeconds)
}

// MaxSlots is the largest number of slots that counts for one job. No machine has nearly that many slots, and
// sums of such numbers stay exact.
const MaxSlots = 1 << 20

// clampSlots returns the number of slots that counts for a job: the stated number, but 1 at least and
// MaxSlots at most. NaN counts as 1, because NaN added to a worker's use could not be subtracted again.
func clampSlots(stated float64) float64 {
	if !(stated >= 1) {
		return 1
	}
	return min(stated, MaxSlots)
}
