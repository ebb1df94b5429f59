// Package appliance reads the settings of an installation of our own, which has what the
// platform does not give: a disk that lasts.
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

// Schema is the JSON Schema of the file.
//
//go:embed schema.json
var Schema []byte

var checker = schema.New(Schema)

// Config is what the file says.
type Config struct {
	Store *Store // nil: there is none
}

// Store says how the job store is kept.
type Store struct {
	store.Config
	AnswerRetention time.Duration // how long an answer can be read
	CallbackWait    time.Duration // how long workers may call back after a start
	ExitOnDiskError bool          // the program ends when the disk fails, instead of serving on
}

const (
	storeFile              = "jobs.db"
	defaultAnswerRetention = time.Hour
	defaultCallbackWait    = 5 * time.Second
)

// Parse reads a file. The error is one line and names the field by its path.
func Parse(raw []byte) (Config, error) {
	if err := checker.Check(raw); err != nil {
		return Config{}, err
	}
	f := struct {
		Store *struct {
			Directory string   `json:"directory"`
			MostItems int      `json:"most_items"`
			MostMB    int64    `json:"most_mb"`
			KeepS     *float64 `json:"keep_s"`
			AskMs     *int64   `json:"ask_ms"`
			OnFailure string   `json:"on_failure"`
		} `json:"store"`
	}{}
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("the file: %w", err)
	}
	if f.Store == nil {
		return Config{}, nil
	}
	s := &Store{Config: store.Config{Path: filepath.Join(f.Store.Directory, storeFile),
		MaxItems: f.Store.MostItems, MaxBytes: f.Store.MostMB << 20},
		AnswerRetention: defaultAnswerRetention, CallbackWait: defaultCallbackWait,
		ExitOnDiskError: f.Store.OnFailure == "end"}
	if f.Store.KeepS != nil {
		s.AnswerRetention = time.Duration(*f.Store.KeepS * float64(time.Second))
	}
	if f.Store.AskMs != nil {
		s.CallbackWait = time.Duration(*f.Store.AskMs) * time.Millisecond
	}
	return Config{Store: s}, nil
}
