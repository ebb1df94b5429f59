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

// clientClass is what the drill submits of a class.
type clientClass struct {
	name                string
	objective, deadline time.Duration
	effect              client.Effect
}

var clientClasses = []clientClass{{"post-reading", time.Second, 2 * time.Second, client.Once},
	{"district-batch", 2 * time.Second, 4 * time.Second, client.Rack}}

// The verdicts that the drill itself distinguishes; see client.Verdict.
const (
	verdictServed = "served"
	verdictFailed = "failed"
)

// clientRun is the clients of one kind with their own fleet, and what came of their jobs.
type clientRun struct {
	name  string
	fleet *testcluster.Fleet
	// submit submits a job with a client, and returns its verdict.
	submit       func(client int, s fakes.Submission) (verdict string)
	closeClients func()

	attempts atomic.Int64
	dials    *timeline
	served   *timeline // before their deadlines

	mu          sync.Mutex
	jobs        int
	late        int // served after the latency objective
	verdicts    map[string]int
	maxOvertime time.Duration // the longest after its deadline that a job returned; 0: none did
	returns     int
}

func newClientRun(name string, fleet *testcluster.Fleet, length time.Duration) *clientRun {
	return &clientRun{name: name, fleet: fleet, closeClients: func() {}, dials: newTimeline(length),
		served: newTimeline(length), verdicts: map[string]int{}}
}

func (r *clientRun) close() {
	r.closeClients()
	r.fleet.Close()
}

// A clientRun is the client.Observer of the library's clients.
var _ client.Observer = (*clientRun)(nil)

// AttemptEnded counts the attempts that were sent: without a connection there was none.
func (r *clientRun) AttemptEnded(_, _, outcome string, _ time.Duration) {
	if outcome != "no room" && outcome != "unreached" && outcome != "parted" {
		r.attempts.Add(1)
	}
}

// JobEnded does nothing: the submitter counts.
func (r *clientRun) JobEnded(string, string, int, time.Duration) {}

// Connected counts new connections.
func (r *clientRun) Connected(string, error) { r.dials.add() }

// Throttled does nothing: such jobs show as refused.
func (r *clientRun) Throttled() {}

// useLibrary lets clients of the library submit the jobs.
func (r *clientRun) useLibrary(seed uint64) error {
	classes := map[string]client.Class{}
	for _, c := range clientClasses {
		classes[c.name] = client.Class{Deadline: c.deadline, Effect: c.effect}
	}
	var clients []*client.Client
	for i := range clientCount {
		c, err := client.New(client.Config{Schedulers: r.fleet.Schedulers(), Tenant: "sahel", Classes: classes,
			Seed: seed<<16 + uint64(i) + 1, Observer: r})
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

// useRetryingClients lets clients without the library submit the jobs; backoff is before the first retry,
// 0 for none.
func (r *clientRun) useRetryingClients(backoff time.Duration) {
	var clients []*fakes.RetryingClient
	for range clientCount {
		clients = append(clients, fakes.NewRetryingClient(r.fleet.Schedulers(), backoff, r.dials.add))
	}
	r.submit = func(i int, s fakes.Submission) string {
		served, attempts := clients[i].Submit(s)
		r.attempts.Add(int64(attempts))
		if served {
			return verdictServed
		}
		return verdictFailed // it cannot distinguish more
	}
	r.closeClients = func() {
		for _, c := range clients {
			c.Close()
		}
	}
}

// submitJobs lets all clients submit jobs until the context ends, and waits for the jobs to end.
func (r *clientRun) submitJobs(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for i := range clientCount {
		all.Go(func() { r.submitJobsOf(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	all.Wait()
}

// submitJobsOf lets one client submit jobs at random times, on average four a second.
func (r *clientRun) submitJobsOf(ctx context.Context, i int, random *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / jobsPerClient * float64(time.Second))):
		}
		class := clientClasses[random.IntN(len(clientClasses))]
		id := fmt.Sprintf("%d-%d", i, n)
		name := r.fleet.JobPrefix() + id
		s := fakes.Submission{ID: id, Class: class.name, Tenant: "sahel", Body: []byte(name),
			Deadline: time.Now().Add(class.deadline)}
		if class.effect == client.Rack {
			s.Key = name
		}
		open.Go(func() { r.submitOne(i, class, s) })
	}
}

// submitOne submits a job and counts what came of it.
func (r *clientRun) submitOne(i int, class clientClass, s fakes.Submission) {
	r.mu.Lock()
	r.jobs++
	r.mu.Unlock()
	verdict := r.submit(i, s)
	overtime := time.Since(s.Deadline)
	if verdict == verdictServed && overtime <= 0 {
		r.served.add()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returns++
	r.verdicts[verdict]++
	r.maxOvertime = max(r.maxOvertime, overtime)
	if verdict == verdictServed && overtime > class.objective-class.deadline {
		r.late++
	}
}
