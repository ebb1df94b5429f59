package wire

import (
	"io"
	"strings"
	"testing"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

func serve(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := NewHost().Serve(strings.NewReader(strings.Join(lines, "\n")), &out)
	return out.String(), err
}

func TestEmptyBatch(t *testing.T) {
	out, err := serve(t, `{"t":5,"inbox":[]}`)
	if err != nil || out != "{\"do\":[]}\n" {
		t.Fatalf("got %q, %v", out, err)
	}
}

func TestMalformedLineEndsTheHost(t *testing.T) {
	lines := []string{`{"t":5,"inbox":[`, `nonsense`, `{"inbox":[]}`, `{"t":5,"inbox":[{"ring":3}]}`}
	for _, line := range lines {
		if err := NewHost().Serve(strings.NewReader(line), io.Discard); err == nil {
			t.Errorf("%s: no error", line)
		} else if !strings.HasPrefix(err.Error(), "line 1: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: not one plain message: %v", line, err)
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

func flat(s string) string { return strings.NewReplacer("\n", "", "\t", "").Replace(s) }

func enlist(who string) string {
	return flat(`{"enlist":{"who":` + who + `,"rng_seed":5,"params":` + testSettings + `}}`)
}

func TestSettingsFromTheWire(t *testing.T) {
	parsed, err := settings.Parse([]byte(flat(testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	s := parsed.Dispatch
	if s.Classes[0].ObjectiveStretch != 1.5 || s.Classes[1].ObjectiveStretch != 0.5 ||
		s.Classes[1].DedupScope != dispatch.ScopeZone || s.Classes[1].Effect != dispatch.Keyed ||
		s.Classes[0].Kind != -1 {
		t.Errorf("classes: %+v", s.Classes)
	}
	if s.OverQuotaWeight != 1 || s.OverloadFactor != 1 || !s.PollEndpoints || !s.LoadReports ||
		s.MaxRetryAfter != 0 {
		t.Errorf("settings: %+v", s)
	}
	for bad, field := range map[string]string{
		`{"grades":[{"semantics":"often"}]}`: "grades[0].semantics",
		`{"grades":3}`:                       "grades",
		`{}`:                                 "Classes",
	} {
		out, err := serve(t, `{"t":1,"inbox":[{"enlist":{"who":4,"rng_seed":1,"params":`+bad+`}}]}`)
		if err != nil || !strings.Contains(out, `{"exception":{"who":4,`) || !strings.Contains(out, field) {
			t.Errorf("%s: got %s, %v", bad, out, err)
		}
	}
}

// A job over the wire, with a list number that is reused in the same batch, another instance, unknown
// keys, events and ids, and a restart.
func TestEventsAndActions(t *testing.T) {
	list := func(ref, worker string) string {
		return `{"register":{"ref":` + ref + `,"nodes_list":[{"generation_hw":0,"power_hint":1,"cohort":0,` +
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
		t.Fatalf("%d replies to %d batches", len(replies), len(lines))
	}
	for i, want := range []string{
		`{"watch":{"who":0,"enable":true}}`,
		`{"transmit":{"who":0,"op_id":5,"worker":11,"abandon_at":5990200}}`,
		`"do":[`, `{"watch":{"who":1,"enable":true}}`, `{"do":[]}`,
	} {
		if !strings.Contains(replies[i], want) {
			t.Errorf("reply %d: %s\nlacks %s", i, replies[i], want)
		}
	}
	if !strings.Contains(replies[1], `{"transmit":{"who":1,"op_id":6,"worker":22,`) {
		t.Errorf("the second instance did not get the list that replaced the first: %s", replies[1])
	}
}

// The actions of an instance depend on its own events alone.
func TestInstancesAreIndependent(t *testing.T) {
	knock := func(who string) string {
		return `{"knock":{"who":` + who + `,"op_id":1` + who + `,"class":0,"patience_left":10000,"needs":1}}`
	}
	both, _ := serve(t, `{"t":1,"inbox":[`+enlist("0")+`,`+enlist("1")+`]}`,
		`{"t":2,"inbox":[`+knock("0")+`,`+knock("1")+`]}`)
	for _, who := range []string{"0", "1"} {
		alone, _ := serve(t, `{"t":1,"inbox":[`+enlist(who)+`]}`, `{"t":2,"inbox":[`+knock(who)+`]}`)
		for _, line := range strings.Split(strings.TrimSpace(alone), "\n") {
			want := strings.TrimSuffix(strings.TrimPrefix(line, `{"do":[`), `]}`)
			if !strings.Contains(both, want) {
				t.Errorf("alone %s, together %s", want, both)
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
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// The wire's mark of a retry reaches the dispatcher.
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
			t.Errorf("%s: got %+v", mark, e)
		}
	}
}

// A panic in a dispatcher is reported for its instance.
func TestPanicIsReported(t *testing.T) {
	h := NewHost()
	h.dispatchers[2] = &dispatch.Dispatcher{} // not made by New: its maps are missing
	batch := `{"t":1,"inbox":[{"knock":{"who":2,"op_id":1,"class":0,"patience_left":5}}]}`
	out, err := h.HandleBatch([]byte(batch))
	if err != nil || !strings.Contains(string(out), `{"exception":{"who":2,"line":`) {
		t.Errorf("got %s, %v", out, err)
	}
}
