package node

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/errkind"
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
	return v.accessOf(0, testKey)
}

// accessOf waits until the VM has loaded its view and accepts the key in the version of the configuration or a later one, and returns the
// access of the key.
func (v *vm) accessOf(version int64, key string) Access {
	v.t.Helper()
	var access Access
	eventually(v.t, "the key is accepted", func() bool {
		a, err := v.Authorize(testHost, testPath, key)
		access = a
		_, loaded := v.follower.Age()
		return err == nil && loaded && a.ConfigVersion >= version
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
