package dispatch

// Retries, and second attempts beside one at a silent worker.

const (
	retryBudgetPerJob = 0.2 // further attempts earned by each first one
	maxRetryBudget    = 20  // further attempts saved up at most
)

// retry gives a job without attempts in flight another one, if its class, its time and the retry budget
// allow, or its final answer. A refused connect takes nothing from the budget: its worker is ejected,
// which bounds them, and when half a fleet is cut off at once they would use the budget up.
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

// hedge queues the repeatable jobs of a silent worker for a second attempt.
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
