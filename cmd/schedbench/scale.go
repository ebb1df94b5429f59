package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"dahliaford/internal/emulator"
	"dahliaford/internal/simfleet"
)

// scaleCmd runs a fleet at size: simulated in virtual time, or with real schedulers on loopback.
type scaleCmd struct {
	Workers    int           `help:"Workers of the fleet." default:"200"`
	Schedulers int           `help:"Schedulers of the fleet." default:"30"`
	Rate       float64       `help:"Jobs a second of all clients; 0: 0.6 of what workers can carry." default:"0"`
	For        time.Duration `help:"Duration of the load, in virtual time." default:"60s"`
	Seed       uint64        `help:"Seed of all random draws." default:"1"`
	Day        string        `help:"One of calm, zone, region, roll, discovery and storm." default:"calm"`
	Task       time.Duration `help:"Mean run time of a job on a standard machine." default:"13s"`
	Real       int           `help:"So many real schedulers on loopback, instead of simulated ones." default:"0"`
	JSON       bool          `name:"json" help:"Only the line of JSON."`
	Keep       string        `help:"Folder to keep the tables and the charts in." type:"path"`
}

const (
	scaleMemory       = 6 << 30 // bytes of heap, where the collector begins to work harder
	scaleTimeout      = time.Hour
	maxRealSchedulers = 64
	realZones         = 14 // in the list of real schedulers, two of them a region
)

// Run runs the command. Options that cannot be run are a misuse, violated rules end with the status for
// them.
func (c *scaleCmd) Run() error {
	opt, err := c.options()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), scaleTimeout)
	defer cancel()
	if c.Real > 0 {
		return runReal(ctx, os.Stdout, simfleet.Options{Schedulers: c.Real, Fleet: max(c.Schedulers, c.Real),
			Workers: c.Workers, Zones: min(c.Workers, realZones), Rate: c.Rate, Duration: c.For, Seed: c.Seed,
			Day: c.Day})
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(scaleMemory))
	result, err := emulator.Run(ctx, opt)
	if err != nil {
		return err
	}
	return c.print(result)
}

// options returns the options of the run, or a usage error.
func (c *scaleCmd) options() (emulator.Options, error) {
	opt := emulator.Options{Workers: c.Workers, Schedulers: c.Schedulers, Rate: c.Rate, Duration: c.For,
		Seed: c.Seed, Day: c.Day, MeanRunTime: c.Task}
	if c.Day == "" {
		return opt, usageError("unknown day %q: there are %s", c.Day, strings.Join(emulator.Days(), ", "))
	}
	if err := opt.Validate(); err != nil {
		return opt, usageError("%v", err)
	}
	if c.Real < 0 || c.Real > maxRealSchedulers {
		return opt, usageError("--real must be 0 to %d", maxRealSchedulers)
	}
	return opt, nil
}

// print prints the report of a run, and keeps it if that is asked for.
func (c *scaleCmd) print(result *emulator.Report) error {
	r := &report{ok: result.OK(), table: scaleTable(result), chart: scaleChart(result)}
	raw, err := json.Marshal(struct {
		Scale string `json:"scale"`
		OK    bool   `json:"ok"`
		*emulator.Report
	}{c.Day, r.ok, result})
	if err != nil {
		return err
	}
	if !c.JSON {
		printTable(os.Stdout, r.table)
	}
	if c.Keep != "" {
		name := fmt.Sprintf("scale-%s-%dx%d", c.Day, c.Schedulers, c.Workers)
		if err := r.keep(c.Keep, name, raw); err != nil {
			return err
		}
	}
	fmt.Println(string(raw))
	if !r.ok {
		return exitError{status: exitViolation}
	}
	return nil
}

// scaleChart draws starts and refusals, and what control takes of a scheduler, by second of the load.
func scaleChart(r *emulator.Report) chart {
	return func(path string) error {
		base := strings.TrimSuffix(path, filepath.Ext(path))
		title := fmt.Sprintf("%s: %d schedulers, %d workers", r.Model.Day, r.Model.Schedulers, r.Model.Workers)
		err := draw(base+"-starts.svg", title, "a second", []line{
			perSecond("starts", r.Series.Starts),
			perSecond("refusals", r.Series.Refused),
		})
		if err != nil {
			return err
		}
		perScheduler := 1 / float64(r.Model.Schedulers)
		return draw(base+"-control.svg", title, "a scheduler and second", []line{
			scaled("KB of control", r.Series.ControlKB, perScheduler),
			scaled("ms of processor time", r.Series.CoreSeconds, 1000*perScheduler),
		})
	}
}

func perSecond(name string, counts []int) line {
	values := make([]float64, len(counts))
	for i, n := range counts {
		values[i] = float64(n)
	}
	return scaled(name, values, 1)
}

// scaled is a line of values by second, each multiplied by a factor.
func scaled(name string, values []float64, factor float64) line {
	l := line{name: name}
	for second, value := range values {
		l.points = append(l.points, plotter.XY{X: float64(second), Y: value * factor})
	}
	return l
}
