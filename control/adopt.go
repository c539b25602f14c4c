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

// readWorker compares a new inventory with the gangs.
func (c *Control) readWorker(w *worker, restarted bool, now time.Time) {
	t := c.tenure
	w.read = true
	w.wanted = true
	if !t.adopted {
		return
	}
	for _, task := range w.tasks {
		g := t.gangs[task.Attempt.Job]
		if g == nil && t.blocked[task.Attempt.Job] {
			c.adoptJob(task.Attempt.Job, now)
		}
	}
	c.observe(w, restarted)
	c.sortStrays(w)
}

// observe reports the tasks of a worker to their gangs.
func (c *Control) observe(w *worker, restarted bool) {
	t := c.tenure
	seen := map[string]map[int]bool{}
	for _, task := range w.tasks {
		g := t.gangs[task.Attempt.Job]
		if g == nil || g.ID() != task.Attempt {
			continue
		}
		if g.Unseen() {
			t.onWorker = nil
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

// sortStrays decides what happens to tasks without a gang: those of a job that is not known yet are kept alive, all
// others are stopped and forgotten.
func (c *Control) sortStrays(w *worker) {
	t := c.tenure
	w.strays = nil
	w.kept = nil
	for _, task := range w.tasks {
		id := task.Attempt.Job
		if g := t.gangs[id]; g != nil && g.ID() == task.Attempt {
			continue
		}
		_, known := c.fold.Get(id)
		if !known && !c.readTail {
			w.kept = append(w.kept, task.Attempt)
			w.wanted = true
			continue
		}
		op := infra.OpStop
		if task.State.Ended() {
			op = infra.OpForget
		}
		w.strays = append(w.strays, infra.Command{Op: op, Attempt: task.Attempt, Member: task.Member})
	}
	w.wanted = w.wanted || len(w.strays) > 0
}

// adoptAll takes over what runs, once the workers that answer have been read.
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
		if w.read {
			c.observe(w, false)
			c.sortStrays(w)
		}
	}
	c.resolveUnread(now)
	c.log.Info().Uint64("epoch", t.epoch).Int("adopted", len(t.gangs)).Int("blocked", len(t.blocked)).
		Msg("inventories read")
}

// unread returns the number of configured workers that were not read in this tenure.
func (c *Control) unread() int {
	count := 0
	for id, w := range c.workers {
		if !w.read && c.configured(id) {
			count++
		}
	}
	return count
}

// admit hands a waiting job to the planner, unless it may still run on a worker that was not read.
func (c *Control) admit(e *jobs.Entry, now time.Time) {
	t := c.tenure
	id := e.Job.ID
	if t.gangs[id] != nil || t.closing[id] || e.Ended != nil {
		return
	}
	if !c.withoutLapseWait && c.unread() > 0 && now.Before(t.lapseAt) {
		t.blocked[id] = true
		t.resolved = false
		return
	}
	delete(t.blocked, id)
	c.submit(e, now)
}

// submit hands a job that runs nowhere to the planner. A run-once job with an intent may have run and is unknown.
func (c *Control) submit(e *jobs.Entry, now time.Time) {
	t := c.tenure
	if e.Cancelled {
		c.end(e.Job, e.Attempt, jobs.StateCancelled, "cancelled")
		return
	}
	if e.Job.RunOnce && e.Intent != nil && !c.withoutIntentCheck && !c.ownIntent(e) {
		c.end(e.Job, e.Intent.Attempt, jobs.StateUnknown, "it may have run: its start was recorded and no worker has it")
		return
	}
	if err := t.planner.Submit(e.Job, now); err != nil {
		c.end(e.Job, 0, jobs.StateFailed, err.Error())
	}
	t.planDue = true
}

// ownIntent reports whether the winning intent is of this tenure and no release has been sent since.
func (c *Control) ownIntent(e *jobs.Entry) bool {
	return e.Intent.Holder == c.Holder && e.Intent.Epoch == c.tenure.epoch && !c.tenure.released[e.Job.ID]
}

// adoptJob takes over the newest attempt of a job that any worker shows. It reports whether there is one.
func (c *Control) adoptJob(id string, now time.Time) bool {
	t := c.tenure
	e, ok := c.fold.Get(id)
	if !ok || e.Ended != nil || t.gangs[id] != nil || t.closing[id] {
		return false
	}
	attempt, found := c.newestAttempt(id)
	if !found {
		return false
	}
	var from []string
	if attempt > e.CheckpointAttempt {
		from = e.Checkpoints
	}
	g := gang.Adopt(e.Job, attempt, from, e.Intent != nil && e.Intent.Attempt == attempt)
	t.gangs[id] = g
	t.unsettled[id] = g
	t.resolved = false
	t.plannerAttempt[id] = attempt
	for _, w := range c.workers {
		for _, task := range w.tasks {
			if w.read && task.Attempt == g.ID() {
				g.Observe(task.Member, w.id, task)
				// The previous holder's last renewal may be long ago.
				w.renewedAt = time.Time{}
				w.wanted = true
			}
		}
	}
	t.onWorker = nil
	delete(t.blocked, id)
	placement := c.plannerPlacement(g)
	t.planner.Adopt(e.Job, attempt, placement, jobs.StateRunning, now)
	if g.Unseen() {
		t.guessed[id] = placement
	}
	c.log.Info().Str("job", id).Str("account", e.Job.Account).Uint64("attempt", attempt).Msg("attempt adopted")
	return true
}

// plannerPlacement fills in members that were not found, preferably with workers that were not read: one of those must
// have them. It overcommits no worker if it can, since the planner stops work on a worker that is overcommitted.
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

// plannedUse returns what the planner believes to be used on each worker by other gangs than except.
func (c *Control) plannedUse(except *gang.Gang) map[string]resource.Resources {
	used := map[string]resource.Resources{}
	for id, g := range c.tenure.gangs {
		placement, guessed := c.tenure.guessed[id]
		if !guessed {
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

// unreadFirst returns the configured workers, those that were not read first.
func (c *Control) unreadFirst() []string {
	var ids []string
	for id := range c.workers {
		if c.configured(id) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c.workers[a].read != c.workers[b].read {
			if c.workers[b].read {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return ids
}

// correctPlacement tells the planner where the members of an adopted gang really are, once all were found.
func (c *Control) correctPlacement(g *gang.Gang, now time.Time) {
	t := c.tenure
	id := g.Job().ID
	guess, ok := t.guessed[id]
	if !ok || g.Unseen() {
		return
	}
	delete(t.guessed, id)
	found := c.plannerPlacement(g)
	if slices.Equal(guess, found) || g.Phase() == gang.PhaseEnded {
		return
	}
	// A checkpointed stop lets the planner keep the job as waiting, from where it is adopted again.
	t.planner.Ended(id, t.plannerAttempt[id], scheduler.Result{Kind: scheduler.ResultStopped, Checkpointed: true}, now)
	t.planner.Adopt(g.Job(), t.plannerAttempt[id], found, jobs.StateRunning, now)
	t.planDue = true
}

func (c *Control) newestAttempt(id string) (attempt uint64, found bool) {
	for _, w := range c.workers {
		if !w.read {
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

// resolveUnread settles what waits for workers that were not read, once there are none or their leases have lapsed.
func (c *Control) resolveUnread(now time.Time) {
	t := c.tenure
	if t.resolved || c.unread() > 0 && now.Before(t.lapseAt) {
		return
	}
	t.resolved = true
	for _, g := range t.gangs {
		g.MarkUnseenGone()
	}
	for _, e := range c.fold.Open() {
		if t.blocked[e.Job.ID] {
			c.admit(e, now)
		}
	}
}
