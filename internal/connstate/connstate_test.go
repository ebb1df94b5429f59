package connstate

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// Each test case is the lifecycle of one connection as a sequence of steps, with the disposition and the
// event that the last step must return.
func TestConnectionLifecycles(t *testing.T) {
	writeResults := map[string]WriteResult{"written": WriteComplete, "unwritten": WriteFailed,
		"refused": ConnectRefused}
	cancelled := func(ok bool) scheduler.Event {
		return scheduler.CancellationResult{Attempt: 7, Acknowledged: ok}
	}
	ended := func(o dispatch.Outcome) scheduler.Event { return scheduler.AttemptEnded{Attempt: 7, Outcome: o} }
	for _, c := range []struct {
		steps string
		next  Disposition
		want  scheduler.Event
	}{
		{"attempt unwritten", Drop, ended(dispatch.ConnectFailed)},
		{"attempt refused", Drop, ended(dispatch.ConnectFailed)},
		{"attempt broke", KeepOpen, nil}, // The later WriteEnded decides the outcome of the attempt.
		{"attempt broke unwritten", Drop, ended(dispatch.ConnectFailed)},
		{"attempt broke written", Drop, ended(dispatch.Reset)},
		{"attempt written broke", Drop, ended(dispatch.Reset)},
		{"attempt written 202", Idle, scheduler.AttemptAccepted{Attempt: 7}},
		{"attempt written 202close", Drop, scheduler.AttemptAccepted{Attempt: 7}},
		// The response arrives before WriteEnded reports the result of writing, or before the last byte is sent.
		{"attempt 202", Drop, scheduler.AttemptAccepted{Attempt: 7}},
		{"attempt 503away", Drop, ended(dispatch.AtCapacity)},
		{"attempt written 202 broke", Drop, nil},
		{"attempt written 202 503", Drop, nil}, // The 503 on the idle connection is unsolicited.
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
		{"attempt release written", KeepOpen, nil},
		{"attempt release broke", KeepOpen, nil},
		{"attempt release 202", KeepOpen, nil},
		{"cancellation written 200", Drop, cancelled(true)},
		{"cancellation written 404", Drop, cancelled(true)},
		{"cancellation unwritten", Drop, cancelled(false)},
		{"cancellation refused", Drop, cancelled(true)},
		{"cancellation written broke", Drop, cancelled(false)},
		{"attempt written 202 attempt written 202", Idle, scheduler.AttemptAccepted{Attempt: 7}},
		{"attempt written 202 attempt written 202 202", Drop, nil},
		// The 503 response may be a repeated response to the first attempt.
		{"attempt written 202 attempt written 503away", Drop, ended(dispatch.Reset)},
		{"attempt written 202 attempt written 500", Drop, ended(dispatch.Reset)},
		{"attempt written 202 attempt written 404", Drop, ended(dispatch.Reset)},
		{"attempt written 202 attempt 202", Drop, ended(dispatch.Reset)},
		{"broke", Drop, nil},
	} {
		var conn Conn
		var next Disposition
		var got scheduler.Event
		for _, step := range strings.Fields(c.steps) {
			switch step {
			case "attempt", "cancellation":
				conn.Assign(7, step == "cancellation")
			case "written", "unwritten", "refused":
				next, got = conn.WriteEnded(writeResults[step])
			case "broke":
				next, got = conn.ReadEnded()
			case "release":
				conn.Release()
			default:
				status := 0
				for _, digit := range step[:3] {
					status = status*10 + int(digit-'0')
				}
				answer := WorkerResponse{Status: status, NotStarted: step[3:] == "away", Close: step[3:] == "close"}
				next, got = conn.ResponseReceived(answer)
			}
		}
		if diff := cmp.Diff([]any{c.next, c.want}, []any{next, got}); diff != "" {
			t.Errorf("after the steps %s: disposition and event (-want +got): %s", c.steps, diff)
		}
		if dropped := next == Drop; conn.Released != (dropped || strings.Contains(c.steps, "release") ||
			c.steps == "attempt written broke 202") {
			t.Errorf("after the steps %s: Released is %v, want true only after Drop or Release",
				c.steps, conn.Released)
		}
	}
}
