package node

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
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

// testConfig is the configuration that the tests store, encoded as JSON.
type testConfig struct {
	Version int64
	Keys    map[string]string
	// Scan replaces the queue of testPath; the zero value stands for the default one, and one without host for no such queue.
	Scan workload.Queue
	// Queues holds further queues.
	Queues []workload.Queue
	Limits workload.RequestLimits
}

func decodeTestConfig(text []byte) (*workload.Config, error) {
	var stored testConfig
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, err
	}
	scan := workload.Queue{Name: "scan", Host: testHost, PathPrefix: "/scan/", Service: "svc", MaxFailedRuns: 2}
	if stored.Scan != (workload.Queue{}) {
		scan = stored.Scan
	}
	config := &workload.Config{
		Version:     stored.Version,
		Queues:      []workload.Queue{scan},
		KeyAccounts: stored.Keys,
		Limits:      stored.Limits,
	}
	config.Queues = append(config.Queues, stored.Queues...)
	config.Index()
	return config, nil
}

// vm is a node that reads the configuration and the jobs from a fake store.
type vm struct {
	*Node
	t *testing.T
}

func testOptions(log store.Log) Options {
	return Options{
		Settings: &vmsettings.Settings{
			VM:     "vm-1",
			Store:  vmsettings.Store{MaxRecordBytes: 1 << 18},
			Bounds: vmsettings.Bounds{KeyRevocation: 5 * time.Second, StrictRevocation: true, Evacuation: testEvacuationBound, MaxLease: 10 * time.Second},
		},
		Log: log,
		Decoder: Decoder{
			IsConfig:        func(r store.Record) bool { return r.Key == "config" },
			Config:          decodeTestConfig,
			EvacuatedDomain: func(r store.Record) (string, bool) { return strings.CutPrefix(r.Key, evacuationKey) },
			WorkerRecord:    decodeTestWorker,
		},
		Logger: zerolog.Nop(),
	}
}

func newVM(t *testing.T, log store.Log) *vm {
	n := New(testOptions(log))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go n.config.run(ctx)
	go n.follower.Run(ctx)
	go n.voidedCancels.run(ctx)
	return &vm{Node: n, t: t}
}

func publish(t *testing.T, log *storetest.Fake, config testConfig) {
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), store.Config, []store.Record{{Key: "config", Value: text}}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
}

// access waits until the VM has loaded its view and accepts the test key, and returns the access of the key.
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

// newConfiguredVM returns a store with a configuration and a VM that uses it.
func newConfiguredVM(t *testing.T) (*storetest.Fake, *vm) {
	log := storetest.New()
	publish(t, log, testConfig{Version: 1, Keys: map[string]string{testKey: "acme"}})
	return log, newVM(t, log)
}

// TestAnotherVMKnowsAnAcceptedJob guards against a job that only the VM that accepted it knows.
func TestAnotherVMKnowsAnAcceptedJob(t *testing.T) {
	log, first := newConfiguredVM(t)
	second := newVM(t, log)
	if err := first.Submit(t.Context(), first.access(), testJob()); err != nil {
		t.Fatal(err)
	}
	phase, err := second.Phase(t.Context(), second.access(), testID)
	if err != nil || phase != workload.PhaseQueued {
		t.Fatalf("the other VM returned %v, %v; want queued", phase, err)
	}
	eventually(t, "the other VM counts the job as waiting", func() bool {
		return second.Waiting(t.Context(), second.access()) == 1
	})
}

// TestSubmissionKeepsThePolicyOfItsQueue guards against a job whose number of failed runs is unknown once its queue has left the
// configuration.
func TestSubmissionKeepsThePolicyOfItsQueue(t *testing.T) {
	log, first := newConfiguredVM(t)
	if err := first.Submit(t.Context(), first.access(), testJob()); err != nil {
		t.Fatal(err)
	}
	second := newVM(t, log)
	second.access()
	entry, known := second.view.Get(testID)
	want := workload.QueuePolicy{Service: "svc", MaxFailedRuns: 2, Version: 1}
	if !known {
		t.Fatal("another VM does not know the job")
	}
	if got := entry.Job.AcceptedPolicy(); got != want {
		t.Errorf("another VM reads the policy %+v, want %+v", got, want)
	}
}

// TestStaleVMDoesNotDenyAJob guards against a VM that cannot reach the store and reports an unknown job as not found: a caller
// took that for a completed cancellation, and the job continued to run.
func TestStaleVMDoesNotDenyAJob(t *testing.T) {
	log, stale := newConfiguredVM(t)
	access := stale.access()
	log.SetFault(func(string) (error, bool) { return store.ErrUnknown, false })
	time.Sleep(2 * stateMaxAge)
	if err := stale.Cancel(t.Context(), access, testID); !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("Cancel returned %v, want unavailable", err)
	}
	if _, err := stale.Phase(t.Context(), access, testID); !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("Phase returned %v, want unavailable", err)
	}
}

// failAppends makes the store return err for every append without executing it.
func failAppends(log *storetest.Fake, err error) {
	log.SetFault(func(request string) (error, bool) {
		if request == "append" {
			return err, false
		}
		return nil, true
	})
}

