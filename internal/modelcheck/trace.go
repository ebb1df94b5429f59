package modelcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// traceFormat is the version of the format of trace files.
const traceFormat = 1

// Trace is a path to a state that violates a property, in the format of trace files.
type Trace struct {
	Format    int    `json:"format"`
	World     string `json:"world"`
	Requests  int    `json:"requests,omitempty"` // number of requests; 0 means the number in the Config
	Workers   int    `json:"workers,omitempty"`  // number of workers; 0 means the number in the Config
	MaxFaults *int   `json:"faults,omitempty"`   // limit on all faults; nil means the limit in the Config
	Property  string `json:"property"`
	Text      string `json:"text"` // description of the violation
	Steps     []Step `json:"steps"`
}

// Step is one step of a trace. A replay uses Action only; the other fields are descriptions for readers.
type Step struct {
	Action      string   `json:"do"`
	Description string   `json:"words"`
	Effects     []string `json:"then,omitempty"` // effects that the scheduler returned after the action
}

// NewTrace returns the trace of a path that a search or a walk found to a violation.
func NewTrace(cfg *Config, path []Action, violation *Violation) *Trace {
	maxFaults := int(cfg.MaxFaults)
	t := &Trace{Format: traceFormat, World: cfg.Name, Requests: len(cfg.Requests), Workers: len(cfg.Racks),
		MaxFaults: &maxFaults, Property: violation.Property.String(), Text: violation.Text}
	w, err := newWorld(cfg)
	if err != nil {
		return t
	}
	for _, a := range path {
		var notes []string
		w.notes = &notes
		step := Step{Action: a.String(), Description: w.describe(a)}
		w.apply(a)
		step.Effects = slices.Clone(notes[1:])
		t.Steps = append(t.Steps, step)
	}
	return t
}

// ReadTrace parses and checks a trace file. The text of an error is one line.
func ReadTrace(raw []byte) (*Trace, error) {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	var t Trace
	if err := in.Decode(&t); err != nil {
		return nil, fmt.Errorf("not a trace: %w", err)
	}
	if in.More() {
		return nil, errors.New("not a trace: something follows the JSON object")
	}
	if t.Format != traceFormat {
		return nil, fmt.Errorf("trace has format %d, but this program reads only format %d", t.Format, traceFormat)
	}
	if _, err := t.config(); err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(Properties(), func(p Property) bool { return p.String() == t.Property }) {
		return nil, fmt.Errorf("unknown property %q", t.Property)
	}
	if _, err := t.path(); err != nil {
		return nil, err
	}
	return &t, nil
}

func (t *Trace) config() (*Config, error) {
	cfg, err := WorldByName(t.World)
	if err != nil {
		return nil, err
	}
	maxFaults := -1
	if t.MaxFaults != nil {
		maxFaults = *t.MaxFaults
	}
	return cfg.Resize(t.Requests, t.Workers, maxFaults)
}

func (t *Trace) path() ([]Action, error) {
	var path []Action
	for i, s := range t.Steps {
		a, err := parseAction(s.Action)
		if err != nil {
			return nil, fmt.Errorf("step %d: %w", i+1, err)
		}
		path = append(path, a)
	}
	return path, nil
}

// ReplayResult is the outcome of a replay.
type ReplayResult struct {
	Violation  *Violation // nil if the replay violated no property
	DivergedAt int        // number, from 1, of the first step that was not enabled; 0 if there was none
}

// Replay performs the steps of a trace again. It calls printLine for each line of a log of steps and effects.
func (t *Trace) Replay(printLine func(string)) (*ReplayResult, error) {
	path, err := t.path()
	if err != nil {
		return nil, err
	}
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	w, err := newWorld(cfg)
	if err != nil {
		return nil, err
	}
	began := w.now
	for n, a := range path {
		if !w.allows(a) {
			printLine(fmt.Sprintf("%3d  step is not enabled in this state: %s", n+1, t.Steps[n].Description))
			return &ReplayResult{DivergedAt: n + 1}, nil
		}
		var notes []string
		w.notes = &notes
		at := duration(w.now - began)
		w.apply(a)
		printLine(fmt.Sprintf("%3d  %8v  %s", n+1, at, strings.TrimPrefix(notes[0], actionMark)))
		for _, note := range notes[1:] {
			printLine(effectIndent + note)
		}
		if w.violation != nil {
			return &ReplayResult{Violation: w.violation}, nil
		}
	}
	printLine("     in flight: " + w.inFlight())
	if !w.allAnswered() && !w.exited {
		return &ReplayResult{}, nil
	}
	return &ReplayResult{Violation: w.replaySettling(printLine)}, nil
}

const (
	actionIndent = "               "
	effectIndent = actionIndent + "-> "
)

// replaySettling calls settle, which continues the world to its end without further faults. If settle finds a
// violation, replaySettling prints the actions that settle performed and their effects.
func (w *World) replaySettling(printLine func(string)) *Violation {
	var notes []string
	w.notes = &notes
	violation := w.settle()
	if violation == nil {
		return nil
	}
	printLine("     violation in the continuation without further faults:")
	for _, note := range notes {
		if action, ok := strings.CutPrefix(note, actionMark); ok {
			printLine(actionIndent + action)
		} else {
			printLine(effectIndent + note)
		}
	}
	return violation
}
