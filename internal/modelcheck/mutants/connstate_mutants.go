package mutants

// connstateMutants are the mutants of the connection state machine.
var connstateMutants = []Fault{
	{
		Name: "reset-never-ran", World: "attempt",
		About: "a connection that breaks after the last byte counts as one that never connected",
		Want: "runs-as-allowed" +
			" honest-answers" +
			" one-attempt-outstanding" +
			" called-back",
		File: connection,
		Edits: []string{
			"\tcase c.Written:\n" +
				"\t\treturn c.end(dispatch.Reset, false)",
			"\tcase c.Written:\n" +
				"\t\treturn c.end(dispatch.ConnectFailed, false)",
		},
	},
	{
		Name: "error-never-ran", World: "attempt",
		About: "a worker's 500 counts as turned away",
		Want: "runs-as-allowed" +
			" honest-answers",
		File: connection,
		Edits: []string{
			"scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.Failed,",
			"scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.AtCapacity,",
		},
	},
	{
		Name: "broken-delete-heard", World: "attempt",
		About: "a cancellation whose connection breaks counts as acknowledged",
		Want: "called-back" +
			" one-attempt-outstanding",
		File: connection,
		Edits: []string{
			"scheduler.CancellationResult{Attempt: c.Attempt, Acknowledged: processExited}",
			"scheduler.CancellationResult{Attempt: c.Attempt, Acknowledged: true}",
		},
	},
}
