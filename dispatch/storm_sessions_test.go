package dispatch

import (
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/workerlease"
	"github.com/redwingthread/redwingthread/workload"
)

// The times and numbers of attempts of the holder of the schedule; see package leader.
const (
	stormWatchWait     = 1500 * time.Millisecond
	stormWatchMargin   = 700 * time.Millisecond
	stormWatchRetry    = 100 * time.Millisecond
	maxStormWatchRetry = 800 * time.Millisecond
	stormCallTimeout   = 500 * time.Millisecond
	stormCallRetry     = 50 * time.Millisecond
	maxStopRetries     = 8
	maxUnsentStarts    = 3
)

// stormSession is the session of a holder with a worker.
type stormSession struct {
	id    string
	epoch int64
	lease workerlease.Lease
	// incarnation is the worker's process that has responded last, storedEnd the number up to which its ends are stored.
	incarnation, storedEnd int64
	// peer is the process to which the connection of watch requests leads, pooled that of an idle connection for commands; 0 for none.
	peer, pooled int64
	// watch is the watch request in flight; nil if there is none, and the next one is sent at watchAt.
	watch   *stormWatch
	watchAt time.Duration
	pause   time.Duration
}

// stormWatch is a watch request in flight.
type stormWatch struct {
	sentAt, timesOutAt time.Duration
	wait               time.Duration
	// process is the process to which the connection leads; 0 if none has responded on it, until one executes the request.
	process int64
	// executedAt is when the worker has received the request; 0 before that.
	executedAt time.Duration
	// listing is the response, which arrives at arrivesAt.
	listing   *workload.Listing
	arrivesAt time.Duration
}

// sessionCommand is a start or stop that a session sends until its outcome is known.
type sessionCommand struct {
	stormCommand
	// sent is true if an attempt of a start may have reached the worker.
	sent, inFlight, done bool
	timesOutAt           time.Duration
	// process is the process to which the connection of the attempt in flight leads; 0 if none has responded on it.
	process int64
}

type stormCallKind int

const (
	callWatch stormCallKind = iota
	// callName asks for a listing before a start, to find out to which process a connection leads.
	callName
	callCommand
)

// stormCall is a request on its way to a worker.
type stormCall struct {
	kind   stormCallKind
	worker string
	epoch  int64
	// process is the process to which the connection leads, and which alone can execute the call. It is 0 if none has responded on the
	// connection; whichever process is there then executes the call.
	process int64
	// leaseUntilMS and storedEnd are those of a watch request.
	leaseUntilMS, storedEnd int64
	session                 *stormSession
	watch                   *stormWatch
	command                 *sessionCommand
	// request is the command as it was sent.
	request stormCommand
	// sentTo is the worker's process at the time at which the call was sent.
	sentTo    int64
	arrivesAt time.Duration
	// abandoned is true if the sender no longer waits for a response.
	abandoned bool
}

// exchangeOnConnections delivers the calls that have arrived and continues the sessions and commands.
func (s *storm) exchangeOnConnections() {
	f := s.restarts
	calls := f.calls
	f.calls = nil
	for _, call := range calls {
		if s.now < call.arrivesAt {
			f.calls = append(f.calls, call)
			continue
		}
		s.arriveOnConnection(call)
	}
	if s.now >= f.formerUntil {
		f.former = nil
	}
	for _, id := range s.workerIDs {
		s.advanceWatch(f.sessions[id])
		if former := f.former[id]; former != nil {
			s.advanceWatch(former)
		}
	}
	s.advanceCommands()
	for _, id := range s.workerIDs {
		s.checkLease(id)
	}
}

// reachable reports whether calls of an epoch reach the worker.
func (s *storm) reachable(id string, epoch int64) bool {
	return !s.partitioned(id) && (epoch < s.epoch || s.now >= s.restarts.onlyFormerUntil[id])
}

// loses reports whether a call or response is lost.
func (s *storm) loses(id string, epoch int64) bool {
	lost := !s.reachable(id, epoch) || !s.faultsOver && s.restarts.rng.IntN(10) == 0
	if lost && epoch == s.epoch {
		s.lostCallAt[id] = s.now
	}
	return lost
}

func (f *restartFaults) transmit(now time.Duration, call *stormCall) {
	call.sentTo = f.processes[call.worker].incarnation
	call.arrivesAt = now + f.ticks(3)
	f.calls = append(f.calls, call)
}

