package control

import (
	"sort"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/scheduler"
)

// fakePlanner is a first-fit scheduler.Planner that stops work on leaving workers and for urgent jobs.
type fakePlanner struct {
	fd     string
	doc    *config.Document
	health map[string]scheduler.Health
	jobs   map[string]*plannedJob
	order  []string
}

type plannedJob struct {
	job       jobs.Job
	attempt   uint64
	placement scheduler.Placement
	running   bool
	stopping  bool
	cancelled bool
	failures  int
	notBefore time.Time
}

func newFakePlanner(fd string) scheduler.Planner {
	return &fakePlanner{fd: fd, health: map[string]scheduler.Health{}, jobs: map[string]*plannedJob{}}
}

func (p *fakePlanner) SetConfig(doc *config.Document, _ time.Time) { p.doc = doc }

func (p *fakePlanner) SetWorkerHealth(worker string, health scheduler.Health, _ time.Time) {
	p.health[worker] = health
}

func (p *fakePlanner) Submit(job jobs.Job, _ time.Time) error {
	if p.jobs[job.ID] == nil {
		p.jobs[job.ID] = &plannedJob{job: job}
		p.order = append(p.order, job.ID)
	}
	return nil
}

func (p *fakePlanner) Adopt(job jobs.Job, attempt uint64, placement scheduler.Placement, state jobs.State, now time.Time) {
	_ = p.Submit(job, now)
	planned := p.jobs[job.ID]
	planned.attempt, planned.placement, planned.running = attempt, placement, true
}

func (p *fakePlanner) Started(job string, _ uint64, _ time.Time) { p.jobs[job].running = true }

func (p *fakePlanner) Ended(job string, attempt uint64, result scheduler.Result, now time.Time) {
	planned := p.jobs[job]
	if planned == nil || planned.attempt != attempt {
		return
	}
	planned.placement, planned.running, planned.stopping = nil, false, false
	planned.notBefore = now.Add(time.Second)
	if result.Kind == scheduler.ResultFailed {
		planned.failures++
	}
	if planned.cancelled || result.Kind == scheduler.ResultCompleted || result.Kind == scheduler.ResultUnknown {
		delete(p.jobs, job)
	}
}

func (p *fakePlanner) Cancel(job string, _ time.Time) bool {
	planned := p.jobs[job]
	if planned == nil {
		return false
	}
	planned.cancelled = true
	if planned.placement == nil {
		delete(p.jobs, job)
	}
	return true
}

func (p *fakePlanner) Plan(now time.Time) scheduler.Plan {
	plan := scheduler.Plan{NextCheck: now.Add(time.Second)}
	free := p.free()
	for _, id := range append([]string(nil), p.order...) {
		planned := p.jobs[id]
		switch {
		case planned == nil:
		case planned.placement != nil:
			if reason := p.stopReason(planned); reason != "" && !planned.stopping {
				planned.stopping = true
				plan.Stops = append(plan.Stops, scheduler.Stop{Job: id, Attempt: planned.attempt, Reason: reason,
					Checkpoint: planned.job.CanCheckpoint, CheckpointBound: 5 * time.Second})
			}
		case planned.failures >= 3:
			plan.Condemned = append(plan.Condemned, scheduler.Condemned{Job: id, Detail: "failed 3 times"})
			delete(p.jobs, id)
		case now.Before(planned.notBefore):
		default:
			if placement := p.place(planned.job, free); placement != nil {
				planned.attempt++
				planned.placement = placement
				plan.Starts = append(plan.Starts, scheduler.Start{Job: planned.job, Attempt: planned.attempt,
					Placement: placement})
			}
		}
	}
	return plan
}

func (p *fakePlanner) stopReason(planned *plannedJob) scheduler.StopReason {
	if planned.cancelled {
		return scheduler.StopCancelled
	}
	for _, worker := range planned.placement {
		if p.health[worker] == scheduler.HealthLeaving && planned.running && planned.job.Stoppable() {
			return scheduler.StopDrain
		}
	}
	return ""
}

func (p *fakePlanner) free() map[string]resource.Resources {
	free := map[string]resource.Resources{}
	for id, w := range p.doc.Workers {
		if p.health[id] == scheduler.HealthUp {
			free[id] = w.Capacity
		}
	}
	for _, planned := range p.jobs {
		for _, worker := range planned.placement {
			free[worker] = free[worker].Sub(planned.job.Shape.PerMember)
		}
	}
	return free
}

func (p *fakePlanner) place(job jobs.Job, free map[string]resource.Resources) scheduler.Placement {
	var ids []string
	for id := range free {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	var placement scheduler.Placement
	left := map[string]resource.Resources{}
	for _, id := range ids {
		rest := free[id]
		if p.health[id] != scheduler.HealthUp {
			continue
		}
		for len(placement) < job.Shape.Members && job.Shape.PerMember.Fits(rest) {
			rest = rest.Sub(job.Shape.PerMember)
			placement = append(placement, id)
		}
		left[id] = rest
	}
	if len(placement) < job.Shape.Members {
		return nil
	}
	for id, rest := range left {
		free[id] = rest
	}
	return placement
}

func (p *fakePlanner) Why(job string, _ time.Time) string {
	if p.jobs[job] == nil {
		return ""
	}
	return "waits for capacity"
}

func (p *fakePlanner) Status(string) (jobs.Status, bool) { return jobs.Status{}, false }

func (p *fakePlanner) List() []jobs.Status { return nil }
