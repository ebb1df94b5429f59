// Package wire connects dispatchers to the simulator's wire format: it decodes batches of events, hosts one
// dispatcher for each instance and encodes their actions. It decides nothing.
package wire

import (
	"encoding/hex"
	"errors"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford/internal/dispatch"
)

var errNoClock = errors.New("batch without a clock")

// message is one event of a batch as it is on the wire. Which fields count depends on its name; absent ones
// are zero.
type message struct {
	name     string
	who      int // the instance
	job      uint64
	class    int
	tenant   int
	patience int64
	retry    bool
	estimate int64
	needs    float64
	memory   float64
	worker   uint32
	attempt  int
	status   int
	terminal bool
	sort     int
	value    float64
	scope    int
	ref      int
	tag      uint64
	from     int
	blob     string
	seed     uint64
	params   []byte
	report   dispatch.Report
	workers  []dispatch.WorkerEntry
}

// decodeBatch reads one line into the reused slice. Strings and raw fields of the messages point into the
// line.
func decodeBatch(line []byte, into []message) (now int64, messages []message, err error) {
	in := jlexer.Lexer{Data: line}
	messages = into[:0]
	seenTime := false
	in.Delim('{')
	for !in.IsDelim('}') {
		key := in.UnsafeFieldName(false)
		in.WantColon()
		switch key {
		case "t":
			now, seenTime = in.Int64(), true
		case "inbox":
			messages = decodeInbox(&in, messages)
		default:
			in.SkipRecursive()
		}
		in.WantComma()
	}
	in.Delim('}')
	in.Consumed()
	if err = in.Error(); err == nil && !seenTime {
		err = errNoClock
	}
	return now, messages, err
}

func decodeInbox(in *jlexer.Lexer, messages []message) []message {
	if in.IsNull() {
		in.Skip()
		return messages
	}
	in.Delim('[')
	for !in.IsDelim(']') {
		messages = append(messages, message{})
		m := &messages[len(messages)-1]
		in.Delim('{')
		for !in.IsDelim('}') {
			m.name = in.UnsafeFieldName(false)
			in.WantColon()
			decodeFields(in, m)
			in.WantComma()
		}
		in.Delim('}')
		in.WantComma()
		if in.Error() != nil {
			break
		}
	}
	in.Delim(']')
	return messages
}

// decodeObject reads an object. Its fields are passed to field, which reads the value, or returns false for a
// key that it does not know. Nulls count as absent.
func decodeObject(in *jlexer.Lexer, field func(key string) bool) {
	in.Delim('{')
	for !in.IsDelim('}') {
		key := in.UnsafeFieldName(false)
		in.WantColon()
		switch {
		case in.IsNull():
			in.Skip()
		case !field(key):
			in.SkipRecursive()
		}
		in.WantComma()
	}
	in.Delim('}')
}

// decodeFields reads the fields of any event; a name means the same in all.
func decodeFields(in *jlexer.Lexer, m *message) {
	decodeObject(in, func(key string) bool {
		return m.decodeJobField(in, key) || m.decodeAttemptField(in, key) || m.decodeInstanceField(in, key)
	})
}

// decodeJobField reads a field that describes a job; false: the key names none.
func (m *message) decodeJobField(in *jlexer.Lexer, key string) bool {
	switch key {
	case "op_id":
		m.job = in.Uint64()
	case "class":
		m.class = in.Int()
	case "tenant":
		m.tenant = in.Int()
	case "patience_left":
		m.patience = in.Int64()
	case "estimate":
		m.estimate = in.Int64()
	case "retry":
		m.retry = in.Bool()
	case "needs":
		m.needs = in.Float64()
	case "memory":
		m.memory = in.Float64()
	default:
		return false
	}
	return true
}

// decodeAttemptField reads a field that describes an attempt; false: the key names none.
func (m *message) decodeAttemptField(in *jlexer.Lexer, key string) bool {
	switch key {
	case "worker":
		m.worker = in.Uint32()
	case "try":
		m.attempt = in.Int()
	case "status":
		m.status = in.Int()
	case "terminal":
		m.terminal = in.Bool()
	case "sort":
		m.sort = in.Int()
	case "value":
		m.value = in.Float64()
	case "telemetry":
		decodeReport(in, m)
	default:
		return false
	}
	return true
}

