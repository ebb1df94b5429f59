package mutants

// The files of the decision module that have mutants.
const (
	rulesFile     = "internal/dispatch/rules.go"
	retryFile     = "internal/dispatch/retry.go"
	slowStartFile = "internal/dispatch/slowstart.go"
)

// dispatchMutants are the mutants of the decision module.
var dispatchMutants = []Mutant{
	{
		Name: "post-repeated", World: "attempt",
		About: "a post-reading that may have run is sent again",
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
		About:    "a keyed job that may have run goes to another rack",
		Violates: "runs-as-allowed",
		Patches: []Patch{
			{File: rulesFile,
				Old: " || !sameDedupGroup(c.DedupScope, &a.worker.entry, &w.entry) {",
				New: " {",
			},
			{File: "internal/dispatch/candidates.go", // which restricts the choice to the rack before
				Old: "\tif a == nil || c.DedupScope == ScopeAll {",
				New: "\tif c.DedupScope == ScopeCell || a == nil || c.DedupScope == ScopeAll {",
			},
		},
	},
	{
		Name: "fifth-attempt", World: "turned",
		About:    "a request gets more attempts than allowed",
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
		About:    "a worker in slow start gets whatever comes",
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
		About:    "an attempt is cancelled where that is forbidden",
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
		About:    "what may have run is refused",
		Violates: "honest-answers",
		Patches: []Patch{
			{File: rulesFile,
				Old: "if d.refusalAllowed(j) {",
				New: "if true {",
			},
		},
	},
}
