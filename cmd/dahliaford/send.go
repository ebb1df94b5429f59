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
	// The flag was once called desk: scripts that still use that name go on working.
	Config    string        `help:"The client's configuration file." placeholder:"FILE" aliases:"desk"`
	Scheduler []string      `help:"Instead of the file's; repeatable." sep:"none" placeholder:"ADDR"`
	Class     string        `help:"The job's class."`
	Tenant    string        `help:"Whose job it is, in place of the file's tenant."`
	Object    string        `help:"What it is about: the last part of the path."`
	Key       string        `help:"The idempotency key of a keyed class."`
	Within    time.Duration `help:"How long to wait for its end, in place of the class's deadline."`
	Data      string        `help:"Its body: TEXT, @FILE, or - for standard input." placeholder:"TEXT|@FILE|-"`
	Jobs      string        `help:"A file of jobs, one JSON object a line." placeholder:"FILE"`
	AtOnce    int           `help:"How many jobs of a file may be in flight at once." default:"16"`
}

const (
	maxAtOnce    = 1024
	maxFileBytes = 1 << 20 // of a configuration file
	// defaultDeadline is the deadline of a class that no file describes.
	defaultDeadline = 5 * time.Second
)

// Run submits what the arguments say.
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
		return usageError("--within must be longer than nothing")
	case c.AtOnce < 1 || c.AtOnce > maxAtOnce:
		return usageError("--at-once must be between 1 and %d", maxAtOnce)
	case c.Jobs != "" && (c.Class != "" || c.Data != "" || c.Object != "" || c.Key != ""):
		return usageError("--jobs names the jobs: --class, --data, --object and --key do not go with it")
	case c.Jobs == "" && c.Class == "":
		return usageError("--class or --jobs must say what to submit")
	}
	return nil
}

// sendOne submits the job that the arguments describe, and prints its result.
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

// config returns the client's configuration, as the file and the arguments say.
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

// newClient makes the client. Without a file it is unknown what the classes allow: then their jobs are
// never repeated once they may have run.
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

// body returns the body that --data gives.
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

// closeReadOnly closes a file that was only read: an error loses nothing.
func closeReadOnly(f io.Closer) { _ = f.Close() }

func readLimited(in io.Reader, name string, maxBytes int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(in, int64(maxBytes)+1))
	if err == nil && len(b) > maxBytes {
		err = usageError("%s: over %d bytes", name, maxBytes)
	}
	return b, err
}

// deadline is when a job's caller gives up, by the span of its line or else by --within; zero: the class's
// own deadline holds.
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

// exitStatus is the exit status for how a job ended.
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

// describe says how a job ended, and when to submit it again where that is known.
func describe(err error) string {
	var refused *client.RefusedError
	if errors.As(err, &refused) {
		if wait := time.Until(refused.RetryAfter); wait > 0 {
			return fmt.Sprintf("%v; come back in %v", err, wait.Round(10*time.Millisecond))
		}
	}
	return err.Error()
}
