//go:build !linux

package boottime

import "time"

var startedAt = time.Now()

// Now returns the time since the process started. It does not advance during suspension, which is acceptable because the
// daemons run on Linux and the operator command measures no ages.
func Now() time.Duration { return time.Since(startedAt) }
