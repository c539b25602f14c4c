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

// appendUnseen appends the records of st like late appends: no process knows of them until it reads the log.
func (tc *testCluster) appendUnseen(st *stream) {
	tc.log.withLock(func() { tc.log.add(st.records) })
}

func (tc *testCluster) submit(n int, id string, limit time.Duration) Decision {
	ctx, cancel := context.WithTimeout(tc.ctx, limit)
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
				t.Fatalf("decision %+v", d)
			}
		}
		if d := tc.nodes[1].current().Settle(tc.ctx, "p-1"); d.Outcome != Unknown {
			t.Errorf("settled while the log is down: %+v", d)
		}
		tc.setLogDown(false)
		tc.appendUnseen(new(stream).patch("p-1", 0))
		if d := tc.nodes[1].current().Settle(tc.ctx, "p-1"); d.Outcome != Accepted || d.Version != 1 {
			t.Errorf("settling a patch that was appended late: %+v", d)
		}
		if d := tc.nodes[1].current().Settle(tc.ctx, "p-2"); d.Outcome != Unknown || !strings.Contains(d.Error.Remedy, "withdraw p-2") {
			t.Errorf("settling a patch that is not in the log: %+v", d)
		}
		if d := tc.nodes[1].current().Withdraw(tc.ctx, "p-2", "ana", "late"); d.Outcome != Refused || !d.Withdrawn {
			t.Errorf("withdrawal: %+v", d)
		}
		tc.appendUnseen(new(stream).patch("p-2", 1))
		time.Sleep(time.Second)
		if d, _ := tc.nodes[0].current().decision("p-2"); d.Outcome != Refused || tc.versionAt(0) != 1 {
			t.Errorf("withdrawn patch took effect: %+v, version %d", d, tc.versionAt(0))
		}
		if d := tc.nodes[0].current().Withdraw(tc.ctx, "p-1", "ana", "late"); d.Outcome != Accepted {
			t.Errorf("withdrawal of an accepted patch: %+v", d)
		}
	})
}

// TestPatchesAreCheckedBeforeAppend guards against appending a patch that can have no effect, and against a refusal
// without a reason.
func TestPatchesAreCheckedBeforeAppend(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0)
		if d := tc.submit(0, "early", time.Second); d.Outcome != Refused || d.Error.Kind != errkind.NotFound {
			t.Errorf("patch without a configuration: %+v", d)
		}
		tc.initialise()
		tc.submit(0, "p-1", time.Second)
		tc.setLogDown(true)
		old := config.Patch{ID: "p-2", Author: "ana", Reason: "r", Ops: []config.Op{{Op: config.OpRemove, Path: "drains/p-1"}}}
		if d := tc.nodes[0].current().Submit(tc.ctx, old); d.Outcome != Refused || d.Error.Kind != errkind.Conflict || d.Version != 1 {
			t.Errorf("patch on an old base: %+v", d)
		}
		old.Base = 9
		if d := tc.nodes[0].current().Submit(tc.ctx, old); d.Outcome != Unknown {
			t.Errorf("patch on a version that cannot be read: %+v", d)
		}
		tc.setLogDown(false)
		if d := tc.nodes[0].current().Submit(tc.ctx, old); d.Outcome != Refused || d.Error.Kind != errkind.Conflict {
			t.Errorf("patch on a version that does not exist: %+v", d)
		}
		if d := tc.submit(0, "p-1", time.Second); d.Outcome != Accepted || d.Version != 1 {
			t.Errorf("second submission of the same id: %+v", d)
		}
		again := tc.nodes[0].current().Initialise(tc.ctx, Initialise{Document: testDocument()})
		if again.Outcome != Refused || again.Error.Kind != errkind.Conflict {
			t.Errorf("second initialise: %+v", again)
		}
	})
}

// TestStart guards against a process that concludes from an empty, truncated or unreachable log that there is no
// configuration although one exists.
func TestStart(t *testing.T) {
	cases := map[string]struct {
		// prepare runs when nodes 0 and 1 have version 1.
		prepare func(tc *testCluster)
		// peers reports whether the new node reaches its peers.
		peers     bool
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
					t.Errorf("has a configuration: %v, version %d", f.Document() != nil, tc.versionAt(2))
				}
				ctx, cancel := context.WithTimeout(tc.ctx, 5*time.Second)
				defer cancel()
				if d := f.Initialise(ctx, Initialise{Document: testDocument()}); d.Outcome != Refused {
					t.Errorf("initialise was not refused: %+v", d)
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

// TestWholeRestart guards against the loss of the configuration when all processes are replaced after the first records
// have expired. If the log drops the snapshots, the loss must be detected.
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
					t.Errorf("version 1 in force: %v", got)
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
					t.Errorf("patch after the outage: %+v", d)
				}
				time.Sleep(inForceBound)
				for n := range tc.nodes {
					if tc.versionAt(n) != 2 {
						t.Errorf("node %d has version %d", n, tc.versionAt(n))
					}
				}
				time.Sleep(time.Minute)
				for _, n := range tc.nodes {
					tc.kill(n)
				}
				tc.startNodes(0)
				time.Sleep(inForceBound)
				if tc.versionAt(0) != 2 {
					t.Errorf("a new process reads version %d from the log", tc.versionAt(0))
				}
			})
		})
	}
}

// TestProcessesDoNotAppendSnapshotsTogether guards against all processes appending the same snapshot at the same time.
func TestProcessesDoNotAppendSnapshotsTogether(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0, 1, 2, 3, 4, 5, 6, 7, 8)
		tc.initialise()
		const rounds = 12
		time.Sleep(rounds * testRetention / 3)
		snapshots := 0
		for _, raw := range tc.log.records {
			if r, err := decode(raw.Data); err == nil && r.Snapshot != nil {
				snapshots++
			}
		}
		t.Logf("%d snapshots by 9 processes in %d periods", snapshots, rounds)
		if snapshots < rounds/2 || snapshots > 2*rounds {
			t.Errorf("%d snapshots in %d periods", snapshots, rounds)
		}
	})
}

// TestVersionStaysWhenLogLosesRecords guards against a process that goes back to an older version because the log has
// lost its newest records.
func TestVersionStaysWhenLogLosesRecords(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0)
		tc.initialise()
		tc.submit(0, "p-1", time.Second)
		tc.log.withLock(func() { tc.log.records, tc.log.times = tc.log.records[:1], tc.log.times[:1] })
		time.Sleep(10 * time.Second)
		if status := tc.nodes[0].current().Status(); status.Alarm == "" || status.Version != 1 {
			t.Errorf("status %+v", status)
		}
	})
}

// TestStoppedFoldKeepsVersionAndRefusesPatches guards against a process that loses its version or accepts patches after
// a record with an unknown rule set.
func TestStoppedFoldKeepsVersionAndRefusesPatches(t *testing.T) {
	withTestCluster(t, options{}, func(t *testing.T, tc *testCluster) {
		tc.startNodes(0)
		tc.initialise()
		tc.appendUnseen(new(stream).add(Record{RuleSet: config.RuleSet + 1}))
		time.Sleep(5 * time.Second)
		status := tc.nodes[0].current().Status()
		if !status.HasConfig || status.Stopped == nil || status.Stopped.Reason != StopRuleSet {
			t.Errorf("status %+v", status)
		}
		if d := tc.submit(0, "p-1", time.Second); d.Outcome != Refused || d.Error.Kind != errkind.Unavailable {
			t.Errorf("submission: %+v", d)
		}
	})
}
