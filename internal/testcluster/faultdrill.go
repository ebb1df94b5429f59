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
	// callbackGrace is the wait between the end of the last job and the stop of the scheduler, so that workers
	// can still deliver outstanding callbacks.
	callbackGrace = 8 * time.Second
	stopTimeout   = 10 * time.Second
	defaultSlack  = 400 * time.Millisecond
	drainDuration = 1200 * time.Millisecond // time for which discovery lists a worker as draining or removed

	// Deadlines of the submitted jobs; they equal the deadlines of the classes in Config.settings.
	postReadingDeadline = 2 * time.Second
	batchDeadline       = 4 * time.Second

	// Streams of the random number generator that is seeded with FaultDrill.Seed. Workers use further streams,
	// from workerStream on.
	jobStream   = 1
	faultStream = 2
)

// FaultDrill holds the parameters of RunFaultDrill.
type FaultDrill struct {
	Program  string        // path of the scheduler's executable
	Duration time.Duration // time during which clients submit jobs
	Seed     uint64
	Rate     float64 // submitted jobs per second
	// Slack is the tolerance that the check adds to its time limits, for delays on a busy machine. 0 stands for
	// 400 ms.
	Slack time.Duration
}

// Outcome is the result of RunFaultDrill.
type Outcome struct {
	Jobs, Served, Refused, Failed int
	Disconnected                  int // jobs whose client disconnected before the answer
	Attempts                      int // requests for a job that reached a worker
	Started                       int // attempts that a worker started to run
	Cancelled                     int // cancellation requests that reached a worker
	Crashes, Drains               int // crashes and drains of workers that RunFaultDrill caused
	Events                        int // number of recorded events that RunFaultDrill checked
	Findings                      []history.Finding
	Log                           []string // log lines of the scheduler
}

// RunFaultDrill submits jobs to a real scheduler process with four fake workers in two cells. The workers
// show every fault that the protocol allows (see faultyScript), crash, and are listed as draining or removed.
// RunFaultDrill checks the events that clients and workers recorded against history.Rules.
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
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder that is not removed does no harm
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
		return nil, fmt.Errorf("stop the scheduler: %w", err)
	}
	mu.Lock()
	defer mu.Unlock()
	out.count(events)
	out.Findings, out.Log = history.Check(drill.rules(workers), events), d.Log()
	return out, nil
}

// drillEndpoints returns the entries of the workers of RunFaultDrill for discovery, workersPerCell in each
// cell.
func drillEndpoints() (workers []endpoints.Endpoint) {
	for i := range drillWorkers {
		workers = append(workers, endpoints.Endpoint{UID: fmt.Sprintf("s-%08x", i+1), Cell: i / workersPerCell})
	}
	return workers
}

// rules returns the limits that a scheduler with the settings of this package has to keep.
func (drill *FaultDrill) rules(workers []endpoints.Endpoint) history.Rules {
	rules := history.Rules{AtMostOnce: map[string]bool{postReadingClass: true}, RackOf: map[string]string{},
		Window:      10 * time.Second,
		DrainGrace:  550 * time.Millisecond, // drain_grace (500 ms) plus 50 ms for the scheduler's reaction
		MaxAttempts: 4, Slack: drill.Slack, OrphanLimit: 3 * time.Second}
	for _, w := range workers {
		rules.RackOf[w.UID] = strconv.Itoa(w.Cell)
	}
	return rules
}

// submitJobs submits jobs at equal intervals until the context ends, and then waits for the outstanding jobs.
// Half of the jobs are of postReadingClass, the others of batchClass. For one job in twelve the client
// disconnects within 300 ms.
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
		s := fakes.Submission{ID: fmt.Sprintf("%x-%x", drill.Seed, n), Class: postReadingClass, Tenant: tenant,
			Body: fmt.Appendf(nil, "job %d", n), Deadline: time.Now().Add(postReadingDeadline)}
		if random.IntN(2) == 0 {
			s.Class, s.Key, s.Deadline = batchClass, "k-"+s.ID, time.Now().Add(batchDeadline)
		}
		if random.IntN(12) == 0 {
			s.DisconnectAt = time.Now().Add(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		open.Go(func() {
			_, _ = fakes.Submit(addr, s, recorder) // the recorder receives the outcome of the job
		})
	}
}

// injectFaults injects faults one after another until the context ends: it crashes a worker, lists a worker
// as draining or removed, or resets the scheduler's watch.
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

// crashWorker crashes a worker and publishes its discovery entry with the present time as start time, so that
// the scheduler treats the worker as just started.
func (d *deployment) crashWorker(i int) {
	d.workers[i].Crash()
	d.endpoints[i].BootMs = time.Now().UnixMilli()
	d.discovery.Update(d.endpoints[i])
}

// drainWorker lists a worker in the given state, Draining or Removed, for drainDuration and then as ready. It
// reports false if the context ended first; the worker then stays in the given state.
func (d *deployment) drainWorker(ctx context.Context, i int, state endpoints.State,
	recorder fakes.Recorder) bool {
	entry := d.endpoints[i]
	entry.State = state
	d.discovery.Update(entry)
	recorder(history.Event{At: time.Now(), Kind: history.EndpointChanged, Actor: entry.UID})
	if !Sleep(ctx, drainDuration) {
		return false
	}
	recorder(history.Event{At: time.Now(), Kind: history.WorkerReady, Actor: entry.UID})
	d.discovery.Update(d.endpoints[i])
	return true
}

// count fills in the counters of the outcome from the recorded events.
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
