package modelcheck

import (
	"strings"
	"testing"
)

// bounded is a world with fewer faults, so that CI can see it to its end.
func bounded(t *testing.T, name string, maxFaults uint8) *Config {
	t.Helper()
	cfg, err := WorldByName(name)
	if err != nil {
		t.Fatal(err)
	}
	cfg.MaxFaults = maxFaults
	return cfg
}

// The part of the worlds that CI explores, to the end: with so many faults at most. Of those of other
// settings it leaves out what costs most and is seen under the usual ones.
func TestWorlds(t *testing.T) {
	all := &Coverage{}
	for _, c := range []struct {
		name      string
		maxFaults uint8
		without   []Fault
	}{
		{"attempt", 2, nil}, {"keyed", 1, nil}, {"link", 1, nil}, {"list", 1, nil}, {"crash", 1, nil},
		{"late", 1, nil}, {"reused", 3, []Fault{FaultAtCapacity}}, {"drains", 1, nil}, {"turned", 5, nil},
		{"forbidden", 1, []Fault{FaultProcessCrash}},
		{"leaves", 2, []Fault{FaultDuplicateID, FaultJobHandedBack}},
		{"pushed", 1, []Fault{FaultConnectionBroken, FaultEndpointStatus}},
		{"asked", 1, []Fault{FaultConnectionBroken, FaultEndpointStatus}},
		{"copies", 1, []Fault{FaultConnectionBroken}}, {"two", 2, nil},
	} {
		if raceEnabled && c.name != "late" {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			cfg := bounded(t, c.name, c.maxFaults)
			for _, f := range c.without {
				cfg.Faults[f] = 0
			}
			r, err := Search(t.Context(), cfg, Options{})
			if err != nil {
				t.Fatal(err)
			}
			if r.Violation != nil {
				t.Fatalf("%v\n%s", r.Violation, account(cfg, r))
			}
			if !r.Exhausted {
				t.Errorf("not explored to the end: %+v", r)
			}
			t.Logf("%d states, %d transitions, %d deep", r.States, r.Transitions, r.Depth)
			all.add(r.Coverage)
		})
	}
	if uncovered := all.Uncovered(); !raceEnabled && len(uncovered) > 0 {
		t.Logf("not met with so few faults: %s", strings.Join(uncovered, "; "))
	}
}

// account lists the steps of a violation, for the log of a failed test.
func account(cfg *Config, r *Result) string {
	var lines []string
	for _, s := range NewTrace(cfg, r.Path, r.Violation).Steps {
		lines = append(lines, s.Action+"\t"+s.Description)
		for _, effect := range s.Effects {
			lines = append(lines, "\t\t-> "+effect)
		}
	}
	return strings.Join(lines, "\n")
}

// What a world says of its settings is what the program gets.
func TestRulesReachTheSettings(t *testing.T) {
	type got struct {
		cancelAllowed, hedgingAllowed      bool
		maxAttempts                        int
		poll, staleness, progress, connect Micros
	}
	for name, want := range map[string]got{
		"attempt":   {true, false, 4, defaultPollInterval, 0, 0, connectTimeout},
		"forbidden": {false, false, 4, defaultPollInterval, 0, 0, connectTimeout},
		"leaves":    {false, false, 4, defaultPollInterval, maxStaleness, 0, connectTimeout},
		"pushed":    {true, false, 4, defaultPollInterval, maxStaleness, 0, connectTimeout},
		"asked":     {true, false, 4, 400 * millisecond, maxStaleness, 0, connectTimeout},
		"copies":    {true, true, 4, defaultPollInterval, 0, 100 * millisecond, connectTimeout},
		"two":       {true, false, 2, defaultPollInterval, 0, 0, connectTimeout},
	} {
		cfg := bounded(t, name, 0)
		if err := cfg.prepare(); err != nil {
			t.Fatal(err)
		}
		s := &cfg.settings.Dispatch
		is := got{s.CancelAllowed, s.HedgingAllowed, s.MaxAttempts, s.PollInterval, s.MaxStaleness,
			s.ProgressInterval, s.ConnectTimeout}
		if is != want || !s.PollEndpoints {
			t.Errorf("%s: %+v, want %+v", name, is, want)
		}
	}
}
