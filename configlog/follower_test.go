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

// bench is a cluster without a driver. Each test sets faults itself.
type bench struct {
	*cluster
	ctx   context.Context
	group sync.WaitGroup
}

// withBench runs test in virtual time.
func withBench(t *testing.T, o options, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{cluster: newCluster(1, o), ctx: ctx}
		test(t, b)
		cancel()
		b.group.Wait()
		time.Sleep(time.Minute) // late appends end
	})
}

func (b *bench) run(nodes ...int) {
	for _, n := range nodes {
		b.start(b.ctx, &b.group, b.nodes[n])
	}
}

func (b *bench) setDown(down bool) {
	b.log.locked(func() { b.log.down = down })
}

// addLate appends the records of st as late appends would: without any process knowing.
func (b *bench) addLate(st *stream) {
	b.log.locked(func() { b.log.add(st.records) })
}

func (b *bench) submit(n int, id string, limit time.Duration) Decision {
	ctx, cancel := context.WithTimeout(b.ctx, limit)
	defer cancel()
	f := b.nodes[n].current()
	op := config.Op{Op: config.OpSet, Path: "drains/" + id, Value: []byte(`{}`)}
	return f.Submit(ctx, config.Patch{ID: id, Base: versionOf(f.Document()), Author: "ana", Reason: "r", Ops: []config.Op{op}})
}

func (b *bench) versionAt(n int) uint64 { return versionOf(b.nodes[n].current().Document()) }

// TestUnknownIsSettled guards against a lost patch that is reported as refused, an unknown outcome without the command
// that settles it, and a withdrawal that a late append escapes.
func TestUnknownIsSettled(t *testing.T) {
	withBench(t, options{}, func(t *testing.T, b *bench) {
		b.run(0, 1)
		b.initialise()
		b.setDown(true)
		time.Sleep(10 * time.Second)
		for _, id := range []string{"p-1", "p-2"} {
			d := b.submit(0, id, 5*time.Second)
			if d.Outcome != Unknown || d.Error.Kind != errkind.Unknown || d.Error.Remedy != "run redwingctl config settle "+id {
				t.Fatalf("decision %+v", d)
			}
		}
		if d := b.nodes[1].current().Settle(b.ctx, "p-1"); d.Outcome != Unknown {
			t.Errorf("settled without a log: %+v", d)
		}
		b.setDown(false)
		b.addLate(new(stream).patch("p-1", 0))
		if d := b.nodes[1].current().Settle(b.ctx, "p-1"); d.Outcome != Accepted || d.Version != 1 {
			t.Errorf("late append is settled as %+v", d)
		}
		if d := b.nodes[1].current().Settle(b.ctx, "p-2"); d.Outcome != Unknown || !strings.Contains(d.Error.Remedy, "withdraw p-2") {
			t.Errorf("patch that is not in the log is settled as %+v", d)
		}
		if d := b.nodes[1].current().Withdraw(b.ctx, "p-2", "ana", "late"); d.Outcome != Refused || !d.Withdrawn {
			t.Errorf("withdrawal: %+v", d)
		}
		b.addLate(new(stream).patch("p-2", 1))
		time.Sleep(time.Second)
		if d, _ := b.nodes[0].current().decision("p-2"); d.Outcome != Refused || b.versionAt(0) != 1 {
			t.Errorf("withdrawn patch took effect: %+v, version %d", d, b.versionAt(0))
		}
		if d := b.nodes[0].current().Withdraw(b.ctx, "p-1", "ana", "late"); d.Outcome != Accepted {
			t.Errorf("withdrawal of an accepted patch: %+v", d)
		}
	})
}

