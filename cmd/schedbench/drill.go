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

// drillCmd runs a drill: bounded in time, the same with the same seed.
type drillCmd struct {
	Name string        `arg:"" optional:"" help:"The drill; left out: list them."`
	For  time.Duration `help:"Longest time to go on." default:"60s"`
	Seed uint64        `help:"Seed of all that is random." default:"1"`
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

// drillFunc runs a drill until its context ends. It reports its progress to say.
type drillFunc func(ctx context.Context, seed uint64, say progressFunc) (*report, error)

// progressFunc prints a line about the progress of a drill.
type progressFunc func(format string, args ...any)

// drill is one drill, and what it is about.
type drill struct {
	about string
	run   drillFunc
}

// spareAttempt and spareClients are what the ends of these drills take of their time.
const (
	spareAttempt = 15 * time.Second
	spareClients = 8 * time.Second
)

var drills = map[string]drill{
	"attempt": {"the real program against fakes that inject every fault they may; checks what all of them saw",
		withScheduler(spareAttempt, attemptDrill)},
	"desk": {"clients of the library beside plain ones, at real schedulers that stop and restart",
		withScheduler(spareClients, clientDrill)},
	"disk": {"a process that stores items is killed at random; all that was confirmed must be there", diskKills},
	"engines": {"embedded stores under a job store: accepts on disk, opening after a kill, space, memory",
		engines},
	"mutants": {"builds the program with one fault at a time, and lets the model checker find it", mutantDrill},
}

// drillAliases are the former names of drills.
var drillAliases = map[string]string{"planted": "mutants"}

// Run runs the drill, or lists them.
func (c *drillCmd) Run() error {
	if c.Name == "" {
		for _, name := range slices.Sorted(maps.Keys(drills)) {
			fmt.Printf("%s\t%s\n", name, drills[name].about)
		}
		return nil
	}
	d, err := drillByName(c.Name)
	if err != nil {
		return err
	}
	if c.For <= 0 {
		return usageError("--for must be longer than nothing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.For)
	defer cancel()
	r, err := d.run(ctx, c.Seed, func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	})
	if err != nil {
		return err
	}
	return c.print(r)
}

func drillByName(name string) (drill, error) {
	if canonical, ok := drillAliases[name]; ok {
		name = canonical
	}
	d, known := drills[name]
	if !known {
		return drill{}, usageError("unknown drill %q: there are %s", name,
			strings.Join(slices.Sorted(maps.Keys(drills)), ", "))
	}
	return d, nil
}

// print prints a report and keeps it if asked to. It returns an error with exitViolation if the drill failed.
func (c *drillCmd) print(r *report) error {
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
		return exitError{status: exitViolation}
	}
	return nil
}

// printTable prints lines of cells in columns.
func printTable(out io.Writer, lines [][]string) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, line := range lines {
		_, _ = fmt.Fprintln(table, strings.Join(line, "\t")) // see flush
	}
	flush(table)
}

// printRightAligned prints lines of cells in columns that are aligned at their right.
func printRightAligned(out io.Writer, lines [][]string) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, line := range lines {
		_, _ = fmt.Fprintln(table, strings.Join(line, "\t")+"\t") // see flush
	}
	flush(table)
}

// flush ends a table. It goes to a buffer, or to standard output, whose errors nobody could be shown.
func flush(table *tabwriter.Writer) { _ = table.Flush() }
