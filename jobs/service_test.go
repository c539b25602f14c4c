package jobs

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/resource"
)

// memoryLog is a log whose appends may fail before or after they take effect.
type memoryLog struct {
	mu      sync.Mutex
	streams map[string][]infra.Record
	down    bool // makes reads fail
	// loseResponse makes appends fail after they took effect, loseRecord before.
	loseResponse, loseRecord bool
}

func (l *memoryLog) Append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := errkind.New(errkind.Unavailable, "retry", "no response")
	if l.loseRecord {
		return 0, lost
	}
	first := uint64(len(l.streams[stream]))
	for i, data := range records {
		l.streams[stream] = append(l.streams[stream], infra.Record{Offset: first + uint64(i), Data: data})
	}
	if l.loseResponse {
		return 0, lost
	}
	return first, nil
}

func (l *memoryLog) Read(_ context.Context, stream string, from uint64, _, _ int) (infra.ReadResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return infra.ReadResponse{}, errkind.New(errkind.Unavailable, "retry", "log is down")
	}
	records := l.streams[stream]
	from = min(from, uint64(len(records)))
	return infra.ReadResponse{Next: uint64(len(records)), Records: records[from:]}, nil
}

// noScheduler is a Querier that reaches no scheduler.
type noScheduler struct{}

func (noScheduler) Query(context.Context, string, Query) ([]Status, bool, error) {
	return nil, false, errkind.New(errkind.Unavailable, "retry", "no scheduler")
}

func testDocument() *config.Document {
	capacity := resource.Resources{Accelerators: 8, MilliCPU: 8000, MemoryMB: 8000}
	worker := func(id, fd, rack string) resource.Worker {
		return resource.Worker{ID: id, FailureDomain: fd, Rack: rack, Capacity: capacity}
	}
	shape := resource.Shape{Members: 2, PerMember: resource.Resources{Accelerators: 8}, Adjacency: resource.AdjacencyRack}
	return &config.Document{
		FailureDomains: map[string]config.FailureDomain{"fd-a": {Name: "fd-a"}, "fd-b": {Name: "fd-b"}},
		Workers: map[string]resource.Worker{"w-1": worker("w-1", "fd-a", "r-1"), "w-2": worker("w-2", "fd-a", "r-1"),
			"w-3": worker("w-3", "fd-a", "r-2"), "w-4": worker("w-4", "fd-b", "r-3"), "w-5": worker("w-5", "fd-b", "r-3")},
		Accounts: map[string]config.Account{"scan": {Name: "scan"},
			"orders": {Name: "orders", Guarantees: []config.Guarantee{{FailureDomain: "fd-b", Shape: shape, Count: 1}}}},
	}
}

func newTestService(t *testing.T, log infra.Log) *Service {
	doc := testDocument()
	s, err := NewService(ServiceOptions{Log: log, Config: func() *config.Document { return doc }, Querier: noScheduler{}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestSubmitOutcomes guards against the outcome "not_run" for a job that may be in the log, against "unknown" for a job whose
// outcome is certain, and against an unknown outcome without the command that shows it.
func TestSubmitOutcomes(t *testing.T) {
	large := testJob("a")
	large.Shape = resource.Shape{Members: 3, PerMember: resource.Resources{Accelerators: 8}, Adjacency: resource.AdjacencyRack}
	cases := map[string]struct {
		log     *memoryLog
		job     Job
		kind    errkind.Kind
		outcome string
	}{
		"accepted":      {&memoryLog{}, testJob("a"), "", "completed"},
		"log down":      {&memoryLog{down: true}, testJob("a"), errkind.Unavailable, "not_run"},
		"answer lost":   {&memoryLog{loseResponse: true}, testJob("a"), "", "completed"},
		"not confirmed": {&memoryLog{loseRecord: true}, testJob("a"), errkind.Unknown, "unknown"},
		"infeasible":    {&memoryLog{}, large, errkind.Infeasible, "not_run"},
		"malformed id":  {&memoryLog{}, testJob("a/b"), errkind.BadInput, "not_run"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.log.streams = map[string][]infra.Record{}
				_, err := newTestService(t, c.log).Submit(t.Context(), c.job)
				if errkind.KindOf(err) != c.kind || Outcome(err) != c.outcome {
					t.Fatalf("got %v, outcome %s", err, Outcome(err))
				}
				if c.kind == errkind.Unknown && !strings.Contains(errkind.As(err).Remedy, "redwingctl job show a") {
					t.Fatalf("remedy %q does not name the command", errkind.As(err).Remedy)
				}
			})
		})
	}
}

// TestRepeatedSubmitAndAccountIsolation guards against a repeated submission that creates a second job, a submission that
// changes the content of an id, an account with access to a job of another account, a job outside the failure domain of its
// account's guarantee, and a cancellation that is not recorded.
func TestRepeatedSubmitAndAccountIsolation(t *testing.T) {
	log := &memoryLog{streams: map[string][]infra.Record{}}
	s := newTestService(t, log)
	job := testJob("a")
	job.FailureDomain = ""
	for range 2 {
		status, err := s.Submit(t.Context(), job)
		if err != nil || status.Job.FailureDomain != "fd-b" {
			t.Fatalf("got %+v, %v; want the failure domain of the guarantee", status, err)
		}
	}
	if n := len(log.streams["jobs-fd-b"]); n != 1 {
		t.Fatalf("%d records for one job, want 1", n)
	}
	job.Urgent = true
	if _, err := s.Submit(t.Context(), job); !errkind.Is(err, errkind.Conflict) {
		t.Fatalf("got %v for other content, want a conflict", err)
	}
	if _, err := s.Get(t.Context(), "a", "scan"); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("got %v for another account, want a not-found error", err)
	}
	if _, err := s.Cancel(t.Context(), "a", "scan", "scan"); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("got %v for a cancel by another account, want a not-found error", err)
	}
	if list, err := s.List(t.Context(), Filter{Account: "scan"}); err != nil || len(list) != 0 {
		t.Fatalf("got %v, %v for another account's list, want no job", list, err)
	}
	if _, err := s.Cancel(t.Context(), "a", "orders", "orders"); err != nil {
		t.Fatal(err)
	}
	if e, _ := s.stream("fd-b").get("a"); !e.Cancelled {
		t.Fatal("the cancellation is not recorded")
	}
}
