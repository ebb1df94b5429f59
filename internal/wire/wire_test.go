package wire

import (
	"io"
	"strings"
	"testing"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

// serve passes lines to a new host and returns its replies and the error that ended it.
func serve(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := NewHost().Serve(strings.NewReader(strings.Join(lines, "\n")), &out)
	return out.String(), err
}

func TestEmptyBatch(t *testing.T) {
	out, err := serve(t, `{"t":5,"inbox":[]}`)
	if err != nil || out != "{\"do\":[]}\n" {
		t.Fatalf("reply to an empty batch: got %q with error %v, want an empty list of actions", out, err)
	}
}

func TestMalformedLineEndsTheHost(t *testing.T) {
	lines := []string{`{"t":5,"inbox":[`, `nonsense`, `{"inbox":[]}`, `{"t":5,"inbox":[{"ring":3}]}`}
	for _, line := range lines {
		if err := NewHost().Serve(strings.NewReader(line), io.Discard); err == nil {
			t.Errorf("malformed line %s: got no error, want an error", line)
		} else if !strings.HasPrefix(err.Error(), "line 1: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("malformed line %s: want one line that begins with \"line 1: \", got %v", line, err)
		}
	}
}

const testSettings = `{"balancers":2,"me":0,"granularity":5000,"unheard_of":{"a":[1,null]},
	"grades":[{"name":"a","semantics":"idempotent","slo":400000,"deadline":6000000,"worth":3.0},
	{"name":"b","semantics":"deduplicated","dedup_scope":"zone","memory_span":5000000,"slo":1000000,
	"deadline":9000000,"worth":1,"aim_stretch":0.5}],
	"family_info":{"class_stretch":[1.5,2],"tells_start":true,"report_x0":"free slots"},
	"report":{"fields":["x0"],"how":"inline"},"discovery":"on_request",
	"limits":{"attempts_cap":3,"peers":true,"cancel":true},
	"guarantees":{"cold":10000000,"ask_within":10000000}}`

// singleLine removes line breaks and tabs.
func singleLine(s string) string { return strings.NewReplacer("\n", "", "\t", "").Replace(s) }

// enlist returns the event that starts a scheduler instance with testSettings.
func enlist(instance string) string {
	return singleLine(`{"enlist":{"who":` + instance + `,"rng_seed":5,"params":` + testSettings + `}}`)
}

