package control

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/gang"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/scheduler"
)

// reconcileInventory applies the inventory of a worker to the gangs and to the tasks that belong to none. restarted says
// whether the worker has restarted since its previous inventory.
func (c *Control) reconcileInventory(w *worker, restarted bool, now time.Time) {
	t := c.tenure
	w.inventoryRead = true
	w.requestDue = true
	if !t.adopted {
		return
	}
	for _, task := range w.tasks {
		g := t.gangs[task.Attempt.Job]
		if g == nil && t.blocked[task.Attempt.Job] {
			c.adoptJob(task.Attempt.Job, now)
		}
	}
	c.observeTasks(w, restarted)
	c.classifyOrphans(w)
}

// observeTasks reports to the gangs on a worker which of their members its inventory contains and which it lacks. restarted
// says whether the worker has restarted since its previous inventory.
func (c *Control) observeTasks(w *worker, restarted bool) {
	t := c.tenure
	seen := map[string]map[int]bool{}
	for _, task := range w.tasks {
		g := t.gangs[task.Attempt.Job]
		if g == nil || g.ID() != task.Attempt {
			continue
		}
		if g.Unseen() {
			t.gangsByWorker = nil
		}
		g.Observe(task.Member, w.id, task)
		if seen[task.Attempt.Job] == nil {
			seen[task.Attempt.Job] = map[int]bool{}
		}
		seen[task.Attempt.Job][task.Member] = true
	}
	if c.withoutLossReports {
		return
	}
	for _, g := range t.gangsOn(w.id) {
		members := seen[g.Job().ID]
		g.ObserveMissing(w.id, restarted, func(index int) bool { return members[index] })
	}
}

// classifyOrphans determines what to send to a worker for its tasks that belong to no current attempt. The leases of tasks of
// a job that is not known yet are renewed until the job stream has been read to its end. All other tasks are stopped and then
// forgotten.
func (c *Control) classifyOrphans(w *worker) {
	t := c.tenure
	w.orphanCommands = nil
	w.unknownAttempts = nil
	for _, task := range w.tasks {
		id := task.Attempt.Job
		if g := t.gangs[id]; g != nil && g.ID() == task.Attempt {
			continue
		}
		_, known := c.fold.Get(id)
		if !known && !c.caughtUp {
			w.unknownAttempts = append(w.unknownAttempts, task.Attempt)
			w.requestDue = true
			continue
		}
		op := infra.OpStop
		if task.State.Ended() {
			op = infra.OpForget
		}
		w.orphanCommands = append(w.orphanCommands, infra.Command{Op: op, Attempt: task.Attempt, Member: task.Member})
	}
	w.requestDue = w.requestDue || len(w.orphanCommands) > 0
}

// adoptAll adopts the running attempts, admits the waiting jobs and starts planning. It is called once in a tenure, when
// readyToAdopt is true.
func (c *Control) adoptAll(now time.Time) {
	t := c.tenure
	t.adopted = true
	t.planDue = true
	for _, w := range c.workers {
		c.reportHealth(w, now)
	}
	for _, e := range c.fold.Open() {
		if !c.adoptJob(e.Job.ID, now) {
			c.admit(e, now)
		}
	}
	for _, w := range c.workers {
		if w.inventoryRead {
			c.observeTasks(w, false)
			c.classifyOrphans(w)
		}
	}
	c.resolveUnread(now)
	c.logger.Info().Uint64("epoch", t.epoch).Int("adopted", len(t.gangs)).Int("blocked", len(t.blocked)).
		Msg("inventories read")
}

// unreadWorkers returns the number of configured workers whose inventory has not been read in this tenure.
func (c *Control) unreadWorkers() int {
	count := 0
	for id, w := range c.workers {
		if !w.inventoryRead && c.configured(id) {
			count++
		}
	}
	return count
}

// admit submits a waiting job to the planner. It blocks the job instead if the job may still run on a worker whose inventory
// has not been read.
func (c *Control) admit(e *jobs.Entry, now time.Time) {
	t := c.tenure
	id := e.Job.ID
	if t.gangs[id] != nil || t.endPending[id] || e.Ended != nil {
		return
	}
	if !c.withoutExpiryWait && c.unreadWorkers() > 0 && now.Before(t.unreadLeasesExpireAt) {
		t.blocked[id] = true
		t.unreadResolved = false
		return
	}
	delete(t.blocked, id)
	c.submit(e, now)
}

// submit submits a job that runs nowhere to the planner. It ends a cancelled job and a job that the planner rejects. A
// run-once job with an intent may have run and ends as unknown, unless this tenure wrote the intent and has sent no release
// since.
func (c *Control) submit(e *jobs.Entry, now time.Time) {
	t := c.tenure
	if e.Cancelled {
		c.endJob(e.Job, e.Attempt, jobs.StateCancelled, "cancelled")
		return
	}
	if e.Job.RunOnce && e.Intent != nil && !c.withoutIntentCheck && !c.ownIntent(e) {
		c.endJob(e.Job, e.Intent.Attempt, jobs.StateUnknown, "it may have run: its start was recorded and no worker has it")
		return
	}
	if err := t.planner.Submit(e.Job, now); err != nil {
		c.endJob(e.Job, 0, jobs.StateFailed, err.Error())
	}
	t.planDue = true
}

// ownIntent reports whether this tenure wrote the winning intent of a job and has sent no release since. e.Intent must not
// be nil.
func (c *Control) ownIntent(e *jobs.Entry) bool {
	return e.Intent.Holder == c.Holder && e.Intent.Epoch == c.tenure.epoch && !c.tenure.released[e.Job.ID]
}

