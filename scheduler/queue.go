package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

// classKey identifies jobs that are interchangeable for placement.
type classKey struct {
	account       string
	shape         resource.Shape
	urgent        bool
	runOnce       bool
	canCheckpoint bool
	// solo is the id of a job that failed or whose start was rejected, and that therefore has its own class. It is
	// empty for other jobs.
	solo string
}

// searchKey identifies placement searches that give the same result as long as no capacity is freed.
type searchKey struct {
	shape       resource.Shape
	unstoppable bool
	backfill    bool
	// trial marks jobs that may be placed on workers on trial.
	trial bool
	// runOnce marks run-once jobs, which avoid workers with a recent unexplained failure (underSuspicion).
	runOnce bool
	// displacing marks searches by startByDisplacing, which may use capacity that unclaimed cells are bound to if these
	// cells can be bound to other workers.
	displacing bool
}

// class is the list of interchangeable waiting jobs, in order of submission. One failed search blocks the whole class,
// so a plan costs one search per class instead of one per job.
type class struct {
	key        classKey
	owner      *account
	head, tail *job
	length     int
	// activeIndex is the index in Core.active, -1 if the class is empty.
	activeIndex int
	// reservationRetryAt is the earliest time of the next search for a reservation, zero if none has failed.
	reservationRetryAt time.Time
}

// enqueue adds j to the waiting jobs of its class, in order of submission. A job that waits again therefore precedes
// later submissions.
func (c *Core) enqueue(j *job) {
	q := c.classOf(j)
	j.class = q
	after := q.tail
	for after != nil && after.submission > j.submission {
		after = after.prev
	}
	c.linkAfter(q, after, j)
	q.length++
	c.waiting++
	if q.activeIndex < 0 {
		q.activeIndex = len(c.active)
		c.active = append(c.active, q)
	}
	c.orderStale = true
}

// linkAfter inserts j into the list of the class behind after, or at the head if after is nil.
func (c *Core) linkAfter(q *class, after, j *job) {
	j.prev = after
	if after == nil {
		j.next = q.head
		q.head = j
	} else {
		j.next = after.next
		after.next = j
	}
	if j.next == nil {
		q.tail = j
	} else {
		j.next.prev = j
	}
}

// dequeue removes j from its class at constant cost. It has no effect if j is in no class.
func (c *Core) dequeue(j *job) {
	q := j.class
	if q == nil {
		return
	}
	if j.prev == nil {
		q.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		q.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.prev, j.next, j.class = nil, nil, nil
	q.length--
	c.waiting--
	c.orderStale = true
	if q.length == 0 {
		c.deactivate(q)
	}
}

// deactivate removes an empty class.
func (c *Core) deactivate(q *class) {
	last := len(c.active) - 1
	moved := c.active[last]
	c.active[q.activeIndex] = moved
	moved.activeIndex = q.activeIndex
	c.active[last] = nil
	c.active = c.active[:last]
	q.activeIndex = -1
	delete(c.classes, q.key)
}

// classOf returns the class of j, creating it if necessary.
func (c *Core) classOf(j *job) *class {
	key := classKey{
		account: j.Account, shape: j.Shape, urgent: j.Urgent,
		runOnce: j.RunOnce, canCheckpoint: j.CanCheckpoint,
	}
	if len(j.avoided) > 0 || !j.notBefore.IsZero() {
		key.solo = j.ID
	}
	q := c.classes[key]
	if q == nil {
		q = &class{key: key, owner: j.owner, activeIndex: -1}
		c.classes[key] = q
	}
	return q
}

// sortClasses sorts the active classes: urgent ones first, then by the queue time of their first job, then by
// submission.
func (c *Core) sortClasses() {
	if !c.orderStale {
		return
	}
	c.orderStale = false
	slices.SortFunc(c.active, func(a, b *class) int {
		if a.key.urgent != b.key.urgent {
			if a.key.urgent {
				return -1
			}
			return 1
		}
		if d := a.head.queueTime.Compare(b.head.queueTime); d != 0 {
			return d
		}
		return cmp.Compare(a.head.submission, b.head.submission)
	})
	for i, q := range c.active {
		q.activeIndex = i
	}
}
