package dahliaford_test

import (
	"fmt"

	"dahliaford"
)

// A dispatcher is told of a worker and of a job, and says where the job goes.
func Example() {
	const second = 1_000_000
	d, err := dahliaford.New(dahliaford.Settings{
		Balancers:   1,
		Classes:     []dahliaford.Class{{Aim: second, Deadline: 5 * second, Worth: 1, Kind: -1}},
		MaxAttempts: 3,
		TellsStart:  true,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := dahliaford.Micros(second) // your clock, in microseconds
	var actions []dahliaford.Action  // reuse it from call to call
	show := func(e dahliaford.Event) {
		actions = d.Step(now, &e, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case dahliaford.Send:
				fmt.Printf("send job %d to worker %d\n", a.Job, a.Worker)
			case dahliaford.Refuse:
				fmt.Printf("refuse job %d\n", a.Job)
			case dahliaford.SetTimer:
				// After a.Wait, pass an event TimerRang with a.Token.
			}
		}
	}
	show(dahliaford.Event{Kind: dahliaford.Began})
	show(dahliaford.Event{Kind: dahliaford.ListChanged, Scope: dahliaford.ListFull,
		Workers: []dahliaford.WorkerEntry{{Worker: 7, Status: dahliaford.Ready}}})
	show(dahliaford.Event{Kind: dahliaford.JobArrived, Job: 1, Patience: 5 * second, Slots: 1})
	now += second / 10
	show(dahliaford.Event{Kind: dahliaford.AttemptEnded, Job: 1, Worker: 7, Outcome: dahliaford.OK, Final: true})
	show(dahliaford.Event{Kind: dahliaford.JobArrived, Job: 2}) // its client has no time left
	// Output:
	// send job 1 to worker 7
	// refuse job 2
}
