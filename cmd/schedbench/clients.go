package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dahliaford/client"
	"dahliaford/internal/fakes"
	"dahliaford/internal/testcluster"
)

// The drill of the client library: 200 desks of each of three kinds, each kind at six
// schedulers of its own, which shrink to two and come back while the desks work; and desks
// of the library once more at a fleet whose workers do wrong what they may.
const (
	clientCount         = 200
	clientSchedulers    = 6
	remainingSchedulers = 2  // of the schedulers
	workersPerScheduler = 12 // of each scheduler
	jobsPerClient       = 4. // jobs a second of each desk
	returnGrace         = 50 * time.Millisecond
	slotLength          = 100 * time.Millisecond // of the figures over time
	connectTime         = 3 * time.Second        // until every desk has its first connections
)

// clientClass is what the drill hands in of a class.
type clientClass struct {
	name                string
	objective, deadline time.Duration
	effect              client.Effect
}

var clientClasses = []clientClass{{"post-reading", time.Second, 2 * time.Second, client.Once},
	{"district-batch", 2 * time.Second, 4 * time.Second, client.Rack}}

// clientRun is one kind of desk at its own fleet, and what came of its jobs.
type clientRun struct {
	name      string
	fleet     *testcluster.Fleet
	startedAt time.Time
	// submit hands a job in at a desk, and tells how it ended.
	submit func(desk int, s fakes.Submission) (verdict string)
	close  func()

	attempts atomic.Int64
	dials    []atomic.Int64 // by slot
	served   []atomic.Int64 // by slot, in time

	mu          sync.Mutex
	jobs        int
	late        int // served past the aim
	verdicts    map[string]int
	maxOvertime time.Duration // of the returns, past the deadline
	returns     int
}

func slotAt(slots []atomic.Int64, began time.Time) *atomic.Int64 {
	return &slots[min(int(time.Since(began)/slotLength), len(slots)-1)]
}

func (r *clientRun) dialled() { slotAt(r.dials, r.startedAt).Add(1) }

// The library's word of what it does; see desk.Observer.

// AttemptEnded counts the tries that were handed in: without a connection there was none.
func (r *clientRun) AttemptEnded(_, _, outcome string, _ time.Duration) {
	if outcome != "no room" && outcome != "unreached" && outcome != "parted" {
		r.attempts.Add(1)
	}
}

// JobEnded is counted by who called.
func (r *clientRun) JobEnded(string, string, int, time.Duration) {}

// Connected counts new connections.
func (r *clientRun) Connected(string, error) { r.dialled() }

// Throttled jobs show as refused.
func (r *clientRun) Throttled() {}

// useLibrary makes the desks of the library.
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
	r.close = func() {
		for _, c := range clients {
			c.Close()
		}
	}
	return nil
}

// useRetryingClients makes desks as they were, with a first wait before a retry, or none.
func (r *clientRun) useRetryingClients(backoff time.Duration) {
	var clients []*fakes.RetryingClient
	for range clientCount {
		clients = append(clients, fakes.NewRetryingClient(r.fleet.Schedulers(), backoff, r.dialled))
	}
	r.submit = func(i int, s fakes.Submission) string {
		served, attempts := clients[i].Submit(s)
		r.attempts.Add(int64(attempts))
		if served {
			return "served"
		}
		return "failed" // it cannot tell more
	}
	r.close = func() {
		for _, c := range clients {
			c.Close()
		}
	}
}

// submitJobs lets all desks hand in jobs until the context ends, and waits for their ends.
func (r *clientRun) submitJobs(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for i := range clientCount {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			var open sync.WaitGroup
			defer open.Wait()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Duration(random.ExpFloat64() / jobsPerClient * float64(time.Second))):
				}
				c := clientClasses[random.IntN(len(clientClasses))]
				id := fmt.Sprintf("%d-%d", i, n)
				name := r.fleet.JobPrefix() + id
				s := fakes.Submission{ID: id, Class: c.name, Tenant: "sahel", Body: []byte(name),
					Deadline: time.Now().Add(c.deadline)}
				if c.effect == client.Rack {
					s.Key = name
				}
				open.Go(func() { r.submitOne(i, c, s) })
			}
		})
	}
	all.Wait()
}

