package control

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/gang"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/lease"
	"github.com/redwingthread/redwingthread/scheduler"
)

// response is the outcome of one request to a worker.
type response struct {
	worker  string
	kind    lease.Kind
	request infra.CommandsRequest
	sent    time.Time
	// epoch is that of the tenure in which the request was sent, 0 for none.
	epoch  uint64
	answer infra.CommandsResponse
	err    error
}

// sendAll starts the requests that are due, at most one for each worker at a time.
func (c *Control) sendAll(ctx context.Context, now time.Time) {
	for _, w := range c.workers {
		if w.outstanding || now.Before(w.retryAt) {
			continue
		}
		if w.leaseSend == nil && (!w.wanted || c.tenure == nil) {
			continue
		}
		c.send(ctx, w, now)
	}
}

func (c *Control) send(ctx context.Context, w *worker, now time.Time) {
	kind := lease.KindRenew
	epoch := c.lease.Epoch()
	length := lease.Length
	if w.leaseSend != nil {
		kind, epoch, length = w.leaseSend.Kind, w.leaseSend.Epoch, w.leaseSend.Length
	}
	w.leaseSend = nil
	w.wanted = false
	if kind == lease.KindRenew && c.tenure == nil {
		return
	}
	request := infra.CommandsRequest{
		Holder:        c.Holder,
		Epoch:         epoch,
		LeaseMS:       max(length.Milliseconds(), 1),
		TaskLeaseMS:   gang.TaskLease.Milliseconds(),
		KnownRevision: w.revision,
	}
	if kind == lease.KindProbe {
		request.KnownRevision = w.probeRevision
	}
	if kind == lease.KindClaim {
		// The whole inventory is read at a takeover. What an earlier claim showed may be of another incarnation of the
		// worker, whose revisions start anew.
		request.KnownRevision = 0
	}
	r := response{worker: w.id, kind: kind, sent: now}
	if c.tenure != nil && kind == lease.KindRenew {
		r.epoch = c.tenure.epoch
		// The process may have been paused since now was read.
		if c.withoutLeaseCheck || c.lease.Confirmed(time.Now()) {
			c.fill(&request, w, now)
		}
	}
	r.request = request
	w.outstanding = true
	c.lease.RequestSent(w.id, now)
	c.cost.sent(&request)
	address := w.address
	c.requests.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		r.answer, r.err = c.Workers.Commands(requestCtx, address, request)
		c.responses <- r
	})
}

// fill adds the task renewals and commands that are due to a request of the active scheduler.
func (c *Control) fill(request *infra.CommandsRequest, w *worker, now time.Time) {
	reachable := w.health != scheduler.HealthUnreachable && w.health != scheduler.HealthGone
	renew := w.read && reachable && now.Sub(w.renewedAt) >= taskRenewInterval
	extends := false
	for _, g := range c.tenure.gangsOn(w.id) {
		if renew && g.Renewable() {
			request.Renew = append(request.Renew, g.ID())
		}
		if !reachable && g.Phase() != gang.PhaseStopping {
			continue
		}
		for _, command := range g.Commands(w.id, now) {
			extends = extends || command.Op != infra.OpStop
			request.Commands = append(request.Commands, command)
			if command.Op == infra.OpRelease {
				c.tenure.released[command.Attempt.Job] = true
			}
		}
	}
	if renew {
		request.Renew = append(request.Renew, w.kept...)
	}
	request.Commands = append(request.Commands, w.strays...)
	if extends || len(request.Renew) > 0 {
		w.touchedAt = now
	}
}

// applyResponse takes the result of a request over.
func (c *Control) applyResponse(r response, now time.Time) {
	c.cost.received(&r.answer, r.err)
	w := c.workers[r.worker]
	if w == nil {
		return
	}
	w.outstanding = false
	if r.err != nil {
		c.lease.RequestFailed(r.worker)
		// The worker may have restarted, and its new revisions may reach the known one.
		w.revision = 0
		w.retryAt = now.Add(retryInterval)
		w.wanted = w.wanted || len(r.request.Commands) > 0
		return
	}
	w.retryAt = time.Time{}
	c.lease.ApplyResponse(r.worker, r.kind, r.request.Epoch, r.sent, lease.Response{
		Granted:   r.answer.Granted,
		Epoch:     r.answer.Epoch,
		Holder:    r.answer.Holder,
		ExpiresIn: time.Duration(r.answer.ExpiresInMS) * time.Millisecond,
	}, now)
	if inventory := r.answer.Inventory; r.kind == lease.KindProbe && inventory != nil {
		w.probeRevision = inventory.Revision
	}
	if r.kind == lease.KindProbe || r.kind == lease.KindRelinquish {
		return
	}
	c.stepLease(now)
	t := c.tenure
	if !r.answer.Granted {
		return
	}
	if t == nil {
		c.holdClaimInventory(w, r)
		return
	}
	sentIn := r.epoch
	if r.kind == lease.KindClaim {
		sentIn = r.request.Epoch
	}
	if sentIn != t.epoch {
		return
	}
	c.applyGranted(w, r, now)
}

