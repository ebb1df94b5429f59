package dispatch

// Quotas and arrivals, as one dispatcher of many sees them. Nothing here decides.

// firstAttemptAt is when the client's first try of a job began. A retry counts from there: what is
// missing of the deadline has passed already. A first try may bring less patience, too, and would seem
// too late on arrival; where clients mark their retries, the two can be distinguished. A small fleet sees
// overload itself, and such a job is the first to turn away then.
func (d *Dispatcher) firstAttemptAt(j *job, retried bool) Micros {
	if d.settings.RetriesMarked && !retried && d.largeFleetWithoutGossip() {
		return d.now
	}
	return j.deadline - d.settings.Classes[j.class].Deadline
}

// quotaShare is this dispatcher's part of a tenant's quota, in jobs a second.
func (d *Dispatcher) quotaShare(tenant int) float64 {
	if tenant >= len(d.settings.Tenants) {
		return 0
	}
	return d.settings.Tenants[tenant].Quota / float64(d.settings.Dispatchers)
}

// quotaBurst is how many jobs a tenant may save up.
func (d *Dispatcher) quotaBurst(tenant int) float64 {
	return max(minQuotaBurst, d.quotaShare(tenant)*quotaBurstSeconds)
}

// MaxSlots is the most that a job can say it takes: far beyond any machine, and within
// what counts of slots can hold.
const MaxSlots = 1 << 20

// clampSlots is the slots that a job is taken to need: one at least. What is no number counts as one:
// added to a worker's use, it could never be taken off again.
func clampSlots(stated float64) float64 {
	if !(stated >= 1) {
		return 1
	}
	return min(stated, MaxSlots)
}
