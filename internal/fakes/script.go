package fakes

import "time"

// JobState is the state of a job that a callback reports.
type JobState string

// The states that a callback can report, and NeverEnds. A callback never reports NeverEnds: as the FinalState
// of a Script it makes the job run until the job is cancelled.
const (
	Started   JobState = "started"
	Done      JobState = "done"
	Failed    JobState = "failed"
	Returned  JobState = "returned" // the worker gives the job back without having started it
	Lost      JobState = "lost"     // reported by the machine's agent after the worker process has died
	NeverEnds JobState = "never"
)

// Script says how a worker handles one job. With the zero Script the worker accepts the job, runs it in no
// time and reports it as done.
type Script struct {
	Status            int           // HTTP status of the answer; 0 stands for 202
	TurnedAway        bool          // the answer (status 503 or 504) says that the job was not begun
	ResetConn         bool          // the worker resets the connection instead of answering
	Unresponsive      bool          // the worker sends neither an answer nor callbacks
	AnswerDelay       time.Duration // time from the request to its answer
	QueueTime         time.Duration // time from the acceptance of the job to its start
	RunTime           time.Duration // time from the start of the job to its end
	FinalState        JobState      // state in the last callback; "" stands for Done, NeverEnds for no callback
	EarlyCallbacks    bool          // the worker may send callbacks before its 202
	RepeatedCallbacks int           // number of repetitions of each callback after the scheduler has accepted it
	Result            string        // result in a callback with Done; "" stands for the job's body in capitals
}
