package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// scheduleGroup is the group whose assignment decides who holds the schedule.
	scheduleGroup = "schedule"
	// memberTTL is how long the group keeps a silent member; joinInterval is the time between two signs of life.
	memberTTL    = 1600 * time.Millisecond
	joinInterval = 400 * time.Millisecond
	// leaveTimeout bounds giving the schedule back at a shutdown.
	leaveTimeout = 800 * time.Millisecond
)

// membership takes part in the group and runs a leader while this VM holds the schedule.
type membership struct {
	node   *Node
	member string

	generation int64
	// confirmedAt is the start of the join that last confirmed that this VM holds the schedule, on the boot clock.
	confirmedAt atomic.Int64
	leader      *leader.Leader
	stopLeader  context.CancelFunc
	leaderDone  chan struct{}
}

// run takes part until ctx ends, then gives the schedule back.
func (m *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		if config, _ := m.node.config.current(); config != nil {
			m.join(ctx, config)
		}
		pause(ctx, joinInterval)
	}
	m.endLeader("shutdown")
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.node.Log.Leave(leaveCtx, scheduleGroup, m.member, m.generation); err != nil {
		m.node.Out.Warn().Err(err).Msg("group not left; the schedule passes on when the membership expires")
	}
}

func (m *membership) join(ctx context.Context, config *workload.Config) {
	startedAt := boottime.Now()
	assignment, err := m.node.Log.Join(ctx, scheduleGroup, m.member, max(memberTTL, m.node.Settings.Store.MinGroupTTL), m.generation)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.node.Out.Debug().Err(err).Msg("membership not confirmed")
		return
	}
	m.generation = assignment.Generation
	if !assignment.Holds {
		m.endLeader("the group assigned the schedule to another VM")
		return
	}
	m.confirmedAt.Store(int64(startedAt))
	if m.leaderEnded() {
		m.lead(ctx, config)
	}
}

// leaderEnded reports whether no leader runs.
func (m *membership) leaderEnded() bool {
	if m.leader == nil {
		return true
	}
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
		Epoch: m.generation, Log: n.Log, Follower: n.follower, View: n.view, Workers: n.Workers,
		DecodeWorker: n.Decoder.WorkerRecord, Params: n.dispatchParams(), MaxLease: n.Settings.Bounds.MaxLease,
		StatusRetention: n.Settings.Bounds.StatusRetention, Out: n.Out,
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
