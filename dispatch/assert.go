package dispatch

import (
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/workload"
)

// assertStart checks the preconditions of every start: the run has all its members, no other run of the unit exists, the
// step and the job have not ended, and none of the workers is draining or evacuated.
func (c *Core) assertStart(u *unit, workers []*worker) {
	s := u.step
	task := u.task(0)
	invariant.Check(len(workers) == u.size, invariant.GangAllOrNothing, "%v starts %d of %d members", task, len(workers), u.size)
	invariant.Check(len(u.placements) == 0 && u.state.Status == workload.UnitWaiting && !u.aborting, invariant.AtMostOnce,
		"%v starts while it has %d placements, status %v", task, len(u.placements), u.state.Status)
	invariant.Check(!s.done && !s.job.phase.Final(), invariant.AtMostOnce, "%v starts although its step or job has ended, job %s", task, s.job.phase)
	for _, w := range workers {
		invariant.Check(!w.info.Draining, invariant.LeavingGetsNoWork, "%v starts on draining worker %s", task, w.id)
		invariant.Check(!w.evacuated, invariant.LeavingGetsNoWork, "%v starts on worker %s in the evacuated failure domain %s", task, w.id,
			w.info.FailureDomain)
	}
}

// assertNotPlaced checks that the worker has no placement with the same reference, which p would overwrite.
func assertNotPlaced(p *placement) {
	invariant.Check(p.worker.runs[p.ref] == nil, invariant.AtMostOnce, "%v is placed twice on worker %s", p.ref, p.worker.id)
}
