package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRegressReadsBenchmarks checks that reading the output of benchmarks finds the size in a benchmark's
// name, groups repeated results by size, skips other lines, and rejects a size of 0. It also checks the rows
// of the table and that a chart is drawn.
func TestRegressReadsBenchmarks(t *testing.T) {
	var text strings.Builder
	text.WriteString("goos: linux\nBenchmarkOther-4 \t 5\t 3 ns/op\nnot a benchmark at all, 7 workers\n")
	for _, n := range []string{"200", "450", "800", "2400", "4800", "7200"} {
		for range 2 {
			text.WriteString("BenchmarkWord/300_schedulers,_" + n + "_workers-3 \t 10\t " + n +
				"0 ns/op\t 7 B/op\n")
			text.WriteString("BenchmarkFew/17_schedulers \t 10\t 5 ns/op\n")
		}
	}
	var all seriesList
	if err := all.read(strings.NewReader(text.String())); err != nil || len(all) != 3 {
		t.Fatalf("read found %d series of metrics in the benchmark results, error %v, want 3 series", len(all), err)
	}
	var out strings.Builder
	if err := printFits(&out, all); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Word/300 schedulers, N workers, ns/op", "7200: 7.2e+04",
		"| 2, ±0% | n |", "| flat (", "1 sizes, too few to fit"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the table of fitted growth models: want a table that contains %q, got:\n%s", want, out.String())
		}
	}
	path := filepath.Join(t.TempDir(), "word.svg")
	if err := drawSeries(path, "workers", all); err != nil {
		t.Error(err)
	}
	if raw, err := os.ReadFile(path); err != nil || !strings.Contains(string(raw), "<svg") {
		t.Errorf("drawSeries wrote no SVG file, error %v, want a file with a chart", err)
	}
	if err := new(seriesList).read(strings.NewReader("BenchmarkX/0_workers 1 5 ns/op")); err == nil {
		t.Error("read accepts a benchmark with size 0 in its name, want an error")
	}
}

// TestRegressIsMisused checks that regress exits with a usage error without a file, with a file that has no
// benchmark results, and with a file that does not exist.
func TestRegressIsMisused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.txt")
	if err := os.WriteFile(path, []byte("PASS\n"), 0o666); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{"regress", "fit"} { // fit is the former name of regress
		for _, args := range [][]string{{command}, {command, path}, {command, path + "x"}} {
			if status := run(args); status != exitUsage {
				t.Errorf("run with arguments %v got exit status %d, want status 2 for a usage error", args, status)
			}
		}
	}
}
