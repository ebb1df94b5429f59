package connstate

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// What a connection shows, in words, and what that must mean. Each line is one life; its
// last word says what comes of it.
func TestLives(t *testing.T) {
	reached := func(ok bool) scheduler.Event { return scheduler.CancellationResult{Attempt: 7, Acknowledged: ok} }
	ended := func(o dispatch.Outcome) scheduler.Event { return scheduler.AttemptEnded{Attempt: 7, Outcome: o} }
	for _, c := range []struct {
		life string
		next Disposition
		want scheduler.Event
	}{
		{"attempt unwritten", Drop, ended(dispatch.ConnectFailed)},
		{"attempt refused", Drop, ended(dispatch.ConnectFailed)},
		{"attempt broke", KeepOpen, nil}, // whether it was written is still to come
		{"attempt broke unwritten", Drop, ended(dispatch.ConnectFailed)},
		{"attempt broke written", Drop, ended(dispatch.Reset)},
		{"attempt written broke", Drop, ended(dispatch.Reset)},
		{"attempt written 202", Idle, scheduler.AttemptAccepted{Attempt: 7}},
		{"attempt written 202close", Drop, scheduler.AttemptAccepted{Attempt: 7}},
		// the answer overtakes the writer's word, or the last byte
		{"attempt 202", Drop, scheduler.AttemptAccepted{Attempt: 7}},
		{"attempt 503away", Drop, ended(dispatch.AtCapacity)},
		{"attempt written 202 broke", Drop, nil},
		{"attempt written 202 503", Drop, nil}, // an answer to nothing
		{"202", Drop, nil},
		{"attempt written broke 202", KeepOpen, nil},
		{"attempt written 503", Drop, ended(dispatch.Failed)},
		{"attempt written 503away", Drop, ended(dispatch.AtCapacity)},
		{"attempt written 504away", Drop, ended(dispatch.AtCapacity)},
		{"attempt written 500away", Drop, ended(dispatch.Failed)},
		{"attempt written 500", Drop, ended(dispatch.Failed)},
		{"attempt written 429", Drop, ended(dispatch.Failed)},
		{"attempt written 404", Drop, scheduler.AttemptRejected{Attempt: 7}},
		{"attempt written 301", Drop, ended(dispatch.Failed)},
		{"attempt letgo written", KeepOpen, nil},
		{"attempt letgo broke", KeepOpen, nil},
		{"attempt letgo 202", KeepOpen, nil},
		{"withdrawal written 200", Drop, reached(true)},
		{"withdrawal written 404", Drop, reached(true)},
		{"withdrawal unwritten", Drop, reached(false)},
		{"withdrawal refused", Drop, reached(true)},
		{"withdrawal written broke", Drop, reached(false)},
		{"attempt written 202 attempt written 202", Idle, scheduler.AttemptAccepted{Attempt: 7}},
		{"attempt written 202 attempt written 202 202", Drop, nil},
		{"attempt written 202 attempt written 503away", Drop, ended(dispatch.Reset)}, // whose is it?
		{"attempt written 202 attempt written 500", Drop, ended(dispatch.Reset)},
		{"attempt written 202 attempt written 404", Drop, ended(dispatch.Reset)},
		{"attempt written 202 attempt 202", Drop, ended(dispatch.Reset)},
		{"broke", Drop, nil},
	} {
		var l Conn
		var next Disposition
		var got scheduler.Event
		for _, word := range strings.Fields(c.life) {
			switch word {
			case "attempt", "withdrawal":
				l.Assign(7, word == "withdrawal")
			case "written", "unwritten", "refused":
				next, got = l.WriteEnded(word != "written", word == "refused")
			case "broke":
				next, got = l.ReadEnded()
			case "letgo":
				l.Release()
			default:
				status := 0
				for _, digit := range word[:3] {
					status = status*10 + int(digit-'0')
				}
				next, got = l.Answered(Answer{Status: status, TurnedAway: word[3:] == "away", Close: word[3:] == "close"})
			}
		}
		if diff := cmp.Diff([]any{c.next, c.want}, []any{next, got}); diff != "" {
			t.Errorf("%s: %s", c.life, diff)
		}
		if dead := next == Drop; l.Released != (dead || strings.Contains(c.life, "letgo") ||
			c.life == "attempt written broke 202") {
			t.Errorf("%s: dead is %v", c.life, l.Released)
		}
	}
}
