package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// jobOutcome tells how one job of the file ended. It is printed as one line of JSON.
type jobOutcome struct {
	Line     int    `json:"line"` // the line number of the job in the file, from 1
	Class    string `json:"class"`
	Outcome  string `json:"outcome"`
	Attempts int    `json:"tries,omitempty"`
	Result   string `json:"result,omitempty"`
	Error    string `json:"error,omitempty"`
}

// tally reports how the jobs of a file end: one line of JSON for each job, the progress at most once a
// second, and at the end a table of the number of jobs by class and outcome. A tally is safe for concurrent
// use.
type tally struct {
	*streams
	total    int
	progress *time.Ticker

	mu       sync.Mutex
	done     int
	counts   map[tallyKey]int
	writeErr error // the first error of writing the line of a job
}

type tallyKey struct{ class, outcome string }

func newTally(s *streams, total int) *tally {
	return &tally{streams: s, total: total, counts: map[tallyKey]int{}, progress: time.NewTicker(time.Second)}
}

// add counts the outcome of a job and prints its line.
func (t *tally) add(outcome jobOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done++
	t.counts[tallyKey{outcome.Class, outcome.Outcome}]++
	line, err := json.Marshal(outcome)
	if err == nil {
		_, err = t.out.Write(append(line, '\n'))
	}
	if t.writeErr == nil {
		t.writeErr = err
	}
	select {
	case <-t.progress.C:
		t.reportf("%d of %d jobs done\n", t.done, t.total)
	default:
	}
}

// close prints the table of outcomes. It returns the first error of writing the line of a job, or an error
// with the exit status of the worst outcome of a job.
func (t *tally) close() error {
	t.progress.Stop()
	byClass := func(a, b tallyKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.outcome, b.outcome))
	}
	table := tabwriter.NewWriter(t.errs, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\toutcome\tjobs") // the table is buffered in memory; only Flush writes it
	worst := exitOK
	for _, key := range slices.SortedFunc(maps.Keys(t.counts), byClass) {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\n", key.class, key.outcome, t.counts[key])
		worst = worse(worst, exitStatus(key.outcome))
	}
	_ = table.Flush() // the exit status reports the outcomes even if this write fails
	if t.writeErr != nil {
		return t.writeErr
	}
	if worst != exitOK {
		return exitError{status: worst}
	}
	return nil
}

// worse returns the worse of two exit statuses. A failed job is worse than a usage error, because a failure
// has to be investigated, and a usage error is worse than a refused job.
func worse(a, b int) int {
	order := []int{exitOK, exitTempFail, exitUsage, exitFailed}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}
