package dispatch

import (
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// stormContactWindow is how long a holder must have been in contact with a worker to know what it runs, countMaxAge how old the
	// count of waiting jobs may be.
	stormContactWindow = 3 * time.Second
	countMaxAge        = 2 * time.Second
)

// begunRuns is what the workers know of a job's begin: the processes that have begun a run of it.
type begunRuns struct {
	processes []stormProcessID
	// contactSince is since when the holder has had contact with one of these without a break; the constant never without contact.
	contactSince time.Duration
}

// stormProcessID names a process of a worker.
type stormProcessID struct {
	worker      string
	incarnation int64
}

// incarnationOf returns the incarnation of the worker's present process.
func (s *storm) incarnationOf(id string) int64 {
	if s.restarts != nil {
		return s.restarts.processes[id].incarnation
	}
	return s.workers[id].info.Incarnation
}

// noteBegin records that the worker has begun a run of the job.
func (s *storm) noteBegin(job workload.JobID, worker string) {
	if s.begun[job] == nil {
		s.begun[job] = &begunRuns{contactSince: never}
	}
	b := s.begun[job]
	b.processes = append(b.processes, stormProcessID{worker, s.incarnationOf(worker)})
}

// inContact reports whether the holder can reach a process that has begun a run, and lost no call on the way to it just now.
func (s *storm) inContact(b *begunRuns) bool {
	for _, p := range b.processes {
		reachable := !s.partitioned(p.worker)
		if s.restarts != nil {
			reachable = s.reachable(p.worker, s.epoch) && s.now >= s.restarts.processes[p.worker].bootsAt && s.lostCallAt[p.worker] < s.now
		}
		if reachable && s.incarnationOf(p.worker) == p.incarnation {
			return true
		}
	}
	return false
}

// loseContact makes the time of contact with all workers begin anew: the holder has changed.
func (s *storm) loseContact() {
	for _, b := range s.begun {
		b.contactSince = never
	}
}

// checkWaiting checks the count of waiting jobs, which follows from the stored phases: a job is counted as long as no worker has begun a
// run of it, and no longer than the holder needs to learn of the begin and the count may be old.
func (s *storm) checkWaiting() {
	for _, job := range s.jobs {
		phase, begun := s.phases[job.ID], s.begun[job.ID]
		if phase == workload.PhaseRunning && begun == nil {
			s.t.Fatalf("job %s is not counted as waiting although no worker has begun a run of it", job.ID)
		}
		if phase != workload.PhaseQueued || begun == nil {
			continue
		}
		switch {
		case !s.inContact(begun):
			begun.contactSince = never
		case begun.contactSince < 0:
			begun.contactSince = s.now
		case s.now-begun.contactSince > stormContactWindow+countMaxAge:
			s.t.Fatalf("job %s is counted as waiting %s after the holder could learn that a worker has begun a run of it", job.ID, s.now-begun.contactSince)
		}
	}
}
