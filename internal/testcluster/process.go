// Package testcluster runs the real program on loopback among fakes, for tests and drills.
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
	// startTimeout is the longest that a scheduler may take until it serves.
	startTimeout = 20 * time.Second
	// maxLogLines is how many lines of a process's log are kept.
	maxLogLines = 5000
	// anyPort lets the system choose a free port.
	anyPort = "127.0.0.1:0"
)

// Process is one scheduler that runs.
type Process struct {
	Addr   string // that it listens on
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has exited
	err    error         // of its exit; valid once exited is closed

	mu  sync.Mutex
	log []string
}

// Start starts a scheduler on a free port. Its configuration is written into the folder.
func Start(program, folder, name, discovery string) (*Process, error) {
	return startAt(program, folder, name, anyPort, discovery)
}

func startAt(program, folder, name, listen, discovery string) (*Process, error) {
	return StartConfig(program, folder, Config{Name: name, Listen: listen, Discovery: discovery,
		Schedulers: 1, MemoryMB: memoryMB, MaxSockets: maxSockets, KnownEndpoints: []endpoints.Endpoint{}})
}

// StartConfig starts a scheduler with a configuration, which is written into the folder, and waits until it
// serves.
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
		return nil, fmt.Errorf("%s ended at once: %s", config.Name, strings.Join(p.Log(), "\n"))
	case <-ctx.Done():
		p.Kill()
		return nil, fmt.Errorf("%s does not serve: %s", config.Name, strings.Join(p.Log(), "\n"))
	}
}

// readLog keeps the log until its end, and sends the address on which the scheduler says that it serves.
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

// Log returns the first 5,000 lines of its log.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// Kill kills it, and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it fails if the process has exited, and that is what is wanted
	<-p.exited
}

// Stop asks it to shut down in order, and waits for that until a deadline. After that it is killed, which is
// an error.
func (p *Process) Stop(deadline time.Time) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-time.After(time.Until(deadline)):
		p.Kill()
		return errors.New("it had not ended by its deadline")
	}
}
