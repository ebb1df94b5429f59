package testcluster

import (
	"context"
	"time"
)

// Sleep waits for a duration or until the context ends. It reports false if the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
