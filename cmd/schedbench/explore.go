package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"

	"dahliaford/internal/modelcheck"
)

type exploreCmd struct {
	World    string        `help:"The world to explore (see --list)." default:"attempt"`
	Budget   time.Duration `help:"Longest time to go on, for example 45s; left out: to the end." default:"-1ns"`
	Seed     uint64        `help:"Seed of a walk." default:"1"`
	Out      string        `help:"Folder for the trace of a counterexample." default:"found" type:"path"`
	List     bool          `help:"List the worlds and the properties."`
	Replay   string        `help:"Play a trace again, step by step." placeholder:"TRACE" type:"path"`
	Walk     bool          `help:"Walk a larger world deep, at random; --world large-NAME: its rules."`
	Requests int           `help:"So many requests instead of the world's own." default:"0"`
	Workers  int           `help:"So many workers instead of the world's own." default:"0"`
	Faults   int           `help:"So many faults in all instead of the world's own." default:"-1"`
	Parallel int           `help:"How many goroutines search; 0: one for each core." default:"0"`
	Engine   string        `help:"The way states are made." enum:"copy,replay" default:"copy"`
	Coverage bool          `help:"Print the table of events by stages of an attempt."`
}

// searchMemory is where the collector begins to work harder, in bytes.
const searchMemory = 12 << 30

// summary is the last line on standard output.
type summary struct {
	World       string   `json:"world"`
	States      int64    `json:"states"`
	Transitions int64    `json:"transitions"`
	Depth       int      `json:"depth"`
	Exhausted   bool     `json:"exhausted"`
	Violations  int      `json:"violations"`
	Property    string   `json:"property,omitempty"`
	Trace       string   `json:"trace,omitempty"`
	Seconds     float64  `json:"seconds"`
	PerSecond   float64  `json:"states_per_s"`
	Missed      []string `json:"missed,omitempty"`
}

func (c *exploreCmd) Run() error {
	switch {
	case c.List:
		return list(os.Stdout)
	case c.Replay != "":
		return replay(os.Stdout, c.Replay)
	case c.Budget == 0 || c.Budget < -1:
		return misuse("--budget must be longer than nothing")
	case c.Parallel < 0:
		return misuse("--parallel must not be negative")
	}
	// States are many and short-lived: the collector may let them pile up.
	debug.SetGCPercent(600)
	debug.SetMemoryLimit(searchMemory)
	ctx, cancel := context.WithCancel(context.Background())
	if c.Budget > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.Budget)
	}
	defer cancel()
	began := time.Now()
	opt := modelcheck.Options{Parallel: c.Parallel, ReplayStates: c.Engine == "replay"}
	tty := isatty.IsTerminal(os.Stderr.Fd())
	if tty {
		opt.Progress = func(states, steps int64) {
			fmt.Fprintf(os.Stderr, "\r%12d states %12d transitions %6.0f s ", states, steps,
				time.Since(began).Seconds())
		}
	}
	var r *modelcheck.Result
	var err error
	var cfg *modelcheck.Config
	if c.Walk {
		if cfg = modelcheck.LargeWorld(); strings.HasPrefix(c.World, cfg.Name+"-") {
			if cfg, err = modelcheck.WorldByName(c.World); err != nil {
				return misuse("%v", err)
			}
		}
		r, err = modelcheck.RandomWalk(ctx, cfg, c.Seed, opt)
	} else {
		if cfg, err = modelcheck.WorldByName(c.World); err != nil {
			return misuse("%v", err)
		}
		if cfg, err = cfg.Resize(c.Requests, c.Workers, c.Faults); err != nil {
			return misuse("%v", err)
		}
		r, err = modelcheck.Search(ctx, cfg, opt)
	}
	if tty {
		fmt.Fprintln(os.Stderr)
	}
	if err != nil {
		return err
	}
	return c.tell(os.Stdout, cfg, r, time.Since(began))
}

// tell prints the outcome: a table, and then the summary.
func (c *exploreCmd) tell(out io.Writer, cfg *modelcheck.Config, r *modelcheck.Result, took time.Duration) error {
	s := summary{World: r.World, States: r.States, Transitions: r.Transitions, Depth: r.Depth,
		Exhausted: r.Exhausted,
		Seconds:   took.Seconds(), PerSecond: float64(r.States) / took.Seconds()}
	if c.Coverage {
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		for _, line := range r.Coverage.Table() {
			for _, cell := range line {
				fmt.Fprint(table, cell, "\t")
			}
			fmt.Fprintln(table)
		}
		table.Flush()
		s.Missed = r.Coverage.Uncovered()
	}
	if r.Violation != nil {
		s.Violations, s.Property = 1, r.Violation.Property.String()
		trace := modelcheck.NewTrace(cfg, r.Path, r.Violation)
		raw, err := json.MarshalIndent(trace, "", "  ")
		if err != nil {
			return err
		}
		if err := os.MkdirAll(c.Out, 0o777); err != nil {
			return err
		}
		s.Trace = filepath.Join(c.Out, s.World+"-"+s.Property+".json")
		if err := os.WriteFile(s.Trace, append(raw, '\n'), 0o666); err != nil {
			return err
		}
		fmt.Fprintf(out, "broken: %v\n", r.Violation)
		fmt.Fprintf(out, "trace: %s (%d steps)\n", s.Trace, len(r.Path))
	}
	line, err := json.Marshal(s)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", line)
	if r.Violation != nil {
		return exit{status: broken}
	}
	return nil
}

func list(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range append(modelcheck.Worlds(), modelcheck.LargeWorld()) {
		fmt.Fprintf(table, "%s\t%s\n", c.Name, c.About)
	}
	fmt.Fprintln(table)
	for i, p := range modelcheck.Properties() {
		fmt.Fprintf(table, "%d %s\t%s\n", i+1, p, p.About())
	}
	return table.Flush()
}

// replay plays a trace again, in words.
func replay(out io.Writer, path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return misuse("%v", err)
	}
	trace, err := modelcheck.ReadTrace(raw)
	if err != nil {
		return misuse("%s: %v", path, err)
	}
	fmt.Fprintf(out, "world %s; the trace says: %s: %s\n", trace.World, trace.Property, trace.Text)
	v, err := trace.Replay(func(line string) { fmt.Fprintln(out, line) })
	if err != nil {
		return err
	}
	switch {
	case v.DivergedAt > 0:
		fmt.Fprintf(out, "the code no longer does what the trace says: step %d cannot be taken\n", v.DivergedAt)
	case v.Violation == nil:
		fmt.Fprintln(out, "the code no longer does what the trace says: nothing breaks")
	default:
		fmt.Fprintf(out, "broken: %v\n", v.Violation)
		return exit{status: broken}
	}
	return nil
}
