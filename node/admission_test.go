package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// batchQueue is a queue of priority 2 whose jobs have an objective of 1 s apart from their work.
var batchQueue = workload.Queue{
	Name: "batch", Host: testHost, PathPrefix: "/batch/", Service: "svc", Priority: 2, MaxFailedRuns: 1, SlackFactor: 2, Target: time.Second,
}

// newLoadedVM returns a VM that has read a forecast with the given delay, made at the given time, and the access to batchQueue.
func newLoadedVM(t *testing.T, madeAt time.Time, delay time.Duration) (*storetest.Fake, *vm, Access) {
	log := storetest.New()
	publish(t, log, testConfig{Version: 1, Keys: map[string]string{testKey: "acme"}, Queues: []workload.Queue{batchQueue}})
	if delay > 0 {
		record, err := joblog.ForecastRecord(&overload.Forecast{MadeAt: madeAt, Services: []overload.Service{{
			Name: "svc", Levels: []overload.Level{{Priority: 0, Accelerators: delay, Cores: delay}},
		}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), store.States, []store.Record{record}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	v := newVM(t, log)
	access := v.access()
	access.Queue = &batchQueue
	return log, v, access
}

// TestHopelessJobIsRefused guards against a job that waits for longer than its caller has use for it, a refusal without the time of a retry
// or the reason in the metrics, and a job that runs although it was refused.
func TestHopelessJobIsRefused(t *testing.T) {
	log, v, access := newLoadedVM(t, time.Now(), time.Minute)
	counter := metrics.GetOrRegisterCounter("requests.refused.delay.batch", metrics.DefaultRegistry)
	before := counter.Count()
	err := v.Submit(t.Context(), access, testJob())
	if !errkind.Is(err, errkind.Overloaded) || errkind.As(err).RetryAfter < time.Second {
		t.Fatalf("a job with an objective of 1 s returned %v, want overloaded and a time of at least 1 s", err)
	}
	if got := counter.Count() - before; got != 1 {
		t.Errorf("%d refusals were counted, want 1", got)
	}
	if log.Value(joblog.IntakeStream(testID), "s/"+string(testID)) != nil {
		t.Error("the job is stored although it was refused")
	}
	urgent := v.access()
	if err := v.Submit(t.Context(), urgent, testJob()); err != nil {
		t.Errorf("an urgent job returned %v, want no error", err)
	}
}

// TestAcceptedWithoutARecentForecast guards against refusals that are based on what is no longer so: no VM holds the schedule, the last
// forecast is old, the job can wait for long enough, or it is due only when the delay is over.
func TestAcceptedWithoutARecentForecast(t *testing.T) {
	cases := []struct {
		name     string
		madeAt   time.Time
		delay    time.Duration
		estimate time.Duration
		dueIn    time.Duration
	}{
		{"no holder", time.Time{}, 0, 0, 0},
		{"stale forecast", time.Now().Add(-overload.MaxForecastAge), time.Hour, 0, 0},
		{"long objective", time.Now(), time.Minute, 5 * time.Second, 0},
		{"due later", time.Now(), time.Minute, 0, time.Hour},
	}
	for _, c := range cases {
		_, v, access := newLoadedVM(t, c.madeAt, c.delay)
		job := testJob()
		job.Steps[0].Estimate = c.estimate
		if c.dueIn > 0 {
			job.Repetitions, job.Interval, job.FirstRun = 2, time.Minute, time.Now().Add(c.dueIn)
		}
		if err := v.Submit(t.Context(), access, job); err != nil {
			t.Errorf("%s: the job returned %v, want no error", c.name, err)
		}
	}
}

// TestLaggingVMDoesNotRefuseAnAcceptedJob guards against a VM that refuses a repeated submission because it has not read yet that another VM
// has accepted the job: the refusal says that the job never runs.
func TestLaggingVMDoesNotRefuseAnAcceptedJob(t *testing.T) {
	log, v, access := newLoadedVM(t, time.Now(), time.Minute)
	job := testJob()
	job.SetPolicy(batchQueue.Policy(1))
	record, err := joblog.SubmissionRecord(job)
	if err != nil {
		t.Fatal(err)
	}
	// The follower has just read the intake, and reads it again only after a pause.
	if _, err := log.Append(t.Context(), joblog.IntakeStream(testID), []store.Record{record}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
	if err := v.Submit(t.Context(), access, testJob()); err != nil {
		t.Errorf("the repeated submission returned %v, want no error", err)
	}
}

// TestNothingIsRefusedWithoutTheStore guards against a refusal of a job that another VM may have accepted, by a VM that cannot read what
// others have stored.
func TestNothingIsRefusedWithoutTheStore(t *testing.T) {
	log, v, access := newLoadedVM(t, time.Now(), time.Minute)
	log.SetFault(func(request string) (error, bool) {
		if request == "append" {
			return nil, true
		}
		return store.ErrUnknown, false
	})
	if err := v.Submit(t.Context(), access, testJob()); err != nil {
		t.Errorf("the job returned %v, want no error: the append succeeds", err)
	}
}

// TestUnfinishedWorkIsBounded guards against more accepted work than the smallest VM can hold, whichever VMs accept it, and against a flood of
// batch jobs that leaves no room for urgent ones.
func TestUnfinishedWorkIsBounded(t *testing.T) {
	log, _, access := newLoadedVM(t, time.Time{}, 0)
	flood := testJob()
	flood.Steps[0].Tasks = 4000
	for i := 0; i*overload.Charge(flood) < overload.MaxCharge*8/10; i++ {
		flood.ID = workload.JobID(fmt.Sprintf("%016x", i))
		record, err := joblog.SubmissionRecord(flood)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), joblog.IntakeStream(flood.ID), []store.Record{record}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	other := newVM(t, log)
	urgent := other.access()
	if err := other.Submit(t.Context(), access, testJob()); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("a batch job beyond the limit returned %v, want overloaded", err)
	}
	if err := other.Submit(t.Context(), urgent, testJob()); err != nil {
		t.Errorf("an urgent job returned %v, want no error", err)
	}
	if err := other.Submit(t.Context(), access, testJob()); err != nil {
		t.Errorf("a repeat of the accepted job returned %v, want no error", err)
	}
}

// TestHolderRefusesBeyondTheLimit guards against the one VM that accepts jobs beyond the limit: the holder of the schedule, whose reads of the
// intake wait for new records, could not tell in time whether a job was accepted before. A refusal comes at once.
func TestHolderRefusesBeyondTheLimit(t *testing.T) {
	log, v, access := newLoadedVM(t, time.Time{}, 0)
	v.follower.Subscribe(func([]workload.JobID) {})
	flood := testJob()
	flood.Steps[0].Tasks = 4000
	accepted := 0
	for i := 0; i < 2*overload.MaxCharge/overload.Charge(flood); i++ {
		job := *flood
		job.ID = workload.JobID(fmt.Sprintf("%016x", i))
		startedAt := time.Now()
		err := v.Submit(t.Context(), access, &job)
		if err == nil {
			accepted += overload.Charge(flood)
			continue
		}
		if took := time.Since(startedAt); !errkind.Is(err, errkind.Overloaded) || took > refreshTimeout/2 {
			t.Fatalf("a job beyond the limit returned %v after %v, want overloaded at once", err, took)
		}
	}
	if accepted > overload.MaxCharge*8/10 {
		t.Errorf("batch jobs of %d units were accepted, want at most %d", accepted, overload.MaxCharge*8/10)
	}
	log.SetFault(func(string) (error, bool) { return store.ErrUnknown, false })
	if err := v.Submit(t.Context(), access, flood); !errkind.Is(err, errkind.DeadlineExceeded) {
		t.Errorf("without the store a job beyond the limit returned %v, want that its outcome is not known", err)
	}
}
