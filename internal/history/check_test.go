package history

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// history parses a list of events that are separated by semicolons. An event consists of a time in
// milliseconds, a kind, a worker or client, and an optional result; an answer has a status in place of the
// client. All events concern the request t, which is sent at time 0 with a deadline of 2 s.
func history(t *testing.T, class, text string) []Event {
	t.Helper()
	start := time.Unix(1000, 0)
	at := func(ms string) time.Time {
		n, err := strconv.Atoi(ms)
		if err != nil {
			t.Fatal(err)
		}
		return start.Add(time.Duration(n) * time.Millisecond)
	}
	events := []Event{{At: start, Kind: Sent, ID: "t", Class: class, Deadline: start.Add(2 * time.Second)}}
	kinds := map[string]Kind{"disconnected": ClientDisconnected, "answered": Answered, "unanswered": Unanswered,
		"arrived": Arrived, "started": Started, "ended": Ended, "ran": Ended, "died": WorkerDied, "closed": Closed,
		"cancelled": CancelReceived, "leaving": EndpointChanged, "ready": WorkerReady}
	for _, line := range strings.Split(strings.TrimSpace(text), ";") {
		fields := strings.Fields(line)
		kind, known := kinds[fields[1]]
		if !known {
			t.Fatalf("event %q of a history: got an unknown kind in the second field, want a known kind", line)
		}
		e := Event{At: at(fields[0]), Kind: kind, ID: "t", Actor: fields[2], MayHaveRun: fields[1] == "ran"}
		if len(fields) > 3 {
			if kind == Answered {
				e.Status, _ = strconv.Atoi(fields[2])
				e.Result = fields[3]
			} else {
				e.Result = fields[3]
			}
		} else if kind == Answered {
			e.Status, _ = strconv.Atoi(fields[2])
		}
		events = append(events, e)
	}
	return events
}

// TestCheck compares the properties that Check finds violated in short histories with the expected ones.
func TestCheck(t *testing.T) {
	rules := Rules{AtMostOnce: map[string]bool{"post": true},
		RackOf: map[string]string{"a": "1", "b": "1", "c": "2"},
		Window: time.Second, DrainGrace: 500 * time.Millisecond, MaxAttempts: 4, Slack: 100 * time.Millisecond,
		OrphanLimit: time.Second}
	for _, c := range []struct{ name, class, text, want string }{
		{"served", "post", "1 arrived a; 2 started a; 9 ran a X; 10 answered 200 X", ""},
		{"never answered", "post", "2050 unanswered client", "one-final-answer"},
		{"late", "post", "2150 answered 500", "one-final-answer"},
		{"a little late", "post", "2090 answered 500", ""},
		{"twice", "post", "10 answered 500; 11 answered 500", "one-final-answer"},
		{"another's result", "post", "1 arrived a; 2 started a; 9 ran a X; 10 answered 200 Y", "honest-answers"},
		{"refused unstarted", "post", "1 arrived a; 3 ended a; 4 answered 503", ""},
		{"refused though it ran", "post", "1 arrived a; 2 started a; 3 ran a; 4 answered 503", "honest-answers"},
		{"refused while held", "batch", "1 arrived a; 4 answered 503; 5 cancelled a", "honest-answers"},
		{"goes elsewhere after it was handed back", "post",
			"1 arrived a; 3 ended a; 4 arrived b; 5 started b; 6 ran b X; 7 answered 200 X", ""},
		{"runs twice", "post", "1 arrived a; 2 started a; 3 died a; 4 arrived b; 5 started b;" +
			" 6 ran b X; 7 answered 200 X", "runs-as-allowed runs-as-allowed"},
		{"two at once", "batch", "1 arrived a; 4 arrived b; 5 cancelled a; 6 ended b; 9 answered 500",
			"one-attempt-outstanding"},
		{"cancelled before the next", "batch",
			"1 arrived a; 3 cancelled a; 4 arrived b; 6 ended b; 9 answered 500", ""},
		{"closed before the next", "batch", "1 arrived a; 3 closed a; 4 arrived b; 6 ended b; 9 answered 500", ""},
		{"another rack", "batch", "1 arrived a; 2 started a; 3 ran a; 4 arrived c; 6 ended c; 9 answered 500",
			"runs-as-allowed"},
		{"the same rack", "batch", "1 arrived a; 2 started a; 3 ran a; 4 arrived b; 6 ended b; 9 answered 500", ""},
		{"past the window", "batch", "1 arrived a; 2 started a; 3 ran a; 1200 arrived b;" +
			" 1300 ended b; 1400 answered 500", "runs-as-allowed"},
		{"five attempts", "post", "1 arrived a; 2 ended a; 3 arrived b; 4 ended b; 5 arrived a;" +
			" 6 ended a; 7 arrived b; 8 ended b; 9 arrived a; 10 ended a; 11 answered 503", "four-attempts"},
		{"after a drain", "post", "1 leaving a; 700 arrived a; 701 ended a; 702 answered 503", "drains-kept"},
		{"within the grace", "post", "1 leaving a; 500 arrived a; 501 ended a; 702 answered 503", ""},
		{"back from a drain", "post", "1 leaving a; 600 ready a; 700 arrived a; 701 ended a; 702 answered 503", ""},
		{"held for nobody", "post", "1 arrived a; 2 started a; 100 answered 500; 1900 leaving b", "called-back"},
		{"held for a moment", "post", "1 arrived a; 2 started a; 100 answered 500;" +
			" 900 cancelled a; 1900 leaving b", ""},
		{"a client that left needs no answer", "post", "1 arrived a; 5 disconnected client;" +
			" 6 cancelled a; 1900 leaving b", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, f := range Check(rules, history(t, c.class, c.text)) {
				got = append(got, f.Property)
			}
			if diff := cmp.Diff(c.want, strings.Join(got, " ")); diff != "" {
				t.Error(diff)
			}
		})
	}
}
