package node

import (
	"errors"
	"fmt"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

// DecodeList decodes a complete worker list, or a change of the list, from the JSON of the discovery service.
// An invalid entry does not affect other entries; invalid is the error of the first invalid entry. If err is
// not nil, the text as a whole is malformed and the list must not be used.
func DecodeList(line []byte) (list scheduler.WorkerList, invalid, err error) {
	in := jlexer.Lexer{Data: line}
	DecodeObject(&in, func(key string) {
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

// decodeWorker decodes an entry of the worker list. If the entry is invalid but has a UID, decodeWorker
// returns the worker as draining, because an invalid entry does not show that the worker is ready.
func decodeWorker(raw []byte) (scheduler.Worker, error) {
	var w scheduler.Worker
	state := ""
	in := jlexer.Lexer{Data: raw}
	DecodeObject(&in, func(key string) {
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
		err = errors.New("worker entry has no uid")
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

// decodeCallback decodes the body of a worker's callback.
func decodeCallback(body []byte) (scheduler.Callback, error) {
	var callback scheduler.Callback
	in := jlexer.Lexer{Data: body}
	DecodeObject(&in, func(key string) {
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

// decodeReport decodes a worker's load report. The lexer keeps an error of the decoding for the caller to
// check.
func decodeReport(in *jlexer.Lexer) dispatch.Report {
	r := dispatch.Report{Outstanding: -1}
	DecodeObject(in, func(key string) {
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

// DecodeObject reads a JSON object. It calls value for each key whose value is not null; value must read the
// key's value from the lexer. The lexer keeps an error of the decoding for the caller to check.
func DecodeObject(in *jlexer.Lexer, value func(key string)) {
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
