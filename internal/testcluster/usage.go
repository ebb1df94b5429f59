package testcluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage is what a process takes of its machine.
type Usage struct {
	PeakMemoryMB float64 // resident, up to now
	Descriptors  int     // open now
	Threads      int
}

// Usage reads what the process takes.
func (p *Process) Usage() (u Usage, err error) {
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return u, err
	}
	u.PeakMemoryMB = PeakMemoryMB(string(status))
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "Threads: %d", &u.Threads) // all lines but one do not match
	}
	open, err := os.ReadDir(folder + "fd")
	u.Descriptors = len(open)
	return u, err
}

// PeakMemoryMB reads the peak resident memory from the text of a /proc/PID/status; 0 if it has none.
func PeakMemoryMB(status string) float64 {
	for line := range strings.Lines(status) {
		var kB float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kB); n == 1 {
			return kB / 1024
		}
	}
	return 0
}

// CPUTime is the processor time that its threads have taken, as the system accounts for it: to the
// nanosecond, and without threads that have ended, of which the Go runtime has hardly any.
func (p *Process) CPUTime() (total time.Duration, err error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("no account of processor time: %w", os.ErrNotExist)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) {
			continue // the thread has just ended
		}
		if err != nil {
			return 0, err
		}
		var ns int64
		if _, err := fmt.Sscan(string(raw), &ns); err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// CPUTicks is the processor time from /proc/PID/stat: in steps of 10 ms, with threads that have ended.
func (p *Process) CPUTicks() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // the program's name before it may hold spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/PID/stat: %d fields", len(fields))
	}
	var user, system time.Duration
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return (user + system) * clockTick, err
}
