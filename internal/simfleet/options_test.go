package simfleet

import (
	"math"
	"strings"
	"testing"
	"time"
)

// What cannot be run is reported in one line, before anything is started.
func TestInvalidOptions(t *testing.T) {
	valid := Options{Program: "options.go", Schedulers: 2, Workers: 200, Zones: 4, Rate: 1,
		Duration: 5 * time.Second, Day: dayCalm}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"no program to run":  func(o *Options) { o.Program = "nowhere/dahliaford" },
		"is a folder":        func(o *Options) { o.Program = "." },
		"0 real schedulers":  func(o *Options) { o.Schedulers = 0 },
		"65 real schedulers": func(o *Options) { o.Schedulers = 65 },
		"a fleet of 1":       func(o *Options) { o.Fleet = 1 },
		"0 workers":          func(o *Options) { o.Workers = 0 },
		"20001 workers":      func(o *Options) { o.Workers = 20001 },
		"201 zones":          func(o *Options) { o.Zones = 201 },
		"0 zones":            func(o *Options) { o.Zones = 0 },
		"-1 jobs a second":   func(o *Options) { o.Rate = -1 },
		"NaN jobs a second":  func(o *Options) { o.Rate = math.NaN() },
		"a run of 1s":        func(o *Options) { o.Duration = time.Second },
		"a run of 11m0s":     func(o *Options) { o.Duration = 11 * time.Minute },
		`no day "sunny"`:     func(o *Options) { o.Day = "sunny" },
	} {
		o := valid
		change(&o)
		_, err := Run(t.Context(), o, testLog{t})
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", want, err)
		}
	}
}
