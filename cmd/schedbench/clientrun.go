package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/client"
	"dahliaford/internal/fakes"
	"dahliaford/internal/testcluster"
)

// clientClass is a class of jobs that the clients in the desk drill submit.
type clientClass struct {
	name                string
	objective, deadline time.Duration // latency objective and deadline, both from the submission
	effect              client.Effect
}

var clientClasses = []clientClass{{"post-reading", time.Second, 2 * time.Second, client.Once},
	{"district-batch", 2 * time.Second, 4 * time.Second, client.Rack}}

// repeatableClasses are the classes of the clients that may repeat jobs at any scheduler, within
// repeatWindow.
var repeatableClasses = []clientClass{
	{"district-batch", 2 * time.Second, 4 * time.Second, client.Anywhere},
}

// clientLoad describes the clients of a run. All runs submit the same number of jobs per second.
type clientLoad struct {
	clients       int
	jobsPerClient float64 // jobs per second that each client submits
	connections   int     // limit of a client's connections to each scheduler; 0 means the library's default
	classes       []clientClass
}

var (
	// manyClients rarely wait for a connection.
	manyClients = clientLoad{clients: clientCount, jobsPerClient: jobsPerClient, classes: clientClasses}
	// fewConnections wait for their connections when schedulers stop, longer than repeatWindow.
	fewConnections = clientLoad{clients: clientCount / 10, jobsPerClient: 10 * jobsPerClient, connections: 1,
		classes: repeatableClasses}
)

const (
	// repeatWindow is the deduplication window of repeatableClasses.
	repeatWindow = 300 * time.Millisecond
	// windowSlack is what the protocol adds to each time limit on sockets.
	windowSlack = 50 * time.Millisecond
	// recorderAddr makes the system choose a free loopback port for a recorder.
	recorderAddr = "127.0.0.1:0"
)

// The verdicts of jobs of plain clients, which do not use the client library. Clients of the library report
// all verdicts of client.Verdict.
const (
	verdictServed = "served"
	verdictFailed = "failed"
)

// clientRun holds the clients of one kind, the fleet that serves only these clients, and the results of their
// jobs.
type clientRun struct {
	name  string
	load  clientLoad
	fleet *testcluster.Fleet
	// recorders stand before the schedulers of the fleet if the run judges when its clients write repeats.
	recorders []*fakes.WriteRecorder
	// submit submits a job through the client with the given index. It returns the verdict of the job.
	submit       func(client int, s fakes.Submission) (verdict string)
	closeClients func()

	attempts atomic.Int64
	dials    *timeline
	served   *timeline // jobs that were served by their deadlines, by time of the answer

	mu                 sync.Mutex     // guards the fields below
	jobs               int            // jobs submitted
	servedLate         int            // jobs served after the latency objective
	verdicts           map[string]int // number of jobs by verdict
	maxDeadlineOverrun time.Duration  // longest time by which a job returned after its deadline; 0 if none did
	returned           int            // jobs whose submission returned
}

// newClientRun returns a run with a fleet and no clients. The timelines of its results cover the given length
// of time.
func newClientRun(name string, load clientLoad, fleet *testcluster.Fleet, length time.Duration) *clientRun {
	return &clientRun{name: name, load: load, fleet: fleet, closeClients: func() {}, dials: newTimeline(length),
		served: newTimeline(length), verdicts: map[string]int{}}
}

func (r *clientRun) close() {
	r.closeClients()
	for _, recorder := range r.recorders {
		recorder.Close()
	}
	r.fleet.Close()
}

// A clientRun is the client.Observer of its clients that use the library.
var _ client.Observer = (*clientRun)(nil)

// AttemptEnded counts the attempts that a client sent to a scheduler. An attempt that got no connection was
// not sent.
func (r *clientRun) AttemptEnded(_, _, outcome string, _ time.Duration) {
	if outcome != "no room" && outcome != "unreached" && outcome != "parted" {
		r.attempts.Add(1)
	}
}

// JobEnded does nothing, because submitOne counts the ended jobs.
func (r *clientRun) JobEnded(string, string, int, time.Duration) {}

// Connected counts an attempt to open a connection, successful or not.
func (r *clientRun) Connected(string, error) { r.dials.add() }

// Throttled does nothing. A job that gets no retry because the retry budget is used up shows in the verdicts.
func (r *clientRun) Throttled() {}

