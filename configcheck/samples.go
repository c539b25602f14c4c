package configcheck

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// checkSamples checks jobs that callers submit against the routes and the workers.
func (c *checker) checkSamples() {
	if len(c.Samples) == 0 {
		c.notChecked("labels, data racks and the length of jobs: no sample jobs were given")
		return
	}
	for i := range c.Samples {
		s := &c.Samples[i]
		q := c.current.Config.Queue(s.Queue)
		if q == nil {
			c.addFor(Error, "sample-without-route", s.File, "job", "name the sample after a route", "no route is named %q", s.Queue)
			continue
		}
		c.checkWork(s, q)
		if workers := c.capacity.byService[q.Service]; c.WorkersKnown && workers != nil && len(workers.workers) > 0 {
			c.checkSteps(s, q, workers)
		}
	}
}

// checkWork compares the longest chain of a job's steps with the objective of its queue.
func (c *checker) checkWork(s *Sample, q *workload.Queue) {
	chain := criticalPath(s.Job)
	objective := time.Duration(min(q.SlackFactor*float64(chain)+float64(q.Target), maxObjective))
	if chain > 0 && objective < chain {
		c.addFor(Warning, "objective-shorter-than-work", s.File, fmt.Sprintf("job of route %q", q.Name),
			"raise the slack factor or the target of the route",
			"the job's longest chain of steps takes %v, the objective of its route allows %v", chain, objective)
	}
}

// criticalPath returns the duration of the longest chain of steps of one repetition; 0 if a step runs until it is cancelled.
func criticalPath(j *workload.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return 0
		}
		var begin time.Duration
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + max(0, j.Steps[i].Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// checkSteps reports steps that no worker of the service can run, and data racks that no worker is in.
func (c *checker) checkSteps(s *Sample, q *workload.Queue, workers *serviceCapacity) {
	for i := range s.Job.Steps {
		step := &s.Job.Steps[i]
		entry := fmt.Sprintf("step %d of the job of route %q", i, q.Name)
		if label := step.RequiredLabel; label != "" && !workers.labels[label] {
			c.addFor(Error, "label-without-workers", s.File, entry, "correct the label, or start workers that carry it",
				"no worker of service %q has the required label %q, so the step never runs", q.Service, label)
			continue
		}
		if rack := step.DataRack; rack != "" && !workers.racks[rack] {
			c.addFor(Warning, "rack-without-workers", s.File, entry, "correct the rack, or start workers in it",
				"no worker of service %q is in data rack %q, so the step runs far from its data", q.Service, rack)
		}
		room := roomFor(step, workers.workers)
		switch {
		case room == 0:
			c.addFor(Error, "step-without-shape", s.File, entry, "ask for less for each task, or add larger workers",
				"a task needs %d accelerators, %d milli-CPU and %d MB, which no worker of service %q with its label has",
				step.Demand.Accelerators, step.Demand.MilliCPU, step.Demand.MemoryMB, q.Service)
		case step.Gang && room < step.Tasks:
			c.addFor(Error, "step-without-shape", s.File, entry, "ask for fewer tasks, or add workers",
				"the gang has %d tasks, but all workers of service %q with its label hold %d at once", step.Tasks, q.Service, room)
		}
	}
}

// roomFor returns the number of tasks of the step that run at once on the workers when nothing else does, at most step.Tasks.
func roomFor(step *workload.Step, workers []*workload.WorkerInfo) int {
	room := 0
	for _, w := range workers {
		if step.RequiredLabel != "" && !w.HasLabel(step.RequiredLabel) {
			continue
		}
		n := int64(step.Tasks)
		if step.MaxPerWorker > 0 {
			n = min(n, int64(step.MaxPerWorker))
		}
		if d := step.Demand.Accelerators; d > 0 {
			n = min(n, int64(w.Capacity.Accelerators/d))
		}
		if d := step.Demand.MilliCPU; d > 0 {
			n = min(n, w.Capacity.MilliCPU/d)
		}
		if d := step.Demand.MemoryMB; d > 0 {
			n = min(n, w.Capacity.MemoryMB/d)
		}
		if room += int(n); room >= step.Tasks {
			return step.Tasks
		}
	}
	return room
}
