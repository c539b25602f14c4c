//go:build bench

package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// baseline is a simple scheduler that the core is compared with. It has two variants. Both place all members of a gang
// at once, adjacent and on the first workers that fit, in submission order, and stop nothing. First-fit starts every
// waiting job that fits. Quota counting admits jobs against the accounts' quotas and the total of accelerators,
// whatever their shapes; an admitted job stays counted while it waits for a placement, and a job that is not admitted
// blocks the later jobs of its account.
type baseline struct {
	Planner
	quotaCounting bool
	workers       []resource.Worker
	free          []resource.Resources
	quota         map[string]int
	// total is the number of accelerators of all workers.
	total int
	// admitted holds the accelerators of admitted jobs by account; admittedTotal is their sum.
	admitted      map[string]int
	admittedTotal int
	waiting       []*baselineJob
	placed        map[string]*baselineJob
}

type baselineJob struct {
	jobs.Job
	admitted  bool
	attempt   uint64
	placement []int
}

func newBaseline(doc *config.Document, quotaCounting bool) *baseline {
	b := &baseline{
		quotaCounting: quotaCounting, quota: map[string]int{}, admitted: map[string]int{}, placed: map[string]*baselineJob{},
	}
	for _, w := range doc.Workers {
		b.workers = append(b.workers, w)
		b.total += w.Capacity.Accelerators
	}
	slices.SortFunc(b.workers, func(x, y resource.Worker) int {
		return strings.Compare(x.Rack+x.ID, y.Rack+y.ID)
	})
	for _, w := range b.workers {
		b.free = append(b.free, w.Capacity)
	}
	for name, a := range doc.Accounts {
		b.quota[name] = a.Quota
	}
	return b
}

func (b *baseline) Submit(j jobs.Job, _ time.Time) error {
	b.waiting = append(b.waiting, &baselineJob{Job: j})
	return nil
}

func (b *baseline) Started(string, uint64, time.Time) {}

func (b *baseline) Ended(id string, _ uint64, _ Result, _ time.Time) {
	j := b.placed[id]
	delete(b.placed, id)
	for _, i := range j.placement {
		b.free[i] = b.free[i].Add(j.Shape.PerMember)
	}
	n := j.Shape.Total().Accelerators
	b.admitted[j.Account] -= n
	b.admittedTotal -= n
}

func (b *baseline) Plan(time.Time) Plan {
	var p Plan
	stillWaiting := b.waiting[:0]
	heldBack := map[string]bool{}
	for _, j := range b.waiting {
		if !b.admit(j, heldBack) || !b.place(j) {
			stillWaiting = append(stillWaiting, j)
			continue
		}
		j.attempt++
		b.placed[j.ID] = j
		ids := make(Placement, 0, len(j.placement))
		for _, i := range j.placement {
			ids = append(ids, b.workers[i].ID)
		}
		p.Starts = append(p.Starts, Start{Job: j.Job, Attempt: j.attempt, Placement: ids})
	}
	b.waiting = stillWaiting
	return p
}

// admit reports whether the job may be placed, and counts it against the quota of its account. With quota counting it
// also counts it against the total, and adds the account to heldBack if the job is not admitted. Without quota counting
// it admits only a job that fits now.
func (b *baseline) admit(j *baselineJob, heldBack map[string]bool) bool {
	if j.admitted {
		return true
	}
	n := j.Shape.Total().Accelerators
	over := b.quota[j.Account] > 0 && b.admitted[j.Account]+n > b.quota[j.Account]
	if b.quotaCounting && (heldBack[j.Account] || over || b.admittedTotal+n > b.total) {
		heldBack[j.Account] = true
		return false
	}
	if !b.quotaCounting {
		if over || !b.find(j) {
			return false
		}
	}
	j.admitted = true
	b.admitted[j.Account] += n
	b.admittedTotal += n
	return true
}

// place takes the resources of the job on the first workers that fit, and reports whether there are any.
func (b *baseline) place(j *baselineJob) bool {
	if !b.find(j) {
		return false
	}
	for _, i := range j.placement {
		b.free[i] = b.free[i].Sub(j.Shape.PerMember)
	}
	return true
}

// find sets the placement of the job to the first workers that fit, and reports whether there are any.
func (b *baseline) find(j *baselineJob) bool {
	j.placement = j.placement[:0]
	for i := range b.workers {
		if s := j.Shape; len(j.placement) > 0 {
			last := j.placement[len(j.placement)-1]
			if s.Adjacency == resource.AdjacencyWorker ||
				s.Adjacency == resource.AdjacencyRack && b.workers[last].Rack != b.workers[i].Rack {
				j.placement = j.placement[:0]
			}
		}
		for n := fitCount(j.Shape.PerMember, b.free[i]); n > 0; n-- {
			j.placement = append(j.placement, i)
			if len(j.placement) == j.Shape.Members {
				return true
			}
		}
	}
	return false
}
