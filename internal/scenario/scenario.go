// Package scenario runs the scenarios that the tests are written in. A line is one of
//
//	PARTY send TEXT      the party does or says something
//	PARTY expect TEXT    the next thing that reaches the party is TEXT
//	PARTY close TEXT     the party ends something
//	wait TEXT            time passes
//
// What a text means is up to the party. Blank lines and lines after # say nothing.
package scenario

import (
	"strings"
	"testing"
)

// Actor is one that takes part. Expect returns what it saw in the form of a text.
type Actor interface {
	Send(text string) error
	Expect(want string) (got string, err error)
	Close(text string) error
}

// World has the parties by name, and lets time pass.
type World interface {
	Actor(name string) Actor
	Wait(text string) error
}

// Run plays a scenario and ends the test at the first line that does not hold.
func Run(t testing.TB, w World, script string, diff func(want, got string) string) {
	t.Helper()
	for i, line := range strings.Split(script, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		who, rest, _ := strings.Cut(line, " ")
		verb, text, _ := strings.Cut(strings.TrimSpace(rest), " ")
		text = strings.TrimSpace(text)
		var err error
		switch {
		case who == "wait":
			err = w.Wait(rest)
		case verb == "send":
			err = w.Actor(who).Send(text)
		case verb == "close":
			err = w.Actor(who).Close(text)
		case verb == "expect":
			var got string
			if got, err = w.Actor(who).Expect(text); err == nil && got != text {
				t.Fatalf("line %d: %s: -want +got:\n%s", i+1, line, diff(text, got))
			}
		default:
			t.Fatalf("line %d: %s: no such verb", i+1, line)
		}
		if err != nil {
			t.Fatalf("line %d: %s: %v", i+1, line, err)
		}
	}
}
