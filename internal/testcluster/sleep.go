package testcluster

import (
	"context"
	"time"
)

// Sleep waits, and reports whether it waited to the end: the context may end first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
