package modelcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// traceFormat numbers the form of trace files.
const traceFormat = 1

// Trace is a path to a state that broke a property, in a form that can be kept.
type Trace struct {
	Format    int    `json:"format"`
	World     string `json:"world"`
	Requests  int    `json:"requests,omitempty"` // 0: as the world has them
	Workers   int    `json:"workers,omitempty"`  // 0: as the world has them
	MaxFaults *int   `json:"faults,omitempty"`   // null: as the world has them
	Property  string `json:"property"`
	Text      string `json:"text"` // how it broke
	Steps     []Step `json:"steps"`
}

// Step is one step of a trace. Do is what is replayed; Words are for people.
type Step struct {
	Action      string   `json:"do"`
	Description string   `json:"words"`
	Effects     []string `json:"then,omitempty"` // what the scheduler did
}

// NewTrace makes a trace of what a search or a walk found.
func NewTrace(cfg *Config, path []Action, broke *Violation) *Trace {
	most := int(cfg.MaxFaults)
	t := &Trace{Format: traceFormat, World: cfg.Name, Requests: len(cfg.Requests), Workers: len(cfg.Racks),
		MaxFaults: &most, Property: broke.Property.String(), Text: broke.Text}
	w, err := newWorld(cfg)
	if err != nil {
		return t
	}
	for _, a := range path {
		var notes []string
		w.notes = &notes
		step := Step{Action: a.String(), Description: w.words(a)}
		w.apply(a)
		step.Effects = slices.Clone(notes[1:])
		t.Steps = append(t.Steps, step)
	}
	return t
}

// ReadTrace reads a trace. Errors are one line.
func ReadTrace(raw []byte) (*Trace, error) {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	var t Trace
	if err := in.Decode(&t); err != nil {
		return nil, fmt.Errorf("not a trace: %w", err)
	}
	if in.More() {
		return nil, fmt.Errorf("not a trace: something follows its object")
	}
	if t.Format != traceFormat {
		return nil, fmt.Errorf("a trace of format %d; this program reads format %d", t.Format, traceFormat)
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
	most := -1
	if t.MaxFaults != nil {
		most = *t.MaxFaults
	}
	return cfg.Resize(t.Requests, t.Workers, most)
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

func parseAction(text string) (Action, error) {
	words := strings.Fields(text)
	if len(words) == 3 {
		var a, b uint8
		kind := slices.Index(kindNames[:], words[0])
		if _, err := fmt.Sscanf(words[1]+" "+words[2], "%d %d", &a, &b); err == nil && kind >= 0 {
			return Action{ActionKind(kind), a, b}, nil
		}
	}
	return Action{}, fmt.Errorf("%q is no step", text)
}

// ReplayResult is what became of a trace that was played again.
type ReplayResult struct {
	Violation  *Violation // what broke; nil: nothing
	DivergedAt int        // the step that can no longer be taken, from 1; 0: all were
}

// Replay plays a trace again. say is called for each line of the account.
func (t *Trace) Replay(say func(string)) (*ReplayResult, error) {
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
			say(fmt.Sprintf("%3d  cannot be taken any more: %s", n+1, t.Steps[n].Description))
			return &ReplayResult{DivergedAt: n + 1}, nil
		}
		var notes []string
		w.notes = &notes
		at := span(w.now - began)
		w.apply(a)
		say(fmt.Sprintf("%3d  %8v  %s", n+1, at, strings.TrimPrefix(notes[0], "-- ")))
		for _, note := range notes[1:] {
			say("               -> " + note)
		}
		if w.broke != nil {
			return &ReplayResult{Violation: w.broke}, nil
		}
	}
	say("     in flight: " + w.flight())
	if !w.over() && !w.exited {
		return &ReplayResult{}, nil
	}
	var notes []string
	w.notes = &notes
	broke := w.settle()
	if broke != nil {
		say("     and if nothing else goes wrong from here on:")
		for _, note := range notes {
			if step, ok := strings.CutPrefix(note, "-- "); ok {
				say("               " + step)
			} else {
				say("               -> " + note)
			}
		}
	}
	return &ReplayResult{Violation: broke}, nil
}

// flight says what is on its way or held.
func (w *World) flight() string {
	var all []string
	for _, r := range w.routes {
		state := [...]string{"connecting", "written", "its answer on its way", "its end on its way",
			"half heard", "accepted", "our close on its way", "kept back"}[r.phase]
		all = append(all,
			fmt.Sprintf("attempt %d (%s to %s, %s)", r.attempt, w.txn(r.id), uid(int(r.worker)), state))
	}
	for _, j := range w.jobs {
		all = append(all, fmt.Sprintf("%s at %s, running %v", w.txn(j.id), uid(int(j.worker)), j.running))
	}
	for _, c := range w.calls {
		all = append(all, fmt.Sprintf("callback of %s about %s", uid(int(c.worker)), w.txn(c.id)))
	}
	for _, wd := range w.withdraws {
		all = append(all, fmt.Sprintf("DELETE of %s to %s", w.txn(wd.id), uid(int(wd.worker))))
	}
	if len(all) == 0 {
		return "nothing"
	}
	return strings.Join(all, "; ")
}
