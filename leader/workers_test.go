package leader

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// idleWorkers connects to workers that never respond.
type idleWorkers struct{}

func (idleWorkers) Connect(string, string) WorkerConn { return idleConn{} }

type idleConn struct{}

func (idleConn) Watch(ctx context.Context, _ WatchRequest, _ time.Duration) (*workload.Listing, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (idleConn) SameConnection() bool                                     { return false }
func (idleConn) Start(context.Context, StartRequest, time.Duration) error { return ErrNoResponse }
func (idleConn) Stop(context.Context, StopRequest, time.Duration) error   { return ErrNoResponse }
func (idleConn) Close()                                                   {}

// newTestLeader returns a leader whose loop does not run and that logs to logged.
func newTestLeader(t *testing.T, log store.Log, logged *bytes.Buffer) *Leader {
	l := New(Options{
		Epoch: 1, Log: log, Workers: idleWorkers{}, MaxLease: 10 * time.Second, HeartbeatInterval: 1500 * time.Millisecond,
		DecodeWorker: func(id string, text []byte) (workload.WorkerInfo, error) {
			return workload.WorkerInfo{ID: id, Address: "127.0.0.1:1", Draining: string(text) == "draining"}, nil
		},
		Logger: zerolog.New(logged),
	}, &workload.Config{})
	return l
}

func putWorker(t *testing.T, log store.Log, id, state string) {
	record := store.Record{Key: id, Value: []byte(state)}
	if _, err := log.Append(t.Context(), store.Workers, []store.Record{record}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
}

// TestRemovalAfterATakeoverSaysNothing guards against runs that are started elsewhere while a worker that cannot send
// heartbeats still runs them: the age of an entry from a new holder's first read is unknown, so its expiry looked like a
// removal by the worker itself.
func TestRemovalAfterATakeoverSaysNothing(t *testing.T) {
	cases := []struct {
		name             string
		seenWhenAppended bool
		want             string
	}{
		{"entry from the initial load", false, `"deregistered":false`},
		{"entry read when appended", true, `"deregistered":true`},
	}
	for _, c := range cases {
		log := storetest.New()
		var logged bytes.Buffer
		l := newTestLeader(t, log, &logged)
		list := workerList{leader: l, cursor: store.Cursor{Stream: store.Workers}, known: map[string]workload.WorkerInfo{}, presence: newPresence(l.HeartbeatInterval)}
		putWorker(t, log, "w", "draining")
		readList(t, &list)
		readList(t, &list)
		if c.seenWhenAppended {
			putWorker(t, log, "w", "draining")
			readList(t, &list)
		}
		putWorker(t, log, "w", "")
		readList(t, &list)
		if !strings.Contains(logged.String(), c.want) {
			t.Errorf("%s: want %s in log %s", c.name, c.want, logged.String())
		}
	}
}

func readList(t *testing.T, list *workerList) {
	if err := list.read(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestDepartedWorkersStayOutAfterATakeover guards against a holder that takes over and places work on a worker that has left,
// or that has announced that it leaves, because it reads old entries of the list again.
func TestDepartedWorkersStayOutAfterATakeover(t *testing.T) {
	log := storetest.New()
	for _, id := range []string{"stays", "leaves", "left"} {
		putWorker(t, log, id, "ready")
	}
	putWorker(t, log, "leaves", "draining")
	putWorker(t, log, "left", "")
	log.DropHistory(store.Workers)
	l := newTestLeader(t, log, &bytes.Buffer{})
	list := workerList{leader: l, cursor: store.Cursor{Stream: store.Workers}, known: map[string]workload.WorkerInfo{}, presence: newPresence(l.HeartbeatInterval)}
	readList(t, &list)
	if _, known := list.known["left"]; known {
		t.Error("the worker that has left is known to the new holder")
	}
	if !list.known["leaves"].Draining || list.known["stays"].Draining {
		t.Errorf("got %+v, want only the worker that leaves as draining", list.known)
	}
}

// TestOddEntryDoesNotStopTheList guards against a holder that ends, as does each one after it, because one entry of another writer makes
// the decoder panic, and against one that no longer follows the other entries.
func TestOddEntryDoesNotStopTheList(t *testing.T) {
	log := storetest.New()
	l := newTestLeader(t, log, &bytes.Buffer{})
	decode := l.DecodeWorker
	l.DecodeWorker = func(id string, text []byte) (workload.WorkerInfo, error) {
		if id == "odd" {
			panic("decoder")
		}
		return decode(id, text)
	}
	list := workerList{leader: l, cursor: store.Cursor{Stream: store.Workers}, known: map[string]workload.WorkerInfo{}, presence: newPresence(l.HeartbeatInterval)}
	for _, id := range []string{"odd", "a"} {
		putWorker(t, log, id, "ready")
	}
	readList(t, &list)
	for _, id := range []string{"odd", "b"} {
		putWorker(t, log, id, "ready")
	}
	readList(t, &list)
	if len(list.known) != 2 {
		t.Errorf("%d workers are known, want the two that can be decoded", len(list.known))
	}
}
