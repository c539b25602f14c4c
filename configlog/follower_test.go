package configlog

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
)

// testCluster is a cluster without random faults and operations. Each test triggers them itself.
type testCluster struct {
	*cluster
	ctx   context.Context
	group sync.WaitGroup
}

// withTestCluster runs test in virtual time.
func withTestCluster(t *testing.T, o options, test func(t *testing.T, tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tc := &testCluster{cluster: newCluster(1, o), ctx: ctx}
		test(t, tc)
		cancel()
		tc.group.Wait()
		time.Sleep(time.Minute) // wait for late appends
	})
}

func (tc *testCluster) startNodes(nodes ...int) {
	for _, n := range nodes {
		tc.start(tc.ctx, &tc.group, tc.nodes[n])
	}
}

func (tc *testCluster) setLogDown(down bool) {
	tc.log.withLock(func() { tc.log.down = down })
}

// appendUnseen appends the records of st like late appends: no node knows of them until it reads the log.
func (tc *testCluster) appendUnseen(st *stream) {
	tc.log.withLock(func() { tc.log.add(st.records) })
}

// submit submits through node n a patch with this id that drains the VM with the same name. The base is the version in
// force on the node.
func (tc *testCluster) submit(n int, id string, timeout time.Duration) Decision {
	ctx, cancel := context.WithTimeout(tc.ctx, timeout)
	defer cancel()
	f := tc.nodes[n].current()
	op := config.Op{Op: config.OpSet, Path: "drains/" + id, Value: []byte(`{}`)}
	return f.Submit(ctx, config.Patch{ID: id, Base: versionOf(f.Document()), Author: "ana", Reason: "r", Ops: []config.Op{op}})
}

func (tc *testCluster) versionAt(n int) uint64 { return versionOf(tc.nodes[n].current().Document()) }

// TestUnknownOutcomesAreSettled guards against a patch that is reported as refused after its append failed, an unknown
// outcome that does not name the command that settles it, and a withdrawn patch that takes effect when it is appended
// late.
func TestUnknownOutcomesAreSettled(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0, 1)
		tc.initialise()
		tc.setLogDown(true)
		time.Sleep(10 * time.Second)
		for _, id := range []string{"p-1", "p-2"} {
			d := tc.submit(0, id, 5*time.Second)
			if d.Outcome != Unknown || d.Error.Kind != errkind.Unknown || d.Error.Remedy != "run redwingctl config settle "+id {
				t.Fatalf("submission while the log is down: got %+v, want an unknown outcome and the remedy config settle", d)
			}
		}
		if d := tc.nodes[1].current().Settle(tc.ctx, "p-1"); d.Outcome != Unknown {
			t.Errorf("settling while the log is down: got %+v, want an unknown outcome", d)
		}
		tc.setLogDown(false)
		tc.appendUnseen(new(stream).patch("p-1", 0))
		if d := tc.nodes[1].current().Settle(tc.ctx, "p-1"); d.Outcome != Accepted || d.Version != 1 {
			t.Errorf("settling a patch that was appended late: got %+v, want accepted as version 1", d)
		}
		if d := tc.nodes[1].current().Settle(tc.ctx, "p-2"); d.Outcome != Unknown || !strings.Contains(d.Error.Remedy, "withdraw p-2") {
			t.Errorf("settling a patch that is not in the log: got %+v, want an unknown outcome and the remedy withdraw p-2", d)
		}
		if d := tc.nodes[1].current().Withdraw(tc.ctx, "p-2", "ana", "late"); d.Outcome != Refused || !d.Withdrawn {
			t.Errorf("withdrawal of a patch that is not in the log: got %+v, want refused as withdrawn", d)
		}
		tc.appendUnseen(new(stream).patch("p-2", 1))
		time.Sleep(time.Second)
		if d, _ := tc.nodes[0].current().decision("p-2"); d.Outcome != Refused || tc.versionAt(0) != 1 {
			t.Errorf("withdrawn patch that was appended late: got %+v and version %d, want refused and version 1", d, tc.versionAt(0))
		}
		if d := tc.nodes[0].current().Withdraw(tc.ctx, "p-1", "ana", "late"); d.Outcome != Accepted {
			t.Errorf("withdrawal of an accepted patch: got %+v, want accepted", d)
		}
	})
}

