package control

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/gang"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/lease"
	"github.com/redwingthread/redwingthread/scheduler"
)

// requestResult is a request to a worker with its response or error.
type requestResult struct {
	worker  string
	kind    lease.Kind
	request infra.CommandsRequest
	sent    time.Time
	// epoch is the epoch of the tenure in which a renewal was sent; 0 for other requests.
	epoch    uint64
	response infra.CommandsResponse
	err      error
}

// sendAll sends the requests that are due, with at most one in flight for each worker.
func (c *Control) sendAll(ctx context.Context, now time.Time) {
	for _, w := range c.workers {
		if w.inFlight || now.Before(w.retryAt) {
			continue
		}
		if w.leaseRequest == nil && (!w.requestDue || c.tenure == nil) {
			continue
		}
		c.send(ctx, w, now)
	}
}

// send sends the pending lease request of a worker or, if there is none, a renewal of its lease. Only the active
// scheduler sends renewals, which also carry the commands and task renewals that are due.
func (c *Control) send(ctx context.Context, w *worker, now time.Time) {
	kind := lease.KindRenew
	epoch := c.lease.Epoch()
	length := lease.Length
	if w.leaseRequest != nil {
		kind, epoch, length = w.leaseRequest.Kind, w.leaseRequest.Epoch, w.leaseRequest.Length
	}
	w.leaseRequest = nil
	w.requestDue = false
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
		// A takeover needs the whole inventory. The known revision may be that of an earlier incarnation of the worker, and
		// revisions start again with each incarnation.
		request.KnownRevision = 0
	}
	r := requestResult{worker: w.id, kind: kind, sent: now}
	if c.tenure != nil && kind == lease.KindRenew {
		r.epoch = c.tenure.epoch
		// The process may have been paused since now was read, so this needs the current time.
		if c.withoutLeaseCheck || c.lease.Confirmed(time.Now()) {
			c.addCommands(&request, w, now)
		}
	}
	r.request = request
	w.inFlight = true
	c.lease.RequestSent(w.id, now)
	c.instruments.sent(&request)
	address := w.address
	c.requests.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		r.response, r.err = c.Workers.Commands(requestCtx, address, request)
		c.responses <- r
	})
}

// addCommands adds the task renewals and commands that are due on a worker to a request of the active scheduler.
func (c *Control) addCommands(request *infra.CommandsRequest, w *worker, now time.Time) {
	reachable := w.health != scheduler.HealthUnreachable && w.health != scheduler.HealthGone
	renew := w.inventoryRead && reachable && now.Sub(w.lastRenewedAt) >= taskRenewInterval
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
		request.Renew = append(request.Renew, w.unknownAttempts...)
	}
	request.Commands = append(request.Commands, w.orphanCommands...)
	if extends || len(request.Renew) > 0 {
		w.lastExtendedAt = now
	}
}

// applyResponse applies the result of a request to the lease, the worker and its gangs.
func (c *Control) applyResponse(r requestResult, now time.Time) {
	c.instruments.received(&r.response, r.err)
	w := c.workers[r.worker]
	if w == nil {
		return
	}
	w.inFlight = false
	if r.err != nil {
		c.lease.RequestFailed(r.worker)
		// The worker may have restarted. Its revisions then start again and may reach the known one. Revision 0 makes it send
		// its whole inventory.
		w.revision = 0
		w.retryAt = now.Add(retryInterval)
		w.requestDue = w.requestDue || len(r.request.Commands) > 0
		return
	}
	w.retryAt = time.Time{}
	if r.response.NewConnection {
		// As after a failed request: the worker may have restarted in between. An inventory in the response counts only if it is
		// applied below.
		w.revision = 0
	}
	c.lease.ApplyResponse(r.worker, r.kind, r.request.Epoch, r.sent, lease.Response{
		Granted:   r.response.Granted,
		Epoch:     r.response.Epoch,
		Holder:    r.response.Holder,
		ExpiresIn: time.Duration(r.response.ExpiresInMS) * time.Millisecond,
	}, now)
	if inventory := r.response.Inventory; r.kind == lease.KindProbe && inventory != nil {
		w.probeRevision = inventory.Revision
	}
	if r.kind == lease.KindProbe || r.kind == lease.KindRelinquish {
		return
	}
	c.stepLease(now)
	t := c.tenure
	if !r.response.Granted {
		return
	}
	if t == nil {
		c.storeClaimInventory(w, r)
		return
	}
	sentEpoch := r.epoch
	if r.kind == lease.KindClaim {
		sentEpoch = r.request.Epoch
	}
	if sentEpoch != t.epoch {
		return
	}
	c.applyGranted(w, r, now)
}

