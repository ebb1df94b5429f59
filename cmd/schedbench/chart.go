package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// chart draws the charts of a report. The path names an SVG file; a report with several charts adds a
// suffix to the base name of the file for each chart.
type chart func(path string) error

// chartLine is one line of a chart over time.
type chartLine struct {
	name   string      // the label in the legend
	points plotter.XYs // X is in seconds since the start of the run
}

// drawLines draws a chart of lines over time into a file. The unit is the label of the vertical axis.
func drawLines(path, title, unit string, lines []chartLine) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var args []any
	for _, l := range lines {
		args = append(args, l.name, l.points)
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return err
	}
	return p.Save(20*vg.Centimeter, 9*vg.Centimeter, path)
}

// save writes a report to a folder: a text file with the table and the line of JSON, and the charts.
func (r *report) save(folder, name string, lineOfJSON []byte) error {
	if err := os.MkdirAll(folder, 0o777); err != nil {
		return err
	}
	var text strings.Builder
	printTable(&text, r.table)
	fmt.Fprintf(&text, "%s\n", lineOfJSON)
	if err := os.WriteFile(filepath.Join(folder, name+".txt"), []byte(text.String()), 0o666); err != nil {
		return err
	}
	if r.chart == nil {
		return nil
	}
	return r.chart(filepath.Join(folder, name+".svg"))
}
