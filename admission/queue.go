// Package admission decides which requests wait, in what order they are dispatched, and which are refused.
//
// The package is pure: it has no I/O, clock or goroutines. Its types are not safe for concurrent use.
package admission

import (
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// Limits bounds a Queue.
type Limits struct {
	// Queued bounds the waiting requests of all accounts together.
	Queued int
	// QueuedPerAccount bounds the waiting requests of one account.
	QueuedPerAccount int
	// WaitPercent is the share of the time to a request's deadline that it is expected to wait at most, if its account has
	// the longest queue for its weight. The rest is kept for errors of the estimate.
	WaitPercent int
	// ShortWaitPercent is the same share for the other accounts. Their queues are short and drain by themselves, so that
	// refusing them early gains little.
	ShortWaitPercent int
}

// DefaultLimits returns the limits of a gateway's queue for one service.
func DefaultLimits() Limits {
	return Limits{Queued: 4096, QueuedPerAccount: 2048, WaitPercent: 50, ShortWaitPercent: 90}
}

// Item is one waiting request. It can be offered once.
type Item[T any] struct {
	Account  string
	Deadline time.Time
	Value    T
	// removed marks an item whose owner gave up; it is skipped.
	removed bool
	queued  bool
	account *account[T]
}

// account is the queue of one client account.
type account[T any] struct {
	name   string
	weight float64
	items  []*Item[T]
	head   int
	live   int
	// finish is the virtual time at which the account's last dispatched request counts as served.
	finish float64
}

// Queue is a bounded queue that is fair between client accounts by weight (start-time fair queueing with equal cost per
// request). There is one for each service. Its owner must answer every request that Offer refuses or pushes out and that
// Next drops.
type Queue[T any] struct {
	limits   Limits
	weights  func(account string) int
	accounts map[string]*account[T]
	// active lists the accounts with waiting requests.
	active []*account[T]
	live   int
	// virtual is the virtual time of the last dispatched request.
	virtual float64
	rate    rate
	service average
	// unbounded is set by UnsafeUnbounded.
	unbounded bool
}

// NewQueue returns an empty queue. weights gives the weight of an account; values under 1 count as 1.
func NewQueue[T any](limits Limits, weights func(account string) int) *Queue[T] {
	return &Queue[T]{limits: limits, weights: weights, accounts: map[string]*account[T]{}}
}

// UnsafeUnbounded switches fairness, bounds and shedding off. Only tests call it, to show that their checks need them.
func (q *Queue[T]) UnsafeUnbounded() { q.unbounded = true }

const overloadRemedy = "retry later with backoff, or with a longer Request-Timeout-Ms"

// Offer adds a request to its account's queue. It returns the request that had to leave for it, if any, and an error if
// the request itself is refused: it cannot meet its deadline, or the queue of its account is full.
func (q *Queue[T]) Offer(item *Item[T], now time.Time) (pushedOut *Item[T], err error) {
	if !item.Deadline.After(now) {
		return nil, errkind.New(errkind.DeadlineExceeded, "send the request with a longer Request-Timeout-Ms",
			"deadline passed before the request was queued")
	}
	if item.queued || item.removed || item.account != nil {
		return nil, errkind.New(errkind.Internal, "offer a new Item", "request of account %s was offered before", item.Account)
	}
	a := q.account(item.Account)
	if q.unbounded {
		q.push(a, item)
		return nil, nil
	}
	if a.live >= q.limits.QueuedPerAccount {
		return nil, errkind.New(errkind.Overloaded, overloadRemedy, "account %s has %d requests queued", a.name, a.live)
	}
	if wait, bound := q.expectedWait(a, now), q.waitBound(a, item, now); wait > bound {
		return nil, errkind.New(errkind.Overloaded, overloadRemedy,
			"expected wait of %s is above the %s that the deadline leaves", wait.Round(time.Millisecond),
			bound.Round(time.Millisecond))
	}
	if q.live >= q.limits.Queued {
		longest := q.longest()
		if longest == nil || longest == a || float64(longest.live)/longest.weight <= float64(a.live+1)/a.weight {
			return nil, errkind.New(errkind.Overloaded, overloadRemedy, "%d requests are queued", q.live)
		}
		pushedOut = longest.last()
		q.Remove(pushedOut)
	}
	q.push(a, item)
	return pushedOut, nil
}

// account returns the queue of an account and brings its weight up to date.
func (q *Queue[T]) account(name string) *account[T] {
	a, ok := q.accounts[name]
	if !ok {
		a = &account[T]{name: name}
		q.accounts[name] = a
	}
	a.weight = float64(max(1, q.weights(name)))
	return a
}

// push appends the item to the account's queue.
func (q *Queue[T]) push(a *account[T], item *Item[T]) {
	item.account = a
	item.queued = true
	if a.live == 0 {
		q.active = append(q.active, a)
		a.items, a.head = a.items[:0], 0
		// An account that was idle gets no credit for it.
		a.finish = max(a.finish, q.virtual)
	}
	a.items = append(a.items, item)
	a.live++
	q.live++
}

// Remove takes a waiting request out, for example because its caller went away. It reports whether it was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if !item.queued {
		return false
	}
	item.queued = false
	item.removed = true
	q.forget(item.account)
	return true
}

