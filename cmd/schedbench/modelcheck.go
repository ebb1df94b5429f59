package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/mattn/go-isatty"

	"dahliaford/internal/modelcheck"
)

// modelCheckCmd explores a world of the model checker, walks one, lists them, or replays a trace.
type modelCheckCmd struct {
	World    string        `help:"The world to explore (see --list)." default:"attempt"`
	Budget   time.Duration `help:"Longest time to go on, for example 45s; left out: to the end." default:"-1ns"`
	Seed     uint64        `help:"Seed of a walk." default:"1"`
	Out      string        `help:"Folder for the trace of a counterexample." default:"found" type:"path"`
	List     bool          `help:"List the worlds and the properties."`
	Replay   string        `help:"Replay a trace, step by step." placeholder:"TRACE" type:"path"`
	Walk     bool          `help:"Take long random paths through a larger world; --world large-NAME: its rules."`
	Requests int           `help:"So many requests instead of the world's own." default:"0"`
	Workers  int           `help:"So many workers instead of the world's own." default:"0"`
	Faults   int           `help:"So many faults in all instead of the world's own." default:"-1"`
	Parallel int           `help:"How many goroutines search; 0: one for each core." default:"0"`
	Engine   string        `help:"The way states are made." enum:"copy,replay" default:"copy"`
	Coverage bool          `help:"Print the table of events by stages of an attempt."`
}

// noBudget is the value of --budget when it is left out.
const noBudget = time.Duration(-1)

// States are many and short-lived: the collector may let them pile up.
const (
	searchGCPercent = 600
	searchMemory    = 12 << 30 // where the collector begins to work harder, in bytes
)

// Run explores, walks, lists or replays, by the flags.
func (c *modelCheckCmd) Run() error {
	switch {
	case c.List:
		listWorlds()
		return nil
	case c.Replay != "":
		return replayTrace(c.Replay)
	case c.Budget == 0 || c.Budget < noBudget:
		return usageError("--budget must be longer than nothing")
	case c.Parallel < 0:
		return usageError("--parallel must not be negative")
	}
	cfg, err := c.config()
	if err != nil {
		return usageError("%v", err)
	}
	debug.SetGCPercent(searchGCPercent)
	debug.SetMemoryLimit(searchMemory)
	ctx, cancel := context.WithCancel(context.Background())
	if c.Budget > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.Budget)
	}
	defer cancel()
	began := time.Now()
	result, err := c.search(ctx, cfg)
	if err != nil {
		return err
	}
	return c.report(cfg, result, time.Since(began))
}

// config is the world that is explored. A walk goes through the large one unless --world names another whose
// name begins like its own: one of WalkedWorlds, or the large one with the rules of another.
func (c *modelCheckCmd) config() (*modelcheck.Config, error) {
	if c.Walk {
		large := modelcheck.LargeWorld()
		if strings.HasPrefix(c.World, large.Name+"-") {
			return modelcheck.WorldByName(c.World)
		}
		return large, nil
	}
	cfg, err := modelcheck.WorldByName(c.World)
	if err != nil {
		return nil, err
	}
	return cfg.Resize(c.Requests, c.Workers, c.Faults)
}

// search explores or walks a world. It shows its progress on a terminal.
func (c *modelCheckCmd) search(ctx context.Context, cfg *modelcheck.Config) (*modelcheck.Result, error) {
	opt := modelcheck.Options{Parallel: c.Parallel, ReplayStates: c.Engine == "replay"}
	if isatty.IsTerminal(os.Stderr.Fd()) {
		began := time.Now()
		opt.Progress = func(states, transitions int64) {
			fmt.Fprintf(os.Stderr, "\r%12d states %12d transitions %6.0f s ", states, transitions,
				time.Since(began).Seconds())
		}
		defer fmt.Fprintln(os.Stderr)
	}
	if c.Walk {
		return modelcheck.RandomWalk(ctx, cfg, c.Seed, opt)
	}
	return modelcheck.Search(ctx, cfg, opt)
}