// storeClaimInventory stores the inventory that came with the grant of a claim which has no majority yet.
func (c *Control) storeClaimInventory(w *worker, r requestResult) {
	if r.kind != lease.KindClaim || r.request.Epoch != c.lease.Epoch() {
		return
	}
	if inventory := r.response.Inventory; inventory != nil {
		w.lastResponseAt = r.sent
		w.claimEpoch = r.request.Epoch
		w.setInventory(inventory)
	}
}

// setInventory stores an inventory. It reports whether the worker has restarted since the previous one.
func (w *worker) setInventory(inventory *infra.Inventory) (restarted bool) {
	restarted = w.incarnation != "" && w.incarnation != inventory.Incarnation
	w.incarnation = inventory.Incarnation
	w.revision = inventory.Revision
	w.tasks = inventory.Tasks
	w.leaving = inventory.Leaving
	return restarted
}

// applyGranted applies the response to a request that the worker granted to this tenure.
func (c *Control) applyGranted(w *worker, r requestResult, now time.Time) {
	t := c.tenure
	w.lastResponseAt = now
	if len(r.request.Renew) > 0 || len(t.gangsOn(w.id)) == 0 {
		w.lastRenewedAt = r.sent
	}
	restarted := false
	if r.response.Inventory != nil {
		restarted = w.setInventory(r.response.Inventory)
	}
	if r.response.Inventory != nil || !w.inventoryRead {
		c.reconcileInventory(w, restarted, now)
	}
	c.applyResults(w, r, now)
	c.stepGangsOn(w, now)
	c.updateHealth(w, now)
}

// applyResults passes the results of commands to their gangs.
func (c *Control) applyResults(w *worker, r requestResult, now time.Time) {
	for i, result := range r.response.Results {
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
		c.logger.Info().Str("job", command.Attempt.Job).Str("worker", w.id).Str("op", string(command.Op)).
			Str("reason", result.Reason).Msg("worker rejected command")
	}
}

// relinquishLease frees the leases of the workers at once, so that the standby need not wait until they expire.
func (c *Control) relinquishLease(ctx context.Context) {
	now := time.Now()
	if c.tenure != nil {
		c.endTenure("the daemon is shutting down")
	}
	c.waitForRequests()
	epoch := c.lease.Epoch()
	leaseRequests := c.lease.Relinquish(now)
	ctx, cancel := context.WithTimeout(ctx, relinquishTimeout)
	defer cancel()
	for _, leaseRequest := range leaseRequests {
		w := c.workers[leaseRequest.Worker]
		if w == nil {
			continue
		}
		request := infra.CommandsRequest{Holder: c.Holder, Epoch: epoch, LeaseMS: leaseRequest.Length.Milliseconds(),
			TaskLeaseMS: gang.TaskLease.Milliseconds(), KnownRevision: w.revision}
		c.instruments.sent(&request)
		c.requests.Go(func() {
			_, err := c.Workers.Commands(ctx, w.address, request)
			c.responses <- requestResult{worker: w.id, kind: lease.KindRelinquish, err: err}
		})
	}
	c.waitForRequests()
}

// waitForRequests waits for the requests in flight, each of which ends at its timeout at the latest. It discards all results,
// so that no goroutine blocks on sending one.
func (c *Control) waitForRequests() {
	done := make(chan struct{})
	go func() {
		c.requests.Wait()
		close(done)
	}()
	for {
		select {
		case <-c.responses:
		case <-c.follower.results:
		case <-c.appender.results:
		case <-done:
			return
		}
	}
}

// discardResponses discards the results of requests that ended after the loop.
func (c *Control) discardResponses() {
	for len(c.responses) > 0 {
		<-c.responses
	}
}
