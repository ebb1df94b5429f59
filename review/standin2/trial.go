package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// anyAddr makes the system choose a free loopback port.
const anyAddr = "127.0.0.1:0"

// limitSlack is what the protocol adds to each time limit on sockets.
const limitSlack = 50 * time.Millisecond

// trial is one run of a case: its record, its processes and its findings.
type trial struct {
	start   time.Time
	folder  string // a temporary folder
	trouble bool   // the disruption happens

	mu       sync.Mutex
	record   *os.File
	findings []string
	closers  []func()
}

func newTrial(record string) (*trial, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	t := &trial{start: time.Now(), folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: f}
	t.note("disruption: %v", t.trouble)
	return t, nil
}

// note writes a line to the record.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.record, "%8.3f "+format+"\n", append([]any{time.Since(t.start).Seconds()}, args...)...)
}

// breaks records a break of the rule.
func (t *trial) breaks(format string, args ...any) {
	t.note("BROKEN: "+format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.findings = append(t.findings, fmt.Sprintf(format, args...))
}

func (t *trial) broken() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.findings
}

// atEnd calls f when the trial ends.
func (t *trial) atEnd(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closers = append(t.closers, f)
}

// close ends all processes and stand-ins of the trial, the last one first.
func (t *trial) close() {
	t.mu.Lock()
	closers := t.closers
	t.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	_ = os.RemoveAll(t.folder)
}

// process is a program that the trial has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the program has ended
}

// begin starts a program and ends it with the trial.
func (t *trial) begin(name string, cmd *exec.Cmd) (*process, error) {
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		t.note("process %s ended: %v", name, cmd.ProcessState)
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.note("process %s: %v", name, err)
		}
		close(p.exited)
	}()
	t.atEnd(p.kill)
	return p, nil
}

// kill ends the program outright and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // An error means that the program has ended.
	<-p.exited
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// running reports whether the program has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(name) == key {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", fmt.Errorf("deploy file has no %s", key)
}

// scheduler is a scheduler process with its configuration.
type scheduler struct {
	*process
	trial  *trial
	name   string
	addr   string
	config map[string]any
}

// path returns the path of the scheduler's configuration file.
func (s *scheduler) path() string { return filepath.Join(s.trial.folder, s.name+".json") }

// writeConfig writes the configuration file in one step.
func (s *scheduler) writeConfig() error {
	raw, err := json.Marshal(s.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.path()+".part", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(s.path()+".part", s.path())
}

// The ports of schedulers are below those that systems give to outgoing connections, so that none of these
// takes a port before its scheduler does.
const (
	firstPort = 18000
	portCount = 12000
)

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (addr string, err error) {
	for range 100 {
		l, listenErr := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err = listenErr; err == nil {
			addr = l.Addr().String()
			return addr, l.Close()
		}
	}
	return "", err
}

// newScheduler prepares a scheduler of the given configuration. Its address is set, but it does not run yet.
func (t *trial) newScheduler(name string, settings, limits map[string]any) (*scheduler, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	return &scheduler{trial: t, name: name, addr: addr, config: map[string]any{"name": name, "listen": addr,
		"seed": "8c1f30d27a5be964", "limits": limits, "settings": settings,
		"known": map[string]any{"rev": 0, "all": true, "targets": []any{}}}}, nil
}

// run starts the scheduler by the command of the deploy file and waits until it is ready. Its log goes to
// the file log, or if that is nil to a file of its own.
func (s *scheduler) run(discovery string, log *os.File) error {
	command, err := deployCommand("run")
	if err != nil {
		return err
	}
	s.config["discovery"] = discovery
	if err := s.writeConfig(); err != nil {
		return err
	}
	if log == nil {
		if log, err = os.Create(filepath.Join(s.trial.folder, s.name+".log")); err != nil {
			return err
		}
		defer log.Close() //nolint:errcheck // the process has its own descriptor
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+s.path(), "BALANCER_NAME="+s.name,
		"BALANCER_LISTEN="+s.addr, "BALANCER_DISCOVERY="+discovery, "TMPDIR="+s.trial.folder)
	cmd.Stdout, cmd.Stderr = log, log
	if s.process, err = s.trial.begin(s.name, cmd); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	s.trial.note("scheduler %s is ready at %s, pid %d", s.name, s.addr, cmd.Process.Pid)
	return nil
}

func (s *scheduler) awaitReady() error {
	once := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 200 {
		answer, err := once.Get("http://" + s.addr + "/_health")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("scheduler %s is not ready", s.name)
}

// settings returns the settings of a small deployment, with one scheduler and the two usual classes. All
// times are in microseconds.
func settings() map[string]any {
	return map[string]any{
		"me": 0, "balancers": 1, "locality": 0, "azs": []string{"sousse", "sfax"},
		"kinds":       []string{"fast-2c", "slow-3c"},
		"granularity": 2000, "discovery": "on_request", "worth_by": "request", "over_share_worth": 0.2,
		"clients": map[string]any{"marks_retry": true},
		"grades": []map[string]any{
			{"name": "post-reading", "slo": 200000, "deadline": 5000000, "worth": 2, "late_worth": 0,
				"semantics": "at_most_once"},
			{"name": "district-batch", "slo": 500000, "deadline": 20000000, "worth": 3, "late_worth": 0,
				"semantics": "deduplicated", "dedup_scope": "cell", "memory_span": 30000000}},
		"customers": []map[string]any{{"name": "sahel", "quota_per_s": 50.0, "share": 1.0}},
		"family_info": map[string]any{"class_kind": []int{-1, -1}, "class_stretch": []float64{2, 2.5},
			"tells_start": true, "report_x0": "free slots"},
		"guarantees": map[string]any{"answer_slack": 8000, "ask_within": 10000000, "cold": 8300000,
			"cold_from": 0.3, "drain_grace": 500000, "fall": 2000000, "overload_factor": 4.0},
		"limits": map[string]any{"attempts_cap": 4, "cancel": true, "conn_idle": 60000000,
			"connect_timeout": 250000, "max_retry_after": 2000000, "retry_after": true},
		"prices": map[string]any{"cross_zone": 0.01},
		"report": map[string]any{"how": "off"},
	}
}

// limits returns the limits of a scheduler.
func limits(memoryMB, sockets int) map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
}
