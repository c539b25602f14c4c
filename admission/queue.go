// Package admission decides which requests wait, in what order they are dispatched, and which are rejected.
//
// The package does no I/O, reads no clock and starts no goroutines. Its types are not safe for concurrent use.
package admission

import (
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// Limits holds the limits of a Queue.
type Limits struct {
	// Queued is the maximum number of waiting requests of all accounts.
	Queued int
	// QueuedPerAccount is the maximum number of waiting requests of one account.
	QueuedPerAccount int
	// WaitPercent is the maximum expected wait of a request, in percent of the time until its deadline, if its account
	// has the longest queue relative to its weight. The rest is a margin for errors of the estimate.
	WaitPercent int
	// ShortWaitPercent is the same for the other accounts. Their queues are short and become empty without rejections, so
	// rejecting their requests early gains little.
	ShortWaitPercent int
}

// DefaultLimits returns the limits of a gateway's queue for one service.
func DefaultLimits() Limits {
	return Limits{Queued: 4096, QueuedPerAccount: 2048, WaitPercent: 50, ShortWaitPercent: 90}
}

// Item is a request to be queued. It can be offered only once.
type Item[T any] struct {
	Account  string
	Deadline time.Time
	Value    T
	// removed is true if the item was removed while it was waiting; it is then skipped.
	removed bool
	// queued is true while the item is waiting.
	queued  bool
	account *account[T]
}

// account is the queue of one client account.
type account[T any] struct {
	name   string
	weight float64
	// items holds the items from index head on, oldest first, including removed ones.
	items []*Item[T]
	head  int
	// waiting is the number of waiting requests of the account.
	waiting int
	// finish is the virtual finish time of the account's last dispatched request. A request takes 1/weight of virtual
	// time.
	finish float64
}

// Queue is a bounded queue that shares capacity between client accounts by weight (start-time fair queueing with equal
// cost per request). Each service has its own queue. The user of the queue must respond to every request that Offer
// rejects or evicts and to every request that Next drops.
type Queue[T any] struct {
	limits   Limits
	weights  func(account string) int
	accounts map[string]*account[T]
	// active lists the accounts with waiting requests.
	active []*account[T]
	// waiting is the number of waiting requests of all accounts.
	waiting int
	// virtual is the virtual start time of the last dispatched request.
	virtual float64
	// rate is the dispatch rate of all accounts.
	rate rate
	// serviceTimes is the average of the serviceTimes times passed to Served.
	serviceTimes average
	// unbounded is set by UnsafeUnbounded.
	unbounded bool
}

// NewQueue returns an empty queue. weights returns the weight of an account; values below 1 count as 1.
func NewQueue[T any](limits Limits, weights func(account string) int) *Queue[T] {
	return &Queue[T]{limits: limits, weights: weights, accounts: map[string]*account[T]{}}
}

// UnsafeUnbounded disables fairness, limits and load shedding. Only tests call it, to show that their checks detect the
// missing rules.
func (q *Queue[T]) UnsafeUnbounded() { q.unbounded = true }

const overloadRemedy = "retry later with backoff, or with a longer Request-Timeout-Ms"

// Offer adds a request to the queue of its account. If the queue is full, it may evict a waiting request of the account
// with the longest queue relative to its weight and returns that request. Offer returns an error and does not queue the
// request if its deadline has passed (kind DeadlineExceeded), if its expected wait is too long or the queue is full
// (Overloaded), or if the item was offered before (Internal).
func (q *Queue[T]) Offer(item *Item[T], now time.Time) (evicted *Item[T], err error) {
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
	if a.waiting >= q.limits.QueuedPerAccount {
		return nil, errkind.New(errkind.Overloaded, overloadRemedy, "account %s has %d requests queued", a.name, a.waiting)
	}
	if wait, bound := q.expectedWait(a, now), q.waitBound(a, item, now); wait > bound {
		return nil, errkind.New(errkind.Overloaded, overloadRemedy,
			"expected wait of %s exceeds the %s that the deadline allows", wait.Round(time.Millisecond),
			bound.Round(time.Millisecond))
	}
	if q.waiting >= q.limits.Queued {
		longest := q.longest()
		if longest == nil || longest == a || float64(longest.waiting)/longest.weight <= float64(a.waiting+1)/a.weight {
			return nil, errkind.New(errkind.Overloaded, overloadRemedy, "%d requests are queued", q.waiting)
		}
		evicted = longest.last()
		q.Remove(evicted)
	}
	q.push(a, item)
	return evicted, nil
}

// account returns the queue of an account, creates it if needed, and updates its weight.
func (q *Queue[T]) account(name string) *account[T] {
	a, ok := q.accounts[name]
	if !ok {
		a = &account[T]{name: name}
		q.accounts[name] = a
	}
	a.weight = float64(max(1, q.weights(name)))
	return a
}

// push appends an item to the queue of an account.
func (q *Queue[T]) push(a *account[T], item *Item[T]) {
	item.account = a
	item.queued = true
	if a.waiting == 0 {
		q.active = append(q.active, a)
		a.items, a.head = a.items[:0], 0
		// An account gets no credit for the time in which it was idle.
		a.finish = max(a.finish, q.virtual)
	}
	a.items = append(a.items, item)
	a.waiting++
	q.waiting++
}

// Remove removes a waiting request, for example because its caller disconnected. It reports whether the request was
// waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if !item.queued {
		return false
	}
	item.queued = false
	item.removed = true
	q.countRemoved(item.account)
	return true
}

