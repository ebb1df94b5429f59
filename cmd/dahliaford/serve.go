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
	defaultMemory       = 192 // MB
	memoryLimitFraction = 0.7 // of the limit: from there on the collector works harder

	// A signal comes once, and may find the file being written: it is read again after
	// reloadAgain, which doubles, so many times.
	reloadBackoff    = 100 * time.Millisecond
	maxReloadRetries = 8
)

type serveCmd struct{}

// Run serves until a signal ends it. All that it is told is in BALANCER_CONFIG.
func (serveCmd) Run() error {
	runtime.GOMAXPROCS(1) // one core is all that a scheduler gets
	// Each has its channel: a burst of SIGHUP must not crowd out the SIGTERM behind it.
	// They are caught before all else, and until the process is gone, as either would kill it.
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg, err := configuration(os.Getenv, false)
	if err != nil {
		return err
	}
	memory := cfg.MemoryMB
	if memory <= 0 {
		memory = defaultMemory
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory<<20)))
	log := slog.New(newRateLimitedHandler(slog.NewTextHandler(os.Stderr, nil)))
	n, err := node.Listen(cfg, log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		var again <-chan time.Time // a reload that found no whole configuration is tried again
		tries := 0
		for {
			select {
			case s := <-ends:
				log.Info("stopping", "signal", s.String())
				n.Stop()
				continue
			case <-reloads:
				tries = 0
			case <-again:
			case <-ended:
				return
			}
			if again = nil; !reload(n, cfg, log) && tries < maxReloadRetries {
				again = time.After(reloadBackoff << tries)
				tries++
			}
		}
	}()
	return n.Run()
}

// reload reads the configuration again, and tells whether it could. One that is broken, or half
// written, changes nothing.
func reload(n *node.Node, old node.Config, log *slog.Logger) bool {
	cfg, err := configuration(os.Getenv, true)
	if err != nil {
		log.Warn("configuration not taken: the old one holds", "error", err)
		return false
	}
	log.Info("configuration taken", "discovery", cfg.Discovery)
	if needsRestart(old, cfg) {
		log.Warn("only discovery's address is applied: the rest needs a restart")
	}
	n.Reload(cfg)
	return true
}
