package mutants

// dispatchMutants are the mutants of the decision module.
var dispatchMutants = []Fault{
	{
		Name: "post-repeated", World: "attempt",
		About: "a post-reading that may have run is sent again",
		Want: "runs-as-allowed" +
			" one-attempt-outstanding",
		File: module,
		Edits: []string{
			"c.Effect == Safe {",
			"c.Effect != Keyed {",
		},
	},
	{
		Name: "rack-forgotten", World: "keyed",
		About: "a keyed job that may have run goes to another rack",
		Want:  "runs-as-allowed",
		File:  module,
		Edits: []string{
			" || !sameGroup(c.DedupScope, &a.worker.entry, &w.entry) {",
			" {",
		},
	},
	{
		Name: "fifth-attempt", World: "turned",
		About: "a request gets more attempts than allowed",
		Want:  "attempts-capped",
		File:  module,
		Edits: []string{
			"|| len(j.attempts) >= d.set.MaxAttempts {\n" +
				"\t\treturn false",
			"|| len(j.attempts) > d.set.MaxAttempts {\n" +
				"\t\treturn false",
			"len(j.attempts) < d.set.MaxAttempts && d.anyAllowed(j)",
			"len(j.attempts) <= d.set.MaxAttempts && d.anyAllowed(j)",
		},
	},
	{
		Name: "cold-pushed", World: "cold",
		About: "a cold worker gets whatever comes",
		Want:  "cold-spared",
		File:  module,
		Edits: []string{
			"\treturn w.budget >= min(d.coldWork(j), most)",
			"\treturn most >= 0",
		},
	},
	{
		Name: "cancels-anyway", World: "forbidden", Only: true,
		About: "an attempt is cancelled where that is forbidden",
		Want:  "cancels-as-allowed",
		File:  module,
		Edits: []string{
			"\tif d.set.CancelAllowed && !j.streaming {",
			"\tif !j.streaming {",
		},
	},
	{
		Name: "third-attempt", World: "two", Only: true,
		About: "a request gets four attempts where the settings allow two",
		Want:  "attempts-capped",
		File:  module,
		Edits: []string{
			"|| len(j.attempts) >= d.set.MaxAttempts {\n" +
				"\t\treturn false",
			"|| len(j.attempts) >= max(d.set.MaxAttempts, 4) {\n" +
				"\t\treturn false",
			"len(j.attempts) < d.set.MaxAttempts && d.anyAllowed(j)",
			"len(j.attempts) < max(d.set.MaxAttempts, 4) && d.anyAllowed(j)",
		},
	},
	{
		Name: "dishonest", World: "attempt",
		About: "what may have run is refused",
		Want:  "honest-answers",
		File:  module,
		Edits: []string{
			"if refuse && d.mayRefuse(j) {",
			"if refuse {",
		},
	},
}
