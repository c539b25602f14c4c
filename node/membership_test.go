package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/store"
)

// TestOneVMHoldsTheSchedule guards against two VMs that take the schedule from each other again and again, and against a
// schedule that stays vacant after its holder has left.
func TestOneVMHoldsTheSchedule(t *testing.T) {
	log, first := newConfiguredVM(t)
	second := newVM(t, log)
	stopFirst := startMembership(t, first, "a")
	eventually(t, "the first VM holds the schedule", func() bool { return first.holdsSchedule() })
	startMembership(t, second, "b")
	time.Sleep(3 * joinInterval)
	if second.holdsSchedule() {
		t.Fatal("the second VM took the schedule from a healthy holder")
	}
	stopFirst()
	eventually(t, "the second VM holds the schedule", func() bool { return second.holdsSchedule() })
	if first.holdsSchedule() {
		t.Fatal("the first VM still holds the schedule")
	}
}

// startMembership runs the membership of v under the given name until stop is called or the test ends.
func startMembership(t *testing.T, v *vm, name string) (stop func()) {
	return runMembership(t, &membership{node: v.Node, member: name})
}

// runMembership runs the membership until stop is called or the test ends.
func runMembership(t *testing.T, m *membership) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func (v *vm) holdsSchedule() bool { return v.heldLeader() != nil }

func (v *vm) heldLeader() *leader.Leader {
	v.leaderMu.Lock()
	defer v.leaderMu.Unlock()
	return v.leader
}

// partitionedStore is one VM's connection to the store, on which group requests fail while disconnected is set.
type partitionedStore struct {
	store.Log
	disconnected atomic.Bool
}

func (c *partitionedStore) err() error {
	if c.disconnected.Load() {
		return store.ErrUnknown
	}
	return nil
}

func (c *partitionedStore) Join(ctx context.Context, group, member string, ttl time.Duration, generation int64) (store.Assignment, error) {
	if err := c.err(); err != nil {
		return store.Assignment{}, err
	}
	return c.Log.Join(ctx, group, member, ttl, generation)
}

func (c *partitionedStore) Holder(ctx context.Context, group string) (string, error) {
	if err := c.err(); err != nil {
		return "", err
	}
	return c.Log.Holder(ctx, group)
}

// TestReturningHolderLeavesTheScheduleAlone guards against a second takeover when a disconnected holder reconnects: it joined
// as a new member and took the schedule back from its healthy successor.
func TestReturningHolderLeavesTheScheduleAlone(t *testing.T) {
	log, first := newConfiguredVM(t)
	link := &partitionedStore{Log: log}
	first.Log = link
	second := newVM(t, log)
	startMembership(t, first, "a")
	eventually(t, "the first VM holds the schedule", func() bool { return first.holdsSchedule() })
	startMembership(t, second, "b")
	link.disconnected.Store(true)
	eventually(t, "the second VM has taken over", func() bool { return second.holdsSchedule() })
	link.disconnected.Store(false)
	eventually(t, "the first VM has released the schedule", func() bool { return !first.holdsSchedule() })
	time.Sleep(3 * joinInterval)
	if !second.holdsSchedule() || first.holdsSchedule() {
		t.Fatalf("after the reconnect the first VM holds the schedule: %v, the second: %v; want only the second", first.holdsSchedule(), second.holdsSchedule())
	}
}

