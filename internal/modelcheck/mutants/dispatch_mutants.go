package mutants

// The files of the decision module that several patches change.
const (
	rulesFile     = "internal/dispatch/rules.go"
	retryFile     = "internal/dispatch/retry.go"
	slowStartFile = "internal/dispatch/slowstart.go"
)

// dispatchMutants are the mutants (deliberate faults) of the decision module.
var dispatchMutants = []Mutant{
	{
		Name: "post-repeated", World: "attempt",
		About: "a post-reading that may have run is sent again, against the repetition rule",
		Violates: "runs-as-allowed" +
			" one-attempt-outstanding",
		Patches: []Patch{
			{File: rulesFile,
				Old: "c.Effect == Safe {",
				New: "c.Effect != Keyed {",
			},
		},
	},
	{
		Name: "rack-forgotten", World: "keyed",
		About:    "a district-batch that may have run is repeated in another rack, against the repetition rule",
		Violates: "runs-as-allowed",
		Patches: []Patch{
			{File: rulesFile,
				Old: " || !sameDedupGroup(c.DedupScope, &a.worker.entry, &w.entry) {",
				New: " {",
			},
			// Both files keep a repetition in the rack, so a change of one file alone would have no effect.
			{File: "internal/dispatch/candidates.go",
				Old: "\tif a == nil || c.DedupScope == ScopeAll {",
				New: "\tif c.DedupScope == ScopeCell || a == nil || c.DedupScope == ScopeAll {",
			},
		},
	},
	{
		Name: "fifth-attempt", World: "turned",
		About:    "a request gets one attempt more than the settings allow",
		Violates: "attempts-capped",
		Patches: []Patch{
			{File: rulesFile,
				Old: "len(j.attempts) >= d.settings.MaxAttempts {\n" +
					"\t\treturn false",
				New: "len(j.attempts) > d.settings.MaxAttempts {\n" +
					"\t\treturn false",
			},
			{File: retryFile,
				Old: "len(j.attempts) < d.settings.MaxAttempts && d.anyWorkerAllowed(j)",
				New: "len(j.attempts) <= d.settings.MaxAttempts && d.anyWorkerAllowed(j)",
			},
		},
	},
	{
		Name: "cold-pushed", World: "cold",
		About:    "a worker in slow start is sent more jobs than its budget, against the slow-start rule",
		Violates: "cold-spared",
		Patches: []Patch{
			{File: slowStartFile,
				Old: "\treturn w.slowStartBudget >= min(d.slowStartCost(j), limit)",
				New: "\treturn limit >= 0",
			},
		},
	},
	{
		Name: "cancels-anyway", World: "forbidden", OnlyInWorld: true,
		About:    "the dispatcher cancels attempts of answered jobs where the settings forbid it",
		Violates: "cancels-as-allowed",
		Patches: []Patch{
			{File: rulesFile,
				Old: "\tif d.settings.CancelAllowed && !j.streaming {",
				New: "\tif !j.streaming {",
			},
		},
	},
	{
		Name: "third-attempt", World: "two", OnlyInWorld: true,
		About:    "a request gets four attempts where the settings allow two",
		Violates: "attempts-capped",
		Patches: []Patch{
			{File: rulesFile,
				Old: "len(j.attempts) >= d.settings.MaxAttempts {\n" +
					"\t\treturn false",
				New: "len(j.attempts) >= max(d.settings.MaxAttempts, 4) {\n" +
					"\t\treturn false",
			},
			{File: retryFile,
				Old: "len(j.attempts) < d.settings.MaxAttempts && d.anyWorkerAllowed(j)",
				New: "len(j.attempts) < max(d.settings.MaxAttempts, 4) && d.anyWorkerAllowed(j)",
			},
		},
	},
	{
		Name: "dishonest", World: "attempt",
		About:    "a job that may have run is refused, so the client may retry it",
		Violates: "honest-answers",
		Patches: []Patch{
			{File: rulesFile,
				Old: "if d.refusalAllowed(j) {",
				New: "if true {",
			},
		},
	},
}
