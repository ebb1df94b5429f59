package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"dahliaford/internal/regression"
)

// series is one figure of one benchmark, by size.
type series struct {
	name   string // of the benchmark, with N for the size
	unit   string
	points []regression.Point
}

// title is the name as it is shown.
func (s *series) title() string { return strings.ReplaceAll(s.name, "_", " ") }

// seriesList is the series of benchmarks, in the order in which they came.
type seriesList []*series

// sizedName finds the size in a benchmark's name: the last number that a word follows.
var sizedName = regexp.MustCompile(`^Benchmark(.*?[/_])(\d+)(_[a-z_]+?)(?:-\d+)?$`)

// read adds the figures of the benchmarks in the output of go test. Other lines are passed over.
func (all *seriesList) read(from io.Reader) error {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		if err := all.readLine(lines.Text()); err != nil {
			return err
		}
	}
	return lines.Err()
}

// readLine adds the figures of a line that is a benchmark with a size in its name.
func (all *seriesList) readLine(text string) error {
	fields := strings.Fields(text) // the name, the number of runs, and pairs of a value and its unit
	if len(fields) < 4 {
		return nil
	}
	m := sizedName.FindStringSubmatch(fields[0])
	if m == nil {
		return nil
	}
	size, err := strconv.ParseFloat(m[2], 64)
	if err != nil || size <= 0 {
		return fmt.Errorf("%s: no size", fields[0])
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("%s: %s is no figure", fields[0], fields[i])
		}
		unit := fields[i+1]
		if unit == "ns/op" && value == 0 {
			continue // a benchmark that has figures of its own sets it to 0
		}
		all.find(m[1]+"N"+m[3], unit).add(size, value)
	}
	return nil
}

// find is the series of a figure, which is added if there is none.
func (all *seriesList) find(name, unit string) *series {
	for _, s := range *all {
		if s.name == name && s.unit == unit {
			return s
		}
	}
	s := &series{name: name, unit: unit}
	*all = append(*all, s)
	return s
}

// add adds a value at a size.
func (s *series) add(size, value float64) {
	for i := range s.points {
		if s.points[i].Size == size {
			s.points[i].Values = append(s.points[i].Values, value)
			return
		}
	}
	s.points = append(s.points, regression.Point{Size: size, Values: []float64{value}})
}
