package testcluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
)

// Fleet is several schedulers over workers. Each scheduler has worker doors of its own, as
// callbacks go to whoever sent the job.
type Fleet struct {
	deployments []*deployment

	mu           sync.Mutex
	jobByID      map[string]job  // of each id that came to a worker
	ran          map[string]bool // by id and worker: an attempt that may have run
	postReadings map[string]int  // of post-readings, how often each may have run
	rackByKey    map[string]string
	duplicates   int
	crossRack    int
	foreign      int // jobs that are not of this fleet's desks
	prefix       string
}

// job is what a desk handed in, whatever ids its tries have.
type job struct {
	name          string // the body of a post-reading, the key of another
	isPostReading bool
}

// StartFleet starts n schedulers with so many workers each, every one a rack of its own.
// With faults the workers do wrong whatever the protocol allows; without, they run jobs.
func StartFleet(bin, folder string, n, each int, seed uint64, faults bool) (f *Fleet, err error) {
	f = &Fleet{jobByID: map[string]job{}, ran: map[string]bool{}, postReadings: map[string]int{},
		rackByKey: map[string]string{},
		prefix:    strconv.FormatUint(rand.Uint64(), 36) + "/"}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for i := range n {
		plan := func(k int) func(fakes.Job) fakes.Script {
			does := healthyScript(seed, 100*i+k)
			if faults {
				does = faultyScript(seed, 100*i+k)
			}
			return func(j fakes.Job) fakes.Script {
				of := job{name: j.Key}
				if strings.HasPrefix(j.Target, "/post-reading/") {
					of = job{string(j.Body), true}
				}
				f.mu.Lock()
				f.jobByID[j.ID] = of
				f.mu.Unlock()
				return does(j)
			}
		}
		var lines []fakes.Endpoint
		for k := range each {
			lines = append(lines, fakes.Endpoint{UID: fmt.Sprintf("s-%d-%d", i, k), Cell: k})
		}
		s, err := startDeployment(bin, folder, fmt.Sprint("n", i), lines, plan, f.record)
		if err != nil {
			return f, err
		}
		f.deployments = append(f.deployments, s)
	}
	if len(f.deployments) == 0 {
		return f, errors.New("a fleet without schedulers")
	}
	return f, nil
}

// healthyScript plans what a worker does that runs all jobs: a few hundredths of a second, and now
// and then far longer.
func healthyScript(seed uint64, worker int) func(fakes.Job) fakes.Script {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, uint64(100+worker)))
	return func(fakes.Job) fakes.Script {
		mu.Lock()
		defer mu.Unlock()
		p := fakes.Script{RunTime: time.Duration(10+random.IntN(60)) * time.Millisecond}
		if random.IntN(20) == 0 {
			p.RunTime += time.Duration(200+random.IntN(400)) * time.Millisecond
		}
		return p
	}
}

// record counts what may have run. A worker is a rack of its own.
func (f *Fleet) record(e history.Event) {
	if e.Kind != history.Started && !(e.Kind == history.Ended && e.MayHaveRun) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	attempt := e.ID + " " + e.Actor
	if f.ran[attempt] {
		return
	}
	f.ran[attempt] = true
	of := f.jobByID[e.ID]
	if !strings.HasPrefix(of.name, f.prefix) {
		f.foreign++
		return
	}
	if of.isPostReading {
		if f.postReadings[of.name]++; f.postReadings[of.name] == 2 {
			f.duplicates++
		}
		return
	}
	rack, known := f.rackByKey[of.name]
	if !known {
		f.rackByKey[of.name] = e.Actor
	} else if rack != e.Actor && rack != "" {
		f.crossRack++
		f.rackByKey[of.name] = "" // counted
	}
}

// JobPrefix begins the names of this fleet's jobs: the body of a post-reading, the key of another.
// While a scheduler is away its port may be given to somebody else's, whose jobs must not be
// taken for repeats of ours.
func (f *Fleet) JobPrefix() string { return f.prefix }

// RunCounts is what the workers of a fleet saw.
type RunCounts struct {
	Foreign    int // attempts at jobs without the fleet's mark: somebody else's came here
	Total      int // attempts that may have run
	Duplicates int // post-readings that may have run more than once
	CrossRack  int // keys that may have run in more than one rack
}

// RunCounts tells what its workers saw.
func (f *Fleet) RunCounts() RunCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return RunCounts{f.foreign, len(f.ran), f.duplicates, f.crossRack}
}

// RunsOf tells how many attempts at a post-reading with this body may have run.
func (f *Fleet) RunsOf(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.postReadings[body]
}

// Schedulers are the addresses of the schedulers.
func (f *Fleet) Schedulers() []string {
	var addrs []string
	for _, s := range f.deployments {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// Kill ends a scheduler at once.
func (f *Fleet) Kill(i int) { f.deployments[i].Kill() }

// Stop asks a scheduler to end in order, and waits for that until a deadline.
func (f *Fleet) Stop(i int, deadline time.Time) error { return f.deployments[i].Stop(deadline) }

// Restart starts a scheduler that has ended, at the address that it had.
func (f *Fleet) Restart(i int) error { return f.deployments[i].restart() }

// Close ends all.
func (f *Fleet) Close() {
	for _, s := range f.deployments {
		s.close()
	}
}
