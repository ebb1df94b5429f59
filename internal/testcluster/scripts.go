package testcluster

import (
	"math/rand/v2"
	"sync"
	"time"

	"dahliaford/internal/fakes"
)

// scriptFor returns the script by which a worker handles a job.
type scriptFor func(fakes.Job) fakes.Script

// workerStream is the random number stream of worker 0; worker i has stream workerStream+i. The streams keep
// the random numbers of workers independent of other generators with the same seed.
const workerStream = 100

// healthyScript returns the scripts of a worker that runs every job, for 10 to 69 ms; one job in twenty runs
// for 200 to 599 ms more.
func healthyScript(seed uint64, worker int) scriptFor {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, uint64(workerStream+worker)))
	return func(fakes.Job) fakes.Script {
		mu.Lock()
		defer mu.Unlock()
		s := fakes.Script{RunTime: time.Duration(10+random.IntN(60)) * time.Millisecond}
		if random.IntN(20) == 0 {
			s.RunTime += time.Duration(200+random.IntN(400)) * time.Millisecond
		}
		return s
	}
}

// faultyScript returns the scripts of a worker that shows every fault that the protocol allows: it rejects
// jobs, fails them, resets connections, does not answer, sends callbacks before the 202 or repeatedly, and
// never finishes some jobs.
func faultyScript(seed uint64, worker int) scriptFor {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, uint64(workerStream+worker)))
	ms := func(n int) time.Duration { return time.Duration(random.IntN(n)) * time.Millisecond }
	return func(fakes.Job) fakes.Script {
		mu.Lock()
		defer mu.Unlock()
		s := fakes.Script{AnswerDelay: ms(8), QueueTime: ms(10), RunTime: 10*time.Millisecond + ms(60)}
		switch random.IntN(40) {
		case 0, 1, 2:
			s.Status, s.TurnedAway = 503, true
		case 3:
			s.Status = 500
		case 4:
			s.ResetConn = true
		case 5:
			s.Unresponsive = true
		case 6, 7:
			s.FinalState = fakes.Failed
		case 8, 9, 10:
			s.FinalState = fakes.Returned
		case 11:
			s.FinalState = fakes.Lost
		case 12:
			s.FinalState = fakes.NeverEnds
		case 13:
			s.AnswerDelay = 300*time.Millisecond + ms(400)
		case 14, 15:
			s.RunTime = 500*time.Millisecond + ms(900)
		}
		s.EarlyCallbacks = random.IntN(4) == 0
		if random.IntN(4) == 0 {
			s.RepeatedCallbacks = 1 + random.IntN(9)
		}
		return s
	}
}
