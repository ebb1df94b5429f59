package rig

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"dahliaford/internal/record"
	"dahliaford/internal/standin"
)

// Fleet is several schedulers over regions that do wrong whatever the protocol allows. Each
// scheduler has region doors of its own, as callbacks go to whoever sent the job.
type Fleet struct {
	sites []*site

	mu   sync.Mutex
	body map[string]string // of each id
	runs map[string]int    // by body, of post-readings
	all  int
}

// StartFleet starts n schedulers with two regions each.
func StartFleet(bin, folder string, n int, seed uint64) (f *Fleet, err error) {
	f = &Fleet{body: map[string]string{}, runs: map[string]int{}}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for i := range n {
		plan := func(k int) func(standin.Job) standin.Plan {
			does := mischief(seed, 10*i+k)
			return func(j standin.Job) standin.Plan {
				if strings.HasPrefix(j.Target, "/post-reading/") {
					f.mu.Lock()
					f.body[j.ID] = string(j.Body)
					f.mu.Unlock()
				}
				return does(j)
			}
		}
		lines := []standin.Line{{UID: fmt.Sprintf("s-%d0", i)}, {UID: fmt.Sprintf("s-%d1", i)}}
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

// saw counts the runs of post-readings, by body: a desk's tries have ids of their own.
func (f *Fleet) saw(e record.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Kind != record.Started {
		return
	}
	f.all++
	if body, post := f.body[e.ID]; post {
		f.runs[body]++
	}
}

// Runs tells how many post-readings ran more than once, and how many jobs ran in all.
func (f *Fleet) Runs() (twice, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.runs {
		if n > 1 {
			twice++
		}
	}
	return twice, f.all
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

// Close ends all.
func (f *Fleet) Close() {
	for _, s := range f.sites {
		s.close()
	}
}
