package node

import (
	"errors"
	"fmt"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford"
	"dahliaford/internal/scheduler"
)

// What the peers of the program say in JSON, read once into what it uses.

// DecodeTable reads the service table, or a change to it, in discovery's form.
func DecodeTable(line []byte) (scheduler.Table, error) {
	var t scheduler.Table
	in := jlexer.Lexer{Data: line}
	fields(&in, func(key string) {
		switch key {
		case "rev":
			t.Rev = in.Int64()
		case "all":
			t.All = in.Bool()
		case "targets":
			in.Delim('[')
			for !in.IsDelim(']') && in.Error() == nil {
				t.Regions = append(t.Regions, decodeRegion(&in))
				in.WantComma()
			}
			in.Delim(']')
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	return t, in.Error()
}

var states = map[string]dahliaford.Status{
	"ready": dahliaford.Ready, "draining": dahliaford.Draining, "gone": dahliaford.Gone,
}

func decodeRegion(in *jlexer.Lexer) scheduler.Region {
	var r scheduler.Region
	fields(in, func(key string) {
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
			word := in.String()
			status, known := states[word]
			if !known && in.Error() == nil {
				in.AddError(fmt.Errorf("unknown state %q", word))
			}
			r.Status = status
		default:
			in.SkipRecursive()
		}
	})
	switch { // what is no region must not pass for one: the table before it holds
	case in.Error() != nil:
	case r.UID == "":
		in.AddError(errors.New("a region without a name"))
	case r.Addr == "" && r.Status != dahliaford.Gone:
		in.AddError(fmt.Errorf("region %q has no address", r.UID))
	}
	return r
}

var news = map[string]scheduler.News{
	"started": scheduler.NewsStarted, "running": scheduler.NewsRunning, "done": scheduler.NewsDone,
	"failed": scheduler.NewsFailed, "returned": scheduler.NewsReturned, "lost": scheduler.NewsLost,
}

// decodeTold reads a callback.
func decodeTold(body []byte) (scheduler.Told, error) {
	var t scheduler.Told
	in := jlexer.Lexer{Data: body}
	fields(&in, func(key string) {
		switch key {
		case "id":
			t.ID = in.String()
		case "from":
			t.From = in.String()
		case "state":
			t.News = news[in.String()]
		case "share":
			t.Share = in.Float64()
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
func decodeReport(in *jlexer.Lexer) dahliaford.Report {
	r := dahliaford.Report{Outstanding: -1}
	fields(in, func(key string) {
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

// fields reads an object: value is called for each key that has a value other than
// null, and must read that value.
func fields(in *jlexer.Lexer, value func(key string)) {
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
