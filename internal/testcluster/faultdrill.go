package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
)

// FaultDrill says how the drill of that name is run.
type FaultDrill struct {
	Program  string        // the scheduler's program
	Duration time.Duration // how long jobs are handed in
	Seed     uint64
	Rate     float64 // jobs a second
	// Slack is what a busy machine may add to the times of the rules; 0: 400 ms.
	Slack time.Duration
}

// Outcome is what a run showed.
type Outcome struct {
	Jobs, Served, Refused, Failed, Disconnected int
	Attempts, Started, Cancelled                int
	Crashes, Drains                             int
	Events                                      int
	Findings                                    []history.Finding
	Log                                         []string // of the scheduler
}

const (
	workers       = 4
	callbackGrace = 8 * time.Second // after the last job, for what is still to be called back
)

// RunFaultDrill hands jobs in to the real program, whose four workers in two racks do wrong
// whatever the protocol allows: they turn away, fail, break, fall silent, call back early,
// again and out of time, run on for ever, crash and drain. It checks what all saw.
func RunFaultDrill(ctx context.Context, a FaultDrill) (*Outcome, error) {
	var mu sync.Mutex
	var events []history.Event
	rec := fakes.Recorder(func(e history.Event) {
		mu.Lock()
		events = append(events, e)
		mu.Unlock()
	})
	if a.Slack == 0 {
		a.Slack = 400 * time.Millisecond
	}
	folder, err := os.MkdirTemp("", "attempts")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	rules := history.Rules{AtMostOnce: map[string]bool{"post-reading": true}, RackOf: map[string]string{},
		Window: 10 * time.Second, DrainGrace: 550 * time.Millisecond,
		MaxAttempts: 4, Slack: a.Slack, OrphanLimit: 3 * time.Second}
	var lines []fakes.Endpoint
	for i := range workers {
		line := fakes.Endpoint{UID: fmt.Sprintf("s-%08x", i+1), Cell: i / 2}
		lines = append(lines, line)
		rules.RackOf[line.UID] = strconv.Itoa(line.Cell)
	}
	p, err := startDeployment(a.Program, folder, "n0", lines,
		func(k int) func(fakes.Job) fakes.Script { return faultyScript(a.Seed, k) }, rec)
	if err != nil {
		return nil, err
	}
	defer p.close()
	out := &Outcome{}
	handing, cancel := context.WithTimeout(ctx, a.Duration)
	defer cancel()
	var troubles sync.WaitGroup
	troubles.Go(func() { injectFaults(handing, a.Seed, out, p, rec) })
	submitJobs(handing, a, p.Addr, rec)
	troubles.Wait()
	select {
	case <-ctx.Done():
	case <-time.After(callbackGrace):
	}
	if err := p.Stop(time.Now().Add(10 * time.Second)); err != nil {
		return nil, fmt.Errorf("the scheduler's end: %w", err)
	}
	mu.Lock()
	defer mu.Unlock()
	out.count(events)
	out.Findings, out.Log = history.Check(rules, events), p.Log()
	return out, nil
}

// submitJobs hands jobs in at an even pace, and waits for their ends.
func submitJobs(ctx context.Context, a FaultDrill, addr string, rec fakes.Recorder) {
	random := rand.New(rand.NewPCG(a.Seed, 1))
	tick := time.NewTicker(time.Duration(float64(time.Second) / a.Rate))
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := fakes.Submission{ID: fmt.Sprintf("%x-%x", a.Seed, n), Class: "post-reading", Tenant: "sahel",
			Body: fmt.Appendf(nil, "job %d", n), Deadline: time.Now().Add(2 * time.Second)}
		if random.IntN(2) == 0 {
			s.Class, s.Key, s.Deadline = "district-batch", "k-"+s.ID, time.Now().Add(4*time.Second)
		}
		if random.IntN(12) == 0 {
			s.DisconnectAt = time.Now().Add(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		open.Go(func() { fakes.Submit(addr, s, rec) })
	}
}

// faultyScript plans what a worker does with each job.
func faultyScript(seed uint64, worker int) func(fakes.Job) fakes.Script {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, uint64(100+worker)))
	ms := func(n int) time.Duration { return time.Duration(random.IntN(n)) * time.Millisecond }
	return func(fakes.Job) fakes.Script {
		mu.Lock()
		defer mu.Unlock()
		p := fakes.Script{AnswerDelay: ms(8), QueueTime: ms(10), RunTime: 10*time.Millisecond + ms(60)}
		switch random.IntN(40) {
		case 0, 1, 2:
			p.Status, p.TurnedAway = 503, true
		case 3:
			p.Status = 500
		case 4:
			p.ResetConn = true
		case 5:
			p.Unresponsive = true
		case 6, 7:
			p.FinalState = "failed"
		case 8, 9, 10:
			p.FinalState = "returned"
		case 11:
			p.FinalState = "lost"
		case 12:
			p.FinalState = "never"
		case 13:
			p.AnswerDelay = 300*time.Millisecond + ms(400)
		case 14, 15:
			p.RunTime = 500*time.Millisecond + ms(900)
		}
		p.EarlyCallbacks = random.IntN(4) == 0
		if random.IntN(4) == 0 {
			p.RepeatedCallbacks = 1 + random.IntN(9)
		}
		return p
	}
}

// Sleep waits, and tells whether it waited to the end: the context may end first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// injectFaults crashes workers, lets them drain, and breaks the watch, one after another.
func injectFaults(ctx context.Context, seed uint64, out *Outcome, at *deployment, rec fakes.Recorder) {
	random := rand.New(rand.NewPCG(seed, 2))
	rest := func(d time.Duration) bool { return Sleep(ctx, d) }
	for rest(400*time.Millisecond + time.Duration(random.IntN(600))*time.Millisecond) {
		i := random.IntN(len(at.workers))
		line := at.endpoints[i]
		switch random.IntN(4) {
		case 0:
			out.Crashes++
			at.workers[i].Crash()
			line.BootMs = time.Now().UnixMilli()
			at.endpoints[i] = line
			at.discovery.Update(line)
		case 1, 2:
			out.Drains++
			line.State = []string{"draining", "gone"}[random.IntN(2)]
			at.discovery.Update(line)
			rec(history.Event{At: time.Now(), Kind: history.EndpointChanged, Actor: line.UID})
			if !rest(1200 * time.Millisecond) {
				return
			}
			rec(history.Event{At: time.Now(), Kind: history.WorkerReady, Actor: line.UID})
			at.discovery.Update(at.endpoints[i])
		case 3:
			at.discovery.ResetWatches()
		}
	}
}

func (o *Outcome) count(events []history.Event) {
	o.Events = len(events)
	for _, e := range events {
		switch e.Kind {
		case history.Sent:
			o.Jobs++
		case history.ClientDisconnected:
			o.Disconnected++
		case history.Arrived:
			o.Attempts++
		case history.Started:
			o.Started++
		case history.CancelReceived:
			o.Cancelled++
		case history.Answered:
			switch e.Status {
			case 200:
				o.Served++
			case 503, 429:
				o.Refused++
			default:
				o.Failed++
			}
		}
	}
}
