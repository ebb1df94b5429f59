package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	"seed":"8c1f30d27a5be964","new":{},
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":41,"all":true,"targets":[]},
	"settings":{"discovery":"on_request","grades":[{"name":"a","semantics":"idempotent","deadline":5}]}}`

// readConfiguration reads a configuration at the start of the process. It returns the name, the addresses and
// the class names, separated by spaces.
func readConfiguration(t *testing.T, text string, env map[string]string) (string, error) {
	t.Helper()
	return readConfigurationOn(t, text, env, atStart)
}

// readConfigurationOn reads a configuration as readConfiguration does, at the start of the process or on a
// reload.
func readConfigurationOn(t *testing.T, text string, env map[string]string, occasion readOccasion) (
	string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := configuration(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return env[name]
	}, occasion)
	read := append([]string{cfg.Name, cfg.Listen, cfg.Discovery}, cfg.Settings.Classes...)
	return strings.Join(read, " "), err
}

func TestConfiguration(t *testing.T) {
	got, err := readConfiguration(t, validConfig, map[string]string{"BALANCER_NAME": "n4"})
	if diff := cmp.Diff("n4 127.0.0.1:0 127.0.0.1:1 a", got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	cfg, err := parse([]byte(validConfig))
	if diff := cmp.Diff([]int{1024, 192, 41},
		[]int{cfg.MaxDescriptors, cfg.MemoryMB, int(cfg.InitialList.Revision)}); diff != "" {
		t.Error(diff, err)
	}
}

// A field that is null counts as absent, whatever the order of the fields, and unknown fields are skipped.
func TestNullIsAbsent(t *testing.T) {
	const text = `{"settings":{"limits":null,"new":[{}],"customers":null,"guarantees":null,"family_info":null,
		"grades":[{"deadline":5,"dedup_scope":null,"semantics":"idempotent","name":"a"}]},"limits":null,"seed":null,
		"known":null,"later":{"x":[null]},"discovery":"127.0.0.1:1","listen":"127.0.0.1:0","name":null}`
	if got, err := readConfiguration(t, text, nil); err != nil || got != " 127.0.0.1:0 127.0.0.1:1 a" {
		t.Errorf("configuration with null fields: got name, addresses and classes %q, error %v; want those given",
			got, err)
	}
	within := strings.Replace(text, `"limits":null,"seed"`, `"limits":{"sockets":null,"x":1},"seed"`, 1)
	cfg, err := parse([]byte(within))
	if err != nil || cfg.MaxDescriptors != 0 {
		t.Errorf("field sockets is null: got a limit of %d sockets and error %v, want 0 and no error",
			cfg.MaxDescriptors, err)
	}
}

// The error of an invalid configuration is one line that names the invalid field or the kind of error.
func TestInvalidConfigurations(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"not JSON":             {`{"name"`, `name`, "parse error"},
		"cut off":              {`"idempotent","deadline":5}]}}`, ``, "EOF"},
		"invalid seed":         {`8c1f`, `xyz`, "seed"},
		"no settings":          {`"settings"`, `"sett"`, "no settings"},
		"invalid settings":     {`idempotent`, `often`, "grades[0].semantics"},
		"no listener":          {`"listen"`, `"l"`, "no listen address"},
		"no discovery":         {`"discovery"`, `"d"`, "no discovery address"},
		"a string as a number": {`1024`, `"many"`, "parse error"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readConfiguration(t, strings.Replace(validConfig, c.old, c.new, 1), nil)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that contains %q", err, c.want)
			}
		})
	}
}

// The known endpoint list of the configuration may be outdated. If some of its entries or the whole list are
// invalid, the scheduler starts without them.
func TestInvalidKnownListEndsNoStart(t *testing.T) {
	const valid = `{"uid":"s-1","endpoint":"h:1","az":"a","model":"m","state":"ready"}`
	for targets, want := range map[string]int{
		`[]`: 0, `[` + valid + `]`: 1, `[{"state":"odd"},` + valid + `]`: 1, `[3,` + valid + `]`: 1, `3`: 0,
	} {
		cfg, err := parse([]byte(strings.Replace(validConfig, `"targets":[]`, `"targets":`+targets, 1)))
		if invalid := strings.Contains(targets, "3") || strings.Contains(targets, "odd"); err != nil ||
			(cfg.InitialListError != nil) != invalid || len(cfg.InitialList.Workers) != want {
			t.Errorf("list %s: got error %v, list error %v, %d workers; want list error only for an invalid list",
				targets, err, cfg.InitialListError, len(cfg.InitialList.Workers))
		}
	}
}

// On a reload the discovery address of the file takes precedence over BALANCER_DISCOVERY, which is as old as
// the process.
func TestFileWinsOnReload(t *testing.T) {
	env := map[string]string{"BALANCER_NAME": "n4", "BALANCER_DISCOVERY": "127.0.0.1:9"}
	for occasion, want := range map[readOccasion]string{atStart: "n4 127.0.0.1:0 127.0.0.1:9 a",
		onReload: "n4 127.0.0.1:0 127.0.0.1:1 a"} {
		got, err := readConfigurationOn(t, validConfig, env, occasion)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Error(diff, err)
		}
	}
}

// sendSignal sends a signal to the process that runs the test.
func sendSignal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// Each SIGHUP moves the watch to the discovery address that the file then names. A half-written file changes
// nothing until the complete file is read by a retry. SIGTERM ends the program after the reloads.
func TestSIGHUP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("BALANCER_CONFIG", path)
	t.Setenv("BALANCER_DISCOVERY", "")
	var half string
	nextDiscovery := func(signal syscall.Signal) net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		text := strings.Replace(validConfig, "127.0.0.1:1", l.Addr().String(), 1)
		for _, text := range []string{half, text} {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if signal != 0 {
				sendSignal(t, signal)
			}
		}
		half = text[:len(text)/2]
		return l
	}
	first := nextDiscovery(0)
	done := make(chan error, 1)
	go func() { done <- (serveCmd{}).Run() }()
	expectPoll := func(l net.Listener) {
		if err := l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	expectPoll(first)
	expectPoll(nextDiscovery(syscall.SIGHUP))
	expectPoll(nextDiscovery(syscall.SIGHUP))
	// One SIGHUP arrives while the file is half written. The reload is retried without another signal.
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, complete[:len(complete)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	expectPoll(nextDiscovery(0))
	sendSignal(t, syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
