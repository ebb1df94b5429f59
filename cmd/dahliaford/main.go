// Command dahliaford is one scheduler on real sockets.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dahliaford/internal/node"
)

const (
	defaultMemory = 192 // MB
	softShare     = 0.7 // of the limit: from there on the collector works harder
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "dahliaford:", err)
		os.Exit(1)
	}
}

func run() error {
	runtime.GOMAXPROCS(1) // one core is all that a scheduler gets
	cfg, err := configuration(os.Getenv)
	if err != nil {
		return err
	}
	if cfg.MemoryMB <= 0 {
		cfg.MemoryMB = defaultMemory
	}
	debug.SetMemoryLimit(int64(softShare * float64(cfg.MemoryMB<<20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	n, err := node.Listen(cfg, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	go func() {
		for s := range signals {
			log.Info("stopping", "signal", s.String())
			n.Stop()
		}
	}()
	return n.Run()
}
