package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workerlease"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// stormLongestLease is the longest lease that a worker accepts. It outlasts a lease by more than the time between two watch requests to
	// a worker that is cut off, so that a lease that the holder has not counted shows.
	stormLongestLease = stormLease + 2*time.Second
	// stormRenewalWithoutStore is how long a former holder renews leases beside its successor.
	stormRenewalWithoutStore = stormForeignLease - stormLease
	// restartInterval is the mean number of ticks from one restart of workers to the next, maxRestarted the number of workers that
	// restart at once.
	restartInterval = 60
	maxRestarted    = 5
	// Of the crashes and takeovers that TestStorm draws, one in crashShare and takeoverShare is kept: with a takeover every 3 s, hardly any
	// holder would count a lease to its end.
	crashShare    = 3
	takeoverShare = 8
	// maxDownTicks bounds the time until a restarted worker responds, maxEntryTicks that until the core is notified of its new process.
	maxDownTicks  = 16
	maxEntryTicks = 12
	// maxContactTicks bounds the time from a restart to a cut if the new process has no contact with the holder, maxCutTicks that from the
	// first contact to a cut, with startTicks more in most cases. maxCutAfterLease bounds the time by which most cuts outlast a lease,
	// maxFirstCutTicks the length of a cut that begins before the restart.
	maxContactTicks  = 80
	maxCutTicks      = 24
	startTicks       = 6
	maxCutAfterLease = 8 * time.Second
	maxFirstCutTicks = 60
	// maxResendTicks bounds the time from the end of a cut to the arrival of a call that was sent in it.
	maxResendTicks = 30
	// maxSlowClock is the fraction by which a process's clock may be slow, in units of 1/clockUnits.
	maxSlowClock = 200
	clockUnits   = 10_000
	// maxClockOrigin bounds the clocks of processes at their start, in milliseconds.
	maxClockOrigin = 10_000_000
	// restartStream separates the random numbers of restarts and connections from those of the other faults of a seed.
	restartStream = 5
)

// restartFaults restarts workers under their old ids and cuts them off soon after. In a storm with them, each process of a worker has its
// own clock, requests need a connection, and the holder of the schedule counts leases with package workerlease.
type restartFaults struct {
	rng       *rand.Rand
	processes map[string]*stormProcess
	// sessions holds the holder's session with each worker, former those of the holder before it, which continue until formerUntil.
	sessions, former map[string]*stormSession
	formerUntil      time.Duration
	// onlyFormerUntil maps a worker to the time until which only the former holder can reach it.
	onlyFormerUntil map[string]time.Duration
	calls           []*stormCall
	commands        []*sessionCommand
	due             []dueFault
	// long maps each step with long tasks to the mean time that they take.
	long   map[*workload.Step]time.Duration
	played playedRestarts
}

// playedRestarts counts what the seeds of a test have played.
type playedRestarts struct {
	// lateStops and lateWatches count the calls that a later process has executed than the one that they were sent to.
	lateStops, lateWatches int
	// lostStarts counts the starts that were lost with the process that they were meant for, refusedStarts those that were not sent
	// because another process responded.
	lostStarts, refusedStarts int
	// expiries counts the times at which a worker was found to be silent after its leases had expired, and lapsed the runs that ended
	// with their leases.
	expiries, lapsed int
	// cutBeforeContact and cutAfterContact count the cuts soon after a restart, restartedBehindCut the restarts in them.
	cutBeforeContact, cutAfterContact, restartedBehindCut int
	// formerRenewals counts the renewals by a former holder beside its successor.
	formerRenewals int
}

// dueFault is a part of a fault that follows later.
type dueFault struct {
	at    time.Duration
	apply func()
	// always is true if it must be applied although the faults are over.
	always bool
}

// stormProcess is a process of a worker.
type stormProcess struct {
	incarnation int64
	// bootsAt is when the process begins to respond.
	bootsAt time.Duration
	// clockOrigin is the process's clock at bootsAt in milliseconds, clockRate its advance in clockUnits ms.
	clockOrigin, clockRate int64
	// leaseUntil is the expiry of its lease on its clock; 0 if it has received none.
	leaseUntil int64
	begun      map[workload.RunRef]begunRun
	// cutAtContact makes the worker be cut off soon after the holder has received the first listing; nil if it is not to be.
	cutAtContact func()
}

type begunRun struct{ at, duration time.Duration }

func newRestartFaults(s *storm, seed uint64) *restartFaults {
	f := &restartFaults{
		rng: rand.New(rand.NewPCG(seed, restartStream)), processes: map[string]*stormProcess{},
		onlyFormerUntil: map[string]time.Duration{}, long: map[*workload.Step]time.Duration{},
	}
	for _, id := range s.workerIDs {
		f.processes[id] = f.newProcess(1, s.now, maxClockOrigin)
	}
	// The first core has listings with other clocks than those of the processes.
	s.takeOver()
	f.openSessions(s)
	return f
}

