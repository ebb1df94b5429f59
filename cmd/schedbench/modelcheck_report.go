package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"dahliaford/internal/modelcheck"
)

// searchSummary is the result of a search by the model checker. The command prints it as JSON in the last
// line of standard output.
type searchSummary struct {
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
	Uncovered   []string `json:"missed,omitempty"`
}

// report prints the result of a search: the coverage table if --coverage is set, the violation if there is
// one, and then the summary. It returns an error with exitViolation if there is a violation.
func (c *modelCheckCmd) report(cfg *modelcheck.Config, r *modelcheck.Result, took time.Duration) error {
	s := searchSummary{World: r.World, States: r.States, Transitions: r.Transitions, Depth: r.Depth,
		Exhausted: r.Exhausted, Seconds: took.Seconds(), PerSecond: float64(r.States) / took.Seconds()}
	if c.Coverage {
		printRightAligned(os.Stdout, r.Coverage.Table())
		s.Uncovered = r.Coverage.Uncovered()
	}
	if r.Violation != nil {
		s.Violations, s.Property = 1, r.Violation.Property.String()
		var err error
		if s.Trace, err = c.writeTrace(modelcheck.NewTrace(cfg, r.Path, r.Violation)); err != nil {
			return err
		}
		fmt.Printf("broken: %v\n", r.Violation)
		fmt.Printf("trace: %s (%d steps)\n", s.Trace, len(r.Path))
	}
	line, err := json.Marshal(s)
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", line)
	if r.Violation != nil {
		return exitError{status: exitViolation}
	}
	return nil
}

// writeTrace writes a trace to a file in the folder of --out and returns the path of the file.
func (c *modelCheckCmd) writeTrace(trace *modelcheck.Trace) (string, error) {
	raw, err := json.MarshalIndent(trace, "", "  ")
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(c.Out, 0o777); err != nil {
		return "", err
	}
	path := filepath.Join(c.Out, trace.World+"-"+trace.Property+".json")
	return path, os.WriteFile(path, append(raw, '\n'), 0o666)
}

// listWorlds prints the worlds (the configurations that the model checker can explore) and the checked
// properties, each with a description.
func listWorlds() {
	var table [][]string
	for _, c := range slices.Concat(modelcheck.Worlds(), modelcheck.WalkedWorlds()) {
		table = append(table, []string{c.Name, c.About})
	}
	table = append(table, nil)
	for i, p := range modelcheck.Properties() {
		table = append(table, []string{fmt.Sprintf("%d %s", i+1, p), p.About()}) // number, name
	}
	printTable(os.Stdout, table)
}

// replayTrace replays the trace in a file and prints each step. It returns an error with exitViolation if the
// replay violates a property.
func replayTrace(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return usageError("%v", err)
	}
	trace, err := modelcheck.ReadTrace(raw)
	if err != nil {
		return usageError("read the trace in %s: %v", path, err)
	}
	fmt.Printf("world %s; recorded violation: %s: %s\n", trace.World, trace.Property, trace.Text)
	result, err := trace.Replay(func(line string) { fmt.Println(line) })
	if err != nil {
		return err
	}
	switch {
	case result.DivergedAt > 0:
		fmt.Printf("the code no longer follows the trace: step %d is not possible\n", result.DivergedAt)
	case result.Violation == nil:
		fmt.Println("the code no longer shows the recorded violation: the replay violates no property")
	default:
		fmt.Printf("broken: %v\n", result.Violation)
		return exitError{status: exitViolation}
	}
	return nil
}
