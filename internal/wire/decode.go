// Package wire connects dispatchers to the simulator's wire format. The package decodes batches of events,
// hosts one dispatcher for each scheduler instance and encodes the dispatchers' actions. The package makes no
// dispatch decisions.
package wire

import (
	"encoding/hex"
	"errors"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford/internal/dispatch"
)

var errNoClock = errors.New("batch has no field t with the time")

// message is one event of a batch as on the wire. The event's name determines which fields of the message are
// used. Fields that are absent on the wire are zero. Times are in microseconds.
type message struct {
	name          string                 // name of the event
	instance      int                    // number of the scheduler instance that the event is for
	job           uint64                 // ID of the job
	class         int                    // number of the job's class
	tenant        int                    // number of the job's tenant
	clientTimeout int64                  // time until the client abandons this submission of the job
	retry         bool                   // the client marked the job as a retry
	work          int64                  // expected run time of the job on a standard core; 0 if not known
	slots         float64                // slots that the job takes
	memoryUnits   float64                // memory units that the job takes
	worker        uint32                 // number of the worker
	attempt       int                    // number of the attempt within its job, from 0
	status        int                    // status code of the attempt's end, see outcomes
	final         bool                   // the job is finished
	note          int                    // kind of a report about a running attempt: 1 started, 2 progress
	value         float64                // value of an attempt report: for progress the fraction of work done
	scope         int                    // which part of the worker list an update replaces, see scopes
	listNumber    int                    // number under which the process keeps a worker list
	timerToken    uint64                 // token of the timer that fired
	sender        int                    // number of the dispatcher that sent the gossip message
	gossip        string                 // gossip message in hexadecimal digits
	seed          uint64                 // seed of the random draws of the new scheduler instance
	params        []byte                 // settings object of the new scheduler instance, as raw JSON
	report        dispatch.Report        // load report of the worker
	workers       []dispatch.WorkerEntry // entries of a worker list
}

// decodeBatch decodes one line into a slice whose memory it reuses. Strings and raw fields of the messages
// point into the line.
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

// decodeInbox appends the events of a batch to the messages. Decoding stops at the first malformed event; the
// lexer keeps the error.
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

// decodeObject decodes an object and calls field for each key. The function field reads the value and returns
// true, or returns false for an unknown key, whose value is then skipped. A field with the value null counts
// as absent.
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

// decodeFields decodes the fields of an event. A field has the same meaning in all events.
func decodeFields(in *jlexer.Lexer, m *message) {
	decodeObject(in, func(key string) bool {
		return m.decodeJobField(in, key) || m.decodeAttemptField(in, key) || m.decodeInstanceField(in, key)
	})
}

// decodeJobField decodes a field that describes a job. It returns false if the key names no such field.
func (m *message) decodeJobField(in *jlexer.Lexer, key string) bool {
	switch key {
	case "op_id":
		m.job = in.Uint64()
	case "class":
		m.class = in.Int()
	case "tenant":
		m.tenant = in.Int()
	case "patience_left":
		m.clientTimeout = in.Int64()
	case "estimate":
		m.work = in.Int64()
	case "retry":
		m.retry = in.Bool()
	case "needs":
		m.slots = in.Float64()
	case "memory":
		m.memoryUnits = in.Float64()
	default:
		return false
	}
	return true
}

// decodeAttemptField decodes a field that describes an attempt. It returns false if the key names no such
// field.
func (m *message) decodeAttemptField(in *jlexer.Lexer, key string) bool {
	switch key {
	case "worker":
		m.worker = in.Uint32()
	case "try":
		m.attempt = in.Int()
	case "status":
		m.status = in.Int()
	case "terminal":
		m.final = in.Bool()
	case "sort":
		m.note = in.Int()
	case "value":
		m.value = in.Float64()
	case "telemetry":
		decodeReport(in, m)
	default:
		return false
	}
	return true
}

// decodeInstanceField decodes a field that concerns a scheduler instance and no job. It returns false if the
// key names no such field.
func (m *message) decodeInstanceField(in *jlexer.Lexer, key string) bool {
	switch key {
	case "who":
		m.instance = in.Int()
	case "scope":
		m.scope = in.Int()
	case "ref":
		m.listNumber = in.Int()
	case "tag":
		m.timerToken = in.Uint64()
	case "from":
		m.sender = in.Int()
	case "blob":
		m.gossip = in.UnsafeString()
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

// decodeReport decodes a worker's load report.
func decodeReport(in *jlexer.Lexer, m *message) {
	m.report.Outstanding = -1 // a negative Outstanding means that the load report lacks the field
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

// decodeWorkers decodes the entries of a worker list. Decoding stops at the first malformed entry; the lexer
// keeps the error.
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

// decodeWorker decodes one entry of a worker list. A worker without a status is ready.
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

// workerStatus returns the status for a number on the wire. An unknown number counts as removed, so that
// nothing is sent to the worker.
func workerStatus(n int) dispatch.Status {
	switch n {
	case 1:
		return dispatch.Ready
	case 2:
		return dispatch.Draining
	}
	return dispatch.Removed
}

// outcomes has the outcome of an attempt for each status code on the wire.
var outcomes = map[int]dispatch.Outcome{
	0: dispatch.OK, 5: dispatch.Failed, 11: dispatch.AtCapacity, 110: dispatch.TimedOut,
	111: dispatch.ConnectFailed,
	104: dispatch.Reset, 125: dispatch.Cancelled, 114: dispatch.NotSent,
}

// event fills e with the event for a message. It returns false if the message is no event for a dispatcher.
func (m *message) event(e *dispatch.Event) bool {
	*e = dispatch.Event{Job: dispatch.JobID(m.job), Worker: dispatch.WorkerID(m.worker),
		Attempt: m.attempt, Report: m.report}
	switch m.name {
	case "knock":
		e.Kind, e.Class, e.Tenant = dispatch.JobArrived, m.class, m.tenant
		e.ClientTimeout, e.Work = dispatch.Micros(m.clientTimeout), dispatch.Micros(m.work)
		e.Retry = m.retry
		e.Slots = max(m.slots, m.memoryUnits)
	case "completed":
		e.Kind, e.Final = dispatch.AttemptEnded, m.final
		outcome, known := outcomes[m.status]
		if !known {
			outcome = dispatch.Failed // the safe choice for an unknown code, as the job may have run
		}
		e.Outcome = outcome
	case "status_note":
		e.Kind, e.Value = dispatch.AttemptReported, m.value
		switch m.note {
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
		e.Kind, e.Token = dispatch.TimerFired, m.timerToken
	case "whisper":
		e.Kind, e.Peer = dispatch.GossipReceived, m.sender
		// Invalid digits cut the message short; the dispatcher checks the length.
		e.Message, _ = hex.DecodeString(m.gossip)
	default:
		return false
	}
	return true
}
