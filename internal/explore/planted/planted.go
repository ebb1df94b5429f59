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
}

const (
	reducer = "internal/scheduler/scheduler.go"
	links   = "internal/link/link.go"
	module  = "dispatcher.go"
)

// Faults are all faults.
func Faults() []Fault {
	return []Fault{
		{"earlier-callback", "a callback of an earlier attempt is taken for the present one", reducer,
			[]string{"if k.ended || k.region.UID != e.From {", "if k.ended {"}, "keyed", "honest-answers one-attempt-outstanding runs-as-allowed called-back", nil},
		{"returned-is-full", "a job handed back may go to the same region, which may say so again", reducer,
			[]string{"s.end(k, dahliaford.Returned, e.Report)", "s.end(k, dahliaford.Full, e.Report)"}, "attempt", "honest-answers one-attempt-outstanding runs-as-allowed called-back", nil},
		{"no-call-back", "a give-up is not sent", reducer,
			[]string{"		s.emit(Abandon{Task: k.number})\n	}\n	s.recall(k)\n", "		s.emit(Abandon{Task: k.number})\n	}\n"}, "attempt", "called-back", nil},
		{"one-try", "a give-up that does not get through is not sent again", reducer,
			[]string{"if s.now+wait >= c.until {", "if true {"}, "attempt", "called-back", nil},
		{"id-forgotten", "an id is forgotten too early", reducer,
			[]string{"		s.used.add(e.ID)\n", ""}, "link", "one-attempt-outstanding runs-as-allowed four-attempts honest-answers", nil},
		{"two-answers", "a served answer is not marked as given", reducer,
			[]string{"		s.answer(t, Answer{Verdict: Served, Body: e.Result})\n		s.end(", "		s.emit(Answer{Caller: t.caller, Verdict: Served, Body: e.Result})\n		s.end("}, "attempt", "one-final-answer", nil},
		{"no-waiting", "a repeat does not wait until the first copy is called back", reducer,
			[]string{"	if s.recalling(t) {\n		// A region", "	if false {\n		// A region"}, "keyed", "one-attempt-outstanding", nil},
		{"drain-overlooked", "a region that drains counts as ready", reducer,
			[]string{"Kind: s.kinds.of(line.Kind), Status: line.Status,", "Kind: s.kinds.of(line.Kind), Status: max(line.Status, 1) % 2 * line.Status + line.Status / 2,"}, "drains", "drains-kept", nil},
		{"early-exit", "a stopping scheduler ends while somebody waits", reducer,
			[]string{"if len(s.byCaller) == 0 && (", "if ("}, "crash", "one-final-answer", nil},
		{"task-kept", "a task that ended stays in the books", reducer,
			[]string{"	delete(s.byTask, k.number)\n", ""}, "attempt", "nothing-leaks one-final-answer called-back honest-answers", nil},
		{"silent-recovery", "a panic leaves callers without an answer", reducer,
			[]string{"		s.answer(t, Answer{Verdict: Failed})\n	}\n	for _, k", "		s.settle(t)\n	}\n	for _, k"}, "crash", "one-final-answer ends", nil},
		{"recovery-forgets", "a panic leaves jobs at regions that nobody calls back", reducer,
			[]string{"		s.callBack(k)\n		s.forget(k)\n", "		s.forget(k)\n"}, "crash", "called-back", nil},
		{"ended-after-202", "an end of a connection after the 202 is taken for a reset", reducer,
			[]string{"if k := s.byTask[e.Task]; k != nil && !k.accepted {\n			if e.Outcome", "if k := s.byTask[e.Task]; k != nil {\n			if e.Outcome"}, "late", "honest-answers one-attempt-outstanding one-final-answer runs-as-allowed nothing-leaks called-back",
			&Fault{File: links, Edits: []string{"	l.Busy = false\n	next := Idle", "	l.Busy = a.Status == 202\n	next := Idle"}}},
		{"reset-never-ran", "a connection that broke after the last byte counts as one that never came up", links,
			[]string{"	case l.Written:\n		return l.lose(dahliaford.Reset, false)", "	case l.Written:\n		return l.lose(dahliaford.ConnectFailed, false)"}, "attempt", "runs-as-allowed honest-answers one-attempt-outstanding called-back", nil},
		{"error-never-ran", "a region's 500 counts as turned away", links,
			[]string{"scheduler.Ended{Task: l.Task, Outcome: dahliaford.Failed,", "scheduler.Ended{Task: l.Task, Outcome: dahliaford.Full,"}, "attempt", "runs-as-allowed honest-answers", nil},
		{"broken-delete-heard", "a withdrawal that breaks off counts as heard", links,
			[]string{"scheduler.Withdrawn{Task: l.Task, Reached: gone}", "scheduler.Withdrawn{Task: l.Task, Reached: true}"}, "attempt", "called-back one-attempt-outstanding", nil},
		{"post-repeated", "a post-reading that may have run is sent again", module,
			[]string{"		case Unsafe:\n			return false\n", "		case Unsafe:\n"}, "attempt", "runs-as-allowed one-attempt-outstanding", nil},
		{"rack-forgotten", "a keyed job that may have run goes to another rack", module,
			[]string{" || !sameGroup(c.Group, &a.worker.entry, &w.entry) {", " {"}, "keyed", "runs-as-allowed", nil},
		{"fifth-attempt", "a request gets more attempts than allowed", module,
			[]string{"|| len(j.attempts) >= d.set.MaxAttempts {\n		return false", "|| len(j.attempts) > d.set.MaxAttempts {\n		return false",
				"len(j.attempts) < d.set.MaxAttempts && d.anyAllowed(j)", "len(j.attempts) <= d.set.MaxAttempts && d.anyAllowed(j)"}, "turned", "four-attempts", nil},
		{"cold-pushed", "a cold region gets whatever comes", module,
			[]string{"	return w.budget >= min(d.coldWork(j), most)", "	return most >= 0"}, "cold", "cold-spared", nil},
		{"dishonest", "what may have run is refused", module,
			[]string{"if refuse && d.mayRefuse(j) {", "if refuse {"}, "attempt", "honest-answers", nil},
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
