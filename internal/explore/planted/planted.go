// Package planted lists faults that are planted in the reducer, the connections' state
// machine and the decision module, to see whether the explorer finds them. A fault is a
// change of text that a build overlay puts in place of a source file: the program itself
// has no hooks.
package planted

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Fault is one planted fault.
type Fault struct {
	Name  string
	About string
	File  string   // from the root of the repository
	Edits []string // old and new text in turns; each old text stands there exactly once
	World string   // in which it must show
	Want  string   // the properties that may break by it
	And   *Fault   // in another file, where two guard against the same
	Only  bool     // it shows under other settings only: in no world that has the usual ones
}

const (
	reducer = "internal/scheduler/scheduler.go"
	links   = "internal/link/link.go"
	module  = "dispatcher.go"
)

// Faults are all faults.
func Faults() []Fault {
	return []Fault{
		{
			Name: "earlier-callback", World: "keyed",
			About: "a callback of an earlier attempt is taken for the present one",
			Want: "honest-answers" +
				" one-attempt-outstanding" +
				" runs-as-allowed" +
				" called-back",
			File: reducer,
			Edits: []string{
				"if k.ended || k.worker.UID != e.From {",
				"if k.ended {",
			},
		},
		{
			Name: "returned-is-full", World: "attempt",
			About: "a job handed back may go to the same worker, which may say so again",
			Want: "honest-answers" +
				" one-attempt-outstanding" +
				" runs-as-allowed" +
				" called-back",
			File: reducer,
			Edits: []string{
				"s.endTold(k, dahliaford.Returned, e.Report)",
				"s.endTold(k, dahliaford.Full, e.Report)",
			},
		},
		{
			Name: "no-call-back", World: "attempt",
			About: "a give-up is not sent",
			Want:  "called-back",
			File:  reducer,
			Edits: []string{
				"\t\ts.emit(Abandon{Attempt: k.number})\n" +
					"\t}\n" +
					"\ts.recall(k)\n",
				"\t\ts.emit(Abandon{Attempt: k.number})\n" +
					"\t}\n",
			},
		},
		{
			Name: "one-try", World: "attempt",
			About: "a give-up that does not get through is not sent again",
			Want:  "called-back",
			File:  reducer,
			Edits: []string{
				"if s.now+wait >= c.until {",
				"if true {",
			},
		},
		{
			Name: "id-forgotten", World: "link",
			About: "an id is forgotten too early",
			Want: "one-attempt-outstanding" +
				" runs-as-allowed" +
				" attempts-capped" +
				" honest-answers",
			File: reducer,
			Edits: []string{
				"\t\ts.used.add(e.ID)\n",
				"",
			},
		},
		{
			Name: "two-answers", World: "attempt",
			About: "a served answer is not marked as given",
			Want:  "one-final-answer",
			File:  reducer,
			Edits: []string{
				"\t\ts.answer(t, Answer{Verdict: Served, Body: e.Result})\n" +
					"\t\ts.endTold(",
				"\t\ts.emit(Answer{Caller: t.caller, Verdict: Served, Body: e.Result})\n" +
					"\t\ts.endTold(",
			},
		},
		{
			Name: "no-waiting", World: "keyed",
			About: "a repeat does not wait until the first copy is called back",
			Want:  "one-attempt-outstanding",
			File:  reducer,
			Edits: []string{
				"\tif s.recalling(t) {\n" +
					"\t\t// A worker",
				"\tif false {\n" +
					"\t\t// A worker",
			},
		},
		{
			Name: "drain-overlooked", World: "drains",
			About: "a worker that drains counts as ready",
			Want:  "drains-kept",
			File:  reducer,
			Edits: []string{
				"Kind: s.kinds.of(r.Kind), Status: r.Status,",
				"Kind: s.kinds.of(r.Kind), Status: max(r.Status, 1) % 2 * r.Status + r.Status / 2,",
			},
		},
		{
			Name: "early-exit", World: "crash",
			About: "a stopping scheduler ends while somebody waits",
			Want:  "one-final-answer",
			File:  reducer,
			Edits: []string{
				"if len(s.byCaller) == 0 && (",
				"if (",
			},
		},
		{
			Name: "attempt-kept", World: "attempt",
			About: "an attempt that ended stays in the books",
			Want: "nothing-leaks" +
				" one-final-answer" +
				" called-back" +
				" honest-answers",
			File: reducer,
			Edits: []string{
				"\tdelete(s.byAttempt, k.number)\n",
				"",
			},
		},
		{
			Name: "silent-recovery", World: "crash",
			About: "a panic leaves callers without an answer",
			Want: "one-final-answer" +
				" ends",
			File: reducer,
			Edits: []string{
				"\t\ts.answer(t, Answer{Verdict: Failed})\n" +
					"\t}\n" +
					"\tfor _, k",
				"\t\ts.settle(t)\n" +
					"\t}\n" +
					"\tfor _, k",
			},
		},
		{
			Name: "recovery-forgets", World: "crash",
			About: "a panic leaves jobs at workers that nobody calls back",
			Want:  "called-back",
			File:  reducer,
			Edits: []string{
				"\t\ts.callBack(k)\n" +
					"\t\ts.forget(k)\n",
				"\t\ts.forget(k)\n",
			},
		},
		{
			Name: "ended-after-202", World: "late",
			About: "an end of a connection after the 202 is taken for a reset",
			Want: "honest-answers" +
				" one-attempt-outstanding" +
				" one-final-answer" +
				" runs-as-allowed" +
				" nothing-leaks" +
				" called-back",
			File: reducer,
			Edits: []string{
				"if k := s.byAttempt[e.Attempt]; k != nil && !k.accepted {\n" +
					"\t\t\tif e.Outcome == dahliaford.Reset {",
				"if k := s.byAttempt[e.Attempt]; k != nil {\n" +
					"\t\t\tif e.Outcome == dahliaford.Reset && !k.accepted {",
			},
			And: &Fault{File: links, Edits: []string{
				"\tl.Busy = false\n" +
					"\tnext := Idle",
				"\tl.Busy = a.Status == 202\n" +
					"\tnext := Idle",
			}},
		},
		{
			Name: "reset-never-ran", World: "attempt",
			About: "a connection that broke after the last byte counts as one that never came up",
			Want: "runs-as-allowed" +
				" honest-answers" +
				" one-attempt-outstanding" +
				" called-back",
			File: links,
			Edits: []string{
				"\tcase l.Written:\n" +
					"\t\treturn l.lose(dahliaford.Reset, false)",
				"\tcase l.Written:\n" +
					"\t\treturn l.lose(dahliaford.ConnectFailed, false)",
			},
		},
		{
			Name: "error-never-ran", World: "attempt",
			About: "a worker's 500 counts as turned away",
			Want: "runs-as-allowed" +
				" honest-answers",
			File: links,
			Edits: []string{
				"scheduler.Ended{Attempt: l.Attempt, Outcome: dahliaford.Failed,",
				"scheduler.Ended{Attempt: l.Attempt, Outcome: dahliaford.Full,",
			},
		},
		{
			Name: "broken-delete-heard", World: "attempt",
			About: "a withdrawal that breaks off counts as heard",
			Want: "called-back" +
				" one-attempt-outstanding",
			File: links,
			Edits: []string{
				"scheduler.Withdrawn{Attempt: l.Attempt, Reached: gone}",
				"scheduler.Withdrawn{Attempt: l.Attempt, Reached: true}",
			},
		},
		{
			Name: "post-repeated", World: "attempt",
			About: "a post-reading that may have run is sent again",
			Want: "runs-as-allowed" +
				" one-attempt-outstanding",
			File: module,
			Edits: []string{
				"c.Effect == Safe {",
				"c.Effect != Keyed {",
			},
		},
		{
			Name: "rack-forgotten", World: "keyed",
			About: "a keyed job that may have run goes to another rack",
			Want:  "runs-as-allowed",
			File:  module,
			Edits: []string{
				" || !sameGroup(c.Group, &a.worker.entry, &w.entry) {",
				" {",
			},
		},
		{
			Name: "fifth-attempt", World: "turned",
			About: "a request gets more attempts than allowed",
			Want:  "attempts-capped",
			File:  module,
			Edits: []string{
				"|| len(j.attempts) >= d.set.MaxAttempts {\n" +
					"\t\treturn false",
				"|| len(j.attempts) > d.set.MaxAttempts {\n" +
					"\t\treturn false",
				"len(j.attempts) < d.set.MaxAttempts && d.anyAllowed(j)",
				"len(j.attempts) <= d.set.MaxAttempts && d.anyAllowed(j)",
			},
		},
		{
			Name: "cold-pushed", World: "cold",
			About: "a cold worker gets whatever comes",
			Want:  "cold-spared",
			File:  module,
			Edits: []string{
				"\treturn w.budget >= min(d.coldWork(j), most)",
				"\treturn most >= 0",
			},
		},
		{
			Name: "cancels-anyway", World: "forbidden", Only: true,
			About: "an attempt is cancelled where that is forbidden",
			Want:  "cancels-as-allowed",
			File:  module,
			Edits: []string{
				"\tif d.set.MayCancel && !j.streaming {",
				"\tif !j.streaming {",
			},
		},
		{
			Name: "time-out-untold", World: "forbidden", Only: true,
			About: "an attempt that timed out is not called back where cancelling is forbidden",
			Want:  "called-back",
			File:  reducer,
			Edits: []string{
				"\t\t\t\ts.callBack(k)\n" +
					"\t\t\t\ts.end(k, dahliaford.TimedOut",
				"\t\t\t\tif s.set.Module.MayCancel {\n" +
					"\t\t\t\t\ts.callBack(k)\n" +
					"\t\t\t\t}\n" +
					"\t\t\t\ts.end(k, dahliaford.TimedOut",
			},
		},
		{
			Name: "sent-for-nobody", World: "leaves", Only: true,
			About: "an attempt leaves though its client left before, where cancelling is forbidden",
			Want:  "leavers-spared",
			File:  reducer,
			Edits: []string{
				"\t\ts.emit(Unsend{Attempt: t.attempts[n-1].number})",
				"\t\t_ = n",
			},
		},
		{
			Name: "pushed-as-asked", World: "pushed", Only: true,
			About: "a pushed list is trusted without a watch as long as one that is asked for",
			Want:  "list-trusted",
			File:  reducer,
			Edits: []string{
				"lost.Age = s.ageAt(e.Until)",
				"lost.Age = s.ageAt(max(e.Until, s.knownAt+s.set.Module.AskWithin))",
			},
		},
		{
			Name: "asked-as-pushed", World: "asked", Only: true,
			About: "a list is trusted for the drain grace after its watch is lost, past a short ask_within",
			Want:  "list-trusted",
			File:  reducer,
			Edits: []string{
				"lost.Age = s.ageAt(e.Until)",
				"lost.Age = s.ageAt(max(e.Until, s.now+s.set.DrainGrace))",
			},
		},
		{
			Name: "second-copy", World: "copies", Only: true,
			About: "a second copy leaves while the first is out, where the settings allow copies",
			Want:  "one-attempt-outstanding",
			File:  reducer,
			Edits: []string{
				"\ts.set.Module.MayDuplicate = false\n",
				"",
				" || len(t.attempts) > 0 && !t.attempts[len(t.attempts)-1].ended {",
				" {",
			},
		},
		{
			Name: "third-attempt", World: "two", Only: true,
			About: "a request gets four attempts where the settings allow two",
			Want:  "attempts-capped",
			File:  module,
			Edits: []string{
				"|| len(j.attempts) >= d.set.MaxAttempts {\n" +
					"\t\treturn false",
				"|| len(j.attempts) >= max(d.set.MaxAttempts, 4) {\n" +
					"\t\treturn false",
				"len(j.attempts) < d.set.MaxAttempts && d.anyAllowed(j)",
				"len(j.attempts) < max(d.set.MaxAttempts, 4) && d.anyAllowed(j)",
			},
		},
		{
			Name: "dishonest", World: "attempt",
			About: "what may have run is refused",
			Want:  "honest-answers",
			File:  module,
			Edits: []string{
				"if refuse && d.mayRefuse(j) {",
				"if refuse {",
			},
		},
	}
}

// Overlay writes what `go build -overlay` takes to plant a fault, into a folder, and
// returns its path. The error says which old text does not stand where it should.
func (f Fault) Overlay(root, folder string) (string, error) {
	replaced := map[string]string{}
	for part := &f; part != nil; part = part.And {
		from := filepath.Join(root, part.File)
		raw, err := os.ReadFile(from)
		if err != nil {
			return "", err
		}
		text := string(raw)
		for i := 0; i+1 < len(part.Edits); i += 2 {
			if n := strings.Count(text, part.Edits[i]); n != 1 {
				return "", fmt.Errorf("planted fault %s: its text stands %d times in %s: %q", f.Name, n, part.File,
					part.Edits[i])
			}
			text = strings.Replace(text, part.Edits[i], part.Edits[i+1], 1)
		}
		to := filepath.Join(folder, filepath.Base(part.File))
		if err := os.WriteFile(to, []byte(text), 0o666); err != nil {
			return "", err
		}
		replaced[from] = to
	}
	overlay := filepath.Join(folder, "overlay.json")
	raw, err := json.Marshal(map[string]map[string]string{"Replace": replaced})
	if err != nil {
		return "", err
	}
	return overlay, os.WriteFile(overlay, raw, 0o666)
}
