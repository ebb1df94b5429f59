package testcluster

import (
	"context"
	"time"
)

// Sleep waits for a duration. It reports false if the context ended before.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
