package simfleet

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Before it starts anything, Run returns an error whose text is a single line for options out of range and
// for a program that does not exist.
func TestInvalidOptions(t *testing.T) {
	valid := Options{Program: "options.go", Schedulers: 2, Workers: 200, Zones: 4, Rate: 1,
		Duration: 5 * time.Second, Day: dayCalm}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"scheduler program not found": func(o *Options) { o.Program = "nowhere/dahliaford" },
		"is a folder":                 func(o *Options) { o.Program = "." },
		"0 real schedulers":           func(o *Options) { o.Schedulers = 0 },
		"65 real schedulers":          func(o *Options) { o.Schedulers = 65 },
		"a fleet of 1":                func(o *Options) { o.Fleet = 1 },
		"0 workers":                   func(o *Options) { o.Workers = 0 },
		"20001 workers":               func(o *Options) { o.Workers = 20001 },
		"201 zones":                   func(o *Options) { o.Zones = 201 },
		"0 zones":                     func(o *Options) { o.Zones = 0 },
		"-1 jobs per second":          func(o *Options) { o.Rate = -1 },
		"NaN jobs per second":         func(o *Options) { o.Rate = math.NaN() },
		"duration of 1s":              func(o *Options) { o.Duration = time.Second },
		"duration of 11m0s":           func(o *Options) { o.Duration = 11 * time.Minute },
		`unknown day "sunny"`:         func(o *Options) { o.Day = "sunny" },
	} {
		o := valid
		change(&o)
		_, err := Run(t.Context(), o, testLog{t})
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want an error of one line that contains %q, got: %v", want, err)
		}
	}
}
