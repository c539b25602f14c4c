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

// dispatcher joins the queues of the services with the endpoint table: it hands waiting requests to free slots.
type dispatcher struct {
	limits admission.Limits
	mu     sync.Mutex
	// The fields below are guarded by mu.
	routes   *routing.Table
	queues   map[string]*admission.Queue[*waiter]
	weights  map[string]int
	budgets  *admission.Budgets
	percents map[string]int
	// repump is set while a later look at the queues is scheduled.
	repump bool
}

// waiter is a request that waits for a slot.
type waiter struct {
	service  string
	exclude  []string
	mayProbe bool
	choice   routing.Choice
	// granted receives nil when choice is set, or the reason why the request was dropped.
	granted chan error
}

// newDispatcher returns a dispatcher without services.
func newDispatcher(routes *routing.Table, limits admission.Limits) *dispatcher {
	return &dispatcher{
		limits:  limits,
		routes:  routes,
		queues:  map[string]*admission.Queue[*waiter]{},
		budgets: admission.NewBudgets(),
	}
}

// setConfig takes over services, weights and budgets.
func (d *dispatcher) setConfig(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes.SetConfig(doc)
	d.weights = make(map[string]int, len(doc.Accounts))
	d.percents = make(map[string]int, len(doc.Accounts))
	for name, account := range doc.Accounts {
		d.weights[name] = account.Weight
		d.percents[name] = account.RetryBudgetPercent
	}
	d.pumpAllLocked()
}

// queueLocked returns the queue of a service. The caller holds mu.
func (d *dispatcher) queueLocked(service string) *admission.Queue[*waiter] {
	q, ok := d.queues[service]
	if !ok {
		q = admission.NewQueue[*waiter](d.limits, func(account string) int { return d.weights[account] })
		d.queues[service] = q
	}
	return q
}

// acquire waits for an endpoint with a free slot. The choice must be given back with release.
func (d *dispatcher) acquire(ctx context.Context, c *call, exclude []string) (routing.Choice, error) {
	w := &waiter{service: c.service, exclude: exclude, mayProbe: c.repeatable, granted: make(chan error, 1)}
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
		return d.giveUp(item, ctx.Err())
	}
}

// offer queues a request and dispatches what can be.
func (d *dispatcher) offer(item *admission.Item[*waiter]) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queueLocked(item.Value.service)
	pushedOut, err := q.Offer(item, time.Now())
	if pushedOut != nil {
		pushedOut.Value.granted <- errkind.New(errkind.Overloaded, "retry later with backoff",
			"request was removed from a full queue")
	}
	if err != nil {
		return err
	}
	d.pumpLocked(item.Value.service)
	return nil
}

// giveUp takes a waiting request out. If it was granted a slot in the meantime, the slot is used.
func (d *dispatcher) giveUp(item *admission.Item[*waiter], reason error) (routing.Choice, error) {
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
		"caller went away before the request was dispatched")
}

// errDeadline is the refusal of work whose deadline passed before it was started.
func errDeadline() error {
	return errkind.New(errkind.DeadlineExceeded, "send the request with a longer Request-Timeout-Ms",
		"deadline passed before the request was dispatched")
}

// pumpInterval is the time after which queues are looked at again without an event: load reports age, so that an
// endpoint counted as full may become eligible without one.
const pumpInterval = 10 * time.Millisecond

// pumpLocked hands waiting requests of a service to free slots. The caller holds mu.
func (d *dispatcher) pumpLocked(service string) {
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
	if q.Len() > 0 && !d.repump {
		d.repump = true
		time.AfterFunc(pumpInterval, d.pumpAll)
	}
}

// pumpAll looks at all queues.
func (d *dispatcher) pumpAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repump = false
	d.pumpAllLocked()
}

// pumpAllLocked looks at all queues. The caller holds mu.
func (d *dispatcher) pumpAllLocked() {
	for service, q := range d.queues {
		if q.Len() > 0 {
			d.pumpLocked(service)
		}
	}
}

// release gives a choice back with what came of the exchange.
func (d *dispatcher) release(c routing.Choice, r routing.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes.Done(c, r, time.Now())
	if r.Kind == routing.Answered && r.Took > 0 {
		d.queueLocked(c.Service).Served(r.Took)
	}
	d.pumpLocked(c.Service)
}

// dispatching asserts that the endpoint may get the request now.
func (d *dispatcher) dispatching(c routing.Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes.Dispatching(c, time.Now())
}

// first counts a first attempt of the account.
func (d *dispatcher) first(account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budgets.First(account, d.percents[account])
}

// retry takes a retry from the account's budget.
func (d *dispatcher) retry(account string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budgets.Retry(account)
}

// serviceTime returns the mean time of an exchange with the service, 0 if unknown.
func (d *dispatcher) serviceTime(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queueLocked(service).ServiceTime()
}

// probes returns the probes that are due.
func (d *dispatcher) probes() []routing.Probe {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routes.Probes(time.Now())
}

// probed takes in the result of a probe.
func (d *dispatcher) probed(p routing.Probe, r routing.ProbeResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes.ProbeDone(p, r, time.Now())
	d.pumpAllLocked()
}

// LeavingEndpoints lists all endpoint incarnations known to leave, for heartbeats to peers.
func (g *Gateway) LeavingEndpoints() []inner.EndpointIncarnation {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	return g.dispatcher.routes.Leaving(time.Now())
}

// LearnLeaving takes in leaving endpoint incarnations from a peer's heartbeat.
func (g *Gateway) LearnLeaving(list []inner.EndpointIncarnation) {
	if len(list) == 0 {
		return
	}
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.routes.Learn(list, time.Now())
}

// ObserveVMs takes in the platform's VM list.
func (g *Gateway) ObserveVMs(vms []infra.VM) {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.routes.ObserveVMs(vms, time.Now())
}

// EndpointStatus lists the endpoints as this gateway sees them.
func (g *Gateway) EndpointStatus() []routing.EndpointStatus {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	return g.dispatcher.routes.Status()
}