// adoptJob adopts the newest attempt of a job that the inventories contain. It reports whether it adopted one.
func (c *Control) adoptJob(id string, now time.Time) bool {
	t := c.tenure
	e, ok := c.fold.Get(id)
	if !ok || e.Ended != nil || t.gangs[id] != nil || t.endPending[id] {
		return false
	}
	attempt, found := c.newestAttempt(id)
	if !found {
		return false
	}
	var resumeFrom []string
	if attempt > e.CheckpointAttempt {
		resumeFrom = e.Checkpoints
	}
	g := gang.Adopt(e.Job, attempt, resumeFrom, e.Intent != nil && e.Intent.Attempt == attempt)
	t.gangs[id] = g
	t.unsettled[id] = g
	t.unreadResolved = false
	t.plannerAttempt[id] = attempt
	for _, w := range c.workers {
		for _, task := range w.tasks {
			if w.inventoryRead && task.Attempt == g.ID() {
				g.Observe(task.Member, w.id, task)
				// The task leases are due for renewal, since the previous holder may have renewed them long ago.
				w.lastRenewedAt = time.Time{}
				w.requestDue = true
			}
		}
	}
	t.gangsByWorker = nil
	delete(t.blocked, id)
	placement := c.plannerPlacement(g)
	t.planner.Adopt(e.Job, attempt, placement, jobs.StateRunning, now)
	if g.Unseen() {
		t.provisional[id] = placement
	}
	c.logger.Info().Str("job", id).Str("account", e.Job.Account).Uint64("attempt", attempt).Msg("attempt adopted")
	return true
}

// plannerPlacement returns the placement of a gang, with assumed workers for members that have not been found. It prefers
// workers whose inventory has not been read, since the member must be on one of them if it still runs. It avoids
// overcommitting a worker where possible, since the planner stops jobs on an overcommitted worker.
func (c *Control) plannerPlacement(g *gang.Gang) scheduler.Placement {
	placement := g.Placement()
	if !slices.Contains(placement, "") {
		return placement
	}
	used := c.plannedUse(g)
	perMember := g.Job().Shape.PerMember
	for _, worker := range placement {
		used[worker] = used[worker].Add(perMember)
	}
	candidates := c.unreadFirst()
	for i := range placement {
		if placement[i] != "" || len(candidates) == 0 {
			continue
		}
		placement[i] = candidates[0]
		for _, id := range candidates {
			if used[id].Add(perMember).Fits(c.doc.Workers[id].Capacity) {
				placement[i] = id
				break
			}
		}
		used[placement[i]] = used[placement[i]].Add(perMember)
	}
	return placement
}

// plannedUse returns the resources that the planner counts as used on each worker by all gangs but except.
func (c *Control) plannedUse(except *gang.Gang) map[string]resource.Resources {
	used := map[string]resource.Resources{}
	for id, g := range c.tenure.gangs {
		placement, provisional := c.tenure.provisional[id]
		if !provisional {
			placement = g.Placement()
		}
		for _, worker := range placement {
			if g != except {
				used[worker] = used[worker].Add(g.Job().Shape.PerMember)
			}
		}
	}
	return used
}

// unreadFirst returns the ids of the configured workers in sorted order, first those whose inventory has not been read.
func (c *Control) unreadFirst() []string {
	var ids []string
	for id := range c.workers {
		if c.configured(id) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c.workers[a].inventoryRead != c.workers[b].inventoryRead {
			if c.workers[b].inventoryRead {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return ids
}

// correctPlacement replaces the provisional placement of an adopted gang in the planner once no member is unseen.
func (c *Control) correctPlacement(g *gang.Gang, now time.Time) {
	t := c.tenure
	id := g.Job().ID
	assumed, ok := t.provisional[id]
	if !ok || g.Unseen() {
		return
	}
	delete(t.provisional, id)
	found := c.plannerPlacement(g)
	if slices.Equal(assumed, found) || g.Phase() == gang.PhaseEnded {
		return
	}
	// A checkpointed stop is reported because the planner then keeps the job as waiting, so that it can be adopted again.
	t.planner.Ended(id, t.plannerAttempt[id], scheduler.Result{Kind: scheduler.ResultStopped, Checkpointed: true}, now)
	t.planner.Adopt(g.Job(), t.plannerAttempt[id], found, jobs.StateRunning, now)
	t.planDue = true
}

// newestAttempt returns the highest number of an attempt at a job in the inventories that have been read.
func (c *Control) newestAttempt(id string) (attempt uint64, found bool) {
	for _, w := range c.workers {
		if !w.inventoryRead {
			continue
		}
		for _, task := range w.tasks {
			if task.Attempt.Job == id && (!found || task.Attempt.Attempt > attempt) {
				attempt, found = task.Attempt.Attempt, true
			}
		}
	}
	return attempt, found
}

// resolveUnread marks unseen members as gone and admits blocked jobs once the inventories of all workers have been read, or
// the task leases on the other workers have expired.
func (c *Control) resolveUnread(now time.Time) {
	t := c.tenure
	if t.unreadResolved || c.unreadWorkers() > 0 && now.Before(t.unreadLeasesExpireAt) {
		return
	}
	t.unreadResolved = true
	for _, g := range t.gangs {
		g.MarkUnseenGone()
	}
	for _, e := range c.fold.Open() {
		if t.blocked[e.Job.ID] {
			c.admit(e, now)
		}
	}
}
