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

// jobOutcome is one line of what is printed: how the job of a line of the file ended.
type jobOutcome struct {
	Line     int    `json:"line"`
	Class    string `json:"class"`
	Outcome  string `json:"outcome"`
	Attempts int    `json:"tries,omitempty"`
	Result   string `json:"result,omitempty"`
	Error    string `json:"error,omitempty"`
}

// tally prints how a file's jobs end: a line for each, progress now and then, and a summary by class and
// outcome. It is safe for concurrent use.
type tally struct {
	*streams
	total    int
	progress *time.Ticker

	mu       sync.Mutex
	done     int
	counts   map[tallyKey]int
	writeErr error // the first that kept a line from being written
}

type tallyKey struct{ class, outcome string }

func newTally(s *streams, total int) *tally {
	return &tally{streams: s, total: total, counts: map[tallyKey]int{}, progress: time.NewTicker(time.Second)}
}

// add prints how a job ended.
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
		t.reportf("%d of %d jobs\n", t.done, t.total)
	default:
	}
}

// close prints the summary. The error has the exit status of the worst outcome.
func (t *tally) close() error {
	t.progress.Stop()
	byClass := func(a, b tallyKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.outcome, b.outcome))
	}
	table := tabwriter.NewWriter(t.errs, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\toutcome\tjobs") // into memory: Flush reports an error
	worst := exitOK
	for _, key := range slices.SortedFunc(maps.Keys(t.counts), byClass) {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\n", key.class, key.outcome, t.counts[key])
		worst = worse(worst, exitStatus(key.outcome))
	}
	_ = table.Flush() // ignored as in reportf
	if t.writeErr != nil {
		return t.writeErr
	}
	if worst != exitOK {
		return exitError{status: worst}
	}
	return nil
}

// worse returns the worse of two exit statuses. A failure goes before a usage error, and that before a
// refusal: it has to be looked into.
func worse(a, b int) int {
	order := []int{exitOK, exitTempFail, exitUsage, exitFailed}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}
