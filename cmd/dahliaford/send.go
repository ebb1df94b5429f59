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
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"dahliaford/client"
)

type sendCmd struct {
	// The flag was called desk once: scripts that still say so go on working.
	Config    string        `help:"The client's configuration file." placeholder:"FILE" aliases:"desk"`
	Scheduler []string      `help:"Instead of the file's; repeatable." sep:"none" placeholder:"ADDR"`
	Class     string        `help:"The job's class."`
	Tenant    string        `help:"Whose job it is, in place of the file's tenant."`
	Object    string        `help:"What it is about: the last part of the path."`
	Key       string        `help:"The idempotency key of a keyed class."`
	Within    time.Duration `help:"How long to wait for its end, in place of the class's deadline."`
	Data      string        `help:"Its body: TEXT, @FILE, or - for standard input." placeholder:"TEXT|@FILE|-"`
	Jobs      string        `help:"A file of jobs, one JSON object a line." placeholder:"FILE"`
	AtOnce    int           `help:"How many jobs of a file may be under way at once." default:"16"`
}

const (
	maxAtOnce    = 1024
	maxFileBytes = 1 << 20 // bytes of a configuration file
	// maxLineBytes is the longest line of a file of jobs: a body of 64 KiB may be escaped.
	maxLineBytes = 512 << 10
	// defaultDeadline is the deadline of a class that no file describes.
	defaultDeadline = 5 * time.Second
)

// Run hands in what the arguments say.
func (c *sendCmd) Run(s *streams) error {
	switch {
	case c.Within < 0:
		return usageError("--within must be longer than nothing")
	case c.AtOnce < 1 || c.AtOnce > maxAtOnce:
		return usageError("--at-once must be between 1 and %d", maxAtOnce)
	case c.Jobs != "" && (c.Class != "" || c.Data != "" || c.Object != "" || c.Key != ""):
		return usageError("--jobs names the jobs: --class, --data, --object and --key do not go with it")
	case c.Jobs == "" && c.Class == "":
		return usageError("--class or --jobs must say what to hand in")
	}
	cfg, err := c.config()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if c.Jobs != "" {
		return c.sendFile(ctx, cfg, s)
	}
	body, err := c.body(s.in)
	if err != nil {
		return err
	}
	jobClient, err := newClient(cfg, c.Class)
	if err != nil {
		return err
	}
	defer jobClient.Close()
	r, err := jobClient.Do(ctx, client.Job{Class: c.Class, Tenant: c.Tenant, Object: c.Object, Key: c.Key,
		Body: body, Deadline: c.deadline("")})
	if err != nil {
		return exitError{exitStatus(client.Verdict(err)), describe(err)}
	}
	_, err = s.out.Write(r.Body)
	return err
}

// config is the client's configuration, as the file and the arguments say.
func (c *sendCmd) config() (cfg client.Config, err error) {
	if c.Config != "" {
		raw, err := readFile(c.Config, maxFileBytes)
		if err != nil {
			return cfg, usageError("--config: %v", err)
		}
		if cfg, err = client.ParseConfig(raw); err != nil {
			return cfg, usageError("%s: %v", c.Config, err)
		}
	}
	if len(c.Scheduler) > 0 {
		cfg.Schedulers = c.Scheduler
	}
	if len(cfg.Schedulers) == 0 {
		return cfg, usageError("--config or --scheduler must name a scheduler")
	}
	return cfg, nil
}

// newClient makes the client. Without a file nobody knows what the classes allow: then their
// jobs are never repeated once they may have run.
func newClient(cfg client.Config, classes ...string) (*client.Client, error) {
	if cfg.Classes == nil {
		cfg.Classes = map[string]client.Class{}
		for _, name := range classes {
			cfg.Classes[name] = client.Class{Deadline: defaultDeadline, Effect: client.Once}
		}
	}
	c, err := client.New(cfg)
	if err != nil {
		return nil, usageError("%v", err)
	}
	return c, nil
}

func (c *sendCmd) body(in io.Reader) ([]byte, error) {
	switch {
	case c.Data == "-":
		return limited(in, "standard input", client.MaxBodyBytes)
	case strings.HasPrefix(c.Data, "@"):
		b, err := readFile(c.Data[1:], client.MaxBodyBytes)
		if err != nil {
			return nil, usageError("--data: %v", err)
		}
		return b, nil
	}
	return []byte(c.Data), nil
}

func readFile(path string, most int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return limited(f, path, most)
}

func limited(in io.Reader, name string, most int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(in, int64(most)+1))
	if err == nil && len(b) > most {
		err = usageError("%s: over %d bytes", name, most)
	}
	return b, err
}

// deadline is when a job's caller gives up; zero: the class's own deadline holds.
func (c *sendCmd) deadline(within string) time.Time {
	span := c.Within
	if d, err := time.ParseDuration(within); err == nil {
		span = d
	}
	if span == 0 {
		return time.Time{}
	}
	return time.Now().Add(span)
}

// exitStatus is the exit status for how a job ended. What did not run is EX_TEMPFAIL.
func exitStatus(verdict string) int {
	switch verdict {
	case "served":
		return exitOK
	case "refused", "expired":
		return exitTempFail
	case "invalid":
		return exitUsage
	}
	return exitFailed
}

// describe says how a job ended, and when to come back where that is known.
func describe(err error) string {
	var r *client.RefusedError
	if errors.As(err, &r) {
		if wait := time.Until(r.RetryAfter); wait > 0 {
			return fmt.Sprintf("%v; come back in %v", err, wait.Round(10*time.Millisecond))
		}
	}
	return err.Error()
}

