package testcluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	PeakMemoryMB float64 // peak of the resident memory since the start of the process
	Descriptors  int     // open file descriptors
	Threads      int
}

// Usage reads the resource usage of the process from /proc.
func (p *Process) Usage() (u Usage, err error) {
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return u, err
	}
	u.PeakMemoryMB = PeakMemoryMB(string(status))
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "Threads: %d", &u.Threads) // the format matches only the line of the thread count
	}
	open, err := os.ReadDir(folder + "fd")
	u.Descriptors = len(open)
	return u, err
}

// CountedMemoryKiB returns the memory of the process that counts towards its memory limit, in KiB: anonymous
// and shared resident pages, but not the pages of files.
func (p *Process) CountedMemoryKiB() (total int64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kib int64
		for _, format := range []string{"RssAnon: %d kB", "RssShmem: %d kB"} {
			if n, _ := fmt.Sscanf(line, format, &kib); n == 1 {
				total += kib
			}
		}
	}
	return total, nil
}

// PeakMemoryMB returns the peak resident memory (VmHWM) from the text of a /proc/PID/status file, or 0 if the
// text has no such line.
func PeakMemoryMB(status string) float64 {
	for line := range strings.Lines(status) {
		var kB float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kB); n == 1 {
			return kB / 1024
		}
	}
	return 0
}

// CPUTime returns the CPU time of the process's threads from /proc/PID/task/*/schedstat, in nanoseconds.
// Threads that have exited are not included; the Go runtime hardly ever ends a thread.
func (p *Process) CPUTime() (total time.Duration, err error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("no schedstat file of the process's threads: %w", os.ErrNotExist)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) {
			continue // the thread has exited after its directory was listed
		}
		if err != nil {
			return 0, err
		}
		var ns int64
		if _, err := fmt.Sscan(string(raw), &ns); err != nil {
			return 0, fmt.Errorf("read a CPU time from %s: %w", path, err)
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// CPUTicks returns the CPU time of the process from /proc/PID/stat, in steps of clockTick. Unlike CPUTime it
// includes threads that have exited.
func (p *Process) CPUTicks() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // skips the program's name, which may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/PID/stat: got %d fields after the program's name, want 13 or more", len(fields))
	}
	var user, system time.Duration
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return (user + system) * clockTick, err
}
