package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

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

func bySeconds(name string, slots []atomic.Int64) line {
	l := line{name: name}
	for s, n := range bySecond(slots) {
		l.points = append(l.points, plotter.XY{X: float64(s), Y: float64(n)})
	}
	return l
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

// clientChart draws what was served and what was dialled, second by second.
func clientChart(runs []*clientRun) chart {
	return func(path string) error {
		var served, dials []line
		for _, r := range runs {
			served = append(served, bySeconds(r.name, r.served))
			dials = append(dials, bySeconds(r.name, r.dials))
		}
		base := strings.TrimSuffix(path, filepath.Ext(path))
		title := fmt.Sprintf("%d desks, schedulers %d to %d and back", clientCount, clientSchedulers,
			remainingSchedulers)
		if err := draw(base+"-served.svg", title, "jobs served in time a second", served); err != nil {
			return err
		}
		return draw(base+"-connections.svg", title, "new connections a second", dials)
	}
}

// keep writes a report into a folder: the table, the line, and the charts.
func (r *report) keep(folder, name string, json []byte) error {
	if err := os.MkdirAll(folder, 0o777); err != nil {
		return err
	}
	var text strings.Builder
	printTable(&text, r.table)
	fmt.Fprintf(&text, "%s\n", json)
	if err := os.WriteFile(filepath.Join(folder, name+".txt"), []byte(text.String()), 0o666); err != nil {
		return err
	}
	if r.chart == nil {
		return nil
	}
	return r.chart(filepath.Join(folder, name+".svg"))
}
