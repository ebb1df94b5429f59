package modelcheck

import (
	"strings"
	"testing"
)

// bounded returns the world (simulated configuration) of the given name with maxFaults as the limit on the
// faults of all kinds together, so that a complete search is possible in CI.
func bounded(t *testing.T, name string, maxFaults uint8) *Config {
	t.Helper()
	cfg, err := WorldByName(name)
	if err != nil {
		t.Fatal(err)
	}
	cfg.MaxFaults = maxFaults
	return cfg
}

// TestWorlds explores worlds (simulated configurations) completely with a limit on faults that CI can afford,
// and checks that no property is violated. For worlds with overridden settings it leaves out the faults that
// add the most states and that worlds with the default settings cover.
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
				t.Fatalf("%v\n%s", r.Violation, formatSteps(cfg, r))
			}
			if !r.Exhausted {
				t.Errorf("search did not visit all states of the world: got result %+v, want Exhausted set", r)
			}
			t.Logf("search visited %d states and %d transitions, longest path %d actions", r.States,
				r.Transitions, r.Depth)
			all.add(r.Coverage)
		})
	}
	if uncovered := all.Uncovered(); !raceEnabled && len(uncovered) > 0 {
		t.Logf("pairs of event and attempt stage that did not occur with these limits on faults: %s",
			strings.Join(uncovered, "; "))
	}
}

// formatSteps lists the steps and effects of a violation for the log of a failed test.
func formatSteps(cfg *Config, r *Result) string {
	var lines []string
	for _, s := range NewTrace(cfg, r.Path, r.Violation).Steps {
		lines = append(lines, s.Action+"\t"+s.Description)
		for _, effect := range s.Effects {
			lines = append(lines, "\t\t-> "+effect)
		}
	}
	return strings.Join(lines, "\n")
}

// TestRulesReachTheSettings checks that the overrides of a world (simulated configuration) are applied to the
// settings of its scheduler.
func TestRulesReachTheSettings(t *testing.T) {
	type applied struct {
		cancelAllowed, hedgingAllowed      bool
		maxAttempts                        int
		poll, staleness, progress, connect Micros
	}
	for name, want := range map[string]applied{
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
		got := applied{s.CancelAllowed, s.HedgingAllowed, s.MaxAttempts, s.PollInterval, s.MaxStaleness,
			s.ProgressInterval, s.ConnectTimeout}
		if got != want || !s.PollEndpoints {
			t.Errorf("world %s: got settings %+v, want %+v", name, got, want)
		}
	}
}
