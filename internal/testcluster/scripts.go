package testcluster

import (
	"math/rand/v2"
	"sync"
	"time"

	"dahliaford/internal/fakes"
)

// scriptFor says what a worker does with each job.
type scriptFor func(fakes.Job) fakes.Script

// workerStream separates the random numbers of workers from others with the same seed.
const workerStream = 100

// healthyScript is for a worker that runs all jobs: a few hundredths of a second, and now and then far
// longer.
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

// faultyScript is for a worker that misbehaves in every way that the protocol allows: it turns jobs away,
// fails, resets connections, does not answer, calls back early and more than once, and runs on for ever.
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
