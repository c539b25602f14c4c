package configlog

import (
	"hash/fnv"
	"strings"
	"testing"
	"time"
)

// TestScenarioCatches verifies that the checks of the scenario are effective: each run disables one mechanism, and the
// checks must find a violation.
func TestScenarioCatches(t *testing.T) {
	cases := map[string]struct {
		options options
		// wantText must be part of one of the violations found.
		wantText string
	}{
		"no relay between peers":             {options{noPeers: true}, "in force within"},
		"failed append taken for a refusal":  {options{appendErrorIsRefusal: true}, "reported as refused"},
		"failed append breaks the register":  {options{appendErrorIsRefusal: true}, "not linearizable"},
		"fold without the check of the base": {options{rewrite: rebaseEveryPatch}, "holds another version"},
		"fold that misses records":           {options{rewrite: dropSomePatches}, "holds another version"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.options.duration = 12 * time.Minute
			var found []string
			for seed := uint64(1); seed <= 5; seed++ {
				found = runScenarioWith(t, seed, c.options).violations
				for _, v := range found {
					if strings.Contains(v, c.wantText) {
						t.Logf("seed %d: %d violations, such as: %.200s", seed, len(found), v)
						return
					}
				}
			}
			t.Errorf("no violation of five runs contains %q; the last run had %d other violations", c.wantText, len(found))
		})
	}
}

// rebaseEveryPatch sets the base of every patch to the version that the reading node has in force.
func rebaseEveryPatch(n *node, r Record) Record {
	if f := n.current(); r.Patch != nil && f != nil && f.Document() != nil {
		r.Patch.Base = f.Document().Version
	}
	return r
}

// dropSomePatches removes one patch in 16 from the records that a node reads, chosen by the hash of its id.
func dropSomePatches(_ *node, r Record) Record {
	if r.Patch == nil {
		return r
	}
	hash := fnv.New32()
	_, _ = hash.Write([]byte(r.Patch.ID))
	if hash.Sum32()%16 == 0 {
		r.Patch = nil
	}
	return r
}

// TestWithdrawalCatches verifies that it is the withdrawal that prevents a patch appended after it from taking effect:
// the patch takes effect on node 1, which reads no withdrawals, and not on node 0.
func TestWithdrawalCatches(t *testing.T) {
	withTestCluster(t, options{rewrite: dropWithdrawals}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0, 1)
		tc.initialise()
		tc.nodes[0].current().Withdraw(tc.ctx, "p-1", "ana", "late")
		tc.appendUnseen(new(stream).patch("p-1", 0))
		time.Sleep(time.Second)
		if with, without := tc.versionAt(0), tc.versionAt(1); with != 0 || without != 1 {
			t.Errorf("version %d with withdrawals, want 0; version %d without, want 1", with, without)
		}
	})
}

func dropWithdrawals(_ *node, r Record) Record {
	r.Withdraw = nil
	return r
}
