package dispatch

import (
	"slices"

	"github.com/redwingthread/redwingthread/workload"
)

// export returns the durable state of the job. A job in a final phase is stored without its units.
func (j *job) export() *workload.JobState {
	state := &workload.JobState{Phase: j.phase}
	if j.phase.Final() {
		return state
	}
	state.Begun = j.begun
	// Repetitions without steps share their entries.
	done, pending := make([]workload.StepState, len(j.spec.Steps)), make([]workload.StepState, len(j.spec.Steps))
	for i := range done {
		done[i].Done = true
	}
	state.Repetitions = make([][]workload.StepState, j.repetitions.known)
	for k := range state.Repetitions {
		state.Repetitions[k] = pending
		if j.repetitions.isDone(k) {
			state.Repetitions[k] = done
		}
	}
	for _, r := range j.repetitions.active {
		exported := make([]workload.StepState, len(r.steps))
		for i, s := range r.steps {
			exported[i] = s.export()
		}
		state.Repetitions[r.index] = exported
	}
	return state
}

func (s *step) export() workload.StepState {
	if s.done {
		return workload.StepState{Done: true}
	}
	var state workload.StepState
	if !slices.ContainsFunc(s.units, func(u *unit) bool { return !u.state.Untouched() }) {
		return state
	}
	for _, u := range s.units {
		state.Units = append(state.Units, u.export())
	}
	return state
}

func (u *unit) export() workload.UnitState {
	state := u.state
	state.Workers, state.Incarnations = nil, nil
	if state.Status != workload.UnitActive {
		return state
	}
	state.Workers = make([]string, u.size)
	state.Incarnations = make([]int64, u.size)
	for _, p := range u.placements {
		state.Workers[p.member] = p.worker.id
		state.Incarnations[p.member] = p.storedIncarnation()
	}
	return state
}

// storedIncarnation returns the incarnation to store for the run. A run whose crash was counted may stay until its stop is confirmed;
// the next holder must neither count the crash again nor send the start to another process.
func (p *placement) storedIncarnation() int64 {
	if p.crashCounted {
		return workload.CountedIncarnation
	}
	return p.incarnation
}

// restore rebuilds a job's steps from its durable state. Active units are assumed to be running until a listing or the
// expiry of the worker's lease shows otherwise. Repetitions of which nothing was started begin anew when there is room for
// them. Repetitions beyond those of the job are not restored.
func (c *Core) restore(j *job, state *workload.JobState) {
	j.phase = state.Phase
	defer c.restoreBegin(j, state)
	if len(state.Repetitions) > j.spec.RepetitionCount() {
		return
	}
	for k, stored := range state.Repetitions {
		if untouched(stored) {
			continue
		}
		if len(stored) == len(j.spec.Steps) && allDone(stored) {
			j.repetitions.setDone(k)
			continue
		}
		steps := c.beginRepetition(j, k)
		for i := range min(len(stored), len(steps)) {
			c.restoreStep(steps[i], &stored[i])
		}
	}
}

func (c *Core) restoreStep(s *step, state *workload.StepState) {
	if state.Done {
		s.done = true
		for _, u := range s.units {
			u.state.Status = workload.UnitDone
		}
		return
	}
	for i := range min(len(state.Units), len(s.units)) {
		c.restoreUnit(s.units[i], state.Units[i])
	}
}

func (c *Core) restoreUnit(u *unit, state workload.UnitState) {
	u.state = state
	u.state.Workers, u.state.Incarnations = nil, nil
	if state.Status != workload.UnitActive {
		return
	}
	u.startedAt = c.now
	for member, name := range state.Workers {
		if name == "" || member >= u.size {
			// The member had ended when the state was stored, so the run was already being aborted.
			u.aborting = true
			continue
		}
		p := u.newPlacement(member, c.workerOf(name))
		p.unverified, p.restored, p.partial = true, true, true
		p.incarnation = 0
		if member < len(state.Incarnations) {
			p.incarnation = state.Incarnations[member]
		}
		p.crashCounted = p.incarnation == workload.CountedIncarnation
		c.attach(p)
	}
	if len(u.placements) == 0 {
		u.state.Status = workload.UnitWaiting
		u.aborting = false
		return
	}
	if u.aborting {
		c.abortRun(u, "incomplete run after takeover")
	}
}
