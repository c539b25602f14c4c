package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/vmsettings"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	testHost = "jobs.example"
	testPath = "/scan/0123456789abcdef"
	testKey  = "key-1"
	testID   = workload.JobID("0123456789abcdef")
)

// testConfig is what the tests keep as a configuration; it is stored as JSON.
type testConfig struct {
	Version int64
	Keys    map[string]string
}

func decodeTestConfig(text []byte) (*workload.Config, error) {
	var stored testConfig
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, err
	}
	config := &workload.Config{
		Version:     stored.Version,
		Queues:      []workload.Queue{{Name: "scan", Host: testHost, PathPrefix: "/scan/", Service: "svc", MaxAttempts: 2}},
		KeyAccounts: stored.Keys,
	}
	config.Index()
	return config, nil
}

// vm is a node whose readers run against a fake store.
type vm struct {
	*Node
	t   *testing.T
	log *storetest.Fake
}

func newVM(t *testing.T, log *storetest.Fake) *vm {
	n := New(Options{
		Settings: &vmsettings.Settings{
			VM:     "vm-1",
			Store:  vmsettings.Store{MaxRecordBytes: 1 << 18},
			Bounds: vmsettings.Bounds{KeyRevocation: 5 * time.Second, StrictRevocation: true},
		},
		Log: log,
		Decoder: Decoder{
			IsConfig: func(r store.Record) bool { return r.Key == "config" },
			Config:   decodeTestConfig,
		},
		Out: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go n.config.run(ctx)
	go n.follower.Run(ctx)
	v := &vm{Node: n, t: t, log: log}
	return v
}

func publish(t *testing.T, log *storetest.Fake, config testConfig) {
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(t.Context(), store.Config, []store.Record{{Key: "config", Value: text}}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
}

// access waits until the VM lets the key in.
func (v *vm) access() Access {
	v.t.Helper()
	var access Access
	eventually(v.t, "the key is accepted", func() bool {
		a, err := v.Authorize(testHost, testPath, testKey)
		access = a
		_, loaded := v.follower.Age()
		return err == nil && loaded
	})
	return access
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func testJob() *workload.Job {
	return &workload.Job{ID: testID, Steps: []workload.Step{{Tasks: 1, Demand: resource.Resources{MilliCPU: 1}}}}
}

func calm(t *testing.T) (*storetest.Fake, *vm) {
	log := storetest.New()
	publish(t, log, testConfig{Version: 1, Keys: map[string]string{testKey: "acme"}})
	return log, newVM(t, log)
}

// TestAnotherVMKnowsAnAcceptedJob guards against a job that exists only for the VM that accepted it.
func TestAnotherVMKnowsAnAcceptedJob(t *testing.T) {
	log, first := calm(t)
	second := newVM(t, log)
	if err := first.Submit(t.Context(), first.access(), testJob()); err != nil {
		t.Fatal(err)
	}
	phase, err := second.Phase(t.Context(), second.access(), testID)
	if err != nil || phase != workload.PhaseQueued {
		t.Fatalf("the other VM says %v, %v", phase, err)
	}
	eventually(t, "the other VM counts the job as waiting", func() bool {
		return second.Waiting(t.Context(), second.access()) == 1
	})
}

// TestStaleVMDoesNotDenyAJob guards against a VM without the store that says that a job does not exist: a caller took
// that for the end of a cancellation, and the job ran on.
func TestStaleVMDoesNotDenyAJob(t *testing.T) {
	log, cut := calm(t)
	access := cut.access()
	log.SetFault(func(string) (error, bool) { return store.ErrUnknown, false })
	time.Sleep(2 * stateMaxAge)
	if err := cut.Cancel(t.Context(), access, testID); !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("the cancellation gave %v, want unavailable", err)
	}
	if _, err := cut.Phase(t.Context(), access, testID); !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("the state gave %v, want unavailable", err)
	}
}

// failAppends makes the store execute no append and answer err.
func failAppends(log *storetest.Fake, err error) {
	log.SetFault(func(call string) (error, bool) {
		if call == "append" {
			return err, false
		}
		return nil, true
	})
}

// TestUnknownOutcomeIsNoRefusal guards against a refusal of a job that was stored although the store's answer was lost.
func TestUnknownOutcomeIsNoRefusal(t *testing.T) {
	log, v := calm(t)
	access := v.access()
	failAppends(log, store.ErrUnknown)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := v.Submit(ctx, access, testJob())
	if !errkind.Is(err, errkind.DeadlineExceeded) {
		t.Fatalf("a submission without an answer of the store gave %v, want deadline exceeded", err)
	}
}

// TestRefusedAppendIsARefusal guards against callers that wait for a store that refuses.
func TestRefusedAppendIsARefusal(t *testing.T) {
	log, v := calm(t)
	access := v.access()
	failAppends(log, store.ErrNotDone)
	startedAt := time.Now()
	if err := v.Submit(t.Context(), access, testJob()); !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
	if took := time.Since(startedAt); took > time.Second {
		t.Fatalf("the refusal took %v", took)
	}
}

// TestRevokedKeyStopsWithoutTheStore guards against a key that works on a VM which cannot learn that it was taken away.
func TestRevokedKeyStopsWithoutTheStore(t *testing.T) {
	log, v := calm(t)
	v.access()
	log.SetFault(func(string) (error, bool) { return store.ErrUnknown, false })
	v.Settings.Bounds.KeyRevocation = keyMargin + 300*time.Millisecond
	eventually(t, "the key is refused", func() bool {
		_, err := v.Authorize(testHost, testPath, testKey)
		return errkind.Is(err, errkind.Unavailable)
	})
}

// TestConfigurationFollowsAndNeverGoesBack guards against a VM that misses a version, or falls back to an older one, when
// the history is dropped or an old record shows up late.
func TestConfigurationFollowsAndNeverGoesBack(t *testing.T) {
	log, v := calm(t)
	v.access()
	publish(t, log, testConfig{Version: 5, Keys: map[string]string{"key-2": "acme"}})
	log.DropHistory(store.Config)
	eventually(t, "version 5 is in force", func() bool {
		_, err := v.Authorize(testHost, testPath, "key-2")
		return err == nil
	})
	publish(t, log, testConfig{Version: 4, Keys: map[string]string{testKey: "acme"}})
	time.Sleep(50 * time.Millisecond)
	if _, err := v.Authorize(testHost, testPath, testKey); !errkind.Is(err, errkind.Unauthenticated) {
		t.Fatalf("the key of an older version gave %v", err)
	}
}

// TestOneVMHoldsTheSchedule guards against two VMs that stand for the schedule for good, and against a schedule without
// holder after its holder has left.
func TestOneVMHoldsTheSchedule(t *testing.T) {
	log, first := calm(t)
	second := newVM(t, log)
	stopFirst := takePart(t, first, "a")
	eventually(t, "the first VM holds the schedule", func() bool { return first.leads() })
	takePart(t, second, "b")
	time.Sleep(3 * joinInterval)
	if second.leads() {
		t.Fatal("the second VM took the schedule from a sound holder")
	}
	stopFirst()
	eventually(t, "the second VM holds the schedule", func() bool { return second.leads() })
	if first.leads() {
		t.Fatal("the first VM still leads")
	}
}

func takePart(t *testing.T, v *vm, name string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	m := &membership{node: v.Node, member: name}
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

func (v *vm) leads() bool { return v.heldLeader() != nil }

func (v *vm) heldLeader() *leader.Leader {
	v.leaderMu.Lock()
	defer v.leaderMu.Unlock()
	return v.leader
}

// TestForeignJobIsHidden guards against an account that reads or cancels another account's job.
func TestForeignJobIsHidden(t *testing.T) {
	_, v := calm(t)
	access := v.access()
	if err := v.Submit(t.Context(), access, testJob()); err != nil {
		t.Fatal(err)
	}
	access.Account = "other"
	if _, err := v.Phase(t.Context(), access, testID); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("another account got %v", err)
	}
	if err := v.Cancel(t.Context(), access, testID); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("another account's cancellation got %v", err)
	}
}

// TestRepeatedSubmissionIsOneJob guards against a repeat of an accepted submission that is refused or makes a second job.
func TestRepeatedSubmissionIsOneJob(t *testing.T) {
	_, v := calm(t)
	access := v.access()
	for range 3 {
		if err := v.Submit(t.Context(), access, testJob()); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "one job waits", func() bool { return v.Waiting(t.Context(), access) == 1 })
}

// cuttable is one VM's way to the store.
type cuttable struct {
	store.Log
	cut atomic.Bool
}

func (c *cuttable) err() error {
	if c.cut.Load() {
		return store.ErrUnknown
	}
	return nil
}

func (c *cuttable) Join(ctx context.Context, group, member string, ttl time.Duration, generation int64) (store.Assignment, error) {
	if err := c.err(); err != nil {
		return store.Assignment{}, err
	}
	return c.Log.Join(ctx, group, member, ttl, generation)
}

func (c *cuttable) Holder(ctx context.Context, group string) (string, error) {
	if err := c.err(); err != nil {
		return "", err
	}
	return c.Log.Holder(ctx, group)
}

// TestReturningHolderLeavesTheScheduleAlone guards against a schedule that changes hands twice when a holder that was cut
// off comes back: its join as a new member took the schedule from its sound successor.
func TestReturningHolderLeavesTheScheduleAlone(t *testing.T) {
	log, first := calm(t)
	way := &cuttable{Log: log}
	first.Log = way
	second := newVM(t, log)
	takePart(t, first, "a")
	eventually(t, "the first VM holds the schedule", func() bool { return first.leads() })
	takePart(t, second, "b")
	way.cut.Store(true)
	eventually(t, "the second VM has taken over", func() bool { return second.leads() })
	way.cut.Store(false)
	eventually(t, "the first VM has given up", func() bool { return !first.leads() })
	time.Sleep(3 * joinInterval)
	if !second.leads() || first.leads() {
		t.Fatalf("after the cut the first VM leads: %v, the second: %v", first.leads(), second.leads())
	}
}

// forgetful is a way to the store on which two of three answers to a member's sign of life is lost.
type forgetful struct {
	store.Log
	joins atomic.Int64
}

func (f *forgetful) Join(ctx context.Context, group, member string, ttl time.Duration, generation int64) (store.Assignment, error) {
	assignment, err := f.Log.Join(ctx, group, member, ttl, generation)
	if f.joins.Add(1)%3 == 0 {
		return assignment, err
	}
	<-ctx.Done()
	return store.Assignment{}, store.ErrUnknown
}

// TestLostAnswersKeepTheSchedule guards against a schedule that changes hands, and stands still meanwhile, because an
// answer of the store to its holder is lost: the holder has to learn within the life of its membership that it is kept.
func TestLostAnswersKeepTheSchedule(t *testing.T) {
	log, first := calm(t)
	way := &forgetful{Log: log}
	first.Log = way
	takePart(t, first, "a")
	eventually(t, "the VM holds the schedule", func() bool { return first.leads() })
	takePart(t, newVM(t, log), "b")
	held := first.heldLeader()
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		if first.heldLeader() != held {
			t.Fatal("the schedule was given up")
		}
	}
}