// newProcess returns a process whose clock has a random rate and a random origin of up to maxOrigin.
func (f *restartFaults) newProcess(incarnation int64, bootsAt time.Duration, maxOrigin int64) *stormProcess {
	return &stormProcess{
		incarnation: incarnation, bootsAt: bootsAt, clockOrigin: f.rng.Int64N(maxOrigin + 1), clockRate: clockUnits - f.rng.Int64N(maxSlowClock+1),
		begun: map[workload.RunRef]begunRun{},
	}
}

// keeps reports whether a fault is injected of which only one in share is.
func (f *restartFaults) keeps(share int) bool { return f == nil || f.rng.IntN(share) == 0 }

// countLapse counts the end of a run with its worker's lease.
func (f *restartFaults) countLapse() {
	if f != nil {
		f.played.lapsed++
	}
}

func (f *restartFaults) ticks(n int) time.Duration { return time.Duration(f.rng.IntN(n)) * stormTick }

// clock returns the process's clock in milliseconds.
func (p *stormProcess) clock(now time.Duration) int64 {
	return p.clockOrigin + int64(now-p.bootsAt)*p.clockRate/clockUnits/int64(time.Millisecond)
}

// renew extends the lease as a worker does: an expiry that is too far ahead is shortened, a granted lease never.
func (p *stormProcess) renew(now time.Duration, untilMS int64) {
	p.leaseUntil = max(p.leaseUntil, min(untilMS, p.clock(now)+stormLongestLease.Milliseconds()))
}

func (p *stormProcess) holdsLease(now time.Duration) bool { return p.clock(now) < p.leaseUntil }

// percent returns the progress of a run.
func (p *stormProcess) percent(ref workload.RunRef, now time.Duration) int {
	run := p.begun[ref]
	return int(min(99, 100*(now-run.at)/max(run.duration, 1)))
}

// lengthen makes the tasks of some steps so long that they outlast a lease.
func (f *restartFaults) lengthen(job *workload.Job) {
	if f == nil {
		return
	}
	for i := range job.Steps {
		if f.rng.IntN(3) > 0 {
			step := &job.Steps[i]
			step.Estimate = stormLease + time.Duration(f.rng.Int64N(int64(stormLease)))
			f.long[step] = step.Estimate
		}
	}
}

// begin records the begin of a run and returns how long it takes; usual is the time of a run that is not long.
func (f *restartFaults) begin(id string, ref workload.RunRef, step *workload.Step, usual, now time.Duration) time.Duration {
	duration := usual
	if long, ok := f.long[step]; ok {
		duration = long/2 + time.Duration(f.rng.Int64N(int64(long)))
	}
	f.processes[id].begun[ref] = begunRun{at: now, duration: duration}
	return duration
}

// restartWorkers applies what is due, and now and then restarts some workers and cuts them off soon after.
func (s *storm) restartWorkers() {
	f := s.restarts
	if f == nil {
		return
	}
	due := f.due
	f.due = nil
	for _, fault := range due {
		switch {
		case s.now < fault.at:
			f.due = append(f.due, fault)
		case fault.always || !s.faultsOver:
			fault.apply()
		}
	}
	if s.faultsOver || f.rng.IntN(restartInterval) > 0 {
		return
	}
	first, count, dark := f.rng.IntN(len(s.workerIDs)), 1, f.rng.IntN(2) == 0
	if f.rng.IntN(2) == 0 {
		count += 1 + f.rng.IntN(maxRestarted-1)
	}
	for i := range count {
		s.restartAndCut(s.workerIDs[(first+i)%len(s.workerIDs)], dark)
	}
}

// restartAndCut restarts a worker and cuts it off soon after, before or after its first contact with the holder and mostly for longer
// than a lease. Some workers are cut off before the restart too, or restart again behind the cut.
func (s *storm) restartAndCut(id string, dark bool) {
	f := s.restarts
	if f.rng.IntN(2) == 0 {
		s.cut(id, f.ticks(maxFirstCutTicks))
	}
	s.restart(id, dark)
	p := f.processes[id]
	cut := func() {
		p.cutAtContact = nil
		length := time.Duration(f.rng.Int64N(int64(stormLease)))
		if f.rng.IntN(4) > 0 {
			length = stormLease + time.Duration(f.rng.Int64N(int64(maxCutAfterLease)))
		}
		s.cut(id, length)
		if f.rng.IntN(3) == 0 {
			f.schedule(s.now+time.Duration(f.rng.Int64N(int64(length)+1)), func() {
				f.played.restartedBehindCut++
				s.restart(id, true)
			})
		}
	}
	p.cutAtContact = func() {
		delay := f.ticks(maxCutTicks)
		if f.rng.IntN(4) > 0 {
			// Some tasks start on the new process before the cut.
			delay += startTicks * stormTick
		}
		f.played.cutAfterContact++
		f.schedule(s.now+delay, cut)
	}
	f.schedule(s.now+f.ticks(maxContactTicks), func() {
		if p.cutAtContact != nil {
			f.played.cutBeforeContact++
			cut()
		}
	})
}

