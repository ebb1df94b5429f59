package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"dahliaford/client"
)

type sendCmd struct {
	// The flag --config was called --desk in earlier releases. The alias keeps scripts working that use the
	// former name.
	Config    string        `help:"The client's configuration file." placeholder:"FILE" aliases:"desk"`
	Scheduler []string      `help:"Scheduler, in place of the file's; repeatable." sep:"none" placeholder:"ADDR"`
	Class     string        `help:"The job's class."`
	Tenant    string        `help:"The job's tenant, in place of the tenant of the file."`
	Object    string        `help:"The object of the job: the last segment of the request path."`
	Key       string        `help:"The idempotency key of a keyed class."`
	Within    time.Duration `help:"How long to wait, in place of the class's deadline."`
	Data      string        `help:"The body: TEXT, @FILE, or - for standard input." placeholder:"TEXT|@FILE|-"`
	Jobs      string        `help:"A file of jobs, one JSON object per line." placeholder:"FILE"`
	AtOnce    int           `help:"The limit of jobs of a file in flight at the same time." default:"16"`
}

const (
	maxAtOnce    = 1024    // the largest value of --at-once, in jobs
	maxFileBytes = 1 << 20 // the largest size of a configuration file
	// defaultDeadline is the deadline of a job whose class no configuration file describes.
	defaultDeadline = 5 * time.Second
)

// Run submits the job that the flags describe, or the jobs of the file that --jobs names. SIGINT and SIGTERM
// end the wait for results.
func (c *sendCmd) Run(s *streams) error {
	if err := c.validate(); err != nil {
		return err
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
	return c.sendOne(ctx, cfg, s)
}

func (c *sendCmd) validate() error {
	switch {
	case c.Within < 0:
		return usageError("--within must not be negative")
	case c.AtOnce < 1 || c.AtOnce > maxAtOnce:
		return usageError("--at-once must be between 1 and %d", maxAtOnce)
	case c.Jobs != "" && (c.Class != "" || c.Data != "" || c.Object != "" || c.Key != ""):
		return usageError("--jobs cannot be combined with --class, --data, --object or --key")
	case c.Jobs == "" && c.Class == "":
		return usageError("one of --class or --jobs is required")
	}
	return nil
}

// sendOne submits the job that the flags describe, and writes the body of the result to standard output.
func (c *sendCmd) sendOne(ctx context.Context, cfg client.Config, s *streams) error {
	body, err := c.body(s.in)
	if err != nil {
		return err
	}
	jobClient, err := newClient(cfg, c.Class)
	if err != nil {
		return err
	}
	defer jobClient.Close()
	job := client.Job{Class: c.Class, Tenant: c.Tenant, Object: c.Object, Key: c.Key, Body: body,
		Deadline: c.deadline("")}
	result, err := jobClient.Do(ctx, job)
	if err != nil {
		return exitError{exitStatus(client.Verdict(err)), describe(err)}
	}
	_, err = s.out.Write(result.Body)
	return err
}

// config returns the client's configuration: the contents of the file that --config names, with the
// schedulers replaced by those of --scheduler if there are any.
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

// newClient creates the client. Without a configuration file the effect of repeating a job of a class is
// unknown. The classes are then declared with the effect client.Once: a job that may have run is not
// repeated.
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

// body returns the body of the job: the text of --data, the contents of the file that it names, or standard
// input.
func (c *sendCmd) body(in io.Reader) ([]byte, error) {
	switch {
	case c.Data == "-":
		return readLimited(in, "standard input", client.MaxBodyBytes)
	case strings.HasPrefix(c.Data, "@"):
		b, err := readFile(c.Data[1:], client.MaxBodyBytes)
		if err != nil {
			return nil, usageError("--data: %v", err)
		}
		return b, nil
	}
	return []byte(c.Data), nil
}

func readFile(path string, maxBytes int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer closeReadOnly(f)
	return readLimited(f, path, maxBytes)
}

// closeReadOnly closes a file that was opened for reading only. The error is ignored because no data can be
// lost.
func closeReadOnly(f io.Closer) { _ = f.Close() }

func readLimited(in io.Reader, name string, maxBytes int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(in, int64(maxBytes)+1))
	if err == nil && len(b) > maxBytes {
		err = usageError("%s: over %d bytes", name, maxBytes)
	}
	return b, err
}

// deadline returns the time at which the client stops waiting for a job: within, the duration that the job's
// line in the file gives, or else --within, counted from now. The zero time means that neither is given and
// the deadline of the class applies.
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

// exitStatus returns the exit status for a verdict of the client package.
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

// describe returns the text of a job's error, and after a refusal also how long to wait before submitting the
// job again, if the scheduler gave a time.
func describe(err error) string {
	var refused *client.RefusedError
	if errors.As(err, &refused) {
		if wait := time.Until(refused.RetryAfter); wait > 0 {
			return fmt.Sprintf("%v; retry after %v", err, wait.Round(10*time.Millisecond))
		}
	}
	return err.Error()
}
