package dispatch

import (
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/workload"
)

// assertStart states what every start relies on: the run is whole, no other run of the unit may exist, the work is wanted,
// and no worker is about to leave.
func (c *Core) assertStart(u *unit, workers []*worker) {
	s := u.step
	task := u.task(0)
	invariant.Check(len(workers) == u.size, invariant.GangWhole, "%v starts %d of %d members", task, len(workers), u.size)
	invariant.Check(len(u.placements) == 0 && u.state.Status == workload.UnitWaiting && !u.collapsing, invariant.AtMostOnce,
		"%v starts beside %d placements, status %v", task, len(u.placements), u.state.Status)
	invariant.Check(!s.done && !s.job.phase.Final(), invariant.AtMostOnce, "%v starts after its end, job %s", task, s.job.phase)
	for _, w := range workers {
		invariant.Check(!w.info.Draining, invariant.LeavingGetsNoWork, "%v starts on leaving worker %s", task, w.id)
	}
}

// assertNew states that the worker has no placement under the same reference, which the new one would replace unseen.
func assertNew(p *placement) {
	invariant.Check(p.worker.runs[p.ref] == nil, invariant.AtMostOnce, "%v is placed twice on worker %s", p.ref, p.worker.id)
}