func TestSettingsFromTheWire(t *testing.T) {
	parsed, err := settings.Parse([]byte(singleLine(testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	s := parsed.Dispatch
	if s.Classes[0].ObjectiveStretch != 1.5 || s.Classes[1].ObjectiveStretch != 0.5 ||
		s.Classes[1].DedupScope != dispatch.ScopeZone || s.Classes[1].Effect != dispatch.Keyed ||
		s.Classes[0].Kind != -1 {
		t.Errorf("got classes %+v, want those of testSettings", s.Classes)
	}
	if s.OverQuotaWeight != 1 || s.OverloadFactor != 1 || !s.PollEndpoints || !s.LoadReports ||
		s.MaxRetryAfter != 0 {
		t.Errorf("got settings %+v, want those of testSettings and the defaults of absent fields", s)
	}
	for bad, field := range map[string]string{
		`{"grades":[{"semantics":"often"}]}`: "grades[0].semantics",
		`{"grades":3}`:                       "grades",
		`{}`:                                 "Classes",
	} {
		out, err := serve(t, `{"t":1,"inbox":[{"enlist":{"who":4,"rng_seed":1,"params":`+bad+`}}]}`)
		if err != nil || !strings.Contains(out, `{"exception":{"who":4,`) || !strings.Contains(out, field) {
			t.Errorf("invalid settings %s: want an exception that names the field, got reply %s and error %v",
				bad, out, err)
		}
	}
}

// TestEventsAndActions sends events about the jobs of two scheduler instances over the wire. The batches
// register two worker lists under the same number, have unknown keys, events and IDs, and restart an
// instance.
func TestEventsAndActions(t *testing.T) {
	list := func(listNumber, worker string) string {
		return `{"register":{"ref":` + listNumber + `,"nodes_list":[{"generation_hw":0,"power_hint":1,"cohort":0,` +
			`"hall":0,"status":1,"online_since":null,"worker":` + worker + `,"new_key":[{}]}]}}`
	}
	lines := []string{
		`{"t":100,"inbox":[` + enlist("0") + `,` + enlist("1") + `,` + list("0", "11") +
			`,{"update":{"who":0,"scope":1,"gen":1,"ref":0}},` + list("0", "22") +
			`,{"update":{"who":1,"scope":3,"gen":1,"ref":0}}]}`,
		`{"t":200,"inbox":[{"knock":{"who":0,"op_id":5,"class":0,"tenant":0,"object":null,` +
			`"patience_left":6000000,` +
			`"estimate":1000,"needs":1,"memory":null,"retry":false}},{"knock":{"who":1,"op_id":6,"class":0,` +
			`"patience_left":6000000,"estimate":1000,"needs":1}},{"unheard_of":{"who":0}}]}`,
		`{"t":300,"inbox":[{"status_note":{"who":0,"op_id":5,"worker":11,"value":1,"try":0,"sort":1}},` +
			`{"completed":{"who":0,"op_id":5,"try":0,"worker":11,"status":104,"latency":5,"terminal":false,` +
			`"note":null,"telemetry":{"x0":1.5,"outstanding":2,"other":null}}},{"ring":{"who":0,"tag":9}},` +
			`{"whisper":{"who":0,"from":1,"blob":"0000000b0201"}},{"client_gone":{"who":0,"op_id":99}},` +
			`{"status_back":{"who":0,"worker":11,"status":0,"latency":1,"telemetry":null}},` +
			`{"first_byte":{"who":0,"op_id":99,"latency":1,"try":0,"worker":11}}]}`,
		`{"t":400,"inbox":[{"exit":{"who":1}},` + enlist("1") + `,{"completed":{"who":1,"op_id":6,"try":0,` +
			`"worker":22,"status":0,"latency":5,"terminal":true}}]}`,
		`{"t":500,"inbox":[{"client_gone":{"who":0,"op_id":5}},{"exit":{"who":0}},{"ring":{"who":0,"tag":1}}]}`,
	}
	out, err := serve(t, lines...)
	if err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSpace(out), "\n")
	if len(replies) != len(lines) {
		t.Fatalf("got %d replies to %d batches, want one for each batch", len(replies), len(lines))
	}
	for i, want := range []string{
		`{"watch":{"who":0,"enable":true}}`,
		`{"transmit":{"who":0,"op_id":5,"worker":11,"abandon_at":5990200}}`,
		`"do":[`, `{"watch":{"who":1,"enable":true}}`, `{"do":[]}`,
	} {
		if !strings.Contains(replies[i], want) {
			t.Errorf("reply %d: got %s\nwant a reply that contains %s", i, replies[i], want)
		}
	}
	if !strings.Contains(replies[1], `{"transmit":{"who":1,"op_id":6,"worker":22,`) {
		t.Errorf("scheduler instance 2: want a job sent to worker 22 of the list that replaced the first, got %s",
			replies[1])
	}
}

// TestInstancesAreIndependent checks that the actions of a scheduler instance depend only on the events for
// that instance.
func TestInstancesAreIndependent(t *testing.T) {
	knock := func(instance string) string {
		return `{"knock":{"who":` + instance + `,"op_id":1` + instance +
			`,"class":0,"patience_left":10000,"needs":1}}`
	}
	both, _ := serve(t, `{"t":1,"inbox":[`+enlist("0")+`,`+enlist("1")+`]}`,
		`{"t":2,"inbox":[`+knock("0")+`,`+knock("1")+`]}`)
	for _, instance := range []string{"0", "1"} {
		alone, _ := serve(t, `{"t":1,"inbox":[`+enlist(instance)+`]}`, `{"t":2,"inbox":[`+knock(instance)+`]}`)
		for _, line := range strings.Split(strings.TrimSpace(alone), "\n") {
			want := strings.TrimSuffix(strings.TrimPrefix(line, `{"do":[`), `]}`)
			if !strings.Contains(both, want) {
				t.Errorf("actions of a scheduler instance alone: want %s in the replies to two instances, got %s",
					want, both)
			}
		}
	}
}

func TestEncodeEveryAction(t *testing.T) {
	hi := []byte("hi")
	for want, a := range map[string]dispatch.Action{
		`{"reject":{"who":3,"op_id":7,"hold_off":250}},`:  {Kind: dispatch.Refuse, Job: 7, Delay: 250},
		`{"respond_error":{"who":3,"op_id":7}},`:          {Kind: dispatch.Fail, Job: 7},
		`{"retract":{"who":3,"op_id":7,"try":2}},`:        {Kind: dispatch.Cancel, Job: 7, Attempt: 2},
		`{"set_timer":{"who":3,"span":5,"tag":9}},`:       {Kind: dispatch.SetTimer, Delay: 5, Token: 9},
		`{"write_peer":{"who":3,"dst":4,"blob":"6869"}},`: {Kind: dispatch.SendGossip, Peer: 4, Message: hi},
		`{"write_log":{"who":3,"line":"a \"b\""}},`:       {Kind: dispatch.Log, Text: `a "b"`},
	} {
		if got := string(appendAction(nil, 3, &a)); got != want {
			t.Errorf("encoded action: got %s, want %s", got, want)
		}
	}
}

// TestRepeatsAreMarked checks that the event for the dispatcher says that the client marked the job as a
// retry if and only if the event on the wire does.
func TestRepeatsAreMarked(t *testing.T) {
	marks := map[string]bool{`"retry":true`: true, `"retry":false`: false, `"retry":null`: false}
	for mark, want := range marks {
		line := `{"t":1,"inbox":[{"knock":{"who":2,"op_id":1,` + mark + `}}]}`
		_, messages, err := decodeBatch([]byte(line), nil)
		if err != nil {
			t.Fatal(err)
		}
		var e dispatch.Event
		if !messages[0].event(&e) || e.Retry != want {
			t.Errorf("arrival with %s: got event %+v, want an event with this retry mark", mark, e)
		}
	}
}

// TestPanicIsReported checks that the host reports a panic of a dispatcher for the dispatcher's instance.
func TestPanicIsReported(t *testing.T) {
	h := NewHost()
	// A zero Dispatcher panics on an arrival, as only New makes its maps.
	h.dispatchers[2] = &dispatch.Dispatcher{}
	batch := `{"t":1,"inbox":[{"knock":{"who":2,"op_id":1,"class":0,"patience_left":5}}]}`
	out, err := h.HandleBatch([]byte(batch))
	if err != nil || !strings.Contains(string(out), `{"exception":{"who":2,"line":`) {
		t.Errorf("dispatcher that panics: want an exception for scheduler instance 2, got reply %s and error %v",
			out, err)
	}
}
