package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"dahliaford/internal/node"
)

const (
	defaultMemoryMB = 192
	// memoryLimitFraction is the part of the memory limit from which on the garbage collector works harder.
	memoryLimitFraction = 0.7

	// A signal comes once, and may find the file half written: the reload is retried after reloadBackoff, which
	// doubles, at most maxReloadRetries times.
	reloadBackoff    = 100 * time.Millisecond
	maxReloadRetries = 8
)

type serveCmd struct{}

// Run serves until a signal ends it. Its configuration is the file that BALANCER_CONFIG names.
func (serveCmd) Run() error {
	runtime.GOMAXPROCS(1) // a scheduler gets one core
	// Each kind of signal has its channel: a burst of SIGHUP must not displace the SIGTERM behind it. They are
	// caught before all else and until the process has ended, as either would kill it.
	stop, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg, err := configuration(os.Getenv, atStart)
	if err != nil {
		return err
	}
	memoryMB := cfg.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryMB<<20)))
	log := slog.New(newRateLimitedHandler(slog.NewTextHandler(os.Stderr, nil)))
	n, err := node.Listen(cfg, log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go handleSignals(n, cfg, log, stop, reloads, ended)
	return n.Run()
}

// handleSignals stops the node or reloads its configuration as signals ask for, until ended is closed. A
// reload that finds no complete configuration is retried.
func handleSignals(n *node.Node, cfg node.Config, log *slog.Logger, stop, reloads <-chan os.Signal,
	ended <-chan struct{}) {
	var retry <-chan time.Time
	retries := 0
	for {
		select {
		case s := <-stop:
			log.Info("stopping", "signal", s.String())
			n.Stop()
			continue
		case <-reloads:
			retries = 0
		case <-retry:
		case <-ended:
			return
		}
		retry = nil
		if !reload(n, cfg, log) && retries < maxReloadRetries {
			retry = time.After(reloadBackoff << retries)
			retries++
		}
	}
}

// reload reads the configuration again, and reports whether it could. An invalid or half-written file changes
// nothing.
func reload(n *node.Node, started node.Config, log *slog.Logger) bool {
	cfg, err := configuration(os.Getenv, onReload)
	if err != nil {
		log.Warn("configuration not taken: the old one holds", "error", err)
		return false
	}
	log.Info("configuration taken", "discovery", cfg.Discovery)
	if needsRestart(started, cfg) {
		log.Warn("only discovery's address is applied: the rest needs a restart")
	}
	n.Reload(cfg)
	return true
}
