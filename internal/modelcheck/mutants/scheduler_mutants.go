package mutants

// The source files of the reducer that patches change, except schedulerFile.
const (
	attemptsFile      = "internal/scheduler/attempts.go"
	callbacksFile     = "internal/scheduler/callbacks.go"
	cancellationsFile = "internal/scheduler/cancellations.go"
	endpointsFile     = "internal/scheduler/endpoints.go"
	recentIDsFile     = "internal/scheduler/recent_ids.go"
	recoveryFile      = "internal/scheduler/recovery.go"
	requestsFile      = "internal/scheduler/requests.go"
	shutdownFile      = "internal/scheduler/shutdown.go"
	workersFile       = "internal/scheduler/workers.go"
)

// schedulerMutants are the mutants (deliberate faults) of the reducer.
var schedulerMutants = []Mutant{
	{
		Name: "earlier-callback", World: "keyed",
		About: "a callback from the worker of an earlier attempt is applied to the present attempt",
		Violates: "honest-answers" +
			" one-attempt-outstanding" +
			" runs-as-allowed" +
			" called-back",
		Patches: []Patch{
			{File: callbacksFile,
				Old: "if a.ended || a.worker.UID != e.WorkerUID {",
				New: "if a.ended {",
			},
		},
	},
	{
		Name: "returned-is-full", World: "attempt",
		About: "a job handed back may go to the same worker, whose repeated callback ends the new attempt",
		Violates: "honest-answers" +
			" one-attempt-outstanding" +
			" runs-as-allowed" +
			" called-back",
		Patches: []Patch{
			{File: callbacksFile,
				Old: "s.endByCallback(a, dispatch.HandedBack, e.Report)",
				New: "s.endByCallback(a, dispatch.AtCapacity, e.Report)",
			},
		},
	},
	{
		Name: "no-call-back", World: "attempt",
		About:    "an abandoned attempt is not cancelled, so its worker keeps a job that no client waits for",
		Violates: "called-back",
		Patches: []Patch{
			{File: cancellationsFile,
				Old: "\t\ts.emit(CloseConnection{Attempt: a.id})\n" +
					"\t}\n" +
					"\ts.startCancellation(a)\n",
				New: "\t\ts.emit(CloseConnection{Attempt: a.id})\n" +
					"\t}\n",
			},
		},
	},
	{
		Name: "one-try", World: "attempt",
		About:    "a failed cancellation is not retried, so its worker keeps a job that no client waits for",
		Violates: "called-back",
		Patches: []Patch{
			{File: cancellationsFile,
				Old: "if c.attempt.request.answered && s.now+wait >= c.giveUpAt {",
				New: "if true {",
			},
		},
	},
	{
		Name: "rejection-frees-id", World: "reused",
		About: "a rejection by a worker makes the id usable again though an earlier attempt may have run",
		Violates: "runs-as-allowed" +
			" honest-answers",
		Patches: []Patch{
			{File: attemptsFile,
				Old: "if a.request.mayHaveRun() {",
				New: "if false {",
			},
		},
	},
	{
		Name: "id-outlived", World: "large-ids", Walk: true,
		About: "an id is accepted again before its deduplication window has ended, so its job may run twice",
		Violates: "runs-as-allowed" +
			" honest-answers",
		Patches: []Patch{
			{File: recentIDsFile,
				Old: "return class.Deadline + class.DedupWindow",
				New: "return class.Deadline",
			},
		},
	},
	{
		Name: "id-forgotten", World: "link",
		About: "an id is accepted again once its request is over, though an earlier attempt may have run",
		Violates: "one-attempt-outstanding" +
			" runs-as-allowed" +
			" attempts-capped" +
			" honest-answers",
		Patches: []Patch{
			{File: attemptsFile,
				Old: "\ts.reserveID(r.id)\n",
				New: "",
			},
		},
	},
	{
		Name: "two-answers", World: "attempt",
		About:    "a served request is not recorded as answered and gets a second answer",
		Violates: "one-final-answer",
		Patches: []Patch{
			{File: callbacksFile,
				Old: "\t\ts.answer(r, Answer{Verdict: Served, Body: e.Result})\n" +
					"\t\ts.endByCallback(",
				New: "\t\ts.emit(Answer{Caller: r.caller, Verdict: Served, Body: e.Result})\n" +
					"\t\ts.endByCallback(",
			},
		},
	},
	{
		Name: "no-waiting", World: "keyed",
		About:    "a retry is sent before the cancellation of the earlier attempt is acknowledged",
		Violates: "one-attempt-outstanding",
		Patches: []Patch{
			{File: attemptsFile,
				Old: "\tif s.hasOpenCancellation(r) {\n" +
					"\t\t// A worker",
				New: "\tif false {\n" +
					"\t\t// A worker",
			},
		},
	},
	{
		Name: "drain-overlooked", World: "drains",
		About:    "a draining worker counts as ready and is sent new attempts",
		Violates: "drains-kept",
		Patches: []Patch{
			{File: workersFile,
				Old: "Kind: s.kinds.indexOf(w.Kind), Status: w.Status,",
				New: "Kind: s.kinds.indexOf(w.Kind), Status: max(w.Status, 1) % 2 * w.Status + w.Status / 2,",
			},
		},
	},
	{
		Name: "early-exit", World: "crash",
		About:    "a stopping scheduler exits while a request has no answer",
		Violates: "one-final-answer",
		Patches: []Patch{
			{File: shutdownFile,
				Old: "if len(s.byCaller) == 0 && (",
				New: "if (",
			},
		},
	},
	{
		Name: "attempt-kept", World: "attempt",
		About: "an ended attempt stays in the index of live attempts, so later events end it again",
		Violates: "nothing-leaks" +
			" one-final-answer" +
			" called-back" +
			" honest-answers",
		Patches: []Patch{
			{File: attemptsFile,
				Old: "\tdelete(s.byAttempt, a.id)\n",
				New: "",
			},
		},
	},
	{
		Name: "silent-recovery", World: "crash",
		About: "open requests get no answer after a panic of the decision module",
		Violates: "one-final-answer" +
			" ends",
		Patches: []Patch{
			{File: recoveryFile,
				Old: "\t\ts.answer(r, Answer{Verdict: Failed})\n" +
					"\t}\n" +
					"\tfor _, a",
				New: "\t\ts.complete(r)\n" +
					"\t}\n" +
					"\tfor _, a",
			},
		},
	},
	{
		Name: "recovery-forgets", World: "crash",
		About:    "live attempts are not cancelled after a panic of the module, so workers keep their jobs",
		Violates: "called-back",
		Patches: []Patch{
			{File: recoveryFile,
				Old: "\t\ts.cancelAttempt(a)\n" +
					"\t\ts.removeAttempt(a)\n",
				New: "\t\ts.removeAttempt(a)\n",
			},
		},
	},
	{
		Name: "ended-after-202", World: "late",
		About: "a connection that ends after the 202 counts as a reset, though the worker holds the job",
		Violates: "honest-answers" +
			" one-attempt-outstanding" +
			" one-final-answer" +
			" runs-as-allowed" +
			" nothing-leaks" +
			" called-back",
		Patches: []Patch{
			{File: attemptsFile,
				Old: "if a == nil || a.accepted {\n" +
					"\t\treturn\n" +
					"\t}\n" +
					"\tif e.Outcome == dispatch.Reset {",
				New: "if a == nil {\n" +
					"\t\treturn\n" +
					"\t}\n" +
					"\tif e.Outcome == dispatch.Reset && !a.accepted {",
			},
			{File: connStateFile,
				Old: "\tc.Busy = false\n" +
					"\tnext := Idle",
				New: "\tc.Busy = a.Status == 202\n" +
					"\tnext := Idle",
			},
		},
	},
	{
		Name: "time-out-untold", World: "forbidden", OnlyInWorld: true,
		About:    "where the dispatcher must not cancel, an attempt that timed out stays at its worker",
		Violates: "called-back",
		Patches: []Patch{
			{File: attemptsFile,
				Old: "\t\ts.cancelAttempt(a)\n" +
					"\t\ts.endAttempt(a, dispatch.TimedOut",
				New: "\t\tif s.settings.Dispatch.CancelAllowed {\n" +
					"\t\t\ts.cancelAttempt(a)\n" +
					"\t\t}\n" +
					"\t\ts.endAttempt(a, dispatch.TimedOut",
			},
		},
	},
	{
		Name: "sent-for-nobody", World: "leaves", OnlyInWorld: true,
		About:    "where cancelling is forbidden, an attempt is written after its client disconnected",
		Violates: "leavers-spared",
		Patches: []Patch{
			{File: requestsFile,
				Old: "\t\ts.emit(CancelUnsent{Attempt: r.lastAttempt().id})\n",
				New: "",
			},
		},
	},
	{
		Name: "pushed-as-asked", World: "pushed", OnlyInWorld: true,
		About:    "without a watch, a pushed list stays valid for the poll interval, not the drain grace",
		Violates: "list-trusted",
		Patches: []Patch{
			{File: endpointsFile,
				Old: "failed.Age = s.ageIfValidUntil(e.ValidUntil)",
				New: "failed.Age = s.ageIfValidUntil(max(e.ValidUntil, s.listAsOf+s.settings.Dispatch.PollInterval))",
			},
		},
	},
	{
		Name: "asked-as-pushed", World: "asked", OnlyInWorld: true,
		About:    "without a watch, a polled list stays valid for the drain grace beyond a short ask_within",
		Violates: "list-trusted",
		Patches: []Patch{
			{File: endpointsFile,
				Old: "failed.Age = s.ageIfValidUntil(e.ValidUntil)",
				New: "failed.Age = s.ageIfValidUntil(max(e.ValidUntil, s.now+s.settings.DrainGrace))",
			},
		},
	},
	{
		Name: "second-copy", World: "copies", OnlyInWorld: true,
		About:    "a hedged attempt is sent while the first attempt is live, where the settings allow hedging",
		Violates: "one-attempt-outstanding",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\ts.settings.Dispatch.HedgingAllowed = false\n",
				New: "",
			},
			{File: attemptsFile,
				Old: " || r.hasLiveAttempt() {",
				New: " {",
			},
		},
	},
}
