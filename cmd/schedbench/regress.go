package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dahliaford/internal/regression"
)

type fitCmd struct {
	Files []string `arg:"" type:"existingfile" help:"Output of go test -bench, sizes in names: '7200 workers'."`
	Chart string   `help:"Draw the series whose name holds TEXT into a file: TEXT=FILE.svg."`
}

// Run prints how each figure of some benchmarks grows with the size in their names.
func (c *fitCmd) Run() error {
	var all []*series
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		all, err = readSeries(all, f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	if len(all) == 0 {
		return misuse("no benchmark with a size in its name")
	}
	printFits(os.Stdout, all)
	if text, path, ok := strings.Cut(c.Chart, "="); ok {
		return drawSeries(path, text, all)
	} else if c.Chart != "" {
		return misuse("chart %q is not TEXT=FILE", c.Chart)
	}
	return nil
}

// series is one figure of one benchmark, by size.
type series struct {
	name, unit string
	points     []regression.Point
}

// sized finds the size in a benchmark's name: the last number that a word follows.
var sized = regexp.MustCompile(`^Benchmark(.*?[/_])(\d+)(_[a-z_]+?)(?:-\d+)?$`)

// readSeries adds the benchmarks of one file to series. Lines that are none are passed over.
func readSeries(all []*series, from io.Reader) ([]*series, error) {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) < 4 {
			continue
		}
		m := sized.FindStringSubmatch(words[0])
		if m == nil {
			continue
		}
		n, err := strconv.ParseFloat(m[2], 64)
		if err != nil || n <= 0 {
			return all, fmt.Errorf("%s: no size", words[0])
		}
		for i := 2; i+1 < len(words); i += 2 {
			v, err := strconv.ParseFloat(words[i], 64)
			if err != nil {
				return all, fmt.Errorf("%s: %s is no figure", words[0], words[i])
			}
			if words[i+1] != "ns/op" || v != 0 { // a benchmark that has figures of its own sets it to 0
				all = addTo(all, m[1]+"N"+m[3], words[i+1], n, v)
			}
		}
	}
	return all, lines.Err()
}

func addTo(all []*series, name, unit string, n, v float64) []*series {
	for _, s := range all {
		if s.name != name || s.unit != unit {
			continue
		}
		for i := range s.points {
			if s.points[i].Size == n {
				s.points[i].Values = append(s.points[i].Values, v)
				return all
			}
		}
		s.points = append(s.points, regression.Point{Size: n, Values: []float64{v}})
		return all
	}
	return append(all, &series{name, unit, []regression.Point{{Size: n, Values: []float64{v}}}})
}

func printFits(w io.Writer, all []*series) {
	fmt.Fprintln(w, "| figure | at the sizes | runs, spread | grows as | base + rate x law | "+
		"worst residual n, n log n, n² |\n| --- | --- | --- | --- | --- | --- |")
	for _, s := range all {
		r, err := regression.Fit(s.points)
		var at []string
		runs := len(r.Points[0].Values)
		for _, p := range r.Points {
			at = append(at, fmt.Sprintf("%g: %.4g", p.Size, p.Mean()))
			runs = min(runs, len(p.Values))
		}
		fmt.Fprintf(w, "| %s, %s | %s | %d, ±%.0f%% | ", strings.ReplaceAll(s.name, "_", " "), s.unit,
			strings.Join(at, "; "), runs, 50*r.Spread)
		if errors.Is(err, regression.ErrNotEnoughSizes) {
			fmt.Fprintf(w, "%d sizes, not told | | |\n", len(r.Points))
			continue
		}
		best := r.Curves[r.Best]
		law := best.Model.Name
		if r.Flat {
			law = "flat (" + law + ")"
		}
		fmt.Fprintf(w, "%s | %.4g + %.4g x %s | ", law, best.Intercept, best.Slope, best.Model.Name)
		for i, c := range r.Curves {
			fmt.Fprintf(w, "%s%.0f%%", strings.Repeat(", ", min(i, 1)), 100*c.MaxResidual)
		}
		fmt.Fprintln(w, " |")
	}
}

// drawSeries draws the series that hold a text, each as parts of its value at the smallest size.
func drawSeries(path, text string, all []*series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = text, "size", "times the smallest size's"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var args []any
	for _, s := range all {
		if !strings.Contains(s.name+" "+s.unit, text) {
			continue
		}
		r, _ := regression.Fit(s.points)
		var points plotter.XYs
		first := 0.0
		for _, pt := range r.Points {
			v := pt.Mean()
			if first == 0 {
				first = v
			}
			if v > 0 {
				points = append(points, plotter.XY{X: pt.Size, Y: v / first})
			}
		}
		if len(points) > 1 {
			args = append(args, strings.ReplaceAll(s.name, "_", " ")+" "+s.unit, points)
		}
	}
	if len(args) == 0 {
		return misuse("no series holds %q", text)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, filepath.Clean(path))
}
