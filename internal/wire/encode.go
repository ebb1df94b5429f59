package wire

import (
	"encoding/hex"
	"encoding/json"
	"strconv"

	"dahliaford/internal/dispatch"
)

// appendAction writes one action of an instance, followed by a comma.
func appendAction(b []byte, who int, a *dispatch.Action) []byte {
	switch a.Kind {
	case dispatch.Send:
		b = appendJob(openObject(b, "transmit", who), a)
		b = appendInt(b, `,"worker":`, int64(a.Worker))
		b = appendInt(b, `,"abandon_at":`, int64(a.Deadline))
	case dispatch.Refuse:
		b = appendJob(openObject(b, "reject", who), a)
		b = appendInt(b, `,"hold_off":`, int64(a.Delay))
	case dispatch.Fail:
		b = appendJob(openObject(b, "respond_error", who), a)
	case dispatch.Cancel:
		b = appendJob(openObject(b, "retract", who), a)
		b = appendInt(b, `,"try":`, int64(a.Attempt))
	case dispatch.SetTimer:
		b = appendInt(openObject(b, "set_timer", who), `,"span":`, int64(a.Delay))
		b = strconv.AppendUint(append(b, `,"tag":`...), a.Token, 10)
	case dispatch.WatchEndpoints:
		b = append(openObject(b, "watch", who), `,"enable":true`...)
	case dispatch.SendGossip:
		b = appendInt(openObject(b, "write_peer", who), `,"dst":`, int64(a.Peer))
		b = append(hex.AppendEncode(append(b, `,"blob":"`...), a.Message), '"')
	case dispatch.Log:
		b = appendText(openObject(b, "write_log", who), a.Text)
	default:
		return b
	}
	return append(b, '}', '}', ',')
}

// appendFault writes that the dispatcher of an instance panicked or could not be started.
func appendFault(b []byte, who int, text string) []byte {
	return append(appendText(openObject(b, "exception", who), text), '}', '}', ',')
}

// openObject writes the start of an action, up to the instance.
func openObject(b []byte, name string, who int) []byte {
	b = append(append(append(b, '{', '"'), name...), `":{"who":`...)
	return strconv.AppendInt(b, int64(who), 10)
}

func appendJob(b []byte, a *dispatch.Action) []byte {
	return strconv.AppendUint(append(b, `,"op_id":`...), uint64(a.Job), 10)
}

func appendInt(b []byte, key string, v int64) []byte {
	return strconv.AppendInt(append(b, key...), v, 10)
}

func appendText(b []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // marshalling a string never fails
	return append(append(b, `,"line":`...), quoted...)
}
