package leader

import (
	"testing"

	"github.com/redwingthread/redwingthread/workload"
)

// TestOlderConfigurationIsIgnored guards against a holder that keeps to an old configuration until the next one is published: the
// version that it was started with is set after a newer one that arrived meanwhile.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	l := runTestLeader(t, nil, nil)
	for _, version := range []int64{3, 2, 3} {
		config := &workload.Config{Version: version}
		config.Index()
		l.SetConfig(config)
	}
	if got := l.newestConfig().Version; got != 3 {
		t.Errorf("the holder uses version %d, want 3", got)
	}
}