// cut makes a worker unreachable for some time.
func (s *storm) cut(id string, length time.Duration) {
	s.state[id].partitionedUntil = max(s.state[id].partitionedUntil, s.now+length)
}

func (f *restartFaults) schedule(at time.Duration, apply func()) {
	f.due = append(f.due, dueFault{at: at, apply: apply})
}

// contact notes that the holder has received a listing of a process.
func (f *restartFaults) contact(id string, incarnation int64) {
	p := f.processes[id]
	if p.incarnation != incarnation || p.cutAtContact == nil {
		return
	}
	p.cutAtContact()
	p.cutAtContact = nil
}

// restart replaces the process of a worker by a new one under the same id, which has lost everything. The connections to the old process
// are reset, unless the restart is dark or the worker cut off: then they fail only with a timeout. A cut continues.
func (s *storm) restart(id string, dark bool) {
	f, w, old := s.restarts, s.workers[id], s.restarts.processes[id]
	for ref := range w.running {
		s.runOf(ref).ended = true
		s.crashes[ref.Task]++
	}
	partitionedUntil := s.state[id].partitionedUntil
	s.state[id] = newStormWorker(s.now)
	s.state[id].partitionedUntil = partitionedUntil
	w.running = map[workload.RunRef]*simRun{}
	w.ended, w.lastSequence = nil, 0
	maxOrigin := int64(maxClockOrigin)
	if f.rng.IntN(4) > 0 {
		// An expiry on the clock of the old process lies ahead of the new one's.
		maxOrigin = max(0, old.clock(s.now))
	}
	p := f.newProcess(old.incarnation+1, s.now+f.ticks(maxDownTicks), maxOrigin)
	f.processes[id] = p
	publish := func() {
		w.info.Incarnation = max(w.info.Incarnation, p.incarnation)
		s.core.SetWorker(w.info)
	}
	f.due = append(f.due, dueFault{at: p.bootsAt + f.ticks(maxEntryTicks), apply: publish, always: true})
	if !dark && !s.partitioned(id) {
		s.resetConnections(id, old.incarnation)
	}
}

var restartSeeds = flag.Uint64("storm.restartseeds", 100, "number of seeds of TestStormOfRestartedWorkers")

// TestStormOfRestartedWorkers guards against a holder that gives up a worker, and starts its tasks elsewhere, while the worker still runs
// them: a worker that was restarted under its old id held a lease that its holder had counted for the former process. It also guards
// against starts, stops and acknowledgements that were sent to a former process and take effect in the next one. The other faults of
// TestStorm are injected too.
func TestStormOfRestartedWorkers(t *testing.T) {
	var played playedRestarts
	for seed := range *restartSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newStorm(t, seed)
			s.restarts = newRestartFaults(s, seed)
			s.run()
			played.add(s.restarts.played)
		})
	}
	t.Logf("played: %+v", played)
	if played.incomplete() && *restartSeeds >= 100 {
		t.Errorf("some kind of call or loss was not played: %+v", played)
	}
}

func (p *playedRestarts) add(o playedRestarts) {
	p.lateStops += o.lateStops
	p.lateWatches += o.lateWatches
	p.lostStarts += o.lostStarts
	p.refusedStarts += o.refusedStarts
	p.expiries += o.expiries
	p.lapsed += o.lapsed
	p.cutBeforeContact += o.cutBeforeContact
	p.cutAfterContact += o.cutAfterContact
	p.restartedBehindCut += o.restartedBehindCut
	p.formerRenewals += o.formerRenewals
}

func (p *playedRestarts) incomplete() bool {
	return min(p.lateStops, p.lateWatches, p.lostStarts, p.refusedStarts, p.expiries, p.lapsed, p.cutBeforeContact, p.cutAfterContact,
		p.restartedBehindCut, p.formerRenewals) == 0
}

// openSessions replaces the sessions by those of a new holder. The former one may go on to renew leases for stormRenewalWithoutStore,
// and some workers can then be reached only by it.
func (f *restartFaults) openSessions(s *storm) {
	if f == nil {
		return
	}
	f.formerUntil = s.now + time.Duration(f.rng.Int64N(int64(stormRenewalWithoutStore)))
	f.former = f.sessions
	if f.rng.IntN(2) == 0 {
		f.former = nil
	}
	for _, id := range s.workerIDs {
		if f.former != nil && f.rng.IntN(4) == 0 {
			f.onlyFormerUntil[id] = s.now + time.Duration(f.rng.Int64N(int64(2*stormForeignLease)))
		}
	}
	for _, call := range f.calls {
		call.abandoned = call.abandoned || call.command != nil || f.former == nil
	}
	f.commands = nil
	f.sessions = map[string]*stormSession{}
	earlierLeases := s.now + stormRenewalWithoutStore + workerlease.MaxElapsed(stormLease)
	for _, id := range s.workerIDs {
		f.sessions[id] = &stormSession{
			id: id, epoch: s.epoch, lease: workerlease.New(stormLease, stormLongestLease, earlierLeases), pause: stormWatchRetry,
		}
	}
}
