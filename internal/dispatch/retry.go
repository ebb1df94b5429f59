package dispatch

// Retries after an attempt has ended, and hedging: a second attempt while the first is at a silent worker.

const (
	retryBudgetPerJob = 0.2 // further attempts that each arriving job adds to the retry budget
	maxRetryBudget    = 20  // upper bound of the retry budget, in further attempts
)

// retry queues a job without attempts in flight for another attempt if its class, its deadline and the retry
// budget allow that; otherwise it gives the job its final answer. A retry after an attempt whose connect
// failed does not count against the retry budget. The ejection of unreachable workers bounds the number of
// such retries already, and if half of a fleet became unreachable at once, they would exhaust the budget.
func (d *Dispatcher) retry(j *job, outcome Outcome) {
	if j.queued {
		return
	}
	if outcome == ConnectFailed {
		d.retryBudget++
	}
	if d.retryBudget >= 1 && d.now < j.deadline-d.deadlineMargin() &&
		len(j.attempts) < d.settings.MaxAttempts && d.anyWorkerAllowed(j) {
		d.retryBudget--
		d.enqueue(j)
		return
	}
	d.finish(j)
}

// hedge queues the jobs at a silent worker for a second attempt, unless their class forbids any repetition.
// Each second attempt counts against the retry budget.
func (d *Dispatcher) hedge(w *worker) {
	if !d.settings.HedgingAllowed {
		return
	}
	for _, a := range w.attempts {
		j := a.job
		if !j.finished && !j.queued && j.inFlight == 1 && d.retryBudget >= 1 &&
			d.settings.Classes[j.class].Effect != Unsafe && len(j.attempts) < d.settings.MaxAttempts {
			d.retryBudget--
			d.enqueue(j)
		}
	}
}