// TestPatchesAreCheckedBeforeAppend guards against appending a patch that can have no effect, against a refusal with the
// wrong kind of error, against deciding about a repeated id anew, and against a second initialise that is accepted.
func TestPatchesAreCheckedBeforeAppend(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0)
		if d := tc.submit(0, "early", time.Second); d.Outcome != Refused || d.Error.Kind != errkind.NotFound {
			t.Errorf("patch without a configuration: got %+v, want refused as not found", d)
		}
		tc.initialise()
		tc.submit(0, "p-1", time.Second)
		tc.setLogDown(true)
		patch := config.Patch{ID: "p-2", Author: "ana", Reason: "r", Ops: []config.Op{{Op: config.OpRemove, Path: "drains/p-1"}}}
		if d := tc.nodes[0].current().Submit(tc.ctx, patch); d.Outcome != Refused || d.Error.Kind != errkind.Conflict || d.Version != 1 {
			t.Errorf("patch on an old base: got %+v, want refused as a conflict with version 1", d)
		}
		patch.Base = 9 // a version that does not exist
		if d := tc.nodes[0].current().Submit(tc.ctx, patch); d.Outcome != Unknown {
			t.Errorf("patch on a version that cannot be read: got %+v, want an unknown outcome", d)
		}
		tc.setLogDown(false)
		if d := tc.nodes[0].current().Submit(tc.ctx, patch); d.Outcome != Refused || d.Error.Kind != errkind.Conflict {
			t.Errorf("patch on a version that does not exist: got %+v, want refused as a conflict", d)
		}
		if d := tc.submit(0, "p-1", time.Second); d.Outcome != Accepted || d.Version != 1 {
			t.Errorf("second submission of the same id: got %+v, want accepted as version 1", d)
		}
		again := tc.nodes[0].current().Initialise(tc.ctx, Initialise{Document: testDocument()})
		if again.Outcome != Refused || again.Error.Kind != errkind.Conflict {
			t.Errorf("second initialise: got %+v, want refused as a conflict", again)
		}
	})
}

// TestStart guards against a node that concludes from an empty, truncated or unreachable log that there is no
// configuration although one exists, and against one that accepts an initialise record then.
func TestStart(t *testing.T) {
	// In the cases "live writers" and "unreachable log, no peers" nodes 0 and 1 run, but the new node cannot reach them.
	// In the other cases "no peers" they are stopped.
	cases := map[string]struct {
		// prepare runs when nodes 0 and 1 have version 1.
		prepare func(tc *testCluster)
		// peers reports whether the new node reaches its peers.
		peers bool
		// version and hasConfig are wanted for the new node after inForceBound.
		version   uint64
		hasConfig bool
	}{
		"complete log":                  {func(*testCluster) {}, false, 1, true},
		"unreachable log, peers":        {func(tc *testCluster) { tc.setLogDown(true) }, true, 1, true},
		"unreachable log, no peers":     {func(tc *testCluster) { tc.setLogDown(true) }, false, 0, false},
		"emptied log, peers":            {emptyLog, true, 1, true},
		"emptied log, live writers":     {emptyLog, false, 1, true},
		"emptied log, no peers":         {func(tc *testCluster) { emptyLog(tc); tc.killFirstTwo() }, false, 0, false},
		"truncated log, peers":          {truncateLog, true, 1, true},
		"truncated log, no peers":       {func(tc *testCluster) { truncateLog(tc); tc.killFirstTwo() }, false, 0, false},
		"truncated log with a snapshot": {func(tc *testCluster) { time.Sleep(testRetention + time.Minute) }, false, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
				tc.startNodes(0, 1)
				tc.initialise()
				tc.submit(0, "p-1", time.Second)
				time.Sleep(time.Second)
				c.prepare(tc)
				tc.withLock(func() {
					tc.cut[0][2], tc.cut[2][0], tc.cut[1][2], tc.cut[2][1] = !c.peers, !c.peers, !c.peers, !c.peers
				})
				tc.startNodes(2)
				time.Sleep(inForceBound)
				f := tc.nodes[2].current()
				if (f.Document() != nil) != c.hasConfig || tc.versionAt(2) != c.version {
					t.Errorf("new node: got has a configuration %v, version %d; want the values of the case", f.Document() != nil, tc.versionAt(2))
				}
				ctx, cancel := context.WithTimeout(tc.ctx, 5*time.Second)
				defer cancel()
				if d := f.Initialise(ctx, Initialise{Document: testDocument()}); d.Outcome != Refused {
					t.Errorf("initialise: got %+v, want refused", d)
				}
			})
		})
	}
}

// killFirstTwo stops nodes 0 and 1.
func (tc *testCluster) killFirstTwo() {
	tc.kill(tc.nodes[0])
	tc.kill(tc.nodes[1])
}

// emptyLog makes all records of the log expire.
func emptyLog(tc *testCluster) {
	tc.log.withLock(func() { tc.log.oldest = uint64(len(tc.log.records)) })
}

// truncateLog makes all records of the log expire and appends one that is not a snapshot.
func truncateLog(tc *testCluster) {
	emptyLog(tc)
	tc.appendUnseen(new(stream).patch("p-9", 9))
}

