// Package scenario runs the scenarios that tests are written in. A line is one of
//
//	ACTOR send TEXT      the actor does or says something
//	ACTOR expect TEXT    the next thing that reaches the actor is TEXT
//	ACTOR close TEXT     the actor ends something
//	wait TEXT            time passes
//
// The meaning of a text is up to the actor. Blank lines and lines that begin with # are skipped.
package scenario

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Actor takes part in a scenario. Expect returns what reached it, in the form of a text.
type Actor interface {
	Send(text string) error
	Expect(want string) (got string, err error)
	Close(text string) error
}

// World has the actors by name, and lets time pass.
type World interface {
	Actor(name string) Actor
	Wait(text string) error
}

// Run plays a scenario and ends the test at the first line that does not hold. diff compares an expected text
// with the one that came.
func Run(t testing.TB, w World, script string, diff func(want, got string) string) {
	t.Helper()
	for i, line := range strings.Split(script, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		if err := runLine(w, line, diff); err != nil {
			t.Fatalf("line %d: %s: %v", i+1, line, err)
		}
	}
}

func runLine(w World, line string, diff func(want, got string) string) error {
	name, rest, _ := strings.Cut(line, " ")
	if name == "wait" {
		return w.Wait(rest)
	}
	verb, text, _ := strings.Cut(strings.TrimSpace(rest), " ")
	text = strings.TrimSpace(text)
	switch verb {
	case "send":
		return w.Actor(name).Send(text)
	case "close":
		return w.Actor(name).Close(text)
	case "expect":
		got, err := w.Actor(name).Expect(text)
		if err != nil {
			return err
		}
		if got != text {
			return fmt.Errorf("-want +got:\n%s", diff(text, got))
		}
		return nil
	}
	return errors.New("no such verb")
}
