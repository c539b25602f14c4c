package node

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// scheduleGroup is the group whose assignment decides which VM holds the schedule.
	scheduleGroup = "schedule"
	// memberTTL is how long the group keeps a member that does not renew its membership; joinInterval is the time between
	// two renewals.
	memberTTL    = 1300 * time.Millisecond
	joinInterval = 350 * time.Millisecond
	// joinTimeout bounds one hedged renewal.
	joinTimeout = 1200 * time.Millisecond
	// standbySteps and standbyStep spread the times at which VMs try to take a vacant schedule: over standbySteps multiples
	// of standbyStep or of the latency of the store, whichever is longer.
	standbySteps = 12
	standbyStep  = 30 * time.Millisecond
	// smallCPUShare is the share of a core below which smallCPUStandby is added to the standby delay of a VM.
	smallCPUShare   = 0.3
	smallCPUStandby = 800 * time.Millisecond
	// checkTimeout bounds the check whether another VM has held the schedule: with joinInterval and a join it must stay below memberTTL.
	checkTimeout = 400 * time.Millisecond
	// leaveTimeout bounds the request to leave the group.
	leaveTimeout = 800 * time.Millisecond
)

// membership joins the group when no VM holds the schedule and runs a leader while this VM holds it.
//
// Only the holder is a member of the group. The store reassigns a group's parts whenever a member joins or leaves, so with
// permanent members every restart of a VM could move the schedule. The other VMs query the holder and join when there is
// none.
type membership struct {
	node *Node
	// member is the name of this process in the group.
	member string

	// joined is true from the first request to join until the release of the schedule.
	joined bool
	// generation is the group's generation as of the last response to a join; 0 for a new member.
	generation int64
	// vacantSince is when the schedule was first seen without a holder, on the boot clock; 0 while it has one.
	vacantSince time.Duration
	// confirmedAt is the start of the join that last confirmed that this VM holds the schedule, in nanoseconds on the boot
	// clock.
	confirmedAt atomic.Int64
	// unchecked is true from when the membership may have expired until it is known that no other VM has held the schedule since.
	unchecked bool
	// leader is nil while this VM does not hold the schedule. leaderDone is closed when its Run has returned.
	leader       *leader.Leader
	cancelLeader context.CancelFunc
	leaderDone   chan struct{}
}

// standbyDelay returns how long a VM waits before it joins the group of a vacant schedule. The delay is a multiple of the
// latency of the store, roundTrip, or of standbyStep if that is longer. A hash of the VM's name chooses the factor, so that
// two VMs rarely join at once. VMs with a small share of a core wait longest, because the holder's work grows with the
// number of workers.
func standbyDelay(vm string, cpuShare float64, roundTrip time.Duration) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(vm))
	spread := time.Duration(hash.Sum32()%standbySteps) * max(standbyStep, roundTrip)
	if cpuShare < smallCPUShare {
		return spread + smallCPUStandby
	}
	return spread
}

// run follows the group until ctx ends, then releases the schedule.
func (m *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		if config, _ := m.node.config.current(); config != nil {
			m.step(ctx, config)
		}
		boottime.Sleep(ctx, m.interval())
	}
	m.release("shutdown")
}

// interval returns the time until the next step, which is short while the schedule is vacant.
func (m *membership) interval() time.Duration {
	if m.vacantSince > 0 {
		return standbyStep
	}
	return joinInterval
}

// step renews the membership if this VM has joined the group, and joins it once the schedule was vacant for the standby
// delay.
func (m *membership) step(ctx context.Context, config *workload.Config) {
	if m.joined && !m.mayHaveExpired() {
		m.join(ctx, config)
		return
	}
	queriedAt := boottime.Now()
	holder, err := m.node.Log.Holder(ctx, scheduleGroup)
	if m.joined {
		m.resolveExpiry(ctx, config, holder, err)
		return
	}
	if err != nil || holder != "" {
		m.vacantSince = 0
		return
	}
	now := boottime.Now()
	if m.vacantSince == 0 {
		m.vacantSince = now
	}
	if now-m.vacantSince >= standbyDelay(m.node.Settings.VM, m.node.Settings.CPUShare, now-queriedAt) {
		m.vacantSince = 0
		m.generation = 0
		m.joined = true
		m.join(ctx, config)
	}
}

// ttl returns how long the group keeps this VM without a renewal.
func (m *membership) ttl() time.Duration { return max(memberTTL, m.node.Settings.Store.MinGroupTTL) }

// mayHaveExpired reports whether the group may have removed this VM because it has not renewed its membership.
func (m *membership) mayHaveExpired() bool {
	return m.leader != nil && boottime.Now()-time.Duration(m.confirmedAt.Load()) > m.ttl()
}

