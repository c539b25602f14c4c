// Package boottime reads a clock that never goes back and that, unlike Go's monotonic clock, goes on while the VM is
// suspended. Ages of what was read from others are measured with it.
package boottime

import (
	"context"
	"time"
)

// Sleep returns after d, or earlier when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
