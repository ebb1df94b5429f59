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
	schedulers []*Process
	regions    []*standin.Region
	discovery  []*standin.Discovery

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
		var at sync.Mutex
		addr := "127.0.0.1:1"
		scheduler := func() string {
			at.Lock()
			defer at.Unlock()
			return addr
		}
		var lines []standin.Line
		for k := range 2 {
			uid := fmt.Sprintf("s-%d%d", i, k)
			plan := mischief(seed, 10*i+k)
			r, err := standin.NewRegion(uid, "127.0.0.1:0", scheduler, func(j standin.Job) standin.Plan {
				if strings.HasPrefix(j.Target, "/post-reading/") {
					f.mu.Lock()
					f.body[j.ID] = string(j.Body)
					f.mu.Unlock()
				}
				return plan(j)
			}, f.saw)
			if err != nil {
				return f, err
			}
			f.regions = append(f.regions, r)
			lines = append(lines, standin.Line{UID: uid, Endpoint: r.Addr(), Zone: "north", Model: "m1",
				State: "ready"})
		}
		d, err := standin.NewDiscovery("127.0.0.1:0", lines...)
		if err != nil {
			return f, err
		}
		f.discovery = append(f.discovery, d)
		p, err := Start(bin, folder, fmt.Sprint("n", i), d.Addr())
		if err != nil {
			return f, err
		}
		f.schedulers = append(f.schedulers, p)
		at.Lock()
		addr = p.Addr
		at.Unlock()
	}
	if len(f.schedulers) == 0 {
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
	for _, p := range f.schedulers {
		addrs = append(addrs, p.Addr)
	}
	return addrs
}

// Kill ends a scheduler at once.
func (f *Fleet) Kill(i int) { f.schedulers[i].Kill() }

// Close ends all.
func (f *Fleet) Close() {
	for _, p := range f.schedulers {
		p.Kill()
	}
	for _, r := range f.regions {
		r.Close()
	}
	for _, d := range f.discovery {
		d.Close()
	}
}
