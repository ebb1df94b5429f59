package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"dahliaford/client"
)

// maxLineBytes is the largest length of a line in a file of jobs. It leaves room for a body of 64 KiB in
// which JSON escapes make each byte up to six bytes long.
const maxLineBytes = 512 << 10

// fileJob is the JSON object on one line of a file of jobs.
type fileJob struct {
	Class  string `json:"class"`
	Tenant string `json:"tenant"`
	Object string `json:"object"`
	Key    string `json:"key"`
	Data   string `json:"data"`
	Within string `json:"within"` // a duration, such as "5s"
	Slots  int    `json:"slots"`
}

// parseJob decodes and checks one line of a file of jobs.
func parseJob(line []byte) (job fileJob, err error) {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&job); err != nil {
		return job, err
	}
	if d.More() {
		return job, errors.New("more than one object on the line")
	}
	if job.Within != "" {
		span, err := time.ParseDuration(job.Within)
		if err != nil {
			return job, err
		}
		if span <= 0 {
			return job, errors.New("within must be a positive duration")
		}
	}
	if job.Class == "" {
		return job, errors.New("no class given for the job")
	}
	return job, nil
}

// forEachJob reads a file of jobs and calls do for each job, with the line number of the job. Blank lines are
// skipped. The reading stops at the first invalid line, whose number is in the error, or at the first error
// of do.
func forEachJob(in io.Reader, do func(line int, j fileJob) error) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	n := 0
	for lines.Scan() {
		n++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		job, err := parseJob(line)
		if err != nil {
			return usageError("line %d: %v", n, err)
		}
		if err := do(n, job); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return usageError("line %d: %v", n+1, err)
	}
	return nil
}

// checkJobs reads and checks a whole file of jobs, and returns the number of jobs and their distinct classes.
func checkJobs(in io.Reader, cfg client.Config) (total int, classes []string, err error) {
	err = forEachJob(in, func(line int, job fileJob) error {
		total++
		if _, known := cfg.Classes[job.Class]; cfg.Classes != nil && !known {
			return usageError("line %d: unknown class %q", line, job.Class)
		}
		if !slices.Contains(classes, job.Class) {
			classes = append(classes, job.Class)
		}
		return nil
	})
	return total, classes, err
}

// sendFile submits the jobs of a file. It checks the whole file before it submits the first job, so that an
// invalid line does not leave a part of the batch submitted.
func (c *sendCmd) sendFile(ctx context.Context, cfg client.Config, s *streams) error {
	f, err := os.Open(c.Jobs)
	if err != nil {
		return usageError("--jobs: %v", err)
	}
	defer closeReadOnly(f)
	total, classes, err := checkJobs(f, cfg)
	if err != nil {
		return err
	}
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return usageError("--jobs: %v", err)
	}
	jobClient, err := newClient(cfg, classes...)
	if err != nil {
		return err
	}
	defer jobClient.Close()
	tally := newTally(s, total)
	err = submitAll(ctx, f, min(c.AtOnce, total), func(line int, job fileJob) {
		tally.add(c.submit(ctx, jobClient, line, job))
	})
	if worst := tally.close(); err == nil {
		err = worst
	}
	return err
}

// submitAll calls submit for each job of a file, with up to parallel calls at the same time, and waits for
// all calls to return. When the context ends, submitAll reads no further jobs.
func submitAll(ctx context.Context, in io.Reader, parallel int, submit func(int, fileJob)) error {
	calls := make(chan func())
	var callers sync.WaitGroup
	for range parallel {
		callers.Go(func() {
			for call := range calls {
				call()
			}
		})
	}
	err := forEachJob(in, func(line int, job fileJob) error {
		select {
		case calls <- func() { submit(line, job) }:
			return nil
		case <-ctx.Done():
			return exitError{exitFailed, fmt.Sprintf("interrupted: nothing submitted from line %d on", line)}
		}
	})
	close(calls)
	callers.Wait()
	return err
}

// submit submits one job of a file, waits for its result, and returns the outcome. The flag --tenant gives
// the tenant of a job whose line names no tenant.
func (c *sendCmd) submit(ctx context.Context, jobClient *client.Client, line int, job fileJob) jobOutcome {
	tenant := job.Tenant
	if tenant == "" {
		tenant = c.Tenant
	}
	result, err := jobClient.Do(ctx, client.Job{Class: job.Class, Tenant: tenant, Object: job.Object,
		Key: job.Key, Body: []byte(job.Data), Slots: job.Slots, Deadline: c.deadline(job.Within)})
	outcome := jobOutcome{Line: line, Class: job.Class, Outcome: client.Verdict(err)}
	if err != nil {
		outcome.Error = describe(err)
	} else {
		outcome.Attempts, outcome.Result = result.Attempts, string(result.Body)
	}
	return outcome
}
