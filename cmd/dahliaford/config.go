package main

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"

	"github.com/mailru/easyjson/jlexer"

	"dahliaford/internal/node"
	"dahliaford/internal/settings"
)

// configuration reads the file that BALANCER_CONFIG names. The other variables,
// where set, go before it. On a reload the file alone says where discovery is: the
// variables are as old as the process, and could never be replaced.
func configuration(env func(string) string, reload bool) (node.Config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return node.Config{}, errors.New("BALANCER_CONFIG names no file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return node.Config{}, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := parse(raw)
	if err != nil {
		return cfg, fmt.Errorf("configuration %s: %w", path, err)
	}
	for name, field := range map[string]*string{
		"BALANCER_NAME": &cfg.Name, "BALANCER_LISTEN": &cfg.Listen, "BALANCER_DISCOVERY": &cfg.Discovery,
	} {
		if value := env(name); value != "" && !(reload && name == "BALANCER_DISCOVERY") {
			*field = value
		}
	}
	switch {
	case cfg.Listen == "":
		err = fmt.Errorf("configuration %s: no listen address", path)
	case cfg.Discovery == "":
		err = fmt.Errorf("configuration %s: no discovery address", path)
	}
	return cfg, err
}

func parse(raw []byte) (cfg node.Config, err error) {
	var known, set []byte
	var seed string
	in := jlexer.Lexer{Data: raw}
	node.Fields(&in, func(key string) {
		switch key {
		case "name":
			cfg.Name = in.String()
		case "listen":
			cfg.Listen = in.String()
		case "discovery":
			cfg.Discovery = in.String()
		case "seed":
			seed = in.String()
		case "limits":
			cfg.Sockets, cfg.MemoryMB = limits(&in)
		case "known":
			known = in.Raw()
		case "settings":
			set = in.Raw()
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	if err := in.Error(); err != nil {
		return cfg, err
	}
	if cfg.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil && seed != "" {
		return cfg, fmt.Errorf("seed %q is not a hexadecimal number", seed)
	}
	if len(known) > 0 {
		// It may be old, and nothing is sent by it alone: what is no use of it ends no start.
		known, invalid, err := node.DecodeList(known)
		if cfg.Known, cfg.InvalidKnown = known, invalid; err != nil {
			cfg.Known.Workers, cfg.InvalidKnown = nil, err
		}
	}
	if len(set) == 0 {
		return cfg, errors.New("no settings")
	}
	cfg.Settings, err = settings.Parse(set)
	return cfg, err
}

// needsRestart tells whether a configuration differs from the one that the process started
// with in something that a reload does not apply.
func needsRestart(old, now node.Config) bool {
	return old.Name != now.Name || old.Listen != now.Listen || old.Sockets != now.Sockets ||
		old.MemoryMB != now.MemoryMB || !reflect.DeepEqual(old.Settings, now.Settings)
}

func limits(in *jlexer.Lexer) (sockets, memoryMB int) {
	node.Fields(in, func(key string) {
		switch key {
		case "sockets":
			sockets = in.Int()
		case "memory_mb":
			memoryMB = in.Int()
		default:
			in.SkipRecursive()
		}
	})
	return sockets, memoryMB
}
