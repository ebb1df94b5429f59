package mutants

// connstateMutants are the mutants of the connection state machine.
var connstateMutants = []Mutant{
	{
		Name: "reset-never-ran", World: "attempt",
		About: "a connection that broke after the last byte counts as one that never came up",
		Violates: "runs-as-allowed" +
			" honest-answers" +
			" one-attempt-outstanding" +
			" called-back",
		Patches: []Patch{
			{File: connStateFile,
				Old: "\tcase l.Written:\n" +
					"\t\treturn l.lose(dispatch.Reset, false)",
				New: "\tcase l.Written:\n" +
					"\t\treturn l.lose(dispatch.ConnectFailed, false)",
			},
		},
	},
	{
		Name: "error-never-ran", World: "attempt",
		About: "a worker's 500 counts as turned away",
		Violates: "runs-as-allowed" +
			" honest-answers",
		Patches: []Patch{
			{File: connStateFile,
				Old: "scheduler.AttemptEnded{Attempt: l.Attempt, Outcome: dispatch.Failed,",
				New: "scheduler.AttemptEnded{Attempt: l.Attempt, Outcome: dispatch.AtCapacity,",
			},
		},
	},
	{
		Name: "broken-delete-heard", World: "attempt",
		About: "a withdrawal that breaks off counts as heard",
		Violates: "called-back" +
			" one-attempt-outstanding",
		Patches: []Patch{
			{File: connStateFile,
				Old: "scheduler.CancellationResult{Attempt: l.Attempt, Acknowledged: gone}",
				New: "scheduler.CancellationResult{Attempt: l.Attempt, Acknowledged: true}",
			},
		},
	},
}