// countRemoved updates the counts after a waiting request of the account was taken out. An account without waiting
// requests becomes inactive.
func (q *Queue[T]) countRemoved(a *account[T]) {
	a.waiting--
	q.waiting--
	if a.waiting > 0 {
		return
	}
	for i, other := range q.active {
		if other == a {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
}

// Next removes and returns the request to be dispatched now. It returns nil if no request is waiting, or if accept
// returns false for the next one, which then stays. accept is called at most once for each request that is removed.
// Requests that can no longer meet their deadline are removed on the way and returned in dropped.
func (q *Queue[T]) Next(now time.Time, accept func(*Item[T]) bool) (next *Item[T], dropped []*Item[T]) {
	for q.waiting > 0 {
		a := q.furthestBehind()
		item := a.first()
		late := !q.unbounded && now.Add(q.serviceTimes.minimum()).After(item.Deadline)
		if !late && !accept(item) {
			return nil, dropped
		}
		item.queued = false
		a.head++
		q.countRemoved(a)
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

// furthestBehind returns the active account with the lowest virtual time, that is, the one furthest behind its share.
func (q *Queue[T]) furthestBehind() *account[T] {
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

// longest returns the account with the most waiting requests relative to its weight, nil if no request is waiting.
func (q *Queue[T]) longest() *account[T] {
	var longest *account[T]
	for _, a := range q.active {
		if longest == nil || float64(a.waiting)/a.weight > float64(longest.waiting)/longest.weight {
			longest = a
		}
	}
	return longest
}

// Served records the service time of a completed request.
func (q *Queue[T]) Served(took time.Duration) { q.serviceTimes.add(took) }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// expectedWait estimates how long a new request of the account will wait, from the number of the account's requests
// ahead of it and the account's share of the recent dispatch rate.
func (q *Queue[T]) expectedWait(a *account[T], now time.Time) time.Duration {
	perSecond := q.rate.perSecond(now)
	if perSecond <= 0 || a.waiting == 0 {
		return 0
	}
	weights := 0.0
	for _, other := range q.active {
		weights += other.weight
	}
	share := perSecond * a.weight / weights
	return time.Duration(float64(a.waiting+1) / share * float64(time.Second))
}

// waitBound returns the maximum expected wait with which the request is queued.
func (q *Queue[T]) waitBound(a *account[T], item *Item[T], now time.Time) time.Duration {
	percent := q.limits.ShortWaitPercent
	if longest := q.longest(); longest == nil || longest == a {
		percent = q.limits.WaitPercent
	}
	left := item.Deadline.Sub(now) - q.serviceTimes.mean()
	return left * time.Duration(percent) / 100
}

// ServiceTime returns the mean service time, 0 if none was recorded.
func (q *Queue[T]) ServiceTime() time.Duration { return q.serviceTimes.mean() }
