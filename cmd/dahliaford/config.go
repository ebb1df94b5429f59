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

// readOccasion says why the configuration is read.
type readOccasion int

const (
	atStart readOccasion = iota
	onReload
)

// configuration reads the file that BALANCER_CONFIG names. The other variables take precedence over it
// where they are set. On a reload the file alone says where discovery is: the variables are as old as the
// process, and could never be changed.
func configuration(env func(string) string, occasion readOccasion) (node.Config, error) {
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
	override(&cfg.Name, env("BALANCER_NAME"))
	override(&cfg.Listen, env("BALANCER_LISTEN"))
	if occasion == atStart {
		override(&cfg.Discovery, env("BALANCER_DISCOVERY"))
	}
	switch {
	case cfg.Listen == "":
		err = fmt.Errorf("configuration %s: no listen address", path)
	case cfg.Discovery == "":
		err = fmt.Errorf("configuration %s: no discovery address", path)
	}
	return cfg, err
}

// override sets a field to the value of a variable, where that is set.
func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// parse reads the text of a configuration. Unknown fields are skipped, and null is the same as absent.
func parse(raw []byte) (cfg node.Config, err error) {
	var known, settingsObject []byte
	var seed string
	in := jlexer.Lexer{Data: raw}
	node.DecodeObject(&in, func(key string) {
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
			cfg.MaxDescriptors, cfg.MemoryMB = parseLimits(&in)
		case "known":
			known = in.Raw()
		case "settings":
			settingsObject = in.Raw()
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	if err := in.Error(); err != nil {
		return cfg, err
	}
	if cfg.Seed, err = parseSeed(seed); err != nil {
		return cfg, err
	}
	if len(known) > 0 {
		// It may be of any age, and nothing is sent to a worker because of it alone: an invalid one does not keep
		// the program from starting.
		known, invalid, err := node.DecodeList(known)
		cfg.InitialList, cfg.InitialListError = known, invalid
		if err != nil {
			cfg.InitialList.Workers, cfg.InitialListError = nil, err
		}
	}
	if len(settingsObject) == 0 {
		return cfg, errors.New("no settings")
	}
	cfg.Settings, err = settings.Parse(settingsObject)
	return cfg, err
}

// parseSeed reads a hexadecimal number; without one the seed is 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed %q is not a hexadecimal number", text)
	}
	return seed, nil
}

func parseLimits(in *jlexer.Lexer) (sockets, memoryMB int) {
	node.DecodeObject(in, func(key string) {
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

// needsRestart reports whether a configuration differs from the one that the process started with in a
// field that a reload does not apply.
func needsRestart(started, now node.Config) bool {
	return started.Name != now.Name || started.Listen != now.Listen ||
		started.MaxDescriptors != now.MaxDescriptors ||
		started.MemoryMB != now.MemoryMB || !reflect.DeepEqual(started.Settings, now.Settings)
}
