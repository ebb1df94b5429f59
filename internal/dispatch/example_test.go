package dispatch_test

import (
	"fmt"

	"dahliaford/internal/dispatch"
)

// This example passes a worker list and a job to a dispatcher, and prints where the dispatcher sends the job.
func Example() {
	const second = 1_000_000
	d, err := dispatch.New(dispatch.Settings{
		Dispatchers: 1,
		Classes: []dispatch.Class{
			{LatencyObjective: second, Deadline: 5 * second, PriorityWeight: 1, Kind: -1},
		},
		MaxAttempts:   3,
		StartReported: true,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := dispatch.Micros(second) // the time by the caller's clock, in microseconds
	var actions []dispatch.Action  // the buffer for actions, which each call of Step reuses
	show := func(e dispatch.Event) {
		actions = d.Step(now, &e, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case dispatch.Send:
				fmt.Printf("send job %d to worker %d\n", a.Job, a.Worker)
			case dispatch.Refuse:
				fmt.Printf("refuse job %d\n", a.Job)
			case dispatch.SetTimer:
				// A real caller passes the event TimerFired with a.Token after a.Delay.
			}
		}
	}
	show(dispatch.Event{Kind: dispatch.Started})
	show(dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: dispatch.UpdateFull,
		Workers: []dispatch.WorkerEntry{{Worker: 7, Status: dispatch.Ready}}})
	show(dispatch.Event{Kind: dispatch.JobArrived, Job: 1, ClientTimeout: 5 * second, Slots: 1})
	now += second / 10
	show(dispatch.Event{Kind: dispatch.AttemptEnded, Job: 1, Worker: 7, Outcome: dispatch.OK, Final: true})
	// The client timeout of job 2 is 0: no time is left, so the dispatcher refuses the job at once.
	show(dispatch.Event{Kind: dispatch.JobArrived, Job: 2})
	// Output:
	// send job 1 to worker 7
	// refuse job 2
}