// arriveOnConnection delivers a call, unless it is lost or its connection leads to a process that has ended. A call that is lost before
// its process has ended may arrive late.
func (s *storm) arriveOnConnection(call *stormCall) {
	f := s.restarts
	p := f.processes[call.worker]
	up := s.now >= p.bootsAt
	if call.process != 0 && call.process != p.incarnation {
		if call.kind == callCommand && call.request.start != nil {
			f.played.lostStarts++
		}
		if up && s.reachable(call.worker, call.epoch) && f.rng.IntN(2) == 0 {
			s.reset(call)
		}
		return
	}
	if !up && s.reachable(call.worker, call.epoch) && f.rng.IntN(2) == 0 {
		s.reset(call)
		return
	}
	if !up || s.loses(call.worker, call.epoch) {
		if !call.abandoned && f.rng.IntN(2) == 0 {
			late := *call
			late.abandoned, late.arrivesAt = true, s.lateArrival(call)
			f.calls = append(f.calls, &late)
		}
		return
	}
	s.executeCall(call, p)
}

// lateArrival returns when a call that is lost now arrives late: in most cases soon after its worker can be reached again.
func (s *storm) lateArrival(call *stormCall) time.Duration {
	f := s.restarts
	reachableAt := max(s.now, f.processes[call.worker].bootsAt, s.state[call.worker].partitionedUntil)
	if reachableAt < s.now+maxCommandDelay && f.rng.IntN(4) > 0 {
		return reachableAt + f.ticks(maxResendTicks)
	}
	return s.now + time.Duration(f.rng.Int64N(int64(maxCommandDelay)))
}

// reset lets the sender of a call know that its connection was refused or has ended.
func (s *storm) reset(call *stormCall) {
	switch {
	case call.abandoned:
	case call.kind == callWatch && call.session.watch == call.watch:
		s.watchFailed(call.session, false)
	case call.command.awaits(call):
		s.attemptFailed(call.command)
	}
}

// awaits reports whether the call is part of the command's attempt in flight.
func (c *sessionCommand) awaits(call *stormCall) bool {
	return c != nil && c.inFlight && c.attempt == call.request.attempt
}

// resetConnections ends the connections to a process, and with them the calls on them.
func (s *storm) resetConnections(id string, process int64) {
	f := s.restarts
	for _, session := range []*stormSession{f.sessions[id], f.former[id]} {
		if session == nil {
			continue
		}
		if session.pooled == process {
			session.pooled = 0
		}
		if w := session.watch; w != nil && w.process == process && w.listing == nil {
			s.watchFailed(session, false)
		}
	}
	for _, cmd := range slices.Clone(f.commands) {
		if cmd.worker() == id && cmd.inFlight && cmd.process == process {
			s.attemptFailed(cmd)
		}
	}
}

// executeCall executes a call that has reached a process.
func (s *storm) executeCall(call *stormCall, p *stormProcess) {
	if call.kind == callCommand {
		s.executeCommand(call, p)
		return
	}
	state, f := s.state[call.worker], s.restarts
	if call.epoch < state.epoch {
		if call.kind == callWatch && !call.abandoned {
			// The former holder ends once a worker shows that it has a successor.
			f.former = nil
		}
		return
	}
	state.epoch = call.epoch
	if call.kind == callName {
		if !call.abandoned && call.command.awaits(call) && !s.loses(call.worker, call.epoch) {
			s.processNamed(call.command, p.incarnation)
		}
		return
	}
	if call.sentTo != p.incarnation {
		f.played.lateWatches++
	}
	if call.epoch < s.epoch && call.leaseUntilMS > 0 {
		f.played.formerRenewals++
	}
	p.renew(s.now, call.leaseUntilMS)
	s.acknowledge(call)
	if !call.abandoned && call.session.watch == call.watch {
		call.watch.executedAt, call.watch.process = s.now, p.incarnation
	}
}

// acknowledge lets the worker discard the ends that a watch request acknowledges, and fails the test if no holder has counted them.
func (s *storm) acknowledge(call *stormCall) {
	w := s.workers[call.worker]
	for len(w.ended) > 0 && w.ended[0].Sequence <= call.storedEnd {
		if end := w.ended[0]; !s.counted(end) {
			s.t.Fatalf("the end of %v on %s is acknowledged before it was listed, by a request to process %d that process %d executes", end.RunRef,
				call.worker, call.sentTo, s.restarts.processes[call.worker].incarnation)
		}
		w.ended = w.ended[1:]
	}
}

// counted reports whether an end was listed to a core.
func (s *storm) counted(end workload.EndedRun) bool {
	return slices.ContainsFunc(s.runs[end.Task], func(r *stormRun) bool { return r.run == end.Run && r.counted })
}

