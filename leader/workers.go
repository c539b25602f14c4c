package leader

import (
	"context"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// workerList follows the worker list in the store.
type workerList struct {
	leader *Leader
	cursor store.Cursor
	// known maps the id of each listed worker to its newest entry.
	known    map[string]workload.WorkerInfo
	presence presence
}

// followWorkers updates the sessions and the core from the worker list until ctx ends.
func (l *Leader) followWorkers(ctx context.Context) {
	list := workerList{leader: l, cursor: store.Cursor{Stream: store.Workers}, known: map[string]workload.WorkerInfo{}, presence: newPresence(l.HeartbeatInterval)}
	for ctx.Err() == nil {
		if err := list.read(ctx); err != nil {
			l.logger.Debug().Err(err).Msg("worker list not read")
		}
		l.enqueue(func(c *dispatch.Core) {
			l.reportUnlistedGone(c)
			l.closeUnusedSessions(c)
		})
		boottime.Sleep(ctx, workersInterval)
	}
}

// reportUnlistedGone reports workers with restored runs as gone if they never appeared in the list, once the leases of
// earlier holders have expired.
func (l *Leader) reportUnlistedGone(c *dispatch.Core) {
	if boottime.Now() < l.startedAt+l.earlierLeaseBound() {
		return
	}
	for _, id := range c.UnverifiedWorkers() {
		if l.sessions[id] == nil {
			c.MarkWorkerGone(id, dispatch.GoneUnlisted)
		}
	}
}

// read applies the changes of the list since the last read.
func (w *workerList) read(ctx context.Context) error {
	update, err := w.cursor.Read(ctx, w.leader.Log, 0)
	if err != nil {
		return err
	}
	defer func() {
		if update.Complete {
			w.leader.enqueue(func(c *dispatch.Core) { c.WorkersRead(update.StartedAt) })
		}
	}()
	if update.Loaded {
		w.replace(ctx, update)
		return nil
	}
	now := boottime.Now()
	for _, r := range update.Records {
		if len(r.Value) == 0 {
			w.remove(r.Key, w.known[r.Key].Draining && w.presence.removedByWorker(r.Key, now))
			continue
		}
		w.presence.seenAt[r.Key] = now
		w.apply(ctx, r)
	}
	w.presence.readAt = now
	return nil
}

// replace applies the newest entry of every worker and removes the workers that have none.
func (w *workerList) replace(ctx context.Context, update *store.Update) {
	present := map[string]bool{}
	for _, r := range update.Records {
		present[r.Key] = true
		w.apply(ctx, r)
	}
	for id := range w.known {
		if !present[id] {
			w.remove(id, false)
		}
	}
	w.leader.logger.Info().Int("workers", len(w.known)).Int64("offset", update.Next).Msg("worker list loaded")
}

// apply updates the worker of an entry, and removes the worker if the entry cannot be decoded.
func (w *workerList) apply(ctx context.Context, r store.Record) {
	info, err := w.leader.DecodeWorker(r.Key, r.Value)
	if err != nil {
		w.leader.logger.Warn().Err(err).Str("worker", r.Key).Msg("worker entry cannot be decoded")
		w.remove(r.Key, false)
		return
	}
	old, known := w.known[r.Key]
	if known && equalInfo(old, info) {
		return
	}
	w.known[r.Key] = info
	if !known || old.Draining != info.Draining || old.Incarnation != info.Incarnation || old.Address != info.Address {
		w.leader.logger.Info().Str("worker", info.ID).Str("address", info.Address).Bool("draining", info.Draining).
			Int64("incarnation", info.Incarnation).Int64("offset", r.Offset).Msg("worker changed")
	}
	l := w.leader
	l.enqueue(func(c *dispatch.Core) {
		c.SetWorker(info)
		l.ensureSession(ctx, info)
	})
}

// equalInfo reports whether two entries are equal apart from RemainingLife, which may change with every heartbeat.
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

// remove removes a worker from the list. runsEnded is true if the worker is known to have ended all its runs.
func (w *workerList) remove(id string, runsEnded bool) {
	if _, known := w.known[id]; !known {
		return
	}
	delete(w.known, id)
	delete(w.presence.seenAt, id)
	w.leader.logger.Info().Str("worker", id).Bool("ended", runsEnded).Msg("worker left the list")
	w.leader.enqueue(func(c *dispatch.Core) {
		c.DropWorker(id)
		if runsEnded {
			c.MarkWorkerGone(id, dispatch.GoneDeregistered)
		}
	})
}

// ensureSession opens a session to the worker, and replaces it if the address has changed. It runs in the loop.
func (l *Leader) ensureSession(ctx context.Context, info workload.WorkerInfo) {
	s := l.sessions[info.ID]
	if s != nil && s.address == info.Address {
		return
	}
	if s != nil {
		s.cancel()
	}
	l.sessions[info.ID] = l.newSession(ctx, info.ID, info.Address)
}

// closeUnusedSessions ends the sessions of workers that are no longer listed and have no runs. It runs in the loop.
func (l *Leader) closeUnusedSessions(c *dispatch.Core) {
	for id, s := range l.sessions {
		if !c.HasWorker(id) {
			s.cancel()
			delete(l.sessions, id)
		}
	}
}