// TestHolderDoesNotOutliveAnother guards against a task that runs twice, and against runs that are stopped: a holder that was cut off while
// another VM held the schedule, and reached the store again after that VM had left, went on with what it knew before, under an epoch
// lower than that of the other VM.
func TestHolderDoesNotOutliveAnother(t *testing.T) {
	log, first := newConfiguredVM(t)
	link := &partitionedStore{Log: log}
	first.Log = link
	m := &membership{node: first.Node, member: "a"}
	runMembership(t, m)
	eventually(t, "the first VM holds the schedule", func() bool { return first.holdsSchedule() })
	held := first.heldLeader()
	eventually(t, "the first holder has registered its epoch", func() bool { return epochFenced(t, log, 0) })
	link.disconnected.Store(true)
	second := newVM(t, log)
	stopSecond := startMembership(t, second, "b")
	eventually(t, "the second VM has taken over", func() bool { return second.holdsSchedule() })
	eventually(t, "the second holder has registered its epoch", func() bool { return epochFenced(t, log, held.Epoch) })
	stopSecond()
	confirmed := m.confirmedAt.Load()
	link.disconnected.Store(false)
	eventually(t, "the first VM has given its old schedule back", func() bool {
		if now := m.confirmedAt.Load(); now != confirmed && first.heldLeader() == held {
			t.Fatal("the first VM was confirmed as holder with its state from before the second one")
		}
		return first.heldLeader() != held
	})
}

// epochFenced reports whether a holder with a higher epoch has registered with the store.
func epochFenced(t *testing.T, log store.Log, epoch int64) bool {
	_, err := log.Append(t.Context(), store.States, nil, &store.Producer{Name: "schedule", Epoch: epoch}, time.Second)
	return errors.Is(err, store.ErrFenced)
}

// hangingAppends is a connection to the store on which appends get no response while hang is set.
type hangingAppends struct {
	*partitionedStore
	hang atomic.Bool
}

func (c *hangingAppends) Append(ctx context.Context, stream store.Stream, records []store.Record, p *store.Producer, timeout time.Duration) (int64, error) {
	if c.hang.Load() {
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	return c.Log.Append(ctx, stream, records, p, timeout)
}

// TestHangingAppendsKeepTheSchedule guards against the loss of all runs in an outage of the store's appends alone: a holder that cannot
// find out whether another VM has held the schedule would renew no leases.
func TestHangingAppendsKeepTheSchedule(t *testing.T) {
	log, first := newConfiguredVM(t)
	link := &hangingAppends{partitionedStore: &partitionedStore{Log: log}}
	first.Log = link
	m := &membership{node: first.Node, member: "a"}
	runMembership(t, m)
	eventually(t, "the VM holds the schedule", func() bool { return first.holdsSchedule() })
	held := first.heldLeader()
	link.disconnected.Store(true)
	link.hang.Store(true)
	time.Sleep(m.ttl() + joinInterval)
	confirmed := m.confirmedAt.Load()
	link.disconnected.Store(false)
	eventually(t, "the VM is confirmed as holder", func() bool { return m.confirmedAt.Load() != confirmed })
	startMembership(t, newVM(t, log), "b")
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		if first.heldLeader() != held {
			t.Fatal("the holder released the schedule")
		}
	}
}

// lossyStore is a connection to the store that loses the responses to two of three joins.
type lossyStore struct {
	store.Log
	joins atomic.Int64
}

func (f *lossyStore) Join(ctx context.Context, group, member string, ttl time.Duration, generation int64) (store.Assignment, error) {
	assignment, err := f.Log.Join(ctx, group, member, ttl, generation)
	if f.joins.Add(1)%3 == 0 {
		return assignment, err
	}
	<-ctx.Done()
	return store.Assignment{}, store.ErrUnknown
}

// TestLostAnswersKeepTheSchedule guards against a takeover, with a pause of the schedule, because responses of the store to
// the holder are lost: the holder has to get a confirmation before its membership expires.
func TestLostAnswersKeepTheSchedule(t *testing.T) {
	log, first := newConfiguredVM(t)
	link := &lossyStore{Log: log}
	first.Log = link
	startMembership(t, first, "a")
	eventually(t, "the VM holds the schedule", func() bool { return first.holdsSchedule() })
	startMembership(t, newVM(t, log), "b")
	held := first.heldLeader()
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		if first.heldLeader() != held {
			t.Fatal("the holder released the schedule")
		}
	}
}
