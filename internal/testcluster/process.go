// Package testcluster runs the real program on loopback against stand-ins, for tests and drills.
package testcluster

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dahliaford/internal/fakes"
)

// Process is one scheduler that runs.
type Process struct {
	Addr   string
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has ended
	mu     sync.Mutex
	log    []string
	err    error
}

// startTimeout is the longest that a scheduler may take to say that it serves.
const startTimeout = 20 * time.Second

// settings of the deployments that the rig starts: deadlines of seconds, and racks.
func settings(setup Config) map[string]any {
	zones := setup.Zones
	if len(zones) == 0 {
		zones = []string{"north"}
	}
	return map[string]any{
		"me": setup.Index, "balancers": setup.Schedulers, "locality": setup.Zone, "azs": zones,
		"kinds":       []string{"m1"},
		"granularity": 2000, "discovery": "on_request", "worth_by": "request", "over_share_worth": 0.2,
		"grades": []map[string]any{
			{"name": "post-reading", "slo": 1000000, "deadline": 2000000, "worth": 2, "late_worth": 0.5,
				"semantics": "at_most_once"},
			{"name": "district-batch", "slo": 2000000, "deadline": 4000000, "worth": 3, "late_worth": 0.5,
				"semantics": "deduplicated", "dedup_scope": "cell", "memory_span": 10000000}},
		"customers": []map[string]any{{"name": "sahel", "quota_per_s": 0}},
		"family_info": map[string]any{"class_kind": []int{-1, -1}, "class_stretch": []float64{2, 2},
			"tells_start": true},
		"guarantees": map[string]any{"ask_within": 10000000, "cold": 2000000, "cold_from": 0.3,
			"drain_grace": 500000,
			"fall":        500000, "overload_factor": 4},
		"limits": map[string]any{"attempts_cap": 4, "cancel": true, "conn_idle": 60000000,
			"connect_timeout": 250000,
			"max_retry_after": 2000000, "retry_after": true},
		"prices": map[string]any{"cross_zone": 0}, "report": map[string]any{"how": "off"},
	}
}

// Config is what a scheduler is told that is not the same in all tests.
type Config struct {
	Name, Listen, Discovery string
	Schedulers, Index       int      // how many there are, and which of them it is
	Zones                   []string // none: north
	Zone                    int      // of the scheduler, among Zones
	MemoryMB, MaxSockets    int
	KnownEndpoints          []fakes.Endpoint
}

// Start starts a scheduler on a free port. folder takes its configuration.
func Start(bin, folder, name, discovery string) (*Process, error) {
	return startAt(bin, folder, name, "127.0.0.1:0", discovery)
}

func startAt(bin, folder, name, listen, discovery string) (*Process, error) {
	return StartConfig(bin, folder, Config{Name: name, Listen: listen, Discovery: discovery, Schedulers: 1,
		MemoryMB: 64, MaxSockets: 512, KnownEndpoints: []fakes.Endpoint{}})
}

// StartConfig starts a scheduler of any setup.
func StartConfig(bin, folder string, setup Config) (*Process, error) {
	name := setup.Name
	raw, err := json.Marshal(map[string]any{"name": name, "listen": setup.Listen, "discovery": setup.Discovery,
		"seed":     "1d",
		"limits":   map[string]any{"cores": 1, "memory_mb": setup.MemoryMB, "sockets": setup.MaxSockets},
		"known":    map[string]any{"rev": 0, "all": true, "targets": setup.KnownEndpoints},
		"settings": settings(setup)})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, raw, 0o666); err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(bin), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME=", "BALANCER_LISTEN=",
		"BALANCER_DISCOVERY=")
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	serving := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.addLogLine(lines.Text())
			if _, rest, ok := strings.Cut(lines.Text(), "msg=serving"); ok {
				if _, addr, ok := strings.Cut(rest, "listen="); ok {
					serving <- strings.Fields(addr)[0]
				}
			}
		}
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	select {
	case p.Addr = <-serving:
		return p, nil
	case <-p.exited:
		return nil, fmt.Errorf("%s ended at once: %s", name, strings.Join(p.Log(), "\n"))
	case <-ctx.Done():
		p.Kill()
		return nil, fmt.Errorf("%s does not serve: %s", name, strings.Join(p.Log(), "\n"))
	}
}

// maxLogLines is how many lines of a process's log are kept.
const maxLogLines = 5000

func (p *Process) addLogLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.log) < maxLogLines {
		p.log = append(p.log, line)
	}
}

// Log has the first lines of its log.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// Usage is what a process takes of its machine.
type Usage struct {
	PeakMemoryMB float64 // of memory, up to now
	Descriptors  int
	Threads      int
}

// Usage tells what the process takes.
func (p *Process) Usage() (u Usage, err error) {
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return u, err
	}
	u.PeakMemoryMB = PeakMemoryMB(string(status))
	for line := range strings.Lines(string(status)) {
		fmt.Sscanf(line, "Threads: %d", &u.Threads)
	}
	open, err := os.ReadDir(folder + "fd")
	u.Descriptors = len(open)
	return u, err
}

// PeakMemoryMB reads the most memory that a process has had resident from its /proc/PID/status.
func PeakMemoryMB(status string) float64 {
	for line := range strings.Lines(status) {
		var kB float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kB); n == 1 {
			return kB / 1024
		}
	}
	return 0
}

// CPUTime tells the processor time that its threads have taken, as the system accounts for it:
// to the nanosecond, and without threads that have ended, of which the Go runtime has hardly any.
func (p *Process) CPUTime() (took time.Duration, err error) {
	of, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(of) == 0 {
		return 0, fmt.Errorf("no account of processor time: %w", os.ErrNotExist)
	}
	for _, path := range of {
		raw, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) {
			continue // it has just ended
		}
		var ns int64
		if _, err := fmt.Sscan(string(raw), &ns); err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		took += time.Duration(ns)
	}
	return took, nil
}

// clockTick is the unit of /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// CPUTicks tells the same from /proc/PID/stat: in steps of 10 ms, with threads that have ended.
func (p *Process) CPUTicks() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // the name before it may hold anything
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/PID/stat: %d fields", len(fields))
	}
	var user, system time.Duration
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return (user + system) * clockTick, err
}

// Kill ends it at once.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// Stop asks for its orderly end and waits for that until a deadline.
func (p *Process) Stop(deadline time.Time) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-time.After(time.Until(deadline)):
		p.Kill()
		return fmt.Errorf("it had not ended by its deadline")
	}
}
