package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dahliaford/internal/regression"
)

// regressCmd is the command that fits growth models to the results of benchmarks whose names contain a size.
type regressCmd struct {
	Files []string `arg:"" type:"existingfile" help:"Output of go test -bench, sizes in names: '7200 workers'."`
	Chart string   `help:"Draw the series whose names contain TEXT: TEXT=FILE.svg."`
}

// Run prints a table of the fits, and draws a chart if --chart is set.
func (c *regressCmd) Run() error {
	var all seriesList
	for _, path := range c.Files {
		if err := all.readFile(path); err != nil {
			return fmt.Errorf("read benchmark results of %s: %w", path, err)
		}
	}
	if len(all) == 0 {
		return usageError("the files hold no benchmark result with a size in its name")
	}
	if err := printFits(os.Stdout, all); err != nil {
		return err
	}
	if c.Chart == "" {
		return nil
	}
	text, path, ok := strings.Cut(c.Chart, "=")
	if !ok {
		return usageError("--chart %q must have the form TEXT=FILE; TEXT selects series by a part of their names",
			c.Chart)
	}
	return drawSeries(path, text, all)
}

// readFile adds the metrics of the benchmark results in a file to the list.
func (all *seriesList) readFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file is only read, so Close loses no data
	return all.read(f)
}

// fitTableHead is the head of the Markdown table of fitted growth models.
const fitTableHead = "| figure | at the sizes | runs, spread | grows as | base + rate x law | " +
	"worst residual n, n log n, n² |\n| --- | --- | --- | --- | --- | --- |\n"

// printFits writes a Markdown table with a row for each series of benchmark results.
func printFits(w io.Writer, all seriesList) error {
	var table strings.Builder
	table.WriteString(fitTableHead)
	for _, s := range all {
		writeFit(&table, s)
	}
	_, err := io.WriteString(w, table.String())
	return err
}

// writeFit writes the table row of one series of benchmark results: the mean at each size, the best growth
// model, and the largest relative residual of each model.
func writeFit(table *strings.Builder, s *series) {
	r, err := regression.Fit(s.points)
	var means []string
	runs := len(r.Points[0].Values)
	for _, p := range r.Points {
		means = append(means, fmt.Sprintf("%g: %.4g", p.Size, p.Mean()))
		runs = min(runs, len(p.Values))
	}
	fmt.Fprintf(table, "| %s, %s | %s | %d, ±%.0f%% | ", s.title(), s.unit, strings.Join(means, "; "), runs,
		50*r.Spread)
	if errors.Is(err, regression.ErrNotEnoughSizes) {
		fmt.Fprintf(table, "%d sizes, too few to fit | | |\n", len(r.Points))
		return
	}
	best := r.Curves[r.Best]
	model := best.Model.Name
	if r.Flat {
		model = "flat (" + model + ")"
	}
	var residuals []string
	for _, c := range r.Curves {
		residuals = append(residuals, fmt.Sprintf("%.0f%%", 100*c.MaxResidual))
	}
	fmt.Fprintf(table, "%s | %.4g + %.4g x %s | %s |\n", model, best.Intercept, best.Slope, best.Model.Name,
		strings.Join(residuals, ", "))
}

// drawSeries draws a chart of the series whose names or units contain a text. Both axes are logarithmic. The
// values of a series are drawn relative to its mean at the smallest size.
func drawSeries(path, text string, all seriesList) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = text, "size", "relative to the smallest size"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var args []any
	for _, s := range all {
		if !strings.Contains(s.name+" "+s.unit, text) {
			continue
		}
		if points := s.relativePoints(); len(points) > 1 {
			args = append(args, s.title()+" "+s.unit, points)
		}
	}
	if len(args) == 0 {
		return usageError("no benchmark has %q in its name or unit and values above 0 at two sizes", text)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, filepath.Clean(path))
}

// relativePoints returns the mean at each size, divided by the mean at the smallest size where the mean is
// not 0. It omits means of 0 and below, which a logarithmic axis cannot show.
func (s *series) relativePoints() (points plotter.XYs) {
	first := 0.0
	for _, p := range regression.Sorted(s.points) {
		mean := p.Mean()
		if first == 0 {
			first = mean
		}
		if mean > 0 {
			points = append(points, plotter.XY{X: p.Size, Y: mean / first})
		}
	}
	return points
}
