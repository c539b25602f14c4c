package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/admission"
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/routing"
)

// dispatcher assigns the queued requests of each service to free endpoint slots.
type dispatcher struct {
	limits admission.Limits
	mu     sync.Mutex
	// The fields below are guarded by mu.
	routes *routing.Table
	// queues holds the queue of each service by its name.
	queues map[string]*admission.Queue[*waiter]
	// weights and retryPercents hold the configured weight and retry budget of each account by its name.
	weights       map[string]int
	budgets       *admission.Budgets
	retryPercents map[string]int
	// dispatchScheduled is true while a timer for dispatchAll is pending.
	dispatchScheduled bool
}

// waiter is a queued request that waits for an endpoint slot.
type waiter struct {
	service string
	// exclude holds the ids of the endpoints that earlier attempts used.
	exclude []string
	// mayProbe allows the exchange to probe an ejected endpoint.
	mayProbe bool
	choice   routing.Choice
	// granted receives nil once choice is set, or an error if the request was evicted or dropped.
	granted chan error
}

// newDispatcher returns a dispatcher without queues.
func newDispatcher(routes *routing.Table, limits admission.Limits) *dispatcher {
	return &dispatcher{
		limits:  limits,
		routes:  routes,
		queues:  map[string]*admission.Queue[*waiter]{},
		budgets: admission.NewBudgets(),
	}
}

// setConfig applies the services, account weights and retry budgets of the document.
func (d *dispatcher) setConfig(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes.SetConfig(doc)
	d.weights = make(map[string]int, len(doc.Accounts))
	d.retryPercents = make(map[string]int, len(doc.Accounts))
	for name, account := range doc.Accounts {
		d.weights[name] = account.Weight
		d.retryPercents[name] = account.RetryBudgetPercent
	}
	d.dispatchAllLocked()
}

// queueLocked returns the queue of a service and creates it if needed. mu must be held.
func (d *dispatcher) queueLocked(service string) *admission.Queue[*waiter] {
	q, ok := d.queues[service]
	if !ok {
		q = admission.NewQueue[*waiter](d.limits, func(account string) int { return d.weights[account] })
		d.queues[service] = q
	}
	return q
}

// acquire waits for an endpoint with a free slot, until the deadline of c or the end of ctx. Every choice that it
// returns without an error must be passed to release.
func (d *dispatcher) acquire(ctx context.Context, c *callerRequest, exclude []string) (routing.Choice, error) {
	w := &waiter{service: c.service, exclude: exclude, mayProbe: c.idempotent, granted: make(chan error, 1)}
	item := &admission.Item[*waiter]{Account: c.account.Name, Deadline: c.deadline, Value: w}
	if err := d.offer(item); err != nil {
		return routing.Choice{}, err
	}
	select {
	case err := <-w.granted:
		return w.choice, err
	default:
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	select {
	case err := <-w.granted:
		return w.choice, err
	case <-ctx.Done():
		return d.cancelWait(item, ctx.Err())
	}
}

// offer queues a request and assigns queued requests of its service to free slots. It returns an error if the request is
// rejected; see admission.Queue.Offer.
func (d *dispatcher) offer(item *admission.Item[*waiter]) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queueLocked(item.Value.service)
	evicted, err := q.Offer(item, time.Now())
	if evicted != nil {
		evicted.Value.granted <- errkind.New(errkind.Overloaded, "retry later with backoff",
			"request was evicted from a full queue")
	}
	if err != nil {
		return err
	}
	d.dispatchLocked(item.Value.service)
	return nil
}

// cancelWait removes a request from its queue and returns the error for reason. If the request was granted a slot,
// evicted or dropped in the meantime, it returns that result instead.
func (d *dispatcher) cancelWait(item *admission.Item[*waiter], reason error) (routing.Choice, error) {
	d.mu.Lock()
	waiting := d.queueLocked(item.Value.service).Remove(item)
	d.mu.Unlock()
	if !waiting {
		err := <-item.Value.granted
		return item.Value.choice, err
	}
	if reason == context.DeadlineExceeded {
		return routing.Choice{}, errDeadline()
	}
	return routing.Choice{}, errkind.Wrap(reason, errkind.Unavailable, "send the request again",
		"caller disconnected before the request was dispatched")
}

