package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/scheduler"
)

func TestDecodeWorkerList(t *testing.T) {
	got, invalid, err := DecodeList([]byte(`{"rev":41,"all":true,"new":[1],"targets":[
		{"uid":"s-1","endpoint":"h:1","az":"a","model":"m2","pod_group":3,"state":"gone",
		 "capacity_hint":1.0,"boot_ms":1700000000123}]}`))
	if err != nil || invalid != nil {
		t.Fatal(invalid, err)
	}
	r := got.Workers[0]
	want := scheduler.Worker{UID: "s-1", Addr: "h:1", Zone: "a", Kind: "m2", Cell: 3,
		Status: dispatch.Removed, Started: 1700000000123000}
	if diff := cmp.Diff(want, r); diff != "" {
		t.Error(diff)
	}
	for _, bad := range []string{`{"rev":"x"}`, `{"targets":3}`, `{`, `[]`} {
		if _, _, err := DecodeList([]byte(bad)); err == nil {
			t.Errorf("%s: DecodeList returned no error, want one because the text is no valid worker list", bad)
		}
	}
}

// An invalid entry of a worker list does not affect the other entries. A worker whose entry is invalid, but
// has a UID, is decoded as draining (status 2).
func TestInvalidEntriesOfAList(t *testing.T) {
	const good = `{"uid":"s-2","endpoint":"h:2","state":"draining"}`
	for invalid, want := range map[string]string{
		`{"state":"ready","endpoint":"h:1"}`:                                "s-2=2",
		`{"uid":"s-1","endpoint":"h:1","state":"asleep"}`:                   "s-1=2 s-2=2",
		`{"uid":"s-1","endpoint":"h:1"}`:                                    "s-1=2 s-2=2",
		`{"uid":"s-1","state":"ready"}`:                                     "s-1=2 s-2=2",
		`{"uid":"s-1","endpoint":"h:1","pod_group":"x","state":"ready"}`:    "s-1=2 s-2=2",
		`{"uid":"s-1","endpoint":"h:1","boot_ms":[{"a":1}],"state":"gone"}`: "s-1=2 s-2=2",
		`{"pod_group":"x","uid":"s-1"}`:                                     "s-2=2",
		`null`:                                                              "s-2=2",
		`7`:                                                                 "s-2=2",
		`[{}]`:                                                              "s-2=2",
		`{}`:                                                                "s-2=2",
	} {
		got, why, err := DecodeList([]byte(`{"rev":4,"targets":[` + invalid + `,` + good + `]}`))
		var lines []string
		for _, r := range got.Workers {
			lines = append(lines, fmt.Sprintf("%s=%d", r.UID, r.Status))
		}
		if diff := cmp.Diff(want, strings.Join(lines, " ")); diff != "" || why == nil || err != nil {
			t.Errorf("%s: error of the first invalid entry %v, error of the list %v, workers (-want +got): %s",
				invalid, why, err, diff)
		}
	}
}
