package mutants

// schedulerMutants are the mutants of the reducer.
var schedulerMutants = []Fault{
	{
		Name: "earlier-callback", World: "keyed",
		About: "a callback of an earlier attempt is taken for the present one",
		Want: "honest-answers" +
			" one-attempt-outstanding" +
			" runs-as-allowed" +
			" called-back",
		File: reducer,
		Edits: []string{
			"if k.ended || k.worker.UID != e.From {",
			"if k.ended {",
		},
	},
	{
		Name: "returned-is-full", World: "attempt",
		About: "a job handed back may go to the same worker, which may say so again",
		Want: "honest-answers" +
			" one-attempt-outstanding" +
			" runs-as-allowed" +
			" called-back",
		File: reducer,
		Edits: []string{
			"s.endTold(k, dispatch.HandedBack, e.Report)",
			"s.endTold(k, dispatch.AtCapacity, e.Report)",
		},
	},
	{
		Name: "no-call-back", World: "attempt",
		About: "a give-up is not sent",
		Want:  "called-back",
		File:  reducer,
		Edits: []string{
			"\t\ts.emit(CloseConnection{Attempt: k.number})\n" +
				"\t}\n" +
				"\ts.recall(k)\n",
			"\t\ts.emit(CloseConnection{Attempt: k.number})\n" +
				"\t}\n",
		},
	},
	{
		Name: "one-try", World: "attempt",
		About: "a give-up that does not get through is not sent again",
		Want:  "called-back",
		File:  reducer,
		Edits: []string{
			"if s.now+wait >= c.until {",
			"if true {",
		},
	},
	{
		Name: "id-forgotten", World: "link",
		About: "an id is forgotten too early",
		Want: "one-attempt-outstanding" +
			" runs-as-allowed" +
			" attempts-capped" +
			" honest-answers",
		File: reducer,
		Edits: []string{
			"\t\ts.used.add(e.ID)\n",
			"",
		},
	},
	{
		Name: "two-answers", World: "attempt",
		About: "a served answer is not marked as given",
		Want:  "one-final-answer",
		File:  reducer,
		Edits: []string{
			"\t\ts.answer(t, Answer{Verdict: Served, Body: e.Result})\n" +
				"\t\ts.endTold(",
			"\t\ts.emit(Answer{Caller: t.caller, Verdict: Served, Body: e.Result})\n" +
				"\t\ts.endTold(",
		},
	},
	{
		Name: "no-waiting", World: "keyed",
		About: "a repeat does not wait until the first copy is called back",
		Want:  "one-attempt-outstanding",
		File:  reducer,
		Edits: []string{
			"\tif s.recalling(t) {\n" +
				"\t\t// A worker",
			"\tif false {\n" +
				"\t\t// A worker",
		},
	},
	{
		Name: "drain-overlooked", World: "drains",
		About: "a worker that drains counts as ready",
		Want:  "drains-kept",
		File:  reducer,
		Edits: []string{
			"Kind: s.kinds.of(r.Kind), Status: r.Status,",
			"Kind: s.kinds.of(r.Kind), Status: max(r.Status, 1) % 2 * r.Status + r.Status / 2,",
		},
	},
	{
		Name: "early-exit", World: "crash",
		About: "a stopping scheduler ends while somebody waits",
		Want:  "one-final-answer",
		File:  reducer,
		Edits: []string{
			"if len(s.byCaller) == 0 && (",
			"if (",
		},
	},
	{
		Name: "attempt-kept", World: "attempt",
		About: "an attempt that ended stays in the books",
		Want: "nothing-leaks" +
			" one-final-answer" +
			" called-back" +
			" honest-answers",
		File: reducer,
		Edits: []string{
			"\tdelete(s.byAttempt, k.number)\n",
			"",
		},
	},
	{
		Name: "silent-recovery", World: "crash",
		About: "a panic leaves callers without an answer",
		Want: "one-final-answer" +
			" ends",
		File: reducer,
		Edits: []string{
			"\t\ts.answer(t, Answer{Verdict: Failed})\n" +
				"\t}\n" +
				"\tfor _, k",
			"\t\ts.settle(t)\n" +
				"\t}\n" +
				"\tfor _, k",
		},
	},
	{
		Name: "recovery-forgets", World: "crash",
		About: "a panic leaves jobs at workers that nobody calls back",
		Want:  "called-back",
		File:  reducer,
		Edits: []string{
			"\t\ts.callBack(k)\n" +
				"\t\ts.forget(k)\n",
			"\t\ts.forget(k)\n",
		},
	},
	{
		Name: "ended-after-202", World: "late",
		About: "an end of a connection after the 202 is taken for a reset",
		Want: "honest-answers" +
			" one-attempt-outstanding" +
			" one-final-answer" +
			" runs-as-allowed" +
			" nothing-leaks" +
			" called-back",
		File: reducer,
		Edits: []string{
			"if k := s.byAttempt[e.Attempt]; k != nil && !k.accepted {\n" +
				"\t\t\tif e.Outcome == dispatch.Reset {",
			"if k := s.byAttempt[e.Attempt]; k != nil {\n" +
				"\t\t\tif e.Outcome == dispatch.Reset && !k.accepted {",
		},
		And: &Fault{File: connection, Edits: []string{
			"\tc.Busy = false\n" +
				"\tnext := Idle",
			"\tc.Busy = a.Status == 202\n" +
				"\tnext := Idle",
		}},
	},
	{
		Name: "time-out-untold", World: "forbidden", Only: true,
		About: "an attempt that timed out is not called back where cancelling is forbidden",
		Want:  "called-back",
		File:  reducer,
		Edits: []string{
			"\t\t\t\ts.callBack(k)\n" +
				"\t\t\t\ts.end(k, dispatch.TimedOut",
			"\t\t\t\tif s.set.Dispatch.CancelAllowed {\n" +
				"\t\t\t\t\ts.callBack(k)\n" +
				"\t\t\t\t}\n" +
				"\t\t\t\ts.end(k, dispatch.TimedOut",
		},
	},
	{
		Name: "sent-for-nobody", World: "leaves", Only: true,
		About: "an attempt leaves though its client left before, where cancelling is forbidden",
		Want:  "leavers-spared",
		File:  reducer,
		Edits: []string{
			"\t\ts.emit(CancelUnsent{Attempt: t.attempts[n-1].number})",
			"\t\t_ = n",
		},
	},
	{
		Name: "pushed-as-asked", World: "pushed", Only: true,
		About: "a pushed list is trusted without a watch as long as one that is asked for",
		Want:  "list-trusted",
		File:  reducer,
		Edits: []string{
			"lost.Age = s.ageAt(e.ValidUntil)",
			"lost.Age = s.ageAt(max(e.ValidUntil, s.knownAt+s.set.Dispatch.PollInterval))",
		},
	},
	{
		Name: "asked-as-pushed", World: "asked", Only: true,
		About: "a list is trusted for the drain grace after its watch is lost, past a short ask_within",
		Want:  "list-trusted",
		File:  reducer,
		Edits: []string{
			"lost.Age = s.ageAt(e.ValidUntil)",
			"lost.Age = s.ageAt(max(e.ValidUntil, s.now+s.set.DrainGrace))",
		},
	},
	{
		Name: "second-copy", World: "copies", Only: true,
		About: "a second copy leaves while the first is out, where the settings allow copies",
		Want:  "one-attempt-outstanding",
		File:  reducer,
		Edits: []string{
			"\ts.set.Dispatch.HedgingAllowed = false\n",
			"",
			" || len(t.attempts) > 0 && !t.attempts[len(t.attempts)-1].ended {",
			" {",
		},
	},
}
