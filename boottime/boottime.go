// Package boottime provides a monotonic clock that, unlike Go's, includes the time while the VM is suspended. It measures
// the age of data that was read from other processes.
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
