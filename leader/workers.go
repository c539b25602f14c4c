package leader

import (
	"context"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/telemetry"
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
		w.presence.failedAt = boottime.Now()
		return err
	}
	if update.Loaded {
		w.replace(ctx, update)
	} else {
		w.change(ctx, update)
	}
	if update.Complete {
		w.presence.readAt = update.StartedAt
		w.leader.enqueue(func(c *dispatch.Core) { c.WorkersRead(update.StartedAt) })
	}
	return nil
}

// change applies the records of an update in their order.
func (w *workerList) change(ctx context.Context, update *store.Update) {
	now := boottime.Now()
	for _, r := range update.Records {
		if len(r.Value) == 0 {
			w.remove(r.Key, w.known[r.Key].Draining && w.presence.removedByWorker(r.Key, now))
			continue
		}
		if w.apply(ctx, r) {
			w.presence.entryRead(r.Key)
		}
	}
}

// replace applies the newest entry of every worker and removes the workers that have none. The age of these entries is not known.
func (w *workerList) replace(ctx context.Context, update *store.Update) {
	present := map[string]bool{}
	for _, r := range update.Records {
		present[r.Key] = true
		w.presence.forget(r.Key)
		w.apply(ctx, r)
	}
	for id := range w.known {
		if !present[id] {
			w.remove(id, false)
		}
	}
	w.leader.logger.Info().Int("workers", len(w.known)).Int64("offset", update.Next).Msg("worker list loaded")
}

// apply updates the worker of an entry, and removes the worker if the entry cannot be decoded. It returns false for an entry that does
// not count.
func (w *workerList) apply(ctx context.Context, r store.Record) bool {
	info, err := w.decode(r)
	if err != nil {
		w.leader.logger.Warn().Err(err).Str("worker", r.Key).Msg("worker entry cannot be decoded")
		w.remove(r.Key, false)
		return false
	}
	old, known := w.known[r.Key]
	if known && w.late(&info, &old) {
		return false
	}
	w.known[r.Key] = info
	w.presence.heard(r.Key, boottime.Now())
	if known && equalInfo(old, info) {
		return true
	}
	if !known || old.Draining != info.Draining || old.Incarnation != info.Incarnation || old.Address != info.Address {
		w.leader.logger.Info().Str("worker", info.ID).Str("address", info.Address).Bool("draining", info.Draining).
			Int64("incarnation", info.Incarnation).Int64("offset", r.Offset).Msg("worker changed")
	}
	l := w.leader
	l.enqueue(func(c *dispatch.Core) {
		c.SetWorker(info)
		l.ensureSession(ctx, info).deregistered = false
	})
	return true
}

// late reports whether the store has executed the write of an entry after that of a newer one. An entry that is only seemingly older,
// because the worker's clock was set back, counts once no newer one arrives any more.
func (w *workerList) late(info, known *workload.WorkerInfo) bool {
	if !info.Precedes(known) || w.presence.silent(info.ID, boottime.Now()) {
		return false
	}
	w.leader.logger.Info().Str("worker", info.ID).Int64("incarnation", info.Incarnation).Int64("sequence", info.Sequence).
		Msg("late worker entry ignored")
	return true
}

// decode decodes an entry. A panic of the decoder is reported as an error: each new holder would read the same entry.
func (w *workerList) decode(r store.Record) (info workload.WorkerInfo, err error) {
	returned := telemetry.Contain(w.leader.logger, "decode a worker entry", func() { info, err = w.leader.DecodeWorker(r.Key, r.Value) })
	if !returned {
		return info, errkind.New(errkind.Internal, "remove the entry from the worker list", "the decoder of worker entries has panicked")
	}
	return info, err
}

// equalInfo reports whether the entry b tells nothing new after a. RemainingLife, ColdRemaining and Sequence may change with every
// heartbeat; only the beginning, the end and an extension of the time in which the worker is cold are news.
func equalInfo(a, b workload.WorkerInfo) bool {
	if len(a.Labels) != len(b.Labels) || (a.ColdRemaining > 0) != (b.ColdRemaining > 0) || b.ColdRemaining > a.ColdRemaining {
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

// remove removes a worker from the list. deregistered is true if the worker has removed its entry itself.
func (w *workerList) remove(id string, deregistered bool) {
	if _, known := w.known[id]; !known {
		return
	}
	delete(w.known, id)
	w.presence.forget(id)
	w.leader.logger.Info().Str("worker", id).Bool("deregistered", deregistered).Msg("worker left the list")
	w.leader.enqueue(func(c *dispatch.Core) {
		c.DropWorker(id)
		if s := w.leader.sessions[id]; s != nil {
			s.deregistered = deregistered
			s.reportGoneIfDeregistered(c)
		}
	})
}

// ensureSession returns the session to the worker, which it opens, or replaces if the address has changed. It runs in the loop.
func (l *Leader) ensureSession(ctx context.Context, info workload.WorkerInfo) *session {
	s := l.sessions[info.ID]
	if s != nil && s.address == info.Address {
		s.setFailureDomain(info.FailureDomain)
		return s
	}
	leaseEnd := l.startedAt + l.earlierLeaseBound()
	if s != nil {
		s.cancel()
		leaseEnd = max(leaseEnd, s.leaseEnd())
	}
	s = l.newSession(ctx, info.ID, info.Address, leaseEnd)
	s.setFailureDomain(info.FailureDomain)
	l.sessions[info.ID] = s
	return s
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
