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

// chart draws a report into a file.
type chart func(path string) error

// line is one line of a chart, by seconds.
type line struct {
	name   string
	points plotter.XYs
}

// draw draws lines over time.
func draw(path, title, unit string, lines []line) error {
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

// keep writes a report into a folder: the table with the line of JSON, and the charts.
func (r *report) keep(folder, name string, lineOfJSON []byte) error {
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
