// Command standin plays the clients, job workers and discovery of one review case, starts the project's own
// programs as separate processes, and judges what the clients and the workers saw.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// readyTimeout limits the time from the start of a scheduler until its health check succeeds.
const readyTimeout = 15 * time.Second

// rig holds what one case has started, and the record of what was sent, answered and run.
type rig struct {
	root   string // root is the folder of the repository.
	folder string // folder is a temporary folder for configurations and logs.
	start  time.Time

	mu     sync.Mutex
	record io.Writer
	procs  []*process
}

// logf writes one line to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), line)
}

// check ends the case as not run if err is not nil.
func (r *rig) check(err error, what string) {
	if err != nil {
		r.fail("%s: %v", what, err)
	}
}

// fail ends the case as not run.
func (r *rig) fail(format string, args ...any) {
	r.logf("case could not run: "+format, args...)
	r.close()
	os.Exit(statusNotRun)
}

// close kills the processes that the case started and waits for them.
func (r *rig) close() {
	for _, p := range r.procs {
		p.signal(syscall.SIGKILL)
		select {
		case <-p.exited:
		case <-time.After(5 * time.Second):
		}
	}
	_ = os.RemoveAll(r.folder)
}

// process is a program of the project that runs as a separate process.
type process struct {
	name   string
	addr   string
	cmd    *exec.Cmd
	exited chan struct{}
	logTo  string
}

// signal sends a signal to the process, if it still runs.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// freeAddr returns a loopback address with a port that is free now.
func (r *rig) freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err, "find a free port")
	defer l.Close()
	return l.Addr().String()
}

// writeConfig writes the configuration file of a scheduler.
func (r *rig) writeConfig(name string, config map[string]any) string {
	raw, err := json.MarshalIndent(config, "", " ")
	r.check(err, "encode the configuration")
	path := filepath.Join(r.folder, name+".json")
	temporary := path + ".new"
	r.check(os.WriteFile(temporary, raw, 0o600), "write the configuration")
	r.check(os.Rename(temporary, path), "replace the configuration")
	return path
}

// startScheduler starts a scheduler with the run command of the deploy file and waits until it is ready.
func (r *rig) startScheduler(name, addr string, config map[string]any) *process {
	path := r.writeConfig(name, config)
	p := &process{name: name, addr: addr, exited: make(chan struct{}),
		logTo: filepath.Join(r.folder, name+".log")}
	out, err := os.OpenFile(p.logTo, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.check(err, "open the log")
	p.cmd = exec.Command("/bin/sh", "-c", "exec bin/dahliaford")
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.root, out, out
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME="+name,
		"BALANCER_LISTEN="+addr, "BALANCER_DISCOVERY=")
	r.check(p.cmd.Start(), "start a scheduler")
	r.procs = append(r.procs, p)
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	r.waitReady(p)
	return p
}

// waitReady waits until the health check of a scheduler answers 200.
func (r *rig) waitReady(p *process) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, err := request(p.addr, "GET", "/_health", nil, nil, time.Second)
		if err == nil && status == 200 {
			r.logf("scheduler %s is ready", p.name)
			return
		}
	}
	r.copyLog(p)
	r.fail("scheduler %s is not ready in time", p.name)
}

// copyLog copies the log of a process to the record.
func (r *rig) copyLog(p *process) {
	raw, _ := os.ReadFile(p.logTo)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "--- log of %s ---\n%s--- end of log ---\n", p.name, raw)
}
