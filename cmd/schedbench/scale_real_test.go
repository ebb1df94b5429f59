package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"os"
	"testing"
	"time"

	"dahliaford/internal/simfleet"
)

// A measurement by hand: go test ./cmd/schedbench -run ScaleByHand -scale.real 1 -v
var (
	byHand  = flag.Int("scale.real", 0, "real schedulers; 0: nothing is measured")
	ofFleet = flag.Int("scale.fleet", 0, "")
	ofList  = flag.Int("scale.workers", 7200, "")
	inZones = flag.Int("scale.zones", 14, "")
	atRate  = flag.Float64("scale.rate", 0, "")
	forTime = flag.Duration("scale.for", 40*time.Second, "")
	byDay   = flag.String("scale.day", "storm", "")
	seeded  = flag.Uint64("scale.seed", 1, "")
)

func TestScaleByHand(t *testing.T) {
	if *byHand == 0 {
		t.Skip("nothing to measure: -scale.real is not given")
	}
	t.Chdir("../..")
	if err := runReal(t.Context(), os.Stdout, simfleet.Options{Schedulers: *byHand, Fleet: *ofFleet,
		Workers: *ofList, Zones: *inZones, Rate: *atRate, Duration: *forTime, Seed: *seeded,
		Day: *byDay}); err != nil {
		t.Fatal(err)
	}
}

// The last line is the report, and what cannot be run is told apart from what went wrong.
func TestRunReal(t *testing.T) {
	t.Chdir("../..")
	var out bytes.Buffer
	o := simfleet.Options{Schedulers: 1, Workers: 40, Zones: 2, Rate: 20, Duration: 3 * time.Second, Seed: 1,
		Day: "zone"}
	if err := runReal(t.Context(), &out, o); err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	var r simfleet.Report
	if err := json.Unmarshal(lines[len(lines)-1], &r); err != nil {
		t.Fatalf("%v: %s", err, lines[len(lines)-1])
	}
	if r.Workers != 40 || r.FindEvent("zone lost, in one line") == nil || r.Served == 0 {
		t.Errorf("%+v", r)
	}
	o.Workers = 0
	var e exit
	if err := runReal(t.Context(), io.Discard, o); !errors.As(err, &e) || e.status != misused {
		t.Errorf("no workers: %v", err)
	}
}
