package leader

import (
	"context"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// workerList follows the list of workers in the store.
type workerList struct {
	leader   *Leader
	cursor   store.Cursor
	known    map[string]workload.WorkerInfo
	presence presence
}

// followWorkers keeps sessions and core in step with the list of workers until ctx ends.
func (l *Leader) followWorkers(ctx context.Context) {
	list := workerList{leader: l, cursor: store.Cursor{Stream: store.Workers}, known: map[string]workload.WorkerInfo{}, presence: newPresence(l.HeartbeatInterval)}
	for ctx.Err() == nil {
		if err := list.read(ctx); err != nil {
			l.out.Debug().Err(err).Msg("list of workers not read")
		}
		l.post(func(c *dispatch.Core) {
			l.buryUnknown(c)
			l.closeUnused(c)
		})
		boottime.Sleep(ctx, workersInterval)
	}
}

// buryUnknown gives up restored runs on workers that never appeared in the list, once their leases have ended.
func (l *Leader) buryUnknown(c *dispatch.Core) {
	if boottime.Now() < l.startedAt+l.foreignLease() {
		return
	}
	for _, id := range c.Unverified() {
		if l.byID[id] == nil {
			c.WorkerDead(id)
		}
	}
}

func (w *workerList) read(ctx context.Context) error {
	update, err := w.cursor.Read(ctx, w.leader.Log, 0)
	if err != nil {
		return err
	}
	if update.Loaded {
		w.replace(ctx, update)
		return nil
	}
	now := boottime.Now()
	for _, r := range update.Records {
		if len(r.Value) == 0 {
			w.drop(r.Key, w.known[r.Key].Draining && w.presence.left(r.Key, now))
			continue
		}
		w.presence.seenAt[r.Key] = now
		w.apply(ctx, r)
	}
	w.presence.readAt = now
	return nil
}

// replace takes in the newest entry of every worker and drops the workers that have none.
func (w *workerList) replace(ctx context.Context, update *store.Update) {
	present := map[string]bool{}
	for _, r := range update.Records {
		present[r.Key] = true
		w.apply(ctx, r)
	}
	for id := range w.known {
		if !present[id] {
			w.drop(id, false)
		}
	}
	w.leader.out.Info().Int("workers", len(w.known)).Int64("offset", update.Next).Msg("list of workers read")
}

func (w *workerList) apply(ctx context.Context, r store.Record) {
	info, err := w.leader.DecodeWorker(r.Key, r.Value)
	if err != nil {
		w.leader.out.Warn().Err(err).Str("worker", r.Key).Msg("entry of a worker cannot be used")
		w.drop(r.Key, false)
		return
	}
	old, known := w.known[r.Key]
	if known && equalInfo(old, info) {
		return
	}
	w.known[r.Key] = info
	if !known || old.Draining != info.Draining || old.Incarnation != info.Incarnation || old.Address != info.Address {
		w.leader.out.Info().Str("worker", info.ID).Str("address", info.Address).Bool("draining", info.Draining).
			Int64("incarnation", info.Incarnation).Int64("offset", r.Offset).Msg("worker changed")
	}
	l := w.leader
	l.post(func(c *dispatch.Core) {
		c.SetWorker(info)
		l.ensureSession(ctx, info)
	})
}

func equalInfo(a, b workload.WorkerInfo) bool {
	if len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return a.Address == b.Address && a.Service == b.Service && a.Rack == b.Rack && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Incarnation == b.Incarnation && a.FailureDomain == b.FailureDomain
}

// drop takes a worker out of the list. ended reports that it has ended all runs.
func (w *workerList) drop(id string, ended bool) {
	if _, known := w.known[id]; !known {
		return
	}
	delete(w.known, id)
	delete(w.presence.seenAt, id)
	w.leader.out.Info().Str("worker", id).Bool("ended", ended).Msg("worker left the list")
	w.leader.post(func(c *dispatch.Core) {
		c.DropWorker(id)
		if ended {
			c.WorkerDead(id)
		}
	})
}

// ensureSession opens a session to the worker, or a new one at its new address. It runs in the loop.
func (l *Leader) ensureSession(ctx context.Context, info workload.WorkerInfo) {
	s := l.byID[info.ID]
	if s != nil && s.address == info.Address {
		return
	}
	if s != nil {
		s.cancel()
	}
	l.byID[info.ID] = l.newSession(ctx, info.ID, info.Address)
}

// closeUnused ends the sessions of workers that left the list and on which nothing runs. It runs in the loop.
func (l *Leader) closeUnused(c *dispatch.Core) {
	for id, s := range l.byID {
		if !c.HasWorker(id) {
			s.cancel()
			delete(l.byID, id)
		}
	}
}
