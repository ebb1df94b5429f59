package mutants

// connstateMutants are the mutants of the connection state machine.
var connstateMutants = []Fault{
	{
		Name: "reset-never-ran", World: "attempt",
		About: "a connection that broke after the last byte counts as one that never came up",
		Want: "runs-as-allowed" +
			" honest-answers" +
			" one-attempt-outstanding" +
			" called-back",
		File: links,
		Edits: []string{
			"\tcase l.Written:\n" +
				"\t\treturn l.lose(dispatch.Reset, false)",
			"\tcase l.Written:\n" +
				"\t\treturn l.lose(dispatch.ConnectFailed, false)",
		},
	},
	{
		Name: "error-never-ran", World: "attempt",
		About: "a worker's 500 counts as turned away",
		Want: "runs-as-allowed" +
			" honest-answers",
		File: links,
		Edits: []string{
			"scheduler.AttemptEnded{Attempt: l.Attempt, Outcome: dispatch.Failed,",
			"scheduler.AttemptEnded{Attempt: l.Attempt, Outcome: dispatch.AtCapacity,",
		},
	},
	{
		Name: "broken-delete-heard", World: "attempt",
		About: "a withdrawal that breaks off counts as heard",
		Want: "called-back" +
			" one-attempt-outstanding",
		File: links,
		Edits: []string{
			"scheduler.CancellationResult{Attempt: l.Attempt, Acknowledged: gone}",
			"scheduler.CancellationResult{Attempt: l.Attempt, Acknowledged: true}",
		},
	},
}
