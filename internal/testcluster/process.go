// Package testcluster runs real scheduler processes on loopback against the fake workers, discovery service
// and clients of package fakes, for tests and fault drills.
package testcluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"dahliaford/internal/endpoints"
)

const (
	// startTimeout is the longest time that a scheduler may take from the start of its process until it serves.
	startTimeout = 20 * time.Second
	// maxLogLines is the number of lines that are kept of a process's log.
	maxLogLines = 5000
	// anyPortAddr makes the system choose a free loopback port for a listener.
	anyPortAddr = "127.0.0.1:0"
)

// Process is a running scheduler process.
type Process struct {
	Addr   string // address that the scheduler listens on
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
	err    error         // exit error of the process; valid after exited is closed

	mu  sync.Mutex
	log []string
}

// Start starts a scheduler on a free port and waits until it serves. It writes the scheduler's configuration
// file into the folder.
func Start(program, folder, name, discovery string) (*Process, error) {
	return startOnAddr(program, folder, name, anyPortAddr, discovery)
}

func startOnAddr(program, folder, name, listen, discovery string) (*Process, error) {
	return StartConfig(program, folder, Config{Name: name, Listen: listen, Discovery: discovery,
		Schedulers: 1, MemoryMB: memoryMB, MaxSockets: maxSockets, KnownEndpoints: []endpoints.Endpoint{}})
}

// StartConfig starts a scheduler with the given configuration and waits until it serves. It writes the
// configuration file into the folder.
func StartConfig(program, folder string, config Config) (*Process, error) {
	path, err := config.write(folder)
	if err != nil {
		return nil, fmt.Errorf("configure scheduler %s: %w", config.Name, err)
	}
	p := &Process{cmd: exec.Command(program), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME=", "BALANCER_LISTEN=",
		"BALANCER_DISCOVERY=")
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start scheduler %s: %w", config.Name, err)
	}
	serving := make(chan string, 1)
	go func() {
		p.readLog(out, serving)
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	select {
	case p.Addr = <-serving:
		return p, nil
	case <-p.exited:
		return nil, fmt.Errorf("scheduler %s exited before it served, log: %s", config.Name,
			strings.Join(p.Log(), "\n"))
	case <-ctx.Done():
		p.Kill()
		return nil, fmt.Errorf("scheduler %s does not serve in time, log: %s", config.Name,
			strings.Join(p.Log(), "\n"))
	}
}

// readLog stores the lines of the log until end of file. When the scheduler logs that it serves, readLog
// sends the logged listen address to serving.
func (p *Process) readLog(from io.Reader, serving chan<- string) {
	for lines := bufio.NewScanner(from); lines.Scan(); {
		p.addLogLine(lines.Text())
		if _, rest, ok := strings.Cut(lines.Text(), "msg=serving"); ok {
			if _, addr, ok := strings.Cut(rest, "listen="); ok {
				serving <- strings.Fields(addr)[0]
			}
		}
	}
}

func (p *Process) addLogLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.log) < maxLogLines {
		p.log = append(p.log, line)
	}
}

// Log returns the first maxLogLines lines of the process's log.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // an error means that the process has already exited
	<-p.exited
}

// Stop sends SIGTERM, so that the scheduler shuts down gracefully, and waits until the process has exited. At
// the deadline it kills the process and returns an error.
func (p *Process) Stop(deadline time.Time) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-time.After(time.Until(deadline)):
		p.Kill()
		return errors.New("process had not exited by the deadline and was killed")
	}
}
