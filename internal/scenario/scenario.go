// Package scenario runs test scenarios that are written as scripts. A line of a script is one of
//
//	ACTOR send TEXT      the actor sends a message or performs an action
//	ACTOR expect TEXT    the next message that the actor receives is TEXT
//	ACTOR close TEXT     the actor closes a connection or ends an activity
//	wait TEXT            time passes
//
// Each Actor defines the meaning of the TEXT in its lines, and the World the meaning of the TEXT after wait.
// Blank lines and lines that begin with # are skipped.
package scenario

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Actor is a participant in a scenario. Expect returns the text of the next message that the actor received.
type Actor interface {
	Send(text string) error
	Expect(want string) (got string, err error)
	Close(text string) error
}

// World provides the actors of a scenario by name and lets time pass.
type World interface {
	Actor(name string) Actor
	Wait(text string) error
}

// Run runs a script and fails the test at the first line that returns an error or whose expectation is not
// met. diff describes the difference between an expected text and the received one.
func Run(t testing.TB, w World, script string, diff func(want, got string) string) {
	t.Helper()
	for i, line := range strings.Split(script, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		if err := runLine(w, line, diff); err != nil {
			t.Fatalf("script line %d: %s: %v", i+1, line, err)
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
			return fmt.Errorf("received text differs from the expected text, -want +got:\n%s", diff(text, got))
		}
		return nil
	}
	return errors.New("unknown verb: want send, expect or close")
}