// fileJob is one line of a file of jobs.
type fileJob struct {
	Class  string `json:"class"`
	Tenant string `json:"tenant"`
	Object string `json:"object"`
	Key    string `json:"key"`
	Data   string `json:"data"`
	Within string `json:"within"` // a span, such as "5s"
	Slots  int    `json:"slots"`
}

// jobOutcome is one line of what is printed: how the job of that line of the file ended.
type jobOutcome struct {
	Line    int    `json:"line"`
	Class   string `json:"class"`
	Outcome string `json:"outcome"`
	Tries   int    `json:"tries,omitempty"`
	Result  string `json:"result,omitempty"`
	Error   string `json:"error,omitempty"`
}

// forEachJob reads a file of jobs. Blank lines are passed over.
func forEachJob(in io.Reader, do func(line int, j fileJob) error) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	n := 0
	for lines.Scan() {
		n++
		raw := bytes.TrimSpace(lines.Bytes())
		if len(raw) == 0 {
			continue
		}
		var j fileJob
		d := json.NewDecoder(bytes.NewReader(raw))
		d.DisallowUnknownFields()
		err := d.Decode(&j)
		if err == nil && d.More() {
			err = errors.New("more than one object")
		}
		if err == nil && j.Within != "" {
			var span time.Duration
			if span, err = time.ParseDuration(j.Within); err == nil && span <= 0 {
				err = errors.New("within must be longer than nothing")
			}
		}
		if err == nil && j.Class == "" {
			err = errors.New("no class")
		}
		if err != nil {
			return usageError("line %d: %v", n, err)
		}
		if err := do(n, j); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return usageError("line %d: %v", n+1, err)
	}
	return nil
}

// sendFile hands in the jobs of a file. Nothing is sent before the whole file has been
// understood: half a batch is worse than none.
func (c *sendCmd) sendFile(ctx context.Context, cfg client.Config, s *streams) error {
	f, err := os.Open(c.Jobs)
	if err != nil {
		return usageError("--jobs: %v", err)
	}
	defer f.Close()
	total := 0
	var classes []string
	if err := forEachJob(f, func(n int, j fileJob) error {
		total++
		if _, known := cfg.Classes[j.Class]; cfg.Classes != nil && !known {
			return usageError("line %d: unknown class %q", n, j.Class)
		}
		if !slices.Contains(classes, j.Class) {
			classes = append(classes, j.Class)
		}
		return nil
	}); err != nil {
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
	t := newTally(s, total)
	jobs := make(chan func(), 0)
	var workers sync.WaitGroup
	for range min(c.AtOnce, total) {
		workers.Go(func() {
			for do := range jobs {
				do()
			}
		})
	}
	err = forEachJob(f, func(n int, j fileJob) error {
		do := func() {
			tenant := j.Tenant
			if tenant == "" {
				tenant = c.Tenant
			}
			r, err := jobClient.Do(ctx, client.Job{Class: j.Class, Tenant: tenant, Object: j.Object, Key: j.Key,
				Body: []byte(j.Data), Slots: j.Slots, Deadline: c.deadline(j.Within)})
			e := jobOutcome{Line: n, Class: j.Class, Outcome: client.Verdict(err)}
			if err != nil {
				e.Error = describe(err)
			} else {
				e.Tries, e.Result = r.Attempts, string(r.Body)
			}
			t.note(e)
		}
		select {
		case jobs <- do:
			return nil
		case <-ctx.Done():
			return exitError{exitFailed, fmt.Sprintf("stopped before line %d", n)}
		}
	})
	close(jobs)
	workers.Wait()
	if sum := t.close(); err == nil {
		err = sum
	}
	return err
}

// tally prints what becomes of a file's jobs: a line for each, progress now and then, and a
// summary by class and outcome.
type tally struct {
	*streams
	total int
	tick  *time.Ticker

	mu       sync.Mutex
	done     int
	counts   map[[2]string]int // by class and outcome
	writeErr error             // the first that kept a line from being written
}

func newTally(s *streams, total int) *tally {
	return &tally{streams: s, total: total, counts: map[[2]string]int{}, tick: time.NewTicker(time.Second)}
}

func (t *tally) note(e jobOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done++
	t.counts[[2]string{e.Class, e.Outcome}]++
	raw, err := json.Marshal(e)
	if err == nil {
		_, err = t.out.Write(append(raw, '\n'))
	}
	if t.writeErr == nil {
		t.writeErr = err
	}
	select {
	case <-t.tick.C:
		fmt.Fprintf(t.errs, "%d of %d jobs\n", t.done, t.total)
	default:
	}
}

// close prints the summary. The worst end gives the status.
func (t *tally) close() error {
	t.tick.Stop()
	var keys [][2]string
	for k := range t.counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b [2]string) int {
		return strings.Compare(a[0]+"\x00"+a[1], b[0]+"\x00"+b[1])
	})
	table := tabwriter.NewWriter(t.errs, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\toutcome\tjobs")
	worst := exitOK
	for _, k := range keys {
		fmt.Fprintf(table, "%s\t%s\t%d\n", k[0], k[1], t.counts[k])
		// Failed goes before wrong use, and that before refused: it is what has to be looked into.
		order := []int{exitOK, exitTempFail, exitUsage, exitFailed}
		if got := exitStatus(k[1]); slices.Index(order, got) > slices.Index(order, worst) {
			worst = got
		}
	}
	table.Flush()
	if t.writeErr != nil {
		return t.writeErr
	}
	if worst != exitOK {
		return exitError{status: worst}
	}
	return nil
}