// TestWholeRestart guards against the loss of the configuration when all nodes are replaced after the first records have
// expired. Without snapshots in the log, version 1 must be lost, which shows that the test is effective.
func TestWholeRestart(t *testing.T) {
	for name, dropSnapshots := range map[string]bool{"with snapshots": false, "without": true} {
		t.Run(name, func(t *testing.T) {
			o := options{drop: func(r Record) bool { return dropSnapshots && r.Snapshot != nil }}
			withTestCluster(t, o, func(t *testing.T, tc *testCluster) {
				tc.startNodes(0, 1, 2)
				tc.initialise()
				tc.submit(0, "p-1", time.Second)
				time.Sleep(3 * testRetention)
				for _, n := range tc.nodes[:3] {
					tc.kill(n)
				}
				tc.startNodes(4)
				time.Sleep(inForceBound)
				if got := tc.nodes[4].current().Document() != nil && tc.versionAt(4) == 1; got == dropSnapshots {
					t.Errorf("version 1 in force on the new node: got %v, want the opposite", got)
				}
			})
		})
	}
}

// TestLongOutage guards against the loss of the configuration in an outage of the log that is longer than its
// retention, and against a record that expired unread and delays later changes by more than 8 s.
func TestLongOutage(t *testing.T) {
	for name, unread := range map[string]bool{"all was read": false, "a record expired unread": true} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
				tc.startNodes(0, 1, 2, 3, 4, 5, 6, 7, 8)
				tc.initialise()
				tc.submit(0, "p-1", time.Second)
				time.Sleep(time.Second)
				tc.setLogDown(true)
				if unread {
					tc.appendUnseen(new(stream).patch("p-2", 1))
				}
				time.Sleep(testRetention + time.Minute)
				tc.setLogDown(false)
				if d := tc.submit(1, "p-3", inForceBound); d.Outcome != Accepted || d.Version != 2 {
					t.Errorf("patch after the outage: got %+v, want accepted as version 2", d)
				}
				time.Sleep(inForceBound)
				for n := range tc.nodes {
					if tc.versionAt(n) != 2 {
						t.Errorf("node %d has version %d, want 2", n, tc.versionAt(n))
					}
				}
				time.Sleep(time.Minute) // wait for a snapshot of version 2
				for _, n := range tc.nodes {
					tc.kill(n)
				}
				tc.startNodes(0)
				time.Sleep(inForceBound)
				if tc.versionAt(0) != 2 {
					t.Errorf("a node that starts from the log alone has version %d, want 2", tc.versionAt(0))
				}
			})
		})
	}
}

// TestProcessesDoNotAppendSnapshotsTogether guards against all nodes appending the same snapshot at the same time, and
// against snapshots that are not appended when they are due, which is once in a third of the retention period.
func TestProcessesDoNotAppendSnapshotsTogether(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0, 1, 2, 3, 4, 5, 6, 7, 8)
		tc.initialise()
		const snapshotIntervals = 12
		time.Sleep(snapshotIntervals * testRetention / 3)
		snapshots := 0
		for _, raw := range tc.log.records {
			if r, err := decode(raw.Data); err == nil && r.Snapshot != nil {
				snapshots++
			}
		}
		t.Logf("%d snapshots by 9 nodes in %d snapshot intervals", snapshots, snapshotIntervals)
		if snapshots < snapshotIntervals/2 || snapshots > 2*snapshotIntervals {
			t.Errorf("%d snapshots in %d snapshot intervals, want one half to two in each", snapshots, snapshotIntervals)
		}
	})
}

// TestVersionStaysWhenLogLosesRecords guards against a node that goes back to an older version because the log has lost
// its newest records, and against one that does not raise an alarm then.
func TestVersionStaysWhenLogLosesRecords(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0)
		tc.initialise()
		tc.submit(0, "p-1", time.Second)
		tc.log.withLock(func() { tc.log.records, tc.log.appendTimes = tc.log.records[:1], tc.log.appendTimes[:1] })
		time.Sleep(10 * time.Second)
		if status := tc.nodes[0].current().Status(); status.Alarm == "" || status.Version != 1 {
			t.Errorf("got status %+v, want an alarm and version 1", status)
		}
	})
}

// TestStoppedFoldKeepsVersionAndRefusesPatches guards against a node that loses its configuration or accepts patches
// after its fold stopped at a record that requires an unknown rule set.
func TestStoppedFoldKeepsVersionAndRefusesPatches(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0)
		tc.initialise()
		tc.appendUnseen(new(stream).add(Record{RuleSet: config.RuleSet + 1}))
		time.Sleep(5 * time.Second)
		status := tc.nodes[0].current().Status()
		if !status.HasConfig || status.Stopped == nil || status.Stopped.Reason != StopRuleSet {
			t.Errorf("got status %+v, want a configuration and a fold stopped for the rule set", status)
		}
		if d := tc.submit(0, "p-1", time.Second); d.Outcome != Refused || d.Error.Kind != errkind.Unavailable {
			t.Errorf("submission after the fold stopped: got %+v, want refused as unavailable", d)
		}
	})
}
