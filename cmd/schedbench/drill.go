package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// drillCmd runs an experiment: bounded in time, the same with the same seed.
type drillCmd struct {
	Name string        `arg:"" optional:"" help:"The drill; left out: list them."`
	For  time.Duration `help:"Longest time to go on." default:"60s"`
	Seed uint64        `help:"Seed of all that is left to chance." default:"1"`
	JSON bool          `name:"json" help:"Only the line of JSON."`
	Keep string        `help:"Folder to keep the table and the charts in." type:"path"`
}

// report is what a drill found. Its table goes to standard output before the line.
type report struct {
	ok      bool
	figures map[string]any
	table   [][]string
	chart   chart // nil: there is none
}

// experiment is what a drill runs until its context ends. Progress goes to say.
type experiment func(ctx context.Context, seed uint64, say sayer) (*report, error)

type sayer func(format string, args ...any)

// drill is one experiment, with its name's meaning.
type drill struct {
	about string
	run   experiment
}

var drills = map[string]drill{
	"attempt": {"the real program against stand-ins that do wrong whatever they may; checks what all saw",
		onProgram(15*time.Second, attempts)},
	"desk": {"desks of the library beside plain ones, at real schedulers that go and come back",
		onProgram(8*time.Second, clientDrill)},
	"disk": {"a process that stores items is killed at random; all that was confirmed must be there", diskKills},
	"engines": {"embedded stores under a job store: accepts on disk, opening after a kill, space, memory",
		engines},
	"planted": {"plants faults in the program, one build each, and lets the explorer find them",
		planting},
}

func (c *drillCmd) Run() error {
	if c.Name == "" {
		for _, name := range slices.Sorted(maps.Keys(drills)) {
			fmt.Printf("%s\t%s\n", name, drills[name].about)
		}
		return nil
	}
	d, known := drills[c.Name]
	switch {
	case !known:
		return misuse("unknown drill %q: there are %s", c.Name, strings.Join(slices.Sorted(maps.Keys(drills)),
			", "))
	case c.For <= 0:
		return misuse("--for must be longer than nothing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.For)
	defer cancel()
	r, err := d.run(ctx, c.Seed, func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, format+"\n",
			args...)
	})
	if err != nil {
		return err
	}
	if !c.JSON {
		printTable(os.Stdout, r.table)
	}
	line := map[string]any{"drill": c.Name, "ok": r.ok, "seed": c.Seed}
	maps.Copy(line, r.figures)
	raw, err := json.Marshal(line)
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	if c.Keep != "" {
		if err := r.keep(c.Keep, c.Name, raw); err != nil {
			return err
		}
	}
	if !r.ok {
		return exit{status: broken}
	}
	return nil
}

func printTable(out io.Writer, lines [][]string) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, line := range lines {
		fmt.Fprintln(table, strings.Join(line, "\t"))
	}
	table.Flush()
}