// TestPrecheck guards against an append that can take no effect, and against a refusal without a reason.
func TestPrecheck(t *testing.T) {
	withBench(t, options{}, func(t *testing.T, b *bench) {
		b.run(0)
		if d := b.submit(0, "early", time.Second); d.Outcome != Refused || d.Error.Kind != errkind.NotFound {
			t.Errorf("patch without a configuration: %+v", d)
		}
		b.initialise()
		b.submit(0, "p-1", time.Second)
		b.setDown(true)
		old := config.Patch{ID: "p-2", Author: "ana", Reason: "r", Ops: []config.Op{{Op: config.OpRemove, Path: "drains/p-1"}}}
		if d := b.nodes[0].current().Submit(b.ctx, old); d.Outcome != Refused || d.Error.Kind != errkind.Conflict || d.Version != 1 {
			t.Errorf("patch on an old base: %+v", d)
		}
		old.Base = 9
		if d := b.nodes[0].current().Submit(b.ctx, old); d.Outcome != Unknown {
			t.Errorf("patch on a version that cannot be read: %+v", d)
		}
		b.setDown(false)
		if d := b.nodes[0].current().Submit(b.ctx, old); d.Outcome != Refused || d.Error.Kind != errkind.Conflict {
			t.Errorf("patch on a version that does not exist: %+v", d)
		}
		if d := b.submit(0, "p-1", time.Second); d.Outcome != Accepted || d.Version != 1 {
			t.Errorf("second submission of the same id: %+v", d)
		}
		again := b.nodes[0].current().Initialise(b.ctx, Initialise{Document: testDocument()})
		if again.Outcome != Refused || again.Error.Kind != errkind.Conflict {
			t.Errorf("second initialise: %+v", again)
		}
	})
}

// TestStart guards against a process that concludes from an empty, truncated or unreachable log that there is no
// configuration although a peer has one.
func TestStart(t *testing.T) {
	cases := map[string]struct {
		// prepare runs when nodes 0 and 1 hold version 1.
		prepare func(b *bench)
		// peers reports whether the new node reaches them.
		peers   bool
		version uint64
		has     bool
	}{
		"complete log":                  {func(*bench) {}, false, 1, true},
		"unreachable log, peers":        {func(b *bench) { b.setDown(true) }, true, 1, true},
		"unreachable log, no peers":     {func(b *bench) { b.setDown(true) }, false, 0, false},
		"emptied log, peers":            {emptyLog, true, 1, true},
		"emptied log, live writers":     {emptyLog, false, 1, true},
		"emptied log, no peers":         {func(b *bench) { emptyLog(b); b.killBoth() }, false, 0, false},
		"truncated log, peers":          {truncateLog, true, 1, true},
		"truncated log, no peers":       {func(b *bench) { truncateLog(b); b.killBoth() }, false, 0, false},
		"truncated log with a snapshot": {func(b *bench) { time.Sleep(testRetention + time.Minute) }, false, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withBench(t, options{}, func(t *testing.T, b *bench) {
				b.run(0, 1)
				b.initialise()
				b.submit(0, "p-1", time.Second)
				time.Sleep(time.Second)
				c.prepare(b)
				b.locked(func() { b.cut[0][2], b.cut[2][0], b.cut[1][2], b.cut[2][1] = !c.peers, !c.peers, !c.peers, !c.peers })
				b.run(2)
				time.Sleep(inForceBound)
				f := b.nodes[2].current()
				if (f.Document() != nil) != c.has || b.versionAt(2) != c.version {
					t.Errorf("has a configuration: %v, version %d", f.Document() != nil, b.versionAt(2))
				}
				ctx, cancel := context.WithTimeout(b.ctx, 5*time.Second)
				defer cancel()
				if d := f.Initialise(ctx, Initialise{Document: testDocument()}); d.Outcome != Refused {
					t.Errorf("initialise beside a configuration: %+v", d)
				}
			})
		})
	}
}

func (b *bench) killBoth() {
	b.kill(b.nodes[0])
	b.kill(b.nodes[1])
}

// emptyLog expires every record at once, and truncateLog all but a last one that is no snapshot.
func emptyLog(b *bench) {
	b.log.locked(func() { b.log.oldest = uint64(len(b.log.records)) })
}

func truncateLog(b *bench) {
	emptyLog(b)
	b.addLate(new(stream).patch("p-9", 9))
}

