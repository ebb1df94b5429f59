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
	// memoryLimitFraction is the fraction of the configured memory that is set as the soft memory limit of the
	// Go runtime. Near this limit the garbage collector runs more often.
	memoryLimitFraction = 0.7

	// SIGHUP is sent once and may arrive while the configuration file is half written. Therefore a failed reload
	// is retried at most maxReloadRetries times. The first delay is reloadBackoff, and each further delay is
	// twice the previous delay.
	reloadBackoff    = 100 * time.Millisecond
	maxReloadRetries = 8
)

type serveCmd struct{}

// Run serves as one scheduler until SIGTERM or SIGINT stops it. The configuration is the file that the
// environment variable BALANCER_CONFIG names.
func (serveCmd) Run() error {
	runtime.GOMAXPROCS(1) // a scheduler is given one processor core
	// Stop signals and reload signals have separate channels: in a shared channel, repeated SIGHUPs could fill
	// the buffer so that a following SIGTERM is dropped. The signals are caught before anything else is done
	// and until the process exits, because an uncaught SIGHUP or SIGTERM kills the process.
	stop, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg, err := configuration(os.Getenv, atStart)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.MemoryBytes())))
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

// handleSignals stops the node on a stop signal and reloads the configuration on a reload signal, until ended
// is closed. A failed reload is retried with exponential backoff.
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

// reload reads the configuration again and passes it to the node. It reports whether the configuration could
// be read. An invalid or half-written file leaves the node's configuration unchanged.
func reload(n *node.Node, started node.Config, log *slog.Logger) bool {
	cfg, err := configuration(os.Getenv, onReload)
	if err != nil {
		log.Warn("configuration not reloaded, the previous one stays in force", "error", err)
		return false
	}
	log.Info("configuration reloaded", "discovery", cfg.Discovery)
	if needsRestart(started, cfg) {
		log.Warn("only the discovery address is applied, the other changes need a restart")
	}
	n.Reload(cfg)
	return true
}
