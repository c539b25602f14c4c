// Package boottime provides a monotonic clock that, unlike Go's, also advances while the VM is suspended. It is used for
// leases and for the age of data that was read from other processes.
package boottime

import (
	"context"
	"time"
)

// Sleep returns after d, or earlier when ctx ends. d does not include the time while the VM is suspended.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
