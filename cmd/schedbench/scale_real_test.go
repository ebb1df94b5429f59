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

// The options of TestScaleByHand, for example `go test ./cmd/schedbench -run ScaleByHand -scale.real 1 -v`.
var (
	realSchedulers = flag.Int("scale.real", 0, "number of real schedulers; 0: skip the measurement")
	fleetSize      = flag.Int("scale.fleet", 0, "")
	listedWorkers  = flag.Int("scale.workers", 7200, "")
	zones          = flag.Int("scale.zones", 14, "")
	rate           = flag.Float64("scale.rate", 0, "")
	duration       = flag.Duration("scale.for", 40*time.Second, "")
	day            = flag.String("scale.day", "storm", "")
	seed           = flag.Uint64("scale.seed", 1, "")
)

// TestScaleByHand measures real schedulers with the options of the flags. It is skipped unless -scale.real is
// set.
func TestScaleByHand(t *testing.T) {
	if *realSchedulers == 0 {
		t.Skip("the flag -scale.real is not set; it requests this measurement")
	}
	t.Chdir("../..")
	if err := runReal(t.Context(), os.Stdout, simfleet.Options{Schedulers: *realSchedulers, Fleet: *fleetSize,
		Workers: *listedWorkers, Zones: *zones, Rate: *rate, Duration: *duration, Seed: *seed,
		Day: *day}); err != nil {
		t.Fatal(err)
	}
}

// TestRunReal checks that a run of a real scheduler prints its report as JSON in the last line, and that
// invalid options are reported as a usage error rather than a failed run.
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
		t.Fatalf("want the report as JSON in the last line of the output, got error %v: %s", err,
			lines[len(lines)-1])
	}
	if r.Workers != 40 || r.FindEvent("zone lost, in one line") == nil || r.Served == 0 {
		t.Errorf("%+v", r)
	}
	o.Workers = 0
	var e exitError
	if err := runReal(t.Context(), io.Discard, o); !errors.As(err, &e) || e.status != exitUsage {
		t.Errorf("a run with 0 workers returns error %v, want an error with the usage status 2", err)
	}
}
