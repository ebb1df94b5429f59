// Package appliance reads the configuration file of an appliance. An appliance is an installation of the
// scheduler outside the platform that, unlike the platform, has a persistent disk for a job store.
package appliance

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"dahliaford/internal/schema"
	"dahliaford/internal/store"
)

// Schema is the JSON Schema of the configuration file.
//
//go:embed schema.json
var Schema []byte

var checker = schema.New(Schema)

// Config is the content of the configuration file.
type Config struct {
	Store *Store // nil if the appliance has no job store
}

// Store is the configuration of the job store.
type Store struct {
	store.Config
	AnswerRetention time.Duration // how long the answer of a job can be read after it was given
	CallbackWait    time.Duration // how long the scheduler waits after a start for workers to call back
	ExitOnDiskError bool          // whether the scheduler exits when the disk fails, or else serves on
}

const (
	storeFile              = "jobs.db"
	defaultAnswerRetention = time.Hour
	defaultCallbackWait    = 5 * time.Second
	exitOnFailure          = "end" // the value of on_failure by which the scheduler exits when the disk fails
)

// file is the JSON form of the configuration file.
type file struct {
	Store *fileStore `json:"store"`
}

type fileStore struct {
	Directory     string   `json:"directory"`
	MaxItems      int      `json:"most_items"`
	MaxMB         int64    `json:"most_mb"`
	KeepSeconds   *float64 `json:"keep_s"`
	CallbackMs    *int64   `json:"ask_ms"`
	OnDiskFailure string   `json:"on_failure"`
}

// Parse checks and decodes the text of a configuration file. The error is one line and names the invalid
// field by its path.
func Parse(raw []byte) (Config, error) {
	if err := checker.Check(raw); err != nil {
		return Config{}, err
	}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("the file: %w", err)
	}
	if f.Store == nil {
		return Config{}, nil
	}
	return Config{Store: f.Store.config()}, nil
}

func (f *fileStore) config() *Store {
	s := &Store{
		Config: store.Config{
			Path:     filepath.Join(f.Directory, storeFile),
			MaxItems: f.MaxItems,
			MaxBytes: f.MaxMB << 20,
		},
		AnswerRetention: defaultAnswerRetention,
		CallbackWait:    defaultCallbackWait,
		ExitOnDiskError: f.OnDiskFailure == exitOnFailure,
	}
	if f.KeepSeconds != nil {
		s.AnswerRetention = time.Duration(*f.KeepSeconds * float64(time.Second))
	}
	if f.CallbackMs != nil {
		s.CallbackWait = time.Duration(*f.CallbackMs) * time.Millisecond
	}
	return s
}
