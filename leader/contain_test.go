package leader

import (
	"bytes"
	"strings"
	"testing"

	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/store/storetest"
)

// TestPanicOfTheCoreEndsOnlyTheLeader guards against a worker's list or a stored job that takes down the process, which also
// serves callers: the leader must end and leave the schedule to a holder that starts from the stored states.
func TestPanicOfTheCoreEndsOnlyTheLeader(t *testing.T) {
	var logged bytes.Buffer
	l := newTestLeader(t, storetest.New(), &logged)
	cancelled := false
	l.cancel = func() { cancelled = true }
	l.core = dispatch.New(l.DispatchOptions)
	l.apply(func(*dispatch.Core) { panic("index out of range") })
	if !l.ended.Load() || !cancelled {
		t.Error("the leader continues with a core whose state may be inconsistent")
	}
	if line := logged.String(); !strings.Contains(line, "panic contained") || !strings.Contains(line, "index out of range") {
		t.Errorf("the log has %q, want the panic and its cause", line)
	}
}
