package joblog

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// TestReaderSurvivesDroppedHistory guards against a VM that misses jobs when the store drops records before the VM has read
// them.
func TestReaderSurvivesDroppedHistory(t *testing.T) {
	log := storetest.New()
	log.PageSize = 2
	v := NewView()
	f := NewFollower(log, v, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	refresh(t, f)
	for i := range 7 {
		id := fmt.Sprint(i)
		if _, err := log.Append(ctx, IntakeStream(workload.JobID(id)), []store.Record{submission(t, id)}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	for _, stream := range f.Streams() {
		log.DropHistory(stream)
	}
	refresh(t, f)
	if n := v.Waiting("q"); n != 7 {
		t.Fatalf("%d of 7 jobs are known", n)
	}
}

// TestReaderNoticesDeletionsInDroppedHistory guards against a VM that was cut off from the store for longer than the store keeps its history, and
// that keeps, and counts, jobs for good whose deletion it has missed: with each such cut it accepts less.
func TestReaderNoticesDeletionsInDroppedHistory(t *testing.T) {
	log := storetest.New()
	log.PageSize = 2
	v := NewView()
	f := NewFollower(log, v, zerolog.Nop())
	go f.Run(t.Context())
	put := func(id workload.JobID, records ...store.Record) {
		t.Helper()
		if _, err := log.Append(t.Context(), IntakeStream(id), records, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 12 {
		id := workload.JobID(fmt.Sprint(i))
		early, err := EarlyCancelRecord(id+"-early", Caller{Account: "acme"})
		if err != nil {
			t.Fatal(err)
		}
		put(id, submission(t, string(id)))
		put(id+"-early", early)
		if _, err := log.Append(t.Context(), store.States, []store.Record{state(string(id), workload.PhaseCompleted)}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	refresh(t, f)
	if v.Charge() != 12*overload.EndedCharge || v.EarlyCancels("acme") != 12 {
		t.Fatalf("%d units and %d early cancellations are counted before the cut", v.Charge(), v.EarlyCancels("acme"))
	}
	log.SetFault(func(request string) (error, bool) {
		if request == "append" {
			return nil, true
		}
		return store.ErrUnknown, false
	})
	for i := range 10 {
		id := workload.JobID(fmt.Sprint(i))
		put(id, IntakeTombstones(id)...)
		put(id+"-early", store.Record{Key: earlyCancelKey(id+"-early", Caller{Account: "acme"}.ownerHash())})
		if _, err := log.Append(t.Context(), store.States, []store.Record{StateTombstone(id)}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	put("new", submission(t, "new"))
	for _, stream := range f.Streams() {
		log.DropHistory(stream)
	}
	log.SetFault(nil)
	refresh(t, f)
	if _, known := v.Get("3"); known {
		t.Error("a job whose deletion was missed is still known")
	}
	for _, id := range []workload.JobID{"10", "11", "new"} {
		if _, known := v.Get(id); !known {
			t.Errorf("job %s is not known", id)
		}
	}
	if want := 2*overload.EndedCharge + overload.Charge(job("new")); v.Charge() != want || v.EarlyCancels("acme") != 2 || len(v.entries) != 3 {
		t.Errorf("%d units, %d early cancellations and %d jobs are counted, want %d, 2 and 3", v.Charge(), v.EarlyCancels("acme"), len(v.entries), want)
	}
}

// TestReloadOfAnEarlierStateRemovesNothing guards against jobs that a VM forgets because the store answers with an earlier state, or none.
func TestReloadOfAnEarlierStateRemovesNothing(t *testing.T) {
	log := storetest.New()
	cursor := store.Cursor{Stream: store.States, Paged: true}
	for i := range 5 {
		if _, err := log.Append(t.Context(), store.States, []store.Record{state(fmt.Sprint(i), workload.PhaseRunning)}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if update, err := cursor.Read(t.Context(), log, 0); err != nil || update.Reloaded {
		t.Fatalf("the first load is %+v, %v; want it not to remove anything", update, err)
	}
	if _, err := log.Append(t.Context(), store.States, []store.Record{state("5", workload.PhaseRunning)}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
	log.DropHistory(store.States)
	stale := &staleLog{Fake: log}
	if update, err := cursor.Read(t.Context(), stale, 0); err != nil || !update.Loaded || update.Reloaded {
		t.Errorf("a load of an earlier state is %+v, %v; want it not to remove anything", update, err)
	}
}

// staleLog is a store that answers loads with an empty stream.
type staleLog struct{ *storetest.Fake }

func (l *staleLog) Newest(context.Context, store.Stream, string) (*store.Page, error) {
	return &store.Page{}, nil
}

func refresh(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := f.Refresh(ctx, 0, f.Streams()...); err != nil {
		t.Fatal(err)
	}
}

// TestRefreshDoesNotWaitForNewRecords guards against a holder of the schedule that cannot tell for up to a second whether a job exists, because
// its reads of the intake wait for new records: it accepted jobs beyond every limit, and could not answer about unknown ones.
func TestRefreshDoesNotWaitForNewRecords(t *testing.T) {
	log := storetest.New()
	f := NewFollower(log, NewView(), zerolog.Nop())
	go f.Run(t.Context())
	refresh(t, f)
	f.Subscribe(func([]workload.JobID) {})
	stream := IntakeStream("a")
	for i := range 20 {
		startedAt := time.Now()
		if i == 10 {
			if _, err := log.Append(t.Context(), stream, []store.Record{submission(t, "a")}, nil, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), longPollWait/4)
		err := f.Refresh(ctx, 0, stream)
		cancel()
		if err != nil {
			t.Fatalf("refresh %d returned %v after %v", i, err, time.Since(startedAt))
		}
		if _, known := f.readers[0].view.Get("a"); known != (i >= 10) {
			t.Fatalf("after refresh %d the job is known: %v", i, known)
		}
	}
	log.SetFault(func(string) (error, bool) { return store.ErrUnknown, false })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if f.Refresh(ctx, 0, stream) == nil {
		t.Error("without the store the view counts as fresh")
	}
}