// forget counts one waiting request less and drops an account without any from the active ones.
func (q *Queue[T]) forget(a *account[T]) {
	a.live--
	q.live--
	if a.live > 0 {
		return
	}
	for i, other := range q.active {
		if other == a {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
}

// Next takes out the request to be dispatched now, nil if none waits or if accept refuses the one that is due, which
// then stays. accept is called at most once for each request that is taken out. Requests that can no longer meet their deadline are taken out on the way and returned in dropped.
func (q *Queue[T]) Next(now time.Time, accept func(*Item[T]) bool) (next *Item[T], dropped []*Item[T]) {
	for q.live > 0 {
		a := q.pick()
		item := a.first()
		late := !q.unbounded && now.Add(q.service.minimum()).After(item.Deadline)
		if !late && !accept(item) {
			return nil, dropped
		}
		item.queued = false
		a.head++
		q.forget(a)
		if late {
			dropped = append(dropped, item)
			continue
		}
		q.virtual = a.finish
		a.finish += 1 / a.weight
		q.rate.add(now)
		return item, dropped
	}
	return nil, dropped
}

// pick returns the active account that is furthest behind its share.
func (q *Queue[T]) pick() *account[T] {
	best := q.active[0]
	if q.unbounded {
		return best
	}
	for _, a := range q.active[1:] {
		if a.finish < best.finish || a.finish == best.finish && a.name < best.name {
			best = a
		}
	}
	return best
}

// first returns the oldest waiting request of an account that has one.
func (a *account[T]) first() *Item[T] {
	for a.items[a.head].removed {
		a.head++
	}
	if a.head > 64 && a.head > len(a.items)/2 {
		a.items = append(a.items[:0], a.items[a.head:]...)
		a.head = 0
	}
	return a.items[a.head]
}

// last returns the newest waiting request of an account that has one.
func (a *account[T]) last() *Item[T] {
	i := len(a.items) - 1
	for a.items[i].removed {
		i--
	}
	return a.items[i]
}

// longest returns the account with the most waiting requests for its weight, nil if none waits.
func (q *Queue[T]) longest() *account[T] {
	var longest *account[T]
	for _, a := range q.active {
		if longest == nil || float64(a.live)/a.weight > float64(longest.live)/longest.weight {
			longest = a
		}
	}
	return longest
}

// Served reports the service time of a request that was dispatched and completed.
func (q *Queue[T]) Served(took time.Duration) { q.service.add(took) }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.live }

// expectedWait estimates how long a new request of the account waits: the requests of the account ahead of it, at the
// account's share of the recent dispatch rate.
func (q *Queue[T]) expectedWait(a *account[T], now time.Time) time.Duration {
	perSecond := q.rate.perSecond(now)
	if perSecond <= 0 || a.live == 0 {
		return 0
	}
	weights := 0.0
	for _, other := range q.active {
		weights += other.weight
	}
	share := perSecond * a.weight / weights
	return time.Duration(float64(a.live+1) / share * float64(time.Second))
}

// waitBound returns how long the request may be expected to wait.
func (q *Queue[T]) waitBound(a *account[T], item *Item[T], now time.Time) time.Duration {
	percent := q.limits.ShortWaitPercent
	if longest := q.longest(); longest == nil || longest == a {
		percent = q.limits.WaitPercent
	}
	left := item.Deadline.Sub(now) - q.service.mean()
	return left * time.Duration(percent) / 100
}

// ServiceTime returns the mean service time, 0 if none was reported.
func (q *Queue[T]) ServiceTime() time.Duration { return q.service.mean() }
