package wire

import (
	"encoding/hex"
	"encoding/json"
	"strconv"

	"dahliaford/internal/dispatch"
)

// appendAction appends one action of a scheduler instance, followed by a comma. An action of an unknown kind
// is skipped.
func appendAction(b []byte, instance int, a *dispatch.Action) []byte {
	switch a.Kind {
	case dispatch.Send:
		b = appendJob(openObject(b, "transmit", instance), a)
		b = appendInt(b, `,"worker":`, int64(a.Worker))
		b = appendInt(b, `,"abandon_at":`, int64(a.Deadline))
	case dispatch.Refuse:
		b = appendJob(openObject(b, "reject", instance), a)
		b = appendInt(b, `,"hold_off":`, int64(a.Delay))
	case dispatch.Fail:
		b = appendJob(openObject(b, "respond_error", instance), a)
	case dispatch.Cancel:
		b = appendJob(openObject(b, "retract", instance), a)
		b = appendInt(b, `,"try":`, int64(a.Attempt))
	case dispatch.SetTimer:
		b = appendInt(openObject(b, "set_timer", instance), `,"span":`, int64(a.Delay))
		b = strconv.AppendUint(append(b, `,"tag":`...), a.Token, 10)
	case dispatch.WatchEndpoints:
		b = append(openObject(b, "watch", instance), `,"enable":true`...)
	case dispatch.SendGossip:
		b = appendInt(openObject(b, "write_peer", instance), `,"dst":`, int64(a.Peer))
		b = append(hex.AppendEncode(append(b, `,"blob":"`...), a.Message), '"')
	case dispatch.Log:
		b = appendText(openObject(b, "write_log", instance), a.Text)
	default:
		return b
	}
	return append(b, '}', '}', ',')
}

// appendFault appends an exception message, which says that the dispatcher of a scheduler instance panicked
// or could not be started.
func appendFault(b []byte, instance int, text string) []byte {
	return append(appendText(openObject(b, "exception", instance), text), '}', '}', ',')
}

// openObject appends the start of an action, up to and including the number of the scheduler instance.
func openObject(b []byte, name string, instance int) []byte {
	b = append(append(append(b, '{', '"'), name...), `":{"who":`...)
	return strconv.AppendInt(b, int64(instance), 10)
}

// appendJob appends the field with the ID of an action's job.
func appendJob(b []byte, a *dispatch.Action) []byte {
	return strconv.AppendUint(append(b, `,"op_id":`...), uint64(a.Job), 10)
}

// appendInt appends an integer after the given text, which has the comma, the key and the colon.
func appendInt(b []byte, key string, v int64) []byte {
	return strconv.AppendInt(append(b, key...), v, 10)
}

// appendText appends the field named "line" with a text as a JSON string.
func appendText(b []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // marshalling a string never fails
	return append(append(b, `,"line":`...), quoted...)
}