// advanceWatch sends the next watch request of a session, or continues that in flight.
func (s *storm) advanceWatch(session *stormSession) {
	w := session.watch
	switch {
	case w == nil && s.now >= session.watchAt:
		s.sendWatch(session)
	case w == nil:
	case w.listing != nil && s.now >= w.arrivesAt && s.reachable(session.id, session.epoch):
		s.watchAnswered(session)
	case s.now >= w.timesOutAt:
		s.watchFailed(session, true)
	case w.listing == nil && w.executedAt > 0:
		s.answerWatch(session)
	}
}

// sendWatch sends a watch request. On a connection on which no process has responded, it renews no lease and acknowledges no ends.
func (s *storm) sendWatch(session *stormSession) {
	w := &stormWatch{sentAt: s.now, process: session.peer}
	call := &stormCall{kind: callWatch, worker: session.id, epoch: session.epoch, process: session.peer, session: session, watch: w}
	if session.peer != 0 {
		w.wait = stormWatchWait
		call.leaseUntilMS, call.storedEnd = session.lease.Renew(s.now, session.incarnation), session.storedEnd
	}
	w.timesOutAt = s.now + w.wait + stormWatchMargin
	session.watch = w
	s.restarts.transmit(s.now, call)
}

// answerWatch lets the worker respond once a run has ended or the wait is over, unless its process has ended.
func (s *storm) answerWatch(session *stormSession) {
	w, p, f := session.watch, s.restarts.processes[session.id], s.restarts
	ended := s.workers[session.id].ended
	if w.process != p.incarnation || s.now < w.executedAt+w.wait && len(ended) == 0 {
		return
	}
	w.executedAt = 0
	if s.loses(session.id, session.epoch) {
		return
	}
	w.listing, w.arrivesAt = s.listingOf(session.id), s.now+f.ticks(3)
}

// listingOf returns the listing of a worker's process.
func (s *storm) listingOf(id string) *workload.Listing {
	w, p := s.workers[id], s.restarts.processes[id]
	for ref, run := range w.running {
		run.percent = p.percent(ref, s.now)
	}
	listing := s.listing(id)
	listing.Incarnation, listing.ClockMS, listing.Ended = p.incarnation, p.clock(s.now), slices.Clone(w.ended)
	return listing
}

// watchAnswered passes a listing to the session and to the core.
func (s *storm) watchAnswered(session *stormSession) {
	w, listing := session.watch, session.watch.listing
	session.watch, session.watchAt, session.pause = nil, s.now+stormTick, stormWatchRetry
	session.peer = listing.Incarnation
	session.lease.RecordResponse(s.now, listing.Incarnation, listing.ClockMS)
	if session.incarnation != listing.Incarnation {
		session.incarnation, session.storedEnd = listing.Incarnation, 0
	}
	if session.epoch != s.epoch {
		return
	}
	s.restarts.contact(session.id, listing.Incarnation)
	for _, end := range listing.Ended {
		s.markCounted(end)
	}
	// The states are stored at the end of the tick, before the next watch request.
	session.storedEnd = max(session.storedEnd, s.core.ApplyListing(session.id, w.sentAt, listing))
}

// watchFailed ends a watch request without response. It notifies the core, and gives up the worker if its leases have expired.
func (s *storm) watchFailed(session *stormSession, silent bool) {
	session.watch, session.peer, session.watchAt = nil, 0, s.now+session.pause
	session.pause = min(2*session.pause, maxStormWatchRetry)
	session.lease.RecordNoResponse()
	if session.epoch != s.epoch {
		return
	}
	s.core.SetUnreachable(session.id, silent)
	if session.lease.Expired(s.now) {
		s.checkGone(session.id)
		s.core.MarkWorkerGone(session.id, GoneLeaseExpired)
	}
}

// checkLease fails the test if a worker with runs holds a lease that expires later than the holder of the schedule counts.
func (s *storm) checkLease(id string) {
	p, expiresAt := s.restarts.processes[id], s.restarts.sessions[id].lease.ExpiresAt()
	// Both sides round to less than a microsecond.
	if len(s.workers[id].running) == 0 || !p.holdsLease(expiresAt+time.Microsecond) {
		return
	}
	excess := time.Duration(p.leaseUntil-p.clock(expiresAt)) * time.Millisecond
	s.t.Fatalf("process %d of %s runs %v under a lease that outlasts the holder's count by %s", p.incarnation, id, s.workers[id].refs(), excess)
}

// checkGone fails the test if a worker is given up while it runs anything.
func (s *storm) checkGone(id string) {
	f, p := s.restarts, s.restarts.processes[id]
	f.played.expiries++
	if runs := s.workers[id].refs(); len(runs) > 0 {
		left := time.Duration(p.leaseUntil-p.clock(s.now)) * time.Millisecond
		s.t.Fatalf("%s is given up while its process %d runs %v, for another %s of its clock", id, p.incarnation, runs, left)
	}
}
