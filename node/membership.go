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
	// scheduleGroup is the group whose assignment decides who holds the schedule.
	scheduleGroup = "schedule"
	// memberTTL is how long the group keeps a silent member; joinInterval is the time between two signs of life.
	memberTTL    = 1300 * time.Millisecond
	joinInterval = 350 * time.Millisecond
	// joinTimeout bounds the attempts of one sign of life.
	joinTimeout = 1200 * time.Millisecond
	// standbySteps and standbyStep spread the VMs' candidacies for a free schedule.
	standbySteps = 12
	standbyStep  = 30 * time.Millisecond
	// smallCPUShare is the share of a core below which a VM leaves the schedule to others for smallStandby.
	smallCPUShare = 0.3
	smallStandby  = 800 * time.Millisecond
	// leaveTimeout bounds giving the schedule back at a shutdown.
	leaveTimeout = 800 * time.Millisecond
)

// membership takes part in the group and runs a leader while this VM holds the schedule.
//
// Only the holder is a member of the group. The store deals a group's parts anew whenever a member comes or goes, so
// that standing members would take the schedule from each other at every restart of any of them. The other VMs ask who
// holds the schedule, and join when nobody does.
type membership struct {
	node   *Node
	member string

	joined     bool
	generation int64
	// freeSince is when the schedule was first seen without holder, on the boot clock; 0 while it has one.
	freeSince time.Duration
	// confirmedAt is the start of the join that last confirmed that this VM holds the schedule, on the boot clock.
	confirmedAt atomic.Int64
	leader      *leader.Leader
	stopLeader  context.CancelFunc
	leaderDone  chan struct{}
}

// standbyOf returns how long a VM leaves a free schedule to others, if the group takes roundTrip to answer. It spreads the
// candidacies further apart than an answer takes, so that seldom two VMs join at once. VMs with a small share of a core
// wait longest: the holder's work grows with the number of workers.
func standbyOf(vm string, cpuShare float64, roundTrip time.Duration) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(vm))
	spread := time.Duration(hash.Sum32()%standbySteps) * max(standbyStep, roundTrip)
	if cpuShare < smallCPUShare {
		return spread + smallStandby
	}
	return spread
}

// run takes part until ctx ends, then gives the schedule back.
func (m *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		if config, _ := m.node.config.current(); config != nil {
			m.step(ctx, config)
		}
		boottime.Sleep(ctx, m.interval())
	}
	m.giveBack("shutdown")
}

// interval is short while this VM is about to stand for a free schedule.
func (m *membership) interval() time.Duration {
	if m.freeSince > 0 {
		return standbyStep
	}
	return joinInterval
}

func (m *membership) step(ctx context.Context, config *workload.Config) {
	if m.joined && !m.lapsed() {
		m.keep(ctx, config)
		return
	}
	askedAt := boottime.Now()
	holder, err := m.node.Log.Holder(ctx, scheduleGroup)
	if m.joined {
		m.afterLapse(ctx, config, holder, err)
		return
	}
	if err != nil || holder != "" {
		m.freeSince = 0
		return
	}
	now := boottime.Now()
	if m.freeSince == 0 {
		m.freeSince = now
	}
	if now-m.freeSince >= standbyOf(m.node.Settings.VM, m.node.Settings.CPUShare, now-askedAt) {
		m.freeSince = 0
		m.generation = 0
		m.joined = true
		m.keep(ctx, config)
	}
}

// ttl is how long the group keeps this VM without a sign of life.
func (m *membership) ttl() time.Duration { return max(memberTTL, m.node.Settings.Store.MinGroupTTL) }

// lapsed reports whether the group may have dropped this VM.
func (m *membership) lapsed() bool {
	return m.leader != nil && boottime.Now()-time.Duration(m.confirmedAt.Load()) > m.ttl()
}

// afterLapse decides what becomes of the schedule when the store answers again. Joining as a new member would take the
// schedule from a holder that has taken over meanwhile.
func (m *membership) afterLapse(ctx context.Context, config *workload.Config, holder string, err error) {
	switch {
	case err != nil:
		m.node.Out.Debug().Err(err).Msg("membership not confirmed")
	case holder == "" || holder == m.member:
		m.keep(ctx, config)
	default:
		m.giveBack("another VM holds the schedule")
	}
}

// keep joins the group or stays in it, and leads while the group gives the schedule to this VM.
func (m *membership) keep(ctx context.Context, config *workload.Config) {
	startedAt := boottime.Now()
	ttl, generation := m.ttl(), m.generation
	assignment, _, err := store.Hedged(ctx, &m.node.hedge, joinTimeout, func(ctx context.Context) (store.Assignment, error) {
		return m.node.Log.Join(ctx, scheduleGroup, m.member, ttl, generation)
	})
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.node.Out.Debug().Err(err).Msg("membership not confirmed")
		if m.leader == nil {
			m.giveBack("the group did not confirm the candidacy")
		}
		return
	}
	m.generation = assignment.Generation
	if !assignment.Holds {
		m.giveBack("the group assigned the schedule to another VM")
		return
	}
	m.confirmedAt.Store(int64(startedAt))
	if m.leader == nil {
		m.lead(ctx, config)
		return
	}
	if m.leaderEnded() {
		// The next holder needs a higher epoch, which only a new membership gives.
		m.giveBack("the leader has ended")
	}
}

// giveBack ends the leader and leaves the group.
func (m *membership) giveBack(why string) {
	m.endLeader(why)
	if !m.joined {
		return
	}
	m.joined = false
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.node.Log.Leave(ctx, scheduleGroup, m.member, m.generation); err != nil {
		m.node.Out.Warn().Err(err).Msg("group not left; the schedule passes on when the membership expires")
	}
}

// leaderEnded reports whether no leader runs.
func (m *membership) leaderEnded() bool {
	select {
	case <-m.leaderDone:
		return true
	default:
		return false
	}
}

// lead starts a leader for the current generation.
func (m *membership) lead(ctx context.Context, config *workload.Config) {
	n := m.node
	l := leader.New(leader.Options{
		Epoch: m.generation, Log: n.Log, Hedge: &n.hedge, Follower: n.follower, View: n.view, Workers: n.Workers,
		DecodeWorker: n.Decoder.WorkerRecord, Params: n.dispatchParams(), MaxLease: n.Settings.Bounds.MaxLease,
		HeartbeatInterval: n.Settings.Bounds.HeartbeatInterval,
		StatusRetention:   n.Settings.Bounds.StatusRetention, Out: n.Out,
		ConfirmedAt: func() time.Duration { return time.Duration(m.confirmedAt.Load()) },
	}, config)
	leaderCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	m.leader, m.stopLeader, m.leaderDone = l, cancel, done
	n.setLeader(l)
	go func() {
		defer close(done)
		l.Run(leaderCtx)
	}()
}

// endLeader stops the leader, if one runs, and waits until it sends nothing more.
func (m *membership) endLeader(why string) {
	if m.leader == nil {
		return
	}
	m.node.Out.Info().Str("reason", why).Msg("schedule given back")
	m.node.setLeader(nil)
	m.stopLeader()
	<-m.leaderDone
	m.leader = nil
}
