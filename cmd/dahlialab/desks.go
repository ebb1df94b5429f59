package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"dahliaford/desk"
	"dahliaford/internal/rig"
)

// desks runs the client library against two real schedulers over misbehaving regions, one
// of which is killed half way, and counts how often each job came to a region.
func desks(bin, folder string, span time.Duration, seed uint64, say sayer) (*report, error) {
	f, err := rig.StartFleet(bin, folder, 2, seed)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	client, err := desk.New(desk.Config{Schedulers: f.Schedulers(), Tenant: "sahel", Seed: seed | 1,
		Classes: map[string]desk.Class{
			"post-reading":   {Deadline: 2 * time.Second, Effect: desk.Once},
			"district-batch": {Deadline: 4 * time.Second, Effect: desk.Rack}}})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	say("handing in for %v; a scheduler is killed half way", span.Round(time.Second))
	kill := time.AfterFunc(span/2, func() { f.Kill(1) })
	defer kill.Stop()
	var mu sync.Mutex
	worded := []string{"served", "refused", "failed", "unknown"} // the others should not come
	ends, tries, late := map[string]int{}, 0, time.Duration(0)
	var open sync.WaitGroup
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	jobs := 0
	for end := time.Now().Add(span); time.Now().Before(end); jobs++ {
		<-tick.C
		job := desk.Job{Class: "post-reading", Body: fmt.Appendf(nil, "job %d", jobs),
			Deadline: time.Now().Add(2 * time.Second)}
		if jobs%2 == 1 {
			job.Class, job.Key, job.Deadline = "district-batch", fmt.Sprint("k", jobs), time.Now().Add(4*time.Second)
		}
		open.Go(func() {
			r, err := client.Do(context.Background(), job)
			over := time.Since(job.Deadline)
			mu.Lock()
			defer mu.Unlock()
			late = max(late, over)
			end := desk.Verdict(err)
			if !slices.Contains(worded, end) {
				end = "other"
			}
			ends[end]++
			if r != nil {
				tries += r.Tries
			}
		})
	}
	open.Wait()
	twice, runs := f.Runs()
	r := &report{ok: twice == 0 && late < 50*time.Millisecond, table: [][]string{{"end", "jobs"}}}
	for _, end := range append(worded, "other") {
		r.table = append(r.table, []string{end, fmt.Sprint(ends[end])})
	}
	r.figures = map[string]any{"jobs": jobs, "ends": ends, "tries_of_served": tries, "runs": runs,
		"post_readings_run_twice": twice, "latest_return_ms": late.Milliseconds()}
	return r, nil
}
