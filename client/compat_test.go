package client

import (
	"testing"
	"time"
)

// TestFilesOfEarlierReleases checks that configuration files of earlier releases still parse to the same
// values. The files in testdata are copies of released files and must not be edited.
func TestFilesOfEarlierReleases(t *testing.T) {
	for name, want := range map[string]Config{
		"desk.json": {Schedulers: []string{"127.0.0.1:8443"}, Tenant: "sahel", RetryBudget: 0.1,
			Classes: map[string]Class{
				"post-reading":   {Deadline: 5 * time.Second, Effect: Once, MaxAttempts: 3},
				"district-batch": {Deadline: 20 * time.Second, Effect: Rack, MaxAttempts: 3}}},
		"desk-all-fields.json": {Schedulers: []string{"127.0.0.1:8443", "scheduler-2.example:8443"},
			Tenant: "sahel", RetryBudget: -1, MaxConnections: 16, ConnectRate: 12.5,
			Classes: map[string]Class{
				"post-reading":   {Deadline: 5 * time.Second, Effect: Once, MaxAttempts: 3},
				"district-batch": {Deadline: 20 * time.Second, Effect: Rack},
				"invoice": {Deadline: 1500 * time.Millisecond, Effect: Anywhere, Window: 30 * time.Second,
					MaxAttempts: 10},
				"lookup": {Deadline: 250 * time.Millisecond, Effect: Safe, MaxAttempts: 1}}},
	} {
		t.Run(name, func(t *testing.T) { checkConfigFile(t, "testdata/"+name, want) })
	}
}
