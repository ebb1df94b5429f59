package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
)

const (
	drillWorkers   = 4
	workersPerCell = 2
	// callbackGrace is the time after the last job for the callbacks that are still to come.
	callbackGrace = 8 * time.Second
	stopTimeout   = 10 * time.Second
	defaultSlack  = 400 * time.Millisecond
	drainTime     = 1200 * time.Millisecond // of a worker, until it is ready again

	// The deadlines of jobs, which their classes have in the settings, too.
	postReadingDeadline = 2 * time.Second
	batchDeadline       = 4 * time.Second

	// The streams of random numbers of a seed, beside workerStream.
	jobStream   = 1
	faultStream = 2
)

// FaultDrill configures RunFaultDrill.
type FaultDrill struct {
	Program  string        // path of the scheduler's program
	Duration time.Duration // for which jobs are submitted
	Seed     uint64
	Rate     float64 // jobs a second
	// Slack is what a busy machine may add to the times of the rules; 0: 400 ms.
	Slack time.Duration
}

// Outcome is the result of a drill.
type Outcome struct {
	Jobs, Served, Refused, Failed int
	Disconnected                  int // jobs whose client did not wait for the answer
	Attempts                      int // jobs that came to a worker
	Started                       int // attempts that a worker started
	Cancelled                     int // cancellations that came to a worker
	Crashes, Drains               int // of workers
	Events                        int // that were checked
	Findings                      []history.Finding
	Log                           []string // of the scheduler
}

// RunFaultDrill submits jobs to the real program, whose four workers in two cells misbehave in every way
// that the protocol allows: see faultyScript; they crash and drain, too. It checks what clients and workers
// saw against the rules.
func RunFaultDrill(ctx context.Context, drill FaultDrill) (*Outcome, error) {
	if drill.Slack == 0 {
		drill.Slack = defaultSlack
	}
	var mu sync.Mutex
	var events []history.Event
	recorder := fakes.Recorder(func(e history.Event) {
		mu.Lock()
		defer mu.Unlock()
		events = append(events, e)
	})
	folder, err := os.MkdirTemp("", "attempts")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder that stays does no harm
	workers := drillEndpoints()
	d, err := startDeployment(deploymentOptions{program: drill.Program, folder: folder, name: "n0",
		endpoints: workers, recorder: recorder,
		script: func(worker int) scriptFor { return faultyScript(drill.Seed, worker) }})
	if err != nil {
		return nil, err
	}
	defer d.close()
	out := &Outcome{}
	submitting, cancel := context.WithTimeout(ctx, drill.Duration)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { d.injectFaults(submitting, drill.Seed, out, recorder) })
	drill.submitJobs(submitting, d.Addr, recorder)
	faults.Wait()
	Sleep(ctx, callbackGrace)
	if err := d.Stop(time.Now().Add(stopTimeout)); err != nil {
		return nil, fmt.Errorf("the scheduler's end: %w", err)
	}
	mu.Lock()
	defer mu.Unlock()
	out.count(events)
	out.Findings, out.Log = history.Check(drill.rules(workers), events), d.Log()
	return out, nil
}

// drillEndpoints are the workers of a drill, two to a cell.
func drillEndpoints() (workers []endpoints.Endpoint) {
	for i := range drillWorkers {
		workers = append(workers, endpoints.Endpoint{UID: fmt.Sprintf("s-%08x", i+1), Cell: i / workersPerCell})
	}
	return workers
}

// rules are what the settings promise.
func (drill *FaultDrill) rules(workers []endpoints.Endpoint) history.Rules {
	rules := history.Rules{AtMostOnce: map[string]bool{postReading: true}, RackOf: map[string]string{},
		Window:      10 * time.Second,
		DrainGrace:  550 * time.Millisecond, // 500 ms, and what a machine needs to act on them
		MaxAttempts: 4, Slack: drill.Slack, OrphanLimit: 3 * time.Second}
	for _, w := range workers {
		rules.RackOf[w.UID] = strconv.Itoa(w.Cell)
	}
	return rules
}

// submitJobs submits jobs at an even pace until the context ends, and waits for them to end. Half are
// post-readings; of one in twelve the client disconnects early.
func (drill *FaultDrill) submitJobs(ctx context.Context, addr string, recorder fakes.Recorder) {
	random := rand.New(rand.NewPCG(drill.Seed, jobStream))
	tick := time.NewTicker(time.Duration(float64(time.Second) / drill.Rate))
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := fakes.Submission{ID: fmt.Sprintf("%x-%x", drill.Seed, n), Class: postReading, Tenant: tenant,
			Body: fmt.Appendf(nil, "job %d", n), Deadline: time.Now().Add(postReadingDeadline)}
		if random.IntN(2) == 0 {
			s.Class, s.Key, s.Deadline = batch, "k-"+s.ID, time.Now().Add(batchDeadline)
		}
		if random.IntN(12) == 0 {
			s.DisconnectAt = time.Now().Add(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		open.Go(func() {
			_, _ = fakes.Submit(addr, s, recorder) // the recorder has what came of it
		})
	}
}

// injectFaults crashes workers, lets them drain, and resets the watch, one fault after another.
func (d *deployment) injectFaults(ctx context.Context, seed uint64, out *Outcome, recorder fakes.Recorder) {
	random := rand.New(rand.NewPCG(seed, faultStream))
	pause := func() time.Duration {
		return 400*time.Millisecond + time.Duration(random.IntN(600))*time.Millisecond
	}
	for Sleep(ctx, pause()) {
		worker := random.IntN(len(d.workers))
		switch random.IntN(4) {
		case 0:
			out.Crashes++
			d.crashWorker(worker)
		case 1, 2:
			out.Drains++
			state := []endpoints.State{endpoints.Draining, endpoints.Removed}[random.IntN(2)]
			if !d.drainWorker(ctx, worker, state, recorder) {
				return
			}
		case 3:
			d.discovery.ResetWatches()
		}
	}
}

// crashWorker crashes a worker and lists it as just started.
func (d *deployment) crashWorker(i int) {
	d.workers[i].Crash()
	d.endpoints[i].BootMs = time.Now().UnixMilli()
	d.discovery.Update(d.endpoints[i])
}

// drainWorker lists a worker as draining or removed for a while. It reports false if the context ended
// before that.
func (d *deployment) drainWorker(ctx context.Context, i int, state endpoints.State,
	recorder fakes.Recorder) bool {
	entry := d.endpoints[i]
	entry.State = state
	d.discovery.Update(entry)
	recorder(history.Event{At: time.Now(), Kind: history.EndpointChanged, Actor: entry.UID})
	if !Sleep(ctx, drainTime) {
		return false
	}
	recorder(history.Event{At: time.Now(), Kind: history.WorkerReady, Actor: entry.UID})
	d.discovery.Update(d.endpoints[i])
	return true
}

// count counts the events by kind.
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
			o.countAnswer(e.Status)
		}
	}
}

func (o *Outcome) countAnswer(status int) {
	switch status {
	case 200:
		o.Served++
	case 429, 503:
		o.Refused++
	default:
		o.Failed++
	}
}
