package mutants

// connstateMutants are the mutants (deliberate faults) of the connection state machine.
var connstateMutants = []Mutant{
	{
		Name: "reset-never-ran", World: "attempt",
		About: "a connection that breaks after the last byte counts as never established, so its job is repeated",
		Violates: "runs-as-allowed" +
			" honest-answers" +
			" one-attempt-outstanding" +
			" called-back",
		Patches: []Patch{
			{File: connStateFile,
				Old: "\tcase c.Written:\n" +
					"\t\treturn c.end(dispatch.Reset, false)",
				New: "\tcase c.Written:\n" +
					"\t\treturn c.end(dispatch.ConnectFailed, false)",
			},
		},
	},
	{
		Name: "error-never-ran", World: "attempt",
		About: "a worker's 500 counts as a rejection at capacity, so a job that may have run is repeated",
		Violates: "runs-as-allowed" +
			" honest-answers",
		Patches: []Patch{
			{File: connStateFile,
				Old: "scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.Failed,",
				New: "scheduler.AttemptEnded{Attempt: c.Attempt, Outcome: dispatch.AtCapacity,",
			},
		},
	},
	{
		Name: "broken-delete-heard", World: "attempt",
		About: "a cancellation whose connection breaks counts as acknowledged; the worker may keep the job",
		Violates: "called-back" +
			" one-attempt-outstanding",
		Patches: []Patch{
			{File: connStateFile,
				Old: "scheduler.CancellationResult{Attempt: c.Attempt, Acknowledged: processExited}",
				New: "scheduler.CancellationResult{Attempt: c.Attempt, Acknowledged: true}",
			},
		},
	},
}
