package mutants

// schedulerMutants are the mutants of the reducer.
var schedulerMutants = []Mutant{
	{
		Name: "earlier-callback", World: "keyed",
		About: "a callback of an earlier attempt is taken for the present one",
		Violates: "honest-answers" +
			" one-attempt-outstanding" +
			" runs-as-allowed" +
			" called-back",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "if k.ended || k.worker.UID != e.From {",
				New: "if k.ended {",
			},
		},
	},
	{
		Name: "returned-is-full", World: "attempt",
		About: "a job handed back may go to the same worker, which may say so again",
		Violates: "honest-answers" +
			" one-attempt-outstanding" +
			" runs-as-allowed" +
			" called-back",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "s.endTold(k, dispatch.HandedBack, e.Report)",
				New: "s.endTold(k, dispatch.AtCapacity, e.Report)",
			},
		},
	},
	{
		Name: "no-call-back", World: "attempt",
		About:    "a give-up is not sent",
		Violates: "called-back",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\t\ts.emit(CloseConnection{Attempt: k.number})\n" +
					"\t}\n" +
					"\ts.recall(k)\n",
				New: "\t\ts.emit(CloseConnection{Attempt: k.number})\n" +
					"\t}\n",
			},
		},
	},
	{
		Name: "one-try", World: "attempt",
		About:    "a give-up that does not get through is not sent again",
		Violates: "called-back",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "if s.now+wait >= c.until {",
				New: "if true {",
			},
		},
	},
	{
		Name: "id-forgotten", World: "link",
		About: "an id is forgotten too early",
		Violates: "one-attempt-outstanding" +
			" runs-as-allowed" +
			" attempts-capped" +
			" honest-answers",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\t\ts.used.add(e.ID)\n",
				New: "",
			},
		},
	},
	{
		Name: "two-answers", World: "attempt",
		About:    "a served answer is not marked as given",
		Violates: "one-final-answer",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\t\ts.answer(t, Answer{Verdict: Served, Body: e.Result})\n" +
					"\t\ts.endTold(",
				New: "\t\ts.emit(Answer{Caller: t.caller, Verdict: Served, Body: e.Result})\n" +
					"\t\ts.endTold(",
			},
		},
	},
	{
		Name: "no-waiting", World: "keyed",
		About:    "a repeat does not wait until the first copy is called back",
		Violates: "one-attempt-outstanding",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\tif s.recalling(t) {\n" +
					"\t\t// A worker",
				New: "\tif false {\n" +
					"\t\t// A worker",
			},
		},
	},
	{
		Name: "drain-overlooked", World: "drains",
		About:    "a worker that drains counts as ready",
		Violates: "drains-kept",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "Kind: s.kinds.of(r.Kind), Status: r.Status,",
				New: "Kind: s.kinds.of(r.Kind), Status: max(r.Status, 1) % 2 * r.Status + r.Status / 2,",
			},
		},
	},
	{
		Name: "early-exit", World: "crash",
		About:    "a stopping scheduler ends while somebody waits",
		Violates: "one-final-answer",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "if len(s.byCaller) == 0 && (",
				New: "if (",
			},
		},
	},
	{
		Name: "attempt-kept", World: "attempt",
		About: "an attempt that ended stays in the books",
		Violates: "nothing-leaks" +
			" one-final-answer" +
			" called-back" +
			" honest-answers",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\tdelete(s.byAttempt, k.number)\n",
				New: "",
			},
		},
	},
	{
		Name: "silent-recovery", World: "crash",
		About: "a panic leaves callers without an answer",
		Violates: "one-final-answer" +
			" ends",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\t\ts.answer(t, Answer{Verdict: Failed})\n" +
					"\t}\n" +
					"\tfor _, k",
				New: "\t\ts.settle(t)\n" +
					"\t}\n" +
					"\tfor _, k",
			},
		},
	},
	{
		Name: "recovery-forgets", World: "crash",
		About:    "a panic leaves jobs at workers that nobody calls back",
		Violates: "called-back",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\t\ts.callBack(k)\n" +
					"\t\ts.forget(k)\n",
				New: "\t\ts.forget(k)\n",
			},
		},
	},
	{
		Name: "ended-after-202", World: "late",
		About: "an end of a connection after the 202 is taken for a reset",
		Violates: "honest-answers" +
			" one-attempt-outstanding" +
			" one-final-answer" +
			" runs-as-allowed" +
			" nothing-leaks" +
			" called-back",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "if k := s.byAttempt[e.Attempt]; k != nil && !k.accepted {\n" +
					"\t\t\tif e.Outcome == dispatch.Reset {",
				New: "if k := s.byAttempt[e.Attempt]; k != nil {\n" +
					"\t\t\tif e.Outcome == dispatch.Reset && !k.accepted {",
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
		About:    "an attempt that timed out is not called back where cancelling is forbidden",
		Violates: "called-back",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\t\t\t\ts.callBack(k)\n" +
					"\t\t\t\ts.end(k, dispatch.TimedOut",
				New: "\t\t\t\tif s.set.Dispatch.CancelAllowed {\n" +
					"\t\t\t\t\ts.callBack(k)\n" +
					"\t\t\t\t}\n" +
					"\t\t\t\ts.end(k, dispatch.TimedOut",
			},
		},
	},
	{
		Name: "sent-for-nobody", World: "leaves", OnlyInWorld: true,
		About:    "an attempt leaves though its client left before, where cancelling is forbidden",
		Violates: "leavers-spared",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\t\ts.emit(CancelUnsent{Attempt: t.attempts[n-1].number})",
				New: "\t\t_ = n",
			},
		},
	},
	{
		Name: "pushed-as-asked", World: "pushed", OnlyInWorld: true,
		About:    "a pushed list is trusted without a watch as long as one that is asked for",
		Violates: "list-trusted",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "lost.Age = s.ageAt(e.ValidUntil)",
				New: "lost.Age = s.ageAt(max(e.ValidUntil, s.knownAt+s.set.Dispatch.PollInterval))",
			},
		},
	},
	{
		Name: "asked-as-pushed", World: "asked", OnlyInWorld: true,
		About:    "a list is trusted for the drain grace after its watch is lost, past a short ask_within",
		Violates: "list-trusted",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "lost.Age = s.ageAt(e.ValidUntil)",
				New: "lost.Age = s.ageAt(max(e.ValidUntil, s.now+s.set.DrainGrace))",
			},
		},
	},
	{
		Name: "second-copy", World: "copies", OnlyInWorld: true,
		About:    "a second copy leaves while the first is out, where the settings allow copies",
		Violates: "one-attempt-outstanding",
		Patches: []Patch{
			{File: schedulerFile,
				Old: "\ts.set.Dispatch.HedgingAllowed = false\n",
				New: "",
			},
			{File: schedulerFile,
				Old: " || len(t.attempts) > 0 && !t.attempts[len(t.attempts)-1].ended {",
				New: " {",
			},
		},
	},
}