// errDeadline returns the error of a request whose deadline passed before it was dispatched.
func errDeadline() error {
	return errkind.New(errkind.DeadlineExceeded, "send the request with a longer Request-Timeout-Ms",
		"deadline passed before the request was dispatched")
}

// dispatchInterval is the time after which non-empty queues are checked again without an event. Load reports lose
// weight with age, so an endpoint that counts as full can get a free slot without an event.
const dispatchInterval = 10 * time.Millisecond

// dispatchLocked assigns the queued requests of a service to free slots, and schedules dispatchAll if some remain. mu
// must be held.
func (d *dispatcher) dispatchLocked(service string) {
	q := d.queueLocked(service)
	for q.Len() > 0 {
		now := time.Now()
		item, dropped := q.Next(now, func(item *admission.Item[*waiter]) bool {
			choice, ok := d.routes.Pick(service, item.Value.exclude, item.Value.mayProbe, now)
			item.Value.choice = choice
			return ok
		})
		for _, late := range dropped {
			late.Value.granted <- errDeadline()
		}
		if item == nil {
			break
		}
		item.Value.granted <- nil
	}
	if q.Len() > 0 && !d.dispatchScheduled {
		d.dispatchScheduled = true
		time.AfterFunc(dispatchInterval, d.dispatchAll)
	}
}

// dispatchAll dispatches the queued requests of all services. It runs on the timer of dispatchLocked.
func (d *dispatcher) dispatchAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatchScheduled = false
	d.dispatchAllLocked()
}

// dispatchAllLocked dispatches the queued requests of all services. mu must be held.
func (d *dispatcher) dispatchAllLocked() {
	for service, q := range d.queues {
		if q.Len() > 0 {
			d.dispatchLocked(service)
		}
	}
}

// release frees the slot of a choice, records the result of its exchange and dispatches queued requests of the service.
func (d *dispatcher) release(c routing.Choice, r routing.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes.Done(c, r, time.Now())
	if r.Kind == routing.Responded && r.Took > 0 {
		d.queueLocked(c.Service).Served(r.Took)
	}
	d.dispatchLocked(c.Service)
}

// checkDispatch asserts that the endpoint may get a request now.
func (d *dispatcher) checkDispatch(c routing.Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes.CheckDispatch(c, time.Now())
}

// countFirstAttempt credits the account's retry budget for a first attempt.
func (d *dispatcher) countFirstAttempt(account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budgets.First(account, d.retryPercents[account])
}

// takeRetry takes one retry from the account's budget and reports whether there was one.
func (d *dispatcher) takeRetry(account string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budgets.Retry(account)
}

// serviceTime returns the mean duration of an exchange with the service, 0 if none was measured.
func (d *dispatcher) serviceTime(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queueLocked(service).ServiceTime()
}

// dueProbes returns the endpoint probes that are due.
func (d *dispatcher) dueProbes() []routing.Probe {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routes.Probes(time.Now())
}

// applyProbe applies the result of a probe to the endpoint table.
func (d *dispatcher) applyProbe(p routing.Probe, r routing.ProbeResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes.ProbeDone(p, r, time.Now())
	d.dispatchAllLocked()
}

// LeavingEndpoints lists the endpoint incarnations that are known to be leaving, for heartbeats to peers.
func (g *Gateway) LeavingEndpoints() []inner.EndpointIncarnation {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	return g.dispatcher.routes.Leaving(time.Now())
}

// LearnLeaving records the leaving endpoint incarnations from a peer's heartbeat.
func (g *Gateway) LearnLeaving(list []inner.EndpointIncarnation) {
	if len(list) == 0 {
		return
	}
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.routes.LearnLeaving(list, time.Now())
}

// ObserveVMs applies the platform's VM list to the endpoint table.
func (g *Gateway) ObserveVMs(vms []infra.VM) {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.routes.ObserveVMs(vms, time.Now())
}

// EndpointStatus lists the state of all endpoints as seen by this gateway.
func (g *Gateway) EndpointStatus() []routing.EndpointStatus {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	return g.dispatcher.routes.Status()
}