// resolveExpiry renews a membership that may have expired unless another VM has taken over the schedule meanwhile: joining
// as a new member would take the schedule from that VM.
func (m *membership) resolveExpiry(ctx context.Context, config *workload.Config, holder string, err error) {
	switch {
	case err != nil:
		m.node.Logger.Debug().Err(err).Msg("membership not confirmed")
	case holder == "" || holder == m.member:
		m.join(ctx, config)
	default:
		m.release("another VM holds the schedule")
	}
}

// join joins the group or renews the membership. It starts a leader if the group assigns the schedule to this VM, and
// releases the schedule if it does not.
func (m *membership) join(ctx context.Context, config *workload.Config) {
	startedAt := boottime.Now()
	ttl, generation := m.ttl(), m.generation
	assignment, _, err := store.Hedged(ctx, &m.node.hedge, joinTimeout, func(ctx context.Context) (store.Assignment, error) {
		return m.node.Log.Join(ctx, scheduleGroup, m.member, ttl, generation)
	})
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.node.Logger.Debug().Err(err).Msg("membership not confirmed")
		if m.leader == nil {
			m.release("the group did not confirm the membership")
		}
		return
	}
	m.generation = assignment.Generation
	if !assignment.Holds {
		m.release("the group assigned the schedule to another VM")
		return
	}
	if m.leader != nil && m.superseded(ctx) {
		m.release("another VM has held the schedule")
		return
	}
	m.confirmedAt.Store(int64(startedAt))
	if m.leader == nil {
		m.startLeader(ctx, config)
		return
	}
	if m.leaderEnded() {
		// The next leader needs a higher epoch, which only a new membership provides.
		m.release("the leader has ended")
	}
}

// superseded reports whether another VM has held the schedule since the leader took it, which is possible once the membership may have
// expired: what the leader knows is from before that VM. While the store does not answer in time this is not known, and the leader goes
// on: otherwise the leases of all runs would expire. The check is repeated with each join.
func (m *membership) superseded(ctx context.Context) bool {
	m.unchecked = m.unchecked || m.mayHaveExpired()
	if !m.unchecked {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	superseded, err := m.leader.Superseded(ctx)
	if err != nil {
		m.node.Logger.Debug().Err(err).Msg("not known whether another VM has held the schedule")
	}
	m.unchecked = err != nil
	return superseded
}

// release stops the leader and leaves the group. It has no effect if neither applies.
func (m *membership) release(reason string) {
	m.stopLeader(reason)
	if !m.joined {
		return
	}
	m.joined = false
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.node.Log.Leave(ctx, scheduleGroup, m.member, m.generation); err != nil {
		m.node.Logger.Warn().Err(err).Msg("group not left; the schedule is reassigned when the membership expires")
	}
}

// leaderEnded reports whether the leader has ended.
func (m *membership) leaderEnded() bool {
	select {
	case <-m.leaderDone:
		return true
	default:
		return false
	}
}

// startLeader starts a leader whose epoch is the current generation of the group.
func (m *membership) startLeader(ctx context.Context, config *workload.Config) {
	n := m.node
	options := leader.Options{
		Epoch: m.generation, Log: n.Log, Hedge: &n.hedge, Follower: n.follower, View: n.view, Workers: n.Workers,
		DecodeWorker: n.Decoder.WorkerRecord, DispatchOptions: n.dispatchOptions(), MaxLease: n.Settings.Bounds.MaxLease,
		HeartbeatInterval: n.Settings.Bounds.HeartbeatInterval,
		StatusRetention:   n.Settings.Bounds.StatusRetention, Logger: n.Logger,
		ConfirmedAt:   func() time.Duration { return time.Duration(m.confirmedAt.Load()) },
		MembershipTTL: m.ttl(),
	}
	if n.config.evacuations.enabled() {
		options.Evacuations, options.EvacuationBound = n.config.evacuations.current, n.Settings.Bounds.Evacuation
	}
	m.unchecked = false
	l := leader.New(options, config)
	leaderCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	m.leader, m.cancelLeader, m.leaderDone = l, cancel, done
	n.setLeader(l)
	// A version that arrived since config was read has not reached the leader.
	newest, _ := n.config.current()
	l.SetConfig(newest)
	go func() {
		defer close(done)
		l.Run(leaderCtx)
	}()
}

// stopLeader stops the leader, if there is one, and waits until it has sent its last request.
func (m *membership) stopLeader(reason string) {
	if m.leader == nil {
		return
	}
	m.node.Logger.Info().Str("reason", reason).Msg("schedule given back")
	m.node.setLeader(nil)
	m.cancelLeader()
	<-m.leaderDone
	m.leader = nil
}