// TestUnknownOutcomeIsNoRefusal guards against a job that is reported as not accepted although it may be stored, because the
// store's response was lost.
func TestUnknownOutcomeIsNoRefusal(t *testing.T) {
	log, v := newConfiguredVM(t)
	access := v.access()
	failAppends(log, store.ErrUnknown)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := v.Submit(ctx, access, testJob())
	if !errkind.Is(err, errkind.DeadlineExceeded) {
		t.Fatalf("a submission without a response of the store returned %v, want deadline exceeded", err)
	}
}

// TestRejectedAppendFailsFast guards against callers that wait until their deadline although the store rejects the append.
func TestRejectedAppendFailsFast(t *testing.T) {
	log, v := newConfiguredVM(t)
	access := v.access()
	failAppends(log, store.ErrNotExecuted)
	startedAt := time.Now()
	if err := v.Submit(t.Context(), access, testJob()); !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("Submit returned %v, want unavailable", err)
	}
	if took := time.Since(startedAt); took > time.Second {
		t.Fatalf("the error took %v, want at most 1s", took)
	}
}

// TestOversizeSubmissionIsRefusedAtOnce guards against a submission that is accepted although its state can never be stored,
// and against one whose record makes the store reject the submissions of other callers in the same append.
func TestOversizeSubmissionIsRefusedAtOnce(t *testing.T) {
	_, v := newConfiguredVM(t)
	access := v.access()
	manyTasks := testJob()
	manyTasks.Steps[0].Tasks = 10_000
	manySteps := testJob()
	manySteps.Steps = nil
	for range 1000 {
		manySteps.Steps = append(manySteps.Steps, workload.Step{Tasks: 1, Image: strings.Repeat("i", 300)})
	}
	for _, job := range []*workload.Job{manyTasks, manySteps} {
		if err := v.Submit(t.Context(), access, job); !errkind.Is(err, errkind.TooLarge) {
			t.Errorf("a job of %d steps and %d tasks returned %v, want a TooLarge error", len(job.Steps), job.Tasks(), err)
		}
	}
	if err := v.Submit(t.Context(), access, testJob()); err != nil {
		t.Errorf("the same job in an allowed size is rejected: %v", err)
	}
}

// TestRevokedKeyStopsWithoutTheStore guards against a revoked key that stays valid on a VM that cannot reach the store and so
// does not learn of the revocation.
func TestRevokedKeyStopsWithoutTheStore(t *testing.T) {
	log, v := newConfiguredVM(t)
	v.access()
	log.SetFault(func(string) (error, bool) { return store.ErrUnknown, false })
	v.Settings.Bounds.KeyRevocation = revocationMargin + 300*time.Millisecond
	eventually(t, "the key is rejected", func() bool {
		_, err := v.Authorize(testHost, testPath, testKey)
		return errkind.Is(err, errkind.Unavailable)
	})
}

// TestRestartedVMRejectsAWithdrawnKey guards against a VM that uses a key again after a restart, because it starts from an
// old record of the configuration: at no moment may the new process accept the withdrawn key.
func TestRestartedVMRejectsAWithdrawnKey(t *testing.T) {
	log, v := newConfiguredVM(t)
	v.access()
	publish(t, log, testConfig{Version: 2, Keys: map[string]string{"other-key": "acme"}})
	log.DropHistory(store.Config)
	restarted := newVM(t, log)
	eventually(t, "the restarted VM has the configuration", func() bool {
		_, err := restarted.Authorize(testHost, testPath, testKey)
		if err == nil {
			t.Fatal("the restarted VM accepted the withdrawn key")
		}
		return errkind.Is(err, errkind.Unauthenticated)
	})
}

// TestConfigurationFollowsAndNeverGoesBack guards against a VM that misses a version when records expire before it reads
// them, or that returns to an older version when an old record arrives late.
func TestConfigurationFollowsAndNeverGoesBack(t *testing.T) {
	log, v := newConfiguredVM(t)
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
		t.Fatalf("the key of an older version returned %v, want unauthenticated", err)
	}
}

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

// TestJobOfOtherAccountIsHidden guards against an account that can read or cancel another account's job.
func TestJobOfOtherAccountIsHidden(t *testing.T) {
	log := storetest.New()
	publish(t, log, testConfig{Version: 1, Keys: map[string]string{testKey: "acme", "key-2": "other"}})
	v := newVM(t, log)
	if err := v.Submit(t.Context(), v.access(), testJob()); err != nil {
		t.Fatal(err)
	}
	access, err := v.Authorize(testHost, testPath, "key-2")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := v.Phase(t.Context(), access, testID); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("Phase for another account returned %v, want not found", err)
	}
	if err := v.Cancel(t.Context(), access, testID); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("Cancel for another account returned %v, want not found", err)
	}
	if phase, err := v.Phase(t.Context(), v.access(), testID); err != nil || phase != workload.PhaseQueued {
		t.Fatalf("after the cancellation by another account the job is %v, %v; want queued", phase, err)
	}
}

// TestRepeatedSubmissionIsOneJob guards against a repeated submission that is rejected or creates a second job.
func TestRepeatedSubmissionIsOneJob(t *testing.T) {
	_, v := newConfiguredVM(t)
	access := v.access()
	for range 3 {
		if err := v.Submit(t.Context(), access, testJob()); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "one job waits", func() bool { return v.Waiting(t.Context(), access) == 1 })
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
