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

// scaleCmd is the command that runs a large fleet. By default it simulates the fleet in virtual time. With
// --real it runs real scheduler processes on the loopback interface.
type scaleCmd struct {
	Workers    int           `help:"Number of workers." default:"200"`
	Schedulers int           `help:"Number of schedulers." default:"30"`
	Rate       float64       `help:"Jobs per second of all clients; 0: 0.6 of workers' capacity." default:"0"`
	For        time.Duration `help:"Duration of the load, in virtual time." default:"60s"`
	Seed       uint64        `help:"Seed of all random draws." default:"1"`
	Day        string        `help:"Scenario: calm, zone, region, roll, discovery or storm." default:"calm"`
	Task       time.Duration `help:"Mean run time of a job on a standard machine." default:"13s"`
	Real       int           `help:"Number of real schedulers to run on loopback; 0: simulate." default:"0"`
	JSON       bool          `name:"json" help:"Print only the line of JSON."`
	Keep       string        `help:"Folder to write the table and the charts to." type:"path"`
}

const (
	scaleMemoryLimit  = 6 << 30   // memory in bytes near which the garbage collector runs more often
	scaleTimeout      = time.Hour // longest wall-clock time of a run
	maxRealSchedulers = 64        // largest number of scheduler processes with --real
	realZones         = 14        // largest number of zones in a run with --real; two zones form a region
)

// Run runs the fleet. It returns a usage error for invalid options, and an error with exitViolation if the
// run violates a checked property.
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
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(scaleMemoryLimit))
	result, err := emulator.Run(ctx, opt)
	if err != nil {
		return err
	}
	return c.print(result)
}

// options returns the options of the simulated run, or a usage error if a flag is invalid.
func (c *scaleCmd) options() (emulator.Options, error) {
	opt := emulator.Options{Workers: c.Workers, Schedulers: c.Schedulers, Rate: c.Rate, Duration: c.For,
		Seed: c.Seed, Day: c.Day, MeanRunTime: c.Task}
	if c.Day == "" {
		return opt, usageError("unknown day %q: want one of %s", c.Day, strings.Join(emulator.Days(), ", "))
	}
	if err := opt.Validate(); err != nil {
		return opt, usageError("%v", err)
	}
	if c.Real < 0 || c.Real > maxRealSchedulers {
		return opt, usageError("--real must be 0 to %d", maxRealSchedulers)
	}
	return opt, nil
}

// print prints the report of a run, and writes it to the folder of --keep if one is given.
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
		if err := r.save(c.Keep, name, raw); err != nil {
			return err
		}
	}
	fmt.Println(string(raw))
	if !r.ok {
		return exitError{status: exitViolation}
	}
	return nil
}

// scaleChart returns a function that draws two charts over the time of the load. The first shows the starts
// and refusals per second of the whole fleet. The second shows, per second and as the mean of all schedulers,
// the traffic with discovery (control) in KB and the processor time of a scheduler in ms.
func scaleChart(r *emulator.Report) chart {
	return func(path string) error {
		base := strings.TrimSuffix(path, filepath.Ext(path))
		title := fmt.Sprintf("%s: %d schedulers, %d workers", r.Model.Day, r.Model.Schedulers, r.Model.Workers)
		err := drawLines(base+"-starts.svg", title, "per second", []chartLine{
			perSecondLine("starts", r.Series.Starts),
			perSecondLine("refusals", r.Series.Refused),
		})
		if err != nil {
			return err
		}
		perScheduler := 1 / float64(r.Model.Schedulers)
		return drawLines(base+"-control.svg", title, "per scheduler and second", []chartLine{
			scaledLine("KB of control", r.Series.ControlKB, perScheduler),
			scaledLine("ms of processor time", r.Series.CoreSeconds, 1000*perScheduler),
		})
	}
}

// perSecondLine returns a chart line of counts, one count for each second.
func perSecondLine(name string, counts []int) chartLine {
	values := make([]float64, len(counts))
	for i, n := range counts {
		values[i] = float64(n)
	}
	return scaledLine(name, values, 1)
}

// scaledLine returns a chart line of values, one value for each second. Each value is multiplied by a factor.
func scaledLine(name string, values []float64, factor float64) chartLine {
	l := chartLine{name: name}
	for second, value := range values {
		l.points = append(l.points, plotter.XY{X: float64(second), Y: value * factor})
	}
	return l
}