// holdClaimInventory keeps the inventory that came with a grant before the majority was complete.
func (c *Control) holdClaimInventory(w *worker, r response) {
	if r.kind != lease.KindClaim || r.request.Epoch != c.lease.Epoch() {
		return
	}
	if inventory := r.answer.Inventory; inventory != nil {
		w.answeredAt = r.sent
		w.claimEpoch = r.request.Epoch
		w.takeInventory(inventory)
	}
}

func (w *worker) takeInventory(inventory *infra.Inventory) (restarted bool) {
	restarted = w.incarnation != "" && w.incarnation != inventory.Incarnation
	w.incarnation = inventory.Incarnation
	w.revision = inventory.Revision
	w.tasks = inventory.Tasks
	w.leaving = inventory.Leaving
	return restarted
}

func (c *Control) applyGranted(w *worker, r response, now time.Time) {
	t := c.tenure
	w.answeredAt = now
	if len(r.request.Renew) > 0 || len(t.gangsOn(w.id)) == 0 {
		w.renewedAt = r.sent
	}
	restarted := false
	if r.answer.Inventory != nil {
		restarted = w.takeInventory(r.answer.Inventory)
	}
	if r.answer.Inventory != nil || !w.read {
		c.readWorker(w, restarted, now)
	}
	c.applyResults(w, r, now)
	c.stepGangsOn(w, now)
	c.updateHealth(w, now)
}

func (c *Control) applyResults(w *worker, r response, now time.Time) {
	for i, result := range r.answer.Results {
		if i >= len(r.request.Commands) {
			return
		}
		command := r.request.Commands[i]
		g := c.tenure.gangs[command.Attempt.Job]
		if g == nil || g.ID() != command.Attempt {
			continue
		}
		if result.OK {
			g.Acknowledged(command.Member, command.Op, now)
			continue
		}
		g.Rejected(command.Member, command.Op, result.Reason, now)
		c.log.Info().Str("job", command.Attempt.Job).Str("worker", w.id).Str("op", string(command.Op)).
			Str("reason", result.Reason).Msg("command refused")
	}
}

// giveUp makes the workers free at once, so that the standby need not wait for the leases to lapse.
func (c *Control) giveUp(ctx context.Context) {
	now := time.Now()
	if c.tenure != nil {
		c.endTenure("the daemon stops")
	}
	c.requestsDone()
	epoch := c.lease.Epoch()
	sends := c.lease.Relinquish(now)
	ctx, cancel := context.WithTimeout(ctx, giveUpTimeout)
	defer cancel()
	for _, s := range sends {
		w := c.workers[s.Worker]
		if w == nil {
			continue
		}
		request := infra.CommandsRequest{Holder: c.Holder, Epoch: epoch, LeaseMS: s.Length.Milliseconds(),
			TaskLeaseMS: gang.TaskLease.Milliseconds(), KnownRevision: w.revision}
		c.cost.sent(&request)
		c.requests.Go(func() {
			_, err := c.Workers.Commands(ctx, w.address, request)
			c.responses <- response{worker: w.id, kind: lease.KindRelinquish, err: err}
		})
	}
	c.requestsDone()
}

// requestsDone waits for the requests under way, which end by their timeouts.
func (c *Control) requestsDone() {
	done := make(chan struct{})
	go func() {
		c.requests.Wait()
		close(done)
	}()
	for {
		select {
		case <-c.responses:
		case <-c.follower.out:
		case <-c.appender.out:
		case <-done:
			return
		}
	}
}

func (c *Control) drainResponses() {
	for len(c.responses) > 0 {
		<-c.responses
	}
}