func (r *clientRun) submitOne(i int, c clientClass, s fakes.Submission) {
	r.mu.Lock()
	r.jobs++
	r.mu.Unlock()
	verdict := r.submit(i, s)
	over := time.Since(s.Deadline)
	if verdict == "served" && over <= 0 {
		slotAt(r.served, r.startedAt).Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returns++
	r.verdicts[verdict]++
	r.maxOvertime = max(r.maxOvertime, over)
	if verdict == "served" && over > c.objective-c.deadline {
		r.late++
	}
}

// peak is the largest number in any slot once the first connections are there.
func peak(slots []atomic.Int64) (most int64) {
	for i := int(connectTime / slotLength); i < len(slots); i++ {
		most = max(most, slots[i].Load())
	}
	return most
}

// bySecond sums slots into seconds.
func bySecond(slots []atomic.Int64) []int64 {
	per := int(time.Second / slotLength)
	seconds := make([]int64, (len(slots)+per-1)/per)
	for i := range slots {
		seconds[i/per] += slots[i].Load()
	}
	return seconds
}

func total(slots []atomic.Int64) (all int64) {
	for i := range slots {
		all += slots[i].Load()
	}
	return all
}

// removeAndRestore takes schedulers away within a sixth of the span (10 s of a minute), every other
// one without a word, and brings them back after a while.
func removeAndRestore(ctx context.Context, f *testcluster.Fleet, span time.Duration) error {
	rest := func(d time.Duration) bool { return testcluster.Sleep(ctx, d) }
	gone := clientSchedulers - remainingSchedulers
	step := span / 6 / time.Duration(gone)
	if !rest(span / 4) {
		return nil
	}
	for i := range gone {
		if i%2 == 0 {
			f.Kill(i)
		} else if err := f.Stop(i, time.Now().Add(10*time.Second)); err != nil {
			return err
		}
		if !rest(step) {
			return nil
		}
	}
	if !rest(span / 6) {
		return nil
	}
	for i := range gone {
		if err := f.Restart(i); err != nil {
			return err
		}
		if !rest(step) {
			return nil
		}
	}
	return nil
}

// clientDrill runs the drill. It ends before its span does: jobs have 4 s to end.
func clientDrill(bin, folder string, span time.Duration, seed uint64, say sayer) (*report, error) {
	var runs []*clientRun
	defer func() {
		for _, r := range runs {
			if r.close != nil {
				r.close()
			}
			r.fleet.Close()
		}
	}()
	for k, name := range []string{"library", "at once", "backoff", "library, faults"} {
		own := filepath.Join(folder, fmt.Sprint(k))
		if err := os.Mkdir(own, 0o777); err != nil {
			return nil, err
		}
		f, err := testcluster.StartFleet(testcluster.FleetOptions{Program: bin, Folder: own,
			Schedulers: clientSchedulers, WorkersPerScheduler: workersPerScheduler, Seed: seed, Faults: k == 3})
		if err != nil {
			return nil, err
		}
		slots := int((span + 10*time.Second) / slotLength)
		r := &clientRun{name: name, fleet: f, verdicts: map[string]int{}, dials: make([]atomic.Int64, slots),
			served: make([]atomic.Int64, slots)}
		runs = append(runs, r)
		switch k {
		case 0, 3:
			err = r.useLibrary(seed)
		case 1:
			r.useRetryingClients(0)
		case 2:
			r.useRetryingClients(50 * time.Millisecond)
		}
		if err != nil {
			return nil, err
		}
	}
	say("%d desks of each kind hand in for %v; %d of %d schedulers go and come back", clientCount,
		span.Round(time.Second), clientSchedulers-remainingSchedulers, clientSchedulers)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	began := time.Now()
	var all sync.WaitGroup
	failures := make(chan error, len(runs))
	for _, r := range runs {
		r.startedAt = began
		all.Go(func() { r.submitJobs(ctx, seed) })
		all.Go(func() {
			if err := removeAndRestore(ctx, r.fleet, span); err != nil {
				failures <- err
			}
		})
	}
	all.Wait()
	select {
	case err := <-failures:
		return nil, err
	default:
	}
	return clientReport(runs), nil
}

// clientReport judges by what the library promises, and shows all kinds beside each other.
func clientReport(runs []*clientRun) *report {
	rep := &report{figures: map[string]any{}, table: [][]string{{"kind", "jobs", "served", "late", "tries a job",
		"new connections", "peak in 100 ms", "post-readings twice", "keys in two racks", "latest return"}}}
	for _, r := range runs {
		saw := r.fleet.RunCounts()
		attempts := float64(r.attempts.Load()) / float64(max(r.jobs, 1))
		rep.table = append(rep.table, []string{r.name, fmt.Sprint(r.jobs), fmt.Sprint(r.verdicts["served"]),
			fmt.Sprintf("%.1f%%", 100*float64(r.late)/float64(max(r.verdicts["served"], 1))), fmt.Sprintf("%.3f",
				attempts),
			fmt.Sprint(total(r.dials)), fmt.Sprint(peak(r.dials)), fmt.Sprint(saw.Duplicates),
			fmt.Sprint(saw.CrossCell),
			fmt.Sprint(r.maxOvertime.Round(time.Millisecond))})
		rep.figures[r.name] = map[string]any{"jobs": r.jobs, "returns": r.returns, "ends": r.verdicts,
			"late":        r.late,
			"tries_a_job": attempts, "connections": total(r.dials), "peak_connections_100ms": peak(r.dials),
			"runs": saw.Total, "post_readings_twice": saw.Duplicates, "keys_in_two_racks": saw.CrossCell,
			"latest_return_ms": r.maxOvertime.Milliseconds(), "served_in_time": total(r.served),
			"connections_by_s": bySecond(r.dials),
			"served_by_s":      bySecond(r.served)}
	}
	library, plain := runs[0], runs[1:3]
	best := slices.MaxFunc(plain, func(a, b *clientRun) int { return int(total(a.served) - total(b.served)) })
	rep.ok = true
	for _, r := range runs {
		if n := r.fleet.RunCounts().Foreign; n > 0 {
			rep.figures["alien_jobs"] = n // a port went to somebody else while its scheduler was away
		}
	}
	for _, r := range []*clientRun{library, runs[3]} {
		saw := r.fleet.RunCounts()
		rep.ok = rep.ok && saw.Duplicates == 0 && saw.CrossCell == 0 && r.returns == r.jobs && r.maxOvertime <= returnGrace
	}
	rep.figures["goodput_against_best"] = float64(total(library.served)) / float64(max(library.jobs, 1)) /
		(float64(total(best.served)) / float64(max(best.jobs, 1)))
	rep.figures["peak_against_at_once"] = float64(peak(plain[0].dials)) / float64(max(peak(library.dials), 1))
	rep.chart = clientChart(runs)
	return rep
}
