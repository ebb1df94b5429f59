package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const good = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	"seed":"8c1f30d27a5be964","new":{},
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":41,"all":true,"targets":[]},
	"settings":{"grades":[{"name":"a","semantics":"idempotent","deadline":5}]}}`

func configured(t *testing.T, text string, env map[string]string) (string, error) {
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
	})
	read := append([]string{cfg.Name, cfg.Listen, cfg.Discovery}, cfg.Settings.Classes...)
	return strings.Join(read, " "), err
}

func TestConfiguration(t *testing.T) {
	got, err := configured(t, good, map[string]string{"BALANCER_NAME": "n4"})
	if diff := cmp.Diff("n4 127.0.0.1:0 127.0.0.1:1 a", got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	cfg, err := parse([]byte(good))
	if diff := cmp.Diff([]int{1024, 192, 41}, []int{cfg.Sockets, cfg.MemoryMB, int(cfg.Known.Rev)}); diff != "" {
		t.Error(diff, err)
	}
}

// Each mistake is told in one line that names its place.
func TestMistakesInTheConfiguration(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"not JSON":       {`{"name"`, `name`, "parse error"},
		"broken off":     {`"idempotent","deadline":5}]}}`, ``, "EOF"},
		"odd seed":       {`8c1f`, `xyz`, "seed"},
		"no settings":    {`"settings"`, `"sett"`, "no settings"},
		"odd settings":   {`idempotent`, `often`, "grades[0].semantics"},
		"odd table":      {`"targets":[]`, `"targets":[{"state":"odd"}]`, "known"},
		"no listener":    {`"listen"`, `"l"`, "no listen address"},
		"no discovery":   {`"discovery"`, `"d"`, "no discovery address"},
		"words for sums": {`1024`, `"many"`, "parse error"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := configured(t, strings.Replace(good, c.old, c.new, 1), nil)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with %q", err, c.want)
			}
		})
	}
}
