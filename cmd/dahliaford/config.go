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

// readOccasion says whether the configuration is read at the start of the process or on a reload.
type readOccasion int

const (
	atStart readOccasion = iota
	onReload
)

// configuration reads the file that BALANCER_CONFIG names. The environment variables BALANCER_NAME,
// BALANCER_LISTEN and BALANCER_DISCOVERY override the fields of the file if they are set. On a reload
// BALANCER_DISCOVERY is ignored: the environment of a running process cannot be changed from outside, so that
// a variable that is set would make it impossible to move the scheduler to another discovery address.
func configuration(env func(string) string, occasion readOccasion) (node.Config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return node.Config{}, errors.New("BALANCER_CONFIG is not set")
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

// override sets a field to the value of an environment variable, unless the value is empty.
func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// parse decodes the JSON text of a configuration. Unknown fields are skipped, and a field that is null counts
// as absent.
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
		// The known endpoint list may be outdated, and no job is sent to a worker on the strength of this list
		// alone. An invalid list therefore does not keep the program from starting.
		known, invalid, err := node.DecodeList(known)
		cfg.InitialList, cfg.InitialListError = known, invalid
		if err != nil {
			cfg.InitialList.Workers, cfg.InitialListError = nil, err
		}
	}
	if len(settingsObject) == 0 {
		return cfg, errors.New("no settings object")
	}
	cfg.Settings, err = settings.Parse(settingsObject)
	return cfg, err
}

// parseSeed parses a hexadecimal number. The seed of an empty text is 0.
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

// needsRestart reports whether the configuration now differs from the configuration started, with which the
// process started, in a field that a reload does not apply.
func needsRestart(started, now node.Config) bool {
	return started.Name != now.Name || started.Listen != now.Listen ||
		started.MaxDescriptors != now.MaxDescriptors ||
		started.MemoryMB != now.MemoryMB || !reflect.DeepEqual(started.Settings, now.Settings)
}
