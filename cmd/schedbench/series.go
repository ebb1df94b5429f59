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

// series is one metric of one benchmark, measured at several sizes such as numbers of workers.
type series struct {
	name   string // the name of the benchmark, with N in place of the size
	unit   string // the metric's unit, such as ns/op
	points []regression.Point
}

// title returns the name of the benchmark for display.
func (s *series) title() string { return strings.ReplaceAll(s.name, "_", " ") }

// seriesList is a list of series in the order in which their first values were read.
type seriesList []*series

// sizedBenchmark matches a benchmark's name that contains a size. The size is the last number that is
// followed by an underscore and a word.
var sizedBenchmark = regexp.MustCompile(`^Benchmark(.*?[/_])(\d+)(_[a-z_]+?)(?:-\d+)?$`)

// read adds the metrics of the benchmarks in the output of go test. Lines of other output are ignored.
func (all *seriesList) read(from io.Reader) error {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		if err := all.readLine(lines.Text()); err != nil {
			return err
		}
	}
	return lines.Err()
}

// readLine adds the metrics of one line of output. It ignores a line that is not the result of a benchmark
// with a size in its name.
func (all *seriesList) readLine(text string) error {
	fields := strings.Fields(text) // name of the benchmark, iterations, and pairs of a value and a unit
	if len(fields) < 4 {
		return nil
	}
	m := sizedBenchmark.FindStringSubmatch(fields[0])
	if m == nil {
		return nil
	}
	size, err := strconv.ParseFloat(m[2], 64)
	if err != nil || size <= 0 {
		return fmt.Errorf("%s: the size in the name of the benchmark must be above 0", fields[0])
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("%s: the value %s of a metric is not a number", fields[0], fields[i])
		}
		unit := fields[i+1]
		if unit == "ns/op" && value == 0 {
			continue // a benchmark that reports only metrics of its own sets ns/op to 0
		}
		all.findOrAdd(m[1]+"N"+m[3], unit).add(size, value)
	}
	return nil
}

// findOrAdd returns the series of a metric of a benchmark. If the list has no such series, findOrAdd adds an
// empty series.
func (all *seriesList) findOrAdd(name, unit string) *series {
	for _, s := range *all {
		if s.name == name && s.unit == unit {
			return s
		}
	}
	s := &series{name: name, unit: unit}
	*all = append(*all, s)
	return s
}

// add adds a value of the metric that was measured at a size.
func (s *series) add(size, value float64) {
	for i := range s.points {
		if s.points[i].Size == size {
			s.points[i].Values = append(s.points[i].Values, value)
			return
		}
	}
	s.points = append(s.points, regression.Point{Size: size, Values: []float64{value}})
}
