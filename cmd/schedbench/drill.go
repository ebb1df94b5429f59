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

// drillCmd is the command that runs a drill, one of the tests and measurements in drills. A drill stops
// within the duration given by --for, and draws its random numbers from the seed.
type drillCmd struct {
	Name string        `arg:"" optional:"" help:"Name of the drill; without a name, the drills are listed."`
	For  time.Duration `help:"Maximum duration of the drill." default:"60s"`
	Seed uint64        `help:"Seed of all random draws." default:"1"`
	JSON bool          `name:"json" help:"Print only the line of JSON."`
	Keep string        `help:"Folder to write the table and the charts to." type:"path"`
}

// report is the result of a drill (a test or measurement) or of a run of the command scale. The table is
// printed to standard output before the line of JSON.
type report struct {
	ok      bool           // every check of the run passed
	figures map[string]any // results for the line of JSON, by key
	table   [][]string     // rows of the printed table, each a list of cells
	chart   chart          // nil if the run has no chart
}

// drillFunc runs a drill, a test or measurement, until its context ends. It calls progress with lines about
// its progress.
type drillFunc func(ctx context.Context, seed uint64, progress progressFunc) (*report, error)

// progressFunc prints a formatted line about the progress of a drill.
type progressFunc func(format string, args ...any)

// drill is a test or measurement with the description that the list of drills shows.
type drill struct {
	description string
	run         drillFunc
}

// attemptDrillMargin and clientDrillMargin are the parts of a drill's duration that are reserved for
// finishing open jobs, stopping processes and checking the results.
const (
	attemptDrillMargin = 15 * time.Second
	clientDrillMargin  = 8 * time.Second
)

// drills maps names to drills, which are tests with injected faults and measurements.
var drills = map[string]drill{
	"attempt": {"run the real scheduler against fakes that inject all permitted faults; check what they saw",
		withScheduler(attemptDrillMargin, runAttemptDrill)},
	"desk": {"compare the client library with plain clients while real schedulers stop and restart",
		withScheduler(clientDrillMargin, runClientDrill)},
	"disk": {"kill a process that stores items at random times; check that no confirmed step is lost",
		runDiskDrill},
	"engines": {"measure embedded stores: accepts on disk per second, opening after a kill, disk space, memory",
		runEnginesDrill},
	"mutants": {"build the program with one seeded fault at a time; check that the model checker finds it",
		runMutantDrill},
}

// drillAliases maps each former name of a drill to its present name.
var drillAliases = map[string]string{"planted": "mutants"}

// Run runs the named drill, or lists the drills if no name is given.
func (c *drillCmd) Run() error {
	if c.Name == "" {
		for _, name := range slices.Sorted(maps.Keys(drills)) {
			fmt.Printf("%s\t%s\n", name, drills[name].description)
		}
		return nil
	}
	d, err := drillByName(c.Name)
	if err != nil {
		return err
	}
	if c.For <= 0 {
		return usageError("--for must be longer than 0s")
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

// drillByName returns the drill with a name. It also accepts the former names in drillAliases.
func drillByName(name string) (drill, error) {
	if canonical, ok := drillAliases[name]; ok {
		name = canonical
	}
	d, known := drills[name]
	if !known {
		return drill{}, usageError("unknown drill %q: want one of %s", name,
			strings.Join(slices.Sorted(maps.Keys(drills)), ", "))
	}
	return d, nil
}

// print prints a report, and writes it to the folder of --keep if one is given. It returns an error with
// exitViolation if a check of the drill failed.
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
		if err := r.save(c.Keep, c.Name, raw); err != nil {
			return err
		}
	}
	if !r.ok {
		return exitError{status: exitViolation}
	}
	return nil
}

// printTable prints rows of cells in left-aligned columns.
func printTable(out io.Writer, lines [][]string) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, line := range lines {
		_, _ = fmt.Fprintln(table, strings.Join(line, "\t")) // flush explains why write errors are ignored
	}
	flush(table)
}

// printRightAligned prints rows of cells in right-aligned columns.
func printRightAligned(out io.Writer, lines [][]string) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, line := range lines {
		_, _ = fmt.Fprintln(table, strings.Join(line, "\t")+"\t") // flush explains why write errors are ignored
	}
	flush(table)
}

// flush writes out a table. Write errors are ignored: the table goes to a buffer in memory, which does not
// fail, or to standard output, and a failed standard output leaves nowhere to report the error.
func flush(table *tabwriter.Writer) { _ = table.Flush() }
