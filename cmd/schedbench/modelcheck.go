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

// modelCheckCmd is the command that runs the model checker. A world is a small configuration of clients,
// schedulers and workers with a set of possible faults. The command explores all states of a world, takes
// random walks through a large world, lists the worlds, or replays a trace.
type modelCheckCmd struct {
	World    string        `help:"The world to explore (see --list)." default:"attempt"`
	Budget   time.Duration `help:"Maximum duration of the search, such as 45s; default: none." default:"-1ns"`
	Seed     uint64        `help:"Seed of the random walk." default:"1"`
	Out      string        `help:"Folder for the trace of a counterexample." default:"found" type:"path"`
	List     bool          `help:"List the worlds and the properties."`
	Replay   string        `help:"Replay a trace step by step." placeholder:"TRACE" type:"path"`
	Walk     bool          `help:"Walk a large world at random; --world large-NAME selects another one."`
	Requests int           `help:"Number of requests; 0: the world's own." default:"0"`
	Workers  int           `help:"Number of workers; 0: the world's own." default:"0"`
	Faults   int           `help:"Maximum number of faults in all; -1: the world's own." default:"-1"`
	Parallel int           `help:"Number of goroutines that search; 0: one for each core." default:"0"`
	Engine   string        `help:"Make states by copying or by replaying." enum:"copy,replay" default:"copy"`
	Coverage bool          `help:"Print the counts of events by the stage of an attempt."`
}

// unlimitedBudget is the default of --budget. The search then has no time limit.
const unlimitedBudget = time.Duration(-1)

// Settings of the garbage collector for a search. A search allocates many short-lived states, so rare
// collections make the search faster.
const (
	searchGCPercent   = 600
	searchMemoryLimit = 12 << 30 // memory in bytes near which the garbage collector runs more often
)

// Run does what the flags select: it explores all states of a world (a small configuration of clients,
// schedulers and workers), takes random walks through a large world, lists the worlds, or replays a trace.
func (c *modelCheckCmd) Run() error {
	switch {
	case c.List:
		listWorlds()
		return nil
	case c.Replay != "":
		return replayTrace(c.Replay)
	case c.Budget == 0 || c.Budget < unlimitedBudget:
		return usageError("--budget must be longer than 0s")
	case c.Parallel < 0:
		return usageError("--parallel must not be negative")
	}
	cfg, err := c.config()
	if err != nil {
		return usageError("%v", err)
	}
	debug.SetGCPercent(searchGCPercent)
	debug.SetMemoryLimit(searchMemoryLimit)
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

// config returns the world, a simulated configuration, that the command explores. A walk takes the large
// world unless --world is that world's name followed by a hyphen and a suffix. Such a name selects one of
// WalkedWorlds, or the large world with the settings of another world.
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

// search explores all states of a world (a simulated configuration), or takes random walks through the world.
// It prints its progress if standard error is a terminal.
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
