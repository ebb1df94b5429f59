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
	sites []*site

	mu    sync.Mutex
	job   map[string]job  // of each id that came to a worker
	ran   map[string]bool // by id and worker: an attempt that may have run
	posts map[string]int  // of post-readings, how often each may have run
	racks map[string]string
	twice int
	cross int
	alien int // jobs that are not of this fleet's desks
	mark  string
}

// job is what a desk handed in, whatever ids its tries have.
type job struct {
	name string // the body of a post-reading, the key of another
	post bool
}

// StartFleet starts n schedulers with so many workers each, every one a rack of its own.
// With faults the workers do wrong whatever the protocol allows; without, they run jobs.
func StartFleet(bin, folder string, n, each int, seed uint64, faults bool) (f *Fleet, err error) {
	f = &Fleet{job: map[string]job{}, ran: map[string]bool{}, posts: map[string]int{},
		racks: map[string]string{},
		mark:  strconv.FormatUint(rand.Uint64(), 36) + "/"}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for i := range n {
		plan := func(k int) func(fakes.Job) fakes.Script {
			does := honest(seed, 100*i+k)
			if faults {
				does = mischief(seed, 100*i+k)
			}
			return func(j fakes.Job) fakes.Script {
				of := job{name: j.Key}
				if strings.HasPrefix(j.Target, "/post-reading/") {
					of = job{string(j.Body), true}
				}
				f.mu.Lock()
				f.job[j.ID] = of
				f.mu.Unlock()
				return does(j)
			}
		}
		var lines []fakes.Endpoint
		for k := range each {
			lines = append(lines, fakes.Endpoint{UID: fmt.Sprintf("s-%d-%d", i, k), Group: k})
		}
		s, err := startSite(bin, folder, fmt.Sprint("n", i), lines, plan, f.saw)
		if err != nil {
			return f, err
		}
		f.sites = append(f.sites, s)
	}
	if len(f.sites) == 0 {
		return f, errors.New("a fleet without schedulers")
	}
	return f, nil
}

// honest plans what a worker does that runs all jobs: a few hundredths of a second, and now
// and then far longer.
func honest(seed uint64, worker int) func(fakes.Job) fakes.Script {
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

// saw counts what may have run. A worker is a rack of its own.
func (f *Fleet) saw(e history.Event) {
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
	of := f.job[e.ID]
	if !strings.HasPrefix(of.name, f.mark) {
		f.alien++
		return
	}
	if of.post {
		if f.posts[of.name]++; f.posts[of.name] == 2 {
			f.twice++
		}
		return
	}
	rack, known := f.racks[of.name]
	if !known {
		f.racks[of.name] = e.Actor
	} else if rack != e.Actor && rack != "" {
		f.cross++
		f.racks[of.name] = "" // counted
	}
}

// JobPrefix begins the names of this fleet's jobs: the body of a post-reading, the key of another.
// While a scheduler is away its port may be given to somebody else's, whose jobs must not be
// taken for repeats of ours.
func (f *Fleet) JobPrefix() string { return f.mark }

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
	return RunCounts{f.alien, len(f.ran), f.twice, f.cross}
}

// RunsOf tells how many attempts at a post-reading with this body may have run.
func (f *Fleet) RunsOf(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.posts[body]
}

// Schedulers are the addresses of the schedulers.
func (f *Fleet) Schedulers() []string {
	var addrs []string
	for _, s := range f.sites {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// Kill ends a scheduler at once.
func (f *Fleet) Kill(i int) { f.sites[i].Kill() }

// Stop asks a scheduler to end in order, and waits for that until a deadline.
func (f *Fleet) Stop(i int, deadline time.Time) error { return f.sites[i].Stop(deadline) }

// Restart starts a scheduler that has ended, at the address that it had.
func (f *Fleet) Restart(i int) error { return f.sites[i].again() }

// Close ends all.
func (f *Fleet) Close() {
	for _, s := range f.sites {
		s.close()
	}
}
