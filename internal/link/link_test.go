package link

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dahliaford"
	"dahliaford/internal/scheduler"
)

// What a connection shows, in words, and what that must mean. Each line is one life; its
// last word says what comes of it.
func TestLives(t *testing.T) {
	reached := func(ok bool) scheduler.Event { return scheduler.Withdrawn{Task: 7, Reached: ok} }
	ended := func(o dahliaford.Outcome) scheduler.Event { return scheduler.Ended{Task: 7, Outcome: o} }
	for _, c := range []struct {
		life string
		next Next
		want scheduler.Event
	}{
		{"task unwritten", Drop, ended(dahliaford.ConnectFailed)},
		{"task refused", Drop, ended(dahliaford.ConnectFailed)},
		{"task broke", Stay, nil}, // whether it was written is still to come
		{"task broke unwritten", Drop, ended(dahliaford.ConnectFailed)},
		{"task broke written", Drop, ended(dahliaford.Reset)},
		{"task written broke", Drop, ended(dahliaford.Reset)},
		{"task written 202", Idle, scheduler.Accepted{Task: 7}},
		{"task written 202close", Drop, scheduler.Accepted{Task: 7}},
		{"task 202", Drop, scheduler.Accepted{Task: 7}}, // the answer overtakes the writer's word, or the last byte
		{"task 503away", Drop, ended(dahliaford.Full)},
		{"task written 202 broke", Drop, nil},
		{"task written 202 503", Drop, nil}, // an answer to nothing
		{"202", Drop, nil},
		{"task written broke 202", Stay, nil},
		{"task written 503", Drop, ended(dahliaford.Failed)},
		{"task written 503away", Drop, ended(dahliaford.Full)},
		{"task written 504away", Drop, ended(dahliaford.Full)},
		{"task written 500away", Drop, ended(dahliaford.Failed)},
		{"task written 500", Drop, ended(dahliaford.Failed)},
		{"task written 429", Drop, ended(dahliaford.Failed)},
		{"task written 404", Drop, scheduler.Rejected{Task: 7}},
		{"task written 301", Drop, ended(dahliaford.Failed)},
		{"task letgo written", Stay, nil},
		{"task letgo broke", Stay, nil},
		{"task letgo 202", Stay, nil},
		{"withdrawal written 200", Drop, reached(true)},
		{"withdrawal written 404", Drop, reached(true)},
		{"withdrawal unwritten", Drop, reached(false)},
		{"withdrawal refused", Drop, reached(true)},
		{"withdrawal written broke", Drop, reached(false)},
		{"task written 202 task written 202", Idle, scheduler.Accepted{Task: 7}},
		{"task written 202 task written 202 202", Drop, nil},
		{"task written 202 task written 503away", Drop, ended(dahliaford.Reset)}, // whose is it?
		{"task written 202 task written 500", Drop, ended(dahliaford.Reset)},
		{"task written 202 task written 404", Drop, ended(dahliaford.Reset)},
		{"task written 202 task 202", Drop, ended(dahliaford.Reset)},
		{"broke", Drop, nil},
	} {
		var l Link
		var next Next
		var got scheduler.Event
		for _, word := range strings.Fields(c.life) {
			switch word {
			case "task", "withdrawal":
				l.Take(7, word == "withdrawal")
			case "written", "unwritten", "refused":
				next, got = l.Wrote(word != "written", word == "refused")
			case "broke":
				next, got = l.Broke()
			case "letgo":
				l.LetGo()
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
		if dead := next == Drop; l.Dead != (dead || strings.Contains(c.life, "letgo") ||
			c.life == "task written broke 202") {
			t.Errorf("%s: dead is %v", c.life, l.Dead)
		}
	}
}
