package node

import (
	"errors"
	"fmt"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// What the peers of the program say in JSON, read once into what it uses.

// DecodeList reads the worker list, or a change to it, in discovery's form. An entry that
// makes no sense costs the others nothing: odd tells of the first such. With an error nothing of
// the list is known.
func DecodeList(line []byte) (t scheduler.WorkerList, invalid, err error) {
	in := jlexer.Lexer{Data: line}
	Fields(&in, func(key string) {
		switch key {
		case "rev":
			t.Rev = in.Int64()
		case "all":
			t.Complete = in.Bool()
		case "targets":
			in.Delim('[')
			for !in.IsDelim(']') && in.Error() == nil {
				r, why := decodeWorker(in.Raw())
				if why != nil && invalid == nil {
					invalid = why
				}
				if r.UID != "" {
					t.Workers = append(t.Workers, r)
				}
				in.WantComma()
			}
			in.Delim(']')
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	return t, invalid, in.Error()
}

var workerStatuses = map[string]dispatch.Status{
	"ready": dispatch.Ready, "draining": dispatch.Draining, "gone": dispatch.Removed,
}

// decodeWorker reads an entry. One that cannot be used takes its worker out of use, if it
// names it: whatever it was to say, nothing shows that the worker is ready.
func decodeWorker(raw []byte) (scheduler.Worker, error) {
	var r scheduler.Worker
	state := ""
	in := jlexer.Lexer{Data: raw}
	Fields(&in, func(key string) {
		switch key {
		case "uid":
			r.UID = in.String()
		case "endpoint":
			r.Addr = in.String()
		case "az":
			r.Zone = in.String()
		case "model":
			r.Kind = in.String()
		case "pod_group":
			r.Cell = in.Int()
		case "boot_ms":
			r.Started = scheduler.Micros(in.Int64()) * 1000
		case "state":
			state = in.String()
		default:
			in.SkipRecursive()
		}
	})
	status, known := workerStatuses[state]
	err := in.Error()
	switch {
	case err != nil:
	case r.UID == "":
		err = errors.New("a worker without a name")
	case !known:
		err = fmt.Errorf("worker %q: unknown state %q", r.UID, state)
	case r.Addr == "" && status != dispatch.Removed:
		err = fmt.Errorf("worker %q has no address", r.UID)
	}
	if r.Status = status; err != nil {
		r.Status = dispatch.Draining
	}
	return r, err
}

var callbackKinds = map[string]scheduler.CallbackKind{
	"started": scheduler.CallbackStarted, "running": scheduler.CallbackRunning, "done": scheduler.CallbackDone,
	"failed": scheduler.CallbackFailed, "returned": scheduler.CallbackHandedBack, "lost": scheduler.CallbackAborted,
}

// decodeCallback reads a callback.
func decodeCallback(body []byte) (scheduler.Callback, error) {
	var t scheduler.Callback
	in := jlexer.Lexer{Data: body}
	Fields(&in, func(key string) {
		switch key {
		case "id":
			t.ID = in.String()
		case "from":
			t.From = in.String()
		case "state":
			t.Kind = callbackKinds[in.String()]
		case "share":
			t.Progress = in.Float64()
		case "result":
			t.Result = []byte(in.String())
		case "load":
			t.Report = decodeReport(&in)
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	return t, in.Error()
}

// decodeReport reads a load report.
func decodeReport(in *jlexer.Lexer) dispatch.Report {
	r := dispatch.Report{Outstanding: -1}
	Fields(in, func(key string) {
		switch key {
		case "x0":
			r.Free, r.Known = in.Float64(), true
		case "eps":
			r.Errors = in.Float64()
		case "inflight":
			r.Outstanding = in.Float64()
		default:
			in.SkipRecursive()
		}
	})
	return r
}

// Fields reads an object: value is called for each key that has a value other than
// null, and must read that value.
func Fields(in *jlexer.Lexer, value func(key string)) {
	in.Delim('{')
	for !in.IsDelim('}') && in.Error() == nil {
		key := in.UnsafeFieldName(false)
		in.WantColon()
		if in.IsNull() {
			in.Skip()
		} else {
			value(key)
		}
		in.WantComma()
	}
	in.Delim('}')
}