// recordWrites makes the run record when its clients write their jobs. It returns the addresses that the
// clients have to use for the schedulers of the fleet.
func (r *clientRun) recordWrites() (addrs []string, err error) {
	for _, scheduler := range r.fleet.Schedulers() {
		recorder, err := fakes.NewWriteRecorder(recorderAddr, scheduler)
		if err != nil {
			return nil, err
		}
		r.recorders = append(r.recorders, recorder)
		addrs = append(addrs, recorder.Addr())
	}
	return addrs, nil
}

// lateRepeats returns the number of requests that clients wrote after the deduplication window of their job:
// more than repeatWindow after the job may first have run, and thus after it was first sent.
func (r *clientRun) lateRepeats() int {
	late := 0
	for _, recorder := range r.recorders {
		for _, write := range recorder.Writes() {
			firstRun, ran := r.fleet.FirstRun(write.Key)
			if ran && write.At.Sub(firstRun) > repeatWindow+windowSlack {
				late++
			}
		}
	}
	return late
}

// useLibrary makes the run submit its jobs through clients of the library, to the schedulers at the given
// addresses.
func (r *clientRun) useLibrary(schedulers []string, seed uint64) error {
	classes := map[string]client.Class{}
	for _, c := range r.load.classes {
		classes[c.name] = client.Class{Deadline: c.deadline, Effect: c.effect, Window: repeatWindow}
	}
	var clients []*client.Client
	for i := range r.load.clients {
		c, err := client.New(client.Config{Schedulers: schedulers, Tenant: "sahel", Classes: classes,
			MaxConnections: r.load.connections, Seed: seed<<16 + uint64(i) + 1, Observer: r})
		if err != nil {
			return err
		}
		clients = append(clients, c)
	}
	r.submit = func(i int, s fakes.Submission) string {
		_, err := clients[i].Do(context.Background(), client.Job{Class: s.Class, Object: s.ID, Key: s.Key,
			Body: s.Body, Deadline: s.Deadline})
		return client.Verdict(err)
	}
	r.closeClients = func() {
		for _, c := range clients {
			c.Close()
		}
	}
	return nil
}

// useRetryingClients makes the run submit its jobs through plain clients, which retry without the library.
// backoff is the longest wait before the first retry; with 0 the clients retry at once.
func (r *clientRun) useRetryingClients(backoff time.Duration) {
	var clients []*fakes.RetryingClient
	for range r.load.clients {
		clients = append(clients, fakes.NewRetryingClient(r.fleet.Schedulers(), backoff, r.dials.add))
	}
	r.submit = func(i int, s fakes.Submission) string {
		served, attempts := clients[i].Submit(s)
		r.attempts.Add(int64(attempts))
		if served {
			return verdictServed
		}
		return verdictFailed // a plain client does not report why a job was not served
	}
	r.closeClients = func() {
		for _, c := range clients {
			c.Close()
		}
	}
}

// submitJobs makes all clients submit jobs until the context ends. It returns when all jobs have returned.
func (r *clientRun) submitJobs(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for i := range r.load.clients {
		all.Go(func() { r.submitJobsOf(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	all.Wait()
}

// submitJobsOf makes the client with index i submit jobs until the context ends. The intervals between jobs
// are exponentially distributed, with load.jobsPerClient jobs per second on average.
func (r *clientRun) submitJobsOf(ctx context.Context, i int, random *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / r.load.jobsPerClient * float64(time.Second))):
		}
		class := r.load.classes[random.IntN(len(r.load.classes))]
		id := fmt.Sprintf("%d-%d", i, n)
		name := r.fleet.JobPrefix() + id
		s := fakes.Submission{ID: id, Class: class.name, Tenant: "sahel", Body: []byte(name),
			Deadline: time.Now().Add(class.deadline)}
		if class.effect != client.Once {
			s.Key = name
		}
		open.Go(func() { r.submitOne(i, class, s) })
	}
}

// submitOne submits a job through the client with index i, waits for the job's verdict and counts the
// verdict.
func (r *clientRun) submitOne(i int, class clientClass, s fakes.Submission) {
	r.mu.Lock()
	r.jobs++
	r.mu.Unlock()
	verdict := r.submit(i, s)
	deadlineOverrun := time.Since(s.Deadline)
	if verdict == verdictServed && deadlineOverrun <= 0 {
		r.served.add()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned++
	r.verdicts[verdict]++
	r.maxDeadlineOverrun = max(r.maxDeadlineOverrun, deadlineOverrun)
	if verdict == verdictServed && deadlineOverrun > class.objective-class.deadline {
		r.servedLate++
	}
}
