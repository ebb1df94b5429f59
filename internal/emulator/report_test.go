package emulator

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The JSON keys of the report and their order are an interface to other programs. The keys must not change
// when a Go field is renamed.
func TestReportKeys(t *testing.T) {
	const (
		spread = `{"of":1,"n":2,"p50_ms":3,"p99_ms":4,"max_ms":5,"in_aim":6}`
		empty  = `{"n":0,"p50_ms":0,"p99_ms":0,"max_ms":0}`
		want   = `{"model":{"day":"","workers":0,"schedulers":0,"seed":0,"rate_per_s":0,"task_s":0,"seconds":0,` +
			`"jobs":0,"requests":0,"starts":0,"served":0,"refused":0,"gave_up":0,"failed":0,"invalid":0,"open":0,` +
			`"waiting":0,"waiting_at_one":0,"checked":0,"starts_per_s":0,"peak_starts_per_s":0,` +
			`"time_to_start":{"urgent":` + spread + `},"by_slots":null,"attempts":0,"turned_away":0,"turned_back":0,` +
			`"killed":0,"withdrawn":0,"pushed_over":0,"callbacks_lost":0,"no_connection":0,"log":null,` +
			`"control":{"bytes_per_s":0,"most_bytes_per_s":0,"worst_second_bytes":7,"messages_per_s":0},` +
			`"work":{"bytes_per_s":0,"most_bytes_per_s":0,"messages_per_s":0},` +
			`"discovery":{"whole_lists":0,"deltas":0,"refused_calls":0,"lost_watches":0,"busy_s":0},` +
			`"changes":{"words":0,"entries":0,"in_force":` + empty + `,"applied":` + empty + `,"open":0,"unread":0},` +
			`"broken":null,"findings":["f"]},` +
			`"measured":{"seconds":0,"events":0,` +
			`"kinds":[{"kind":"","n":0,"mean_us":0,"p50_us":0,"p99_us":0,"max_us":0,"total_s":0}],` +
			`"core_percent":0,"core_percent_most":0,"core_percent_control":0,"lag_ms":0,"lag_at_2.9_percent_ms":0,` +
			`"change_ms":0,"change_at_2.9_percent_ms":0,"heap_kb_a_scheduler":0,"heap_mb":0,"cores":0}}`
	)
	report := Report{
		Model: Model{
			TimeToStart:    map[string]Spread{"urgent": {1, 2, 3, 4, 5, 6}},
			ControlTraffic: Traffic{PeakSecondBytes: 7},
			Findings:       []string{"f"},
		},
		Measured: Measured{EventCosts: []EventCost{{}}},
		Series:   Series{Starts: []int{1}},
	}
	got, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Error(diff)
	}
}