// decodeInstanceField reads a field that concerns an instance as such; false: the key names none.
func (m *message) decodeInstanceField(in *jlexer.Lexer, key string) bool {
	switch key {
	case "who":
		m.who = in.Int()
	case "scope":
		m.scope = in.Int()
	case "ref":
		m.ref = in.Int()
	case "tag":
		m.tag = in.Uint64()
	case "from":
		m.from = in.Int()
	case "blob":
		m.blob = in.UnsafeString()
	case "rng_seed":
		m.seed = in.Uint64()
	case "params":
		m.params = in.Raw()
	case "nodes_list":
		m.workers = decodeWorkers(in)
	default:
		return false
	}
	return true
}

func decodeReport(in *jlexer.Lexer, m *message) {
	m.report.Outstanding = -1 // not reported
	decodeObject(in, func(key string) bool {
		switch key {
		case "x0":
			m.report.Free, m.report.FreeKnown = in.Float64(), true
		case "errors_per_s":
			m.report.Errors = in.Float64()
		case "outstanding":
			m.report.Outstanding = in.Float64()
		default:
			return false
		}
		return true
	})
}

func decodeWorkers(in *jlexer.Lexer) []dispatch.WorkerEntry {
	var list []dispatch.WorkerEntry
	in.Delim('[')
	for !in.IsDelim(']') {
		list = append(list, decodeWorker(in))
		in.WantComma()
		if in.Error() != nil {
			break
		}
	}
	in.Delim(']')
	return list
}

func decodeWorker(in *jlexer.Lexer) dispatch.WorkerEntry {
	e := dispatch.WorkerEntry{Status: dispatch.Ready}
	decodeObject(in, func(key string) bool {
		switch key {
		case "generation_hw":
			e.Kind = in.Int()
		case "cohort":
			e.Cell = in.Int()
		case "hall":
			e.Zone = in.Int()
		case "status":
			e.Status = workerStatus(in.Int())
		case "online_since":
			e.Started = dispatch.Micros(in.Int64())
		case "worker":
			e.Worker = dispatch.WorkerID(in.Uint32())
		default:
			return false
		}
		return true
	})
	return e
}

func workerStatus(n int) dispatch.Status {
	switch n {
	case 1:
		return dispatch.Ready
	case 2:
		return dispatch.Draining
	}
	return dispatch.Removed
}

// outcomes are the outcomes of an attempt by the wire's status codes.
var outcomes = map[int]dispatch.Outcome{
	0: dispatch.OK, 5: dispatch.Failed, 11: dispatch.AtCapacity, 110: dispatch.TimedOut,
	111: dispatch.ConnectFailed,
	104: dispatch.Reset, 125: dispatch.Cancelled, 114: dispatch.NotSent,
}

// event fills e with the event that a message stands for; false: it has no meaning for a dispatcher.
func (m *message) event(e *dispatch.Event) bool {
	*e = dispatch.Event{Job: dispatch.JobID(m.job), Worker: dispatch.WorkerID(m.worker),
		Attempt: m.attempt, Report: m.report}
	switch m.name {
	case "knock":
		e.Kind, e.Class, e.Tenant = dispatch.JobArrived, m.class, m.tenant
		e.ClientTimeout, e.Work = dispatch.Micros(m.patience), dispatch.Micros(m.estimate)
		e.Retry = m.retry
		e.Slots = max(m.needs, m.memory)
	case "completed":
		e.Kind, e.Final = dispatch.AttemptEnded, m.terminal
		outcome, known := outcomes[m.status]
		if !known {
			outcome = dispatch.Failed // it may have run: the safe reading of a new code
		}
		e.Outcome = outcome
	case "status_note":
		e.Kind, e.Value = dispatch.AttemptReported, m.value
		switch m.sort {
		case 1:
			e.Note = dispatch.NoteStarted
		case 2:
			e.Note = dispatch.NoteProgress
		}
	case "first_byte":
		e.Kind = dispatch.StreamStarted
	case "client_gone":
		e.Kind = dispatch.ClientDisconnected
	case "ring":
		e.Kind, e.Token = dispatch.TimerFired, m.tag
	case "whisper":
		e.Kind, e.Peer = dispatch.GossipReceived, m.from
		e.Message, _ = hex.DecodeString(m.blob) // an invalid one is cut short, and the dispatcher checks its length
	default:
		return false
	}
	return true
}
