package fakes

import "time"

// JobState is the state of a job in a callback.
type JobState string

// The states of callbacks, and NeverEnds for a job that runs on without an end.
const (
	Started   JobState = "started"
	Done      JobState = "done"
	Failed    JobState = "failed"
	Returned  JobState = "returned" // it goes back without having started
	Lost      JobState = "lost"     // reported by the machine's agent when its worker died
	NeverEnds JobState = "never"
)

// Script is what a worker does with one job. The zero Script accepts it, runs it at once and is done.
type Script struct {
	Status            int           // of the answer; 0: 202
	TurnedAway        bool          // with a status of 503 or 504: the job has not begun
	ResetConn         bool          // a reset of the connection instead of an answer
	Unresponsive      bool          // neither an answer nor anything else
	AnswerDelay       time.Duration // before the answer
	QueueTime         time.Duration // from the acceptance to the start
	RunTime           time.Duration // from the start to the end
	FinalState        JobState      // of the callback at its end; "": Done; NeverEnds: there is none
	EarlyCallbacks    bool          // callbacks may come before the 202
	RepeatedCallbacks int           // how often each callback is repeated after it was accepted
	Result            string        // with Done; "": the body in capitals
}