// TestWholeRestart guards against the loss of the configuration when every process is replaced after the first records
// expired. With snapshots swallowed by the log the loss must be seen.
func TestWholeRestart(t *testing.T) {
	for name, swallowed := range map[string]bool{"with snapshots": false, "without": true} {
		t.Run(name, func(t *testing.T) {
			o := options{swallow: func(r Record) bool { return swallowed && r.Snapshot != nil }}
			withBench(t, o, func(t *testing.T, b *bench) {
				b.run(0, 1, 2)
				b.initialise()
				b.submit(0, "p-1", time.Second)
				time.Sleep(3 * testRetention)
				for _, n := range b.nodes[:3] {
					b.kill(n)
				}
				b.run(4)
				time.Sleep(inForceBound)
				if got := b.nodes[4].current().Document() != nil && b.versionAt(4) == 1; got == swallowed {
					t.Errorf("version 1 in force: %v", got)
				}
			})
		})
	}
}

// TestLongOutage guards against the loss of the configuration in an outage that is longer than the retention, and against
// a record that expired unread keeping later changes out of force for more than 8 s.
func TestLongOutage(t *testing.T) {
	for name, unread := range map[string]bool{"all was read": false, "a record expired unread": true} {
		t.Run(name, func(t *testing.T) {
			withBench(t, options{}, func(t *testing.T, b *bench) {
				b.run(0, 1, 2, 3, 4, 5, 6, 7, 8)
				b.initialise()
				b.submit(0, "p-1", time.Second)
				time.Sleep(time.Second)
				b.setDown(true)
				if unread {
					b.addLate(new(stream).patch("p-2", 1))
				}
				time.Sleep(testRetention + time.Minute)
				b.setDown(false)
				if d := b.submit(1, "p-3", inForceBound); d.Outcome != Accepted || d.Version != 2 {
					t.Errorf("patch after the outage: %+v", d)
				}
				time.Sleep(inForceBound)
				for n := range b.nodes {
					if b.versionAt(n) != 2 {
						t.Errorf("node %d has version %d", n, b.versionAt(n))
					}
				}
				time.Sleep(time.Minute)
				for _, n := range b.nodes {
					b.kill(n)
				}
				b.run(0)
				time.Sleep(inForceBound)
				if b.versionAt(0) != 2 {
					t.Errorf("a new process reads version %d from the log", b.versionAt(0))
				}
			})
		})
	}
}

// TestSnapshotHerd guards against all processes appending the same snapshot at once.
func TestSnapshotHerd(t *testing.T) {
	withBench(t, options{}, func(t *testing.T, b *bench) {
		b.run(0, 1, 2, 3, 4, 5, 6, 7, 8)
		b.initialise()
		const rounds = 12
		time.Sleep(rounds * testRetention / 3)
		snapshots := 0
		for _, raw := range b.log.records {
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

// TestLogLosesRecords guards against a process that goes back because the log did.
func TestLogLosesRecords(t *testing.T) {
	withBench(t, options{}, func(t *testing.T, b *bench) {
		b.run(0)
		b.initialise()
		b.submit(0, "p-1", time.Second)
		b.log.locked(func() { b.log.records, b.log.times = b.log.records[:1], b.log.times[:1] })
		time.Sleep(10 * time.Second)
		if status := b.nodes[0].current().Status(); status.Alarm == "" || status.Version != 1 {
			t.Errorf("status %+v", status)
		}
	})
}

// TestStoppedFoldServes guards against a process that drops its version, or accepts patches, after a record whose rules it
// does not know.
func TestStoppedFoldServes(t *testing.T) {
	withBench(t, options{}, func(t *testing.T, b *bench) {
		b.run(0)
		b.initialise()
		b.addLate(new(stream).add(Record{RuleSet: config.RuleSet + 1}))
		time.Sleep(5 * time.Second)
		status := b.nodes[0].current().Status()
		if !status.HasConfig || status.Stopped == nil || status.Stopped.Reason != StopRuleSet {
			t.Errorf("status %+v", status)
		}
		if d := b.submit(0, "p-1", time.Second); d.Outcome != Refused || d.Error.Kind != errkind.Unavailable {
			t.Errorf("submission: %+v", d)
		}
	})
}
