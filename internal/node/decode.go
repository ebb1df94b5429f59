package node

import (
	"errors"
	"fmt"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// DecodeList decodes the worker list, or a change to it, in discovery's JSON. An entry that is invalid does
// not affect the others: invalid is the error of the first one. With err nothing of the list is known.
func DecodeList(line []byte) (list scheduler.WorkerList, invalid, err error) {
	in := jlexer.Lexer{Data: line}
	Fields(&in, func(key string) {
		switch key {
		case "rev":
			list.Revision = in.Int64()
		case "all":
			list.Complete = in.Bool()
		case "targets":
			in.Delim('[')
			for !in.IsDelim(']') && in.Error() == nil {
				worker, workerErr := decodeWorker(in.Raw())
				if workerErr != nil && invalid == nil {
					invalid = workerErr
				}
				if worker.UID != "" {
					list.Workers = append(list.Workers, worker)
				}
				in.WantComma()
			}
			in.Delim(']')
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	return list, invalid, in.Error()
}

var workerStatuses = map[string]dispatch.Status{
	"ready": dispatch.Ready, "draining": dispatch.Draining, "gone": dispatch.Removed,
}

// decodeWorker decodes an entry. An invalid one takes its worker out of use, if it names it: whatever it was
// meant to say, nothing shows that the worker is ready.
func decodeWorker(raw []byte) (scheduler.Worker, error) {
	var w scheduler.Worker
	state := ""
	in := jlexer.Lexer{Data: raw}
	Fields(&in, func(key string) {
		switch key {
		case "uid":
			w.UID = in.String()
		case "endpoint":
			w.Addr = in.String()
		case "az":
			w.Zone = in.String()
		case "model":
			w.Kind = in.String()
		case "pod_group":
			w.Cell = in.Int()
		case "boot_ms":
			w.Started = scheduler.Micros(in.Int64()) * 1000
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
	case w.UID == "":
		err = errors.New("a worker without a uid")
	case !known:
		err = fmt.Errorf("worker %q: unknown state %q", w.UID, state)
	case w.Addr == "" && status != dispatch.Removed:
		err = fmt.Errorf("worker %q has no address", w.UID)
	}
	if w.Status = status; err != nil {
		w.Status = dispatch.Draining
	}
	return w, err
}

var callbackKinds = map[string]scheduler.CallbackKind{
	"started":  scheduler.CallbackStarted,
	"running":  scheduler.CallbackRunning,
	"done":     scheduler.CallbackDone,
	"failed":   scheduler.CallbackFailed,
	"returned": scheduler.CallbackHandedBack,
	"lost":     scheduler.CallbackAborted,
}

// decodeCallback decodes a worker's callback.
func decodeCallback(body []byte) (scheduler.Callback, error) {
	var callback scheduler.Callback
	in := jlexer.Lexer{Data: body}
	Fields(&in, func(key string) {
		switch key {
		case "id":
			callback.RequestID = in.String()
		case "from":
			callback.WorkerUID = in.String()
		case "state":
			callback.Kind = callbackKinds[in.String()]
		case "share":
			callback.Progress = in.Float64()
		case "result":
			callback.Result = []byte(in.String())
		case "load":
			callback.Report = decodeReport(&in)
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	return callback, in.Error()
}

// decodeReport decodes a load report. The lexer holds the error.
func decodeReport(in *jlexer.Lexer) dispatch.Report {
	r := dispatch.Report{Outstanding: -1}
	Fields(in, func(key string) {
		switch key {
		case "x0":
			r.Free, r.FreeKnown = in.Float64(), true
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

// Fields reads an object. It calls value for each key whose value is not null, and value must read that value
// from the lexer. The lexer holds the error.
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
