package mutants

// dispatchMutants are the mutants of the decision module.
var dispatchMutants = []Mutant{
	{
		Name: "post-repeated", World: "attempt",
		About: "a post-reading that may have run is sent again",
		Violates: "runs-as-allowed" +
			" one-attempt-outstanding",
		Patches: []Patch{
			{File: dispatcherFile,
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
			{File: dispatcherFile,
				Old: " || !sameGroup(c.DedupScope, &a.worker.entry, &w.entry) {",
				New: " {",
			},
		},
	},
	{
		Name: "fifth-attempt", World: "turned",
		About:    "a request gets more attempts than allowed",
		Violates: "attempts-capped",
		Patches: []Patch{
			{File: dispatcherFile,
				Old: "|| len(j.attempts) >= d.set.MaxAttempts {\n" +
					"\t\treturn false",
				New: "|| len(j.attempts) > d.set.MaxAttempts {\n" +
					"\t\treturn false",
			},
			{File: dispatcherFile,
				Old: "len(j.attempts) < d.set.MaxAttempts && d.anyAllowed(j)",
				New: "len(j.attempts) <= d.set.MaxAttempts && d.anyAllowed(j)",
			},
		},
	},
	{
		Name: "cold-pushed", World: "cold",
		About:    "a cold worker gets whatever comes",
		Violates: "cold-spared",
		Patches: []Patch{
			{File: dispatcherFile,
				Old: "\treturn w.budget >= min(d.coldWork(j), most)",
				New: "\treturn most >= 0",
			},
		},
	},
	{
		Name: "cancels-anyway", World: "forbidden", OnlyInWorld: true,
		About:    "an attempt is cancelled where that is forbidden",
		Violates: "cancels-as-allowed",
		Patches: []Patch{
			{File: dispatcherFile,
				Old: "\tif d.set.CancelAllowed && !j.streaming {",
				New: "\tif !j.streaming {",
			},
		},
	},
	{
		Name: "third-attempt", World: "two", OnlyInWorld: true,
		About:    "a request gets four attempts where the settings allow two",
		Violates: "attempts-capped",
		Patches: []Patch{
			{File: dispatcherFile,
				Old: "|| len(j.attempts) >= d.set.MaxAttempts {\n" +
					"\t\treturn false",
				New: "|| len(j.attempts) >= max(d.set.MaxAttempts, 4) {\n" +
					"\t\treturn false",
			},
			{File: dispatcherFile,
				Old: "len(j.attempts) < d.set.MaxAttempts && d.anyAllowed(j)",
				New: "len(j.attempts) < max(d.set.MaxAttempts, 4) && d.anyAllowed(j)",
			},
		},
	},
	{
		Name: "dishonest", World: "attempt",
		About:    "what may have run is refused",
		Violates: "honest-answers",
		Patches: []Patch{
			{File: dispatcherFile,
				Old: "if refuse && d.mayRefuse(j) {",
				New: "if refuse {",
			},
		},
	},
}
