package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

// classKey names jobs that are interchangeable for placement.
type classKey struct {
	account       string
	shape         resource.Shape
	urgent        bool
	runOnce       bool
	canCheckpoint bool
	// solo is the id of a job that must avoid workers on which it failed, empty for others.
	solo string
}

// shapeKey names searches with the same answer on the same capacity.
type shapeKey struct {
	shape    resource.Shape
	hard     bool
	backfill bool
	// trial marks jobs that workers on trial accept.
	trial bool
	// runOnce marks jobs that avoid workers under suspicion.
	runOnce bool
	// displacing marks searches for capacity whose bindings would move away.
	displacing bool
}

// class is a first-in first-out queue of interchangeable waiting jobs. One failed search blocks the whole class, so a
// plan costs one search per class and not one per job.
type class struct {
	key        classKey
	owner      *account
	head, tail *job
	length     int
	// position is the index in Core.active, -1 if the class is empty.
	position int
	// retryReserve delays another search for a reservation.
	retryReserve time.Time
}

// enqueue adds j to the waiting jobs of its class, in order of submission.
func (c *Core) enqueue(j *job) {
	cl := c.classOf(j)
	j.class = cl
	after := cl.tail
	for after != nil && after.seq > j.seq {
		after = after.prev
	}
	c.linkAfter(cl, after, j)
	cl.length++
	c.waiting++
	if cl.position < 0 {
		cl.position = len(c.active)
		c.active = append(c.active, cl)
	}
	c.orderStale = true
}

func (c *Core) linkAfter(cl *class, after, j *job) {
	j.prev = after
	if after == nil {
		j.next = cl.head
		cl.head = j
	} else {
		j.next = after.next
		after.next = j
	}
	if j.next == nil {
		cl.tail = j
	} else {
		j.next.prev = j
	}
}

// dequeue removes j from its class at constant cost.
func (c *Core) dequeue(j *job) {
	cl := j.class
	if cl == nil {
		return
	}
	if j.prev == nil {
		cl.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		cl.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.prev, j.next, j.class = nil, nil, nil
	cl.length--
	c.waiting--
	c.orderStale = true
	if cl.length == 0 {
		c.deactivate(cl)
	}
}

// deactivate removes an empty class from the active ones.
func (c *Core) deactivate(cl *class) {
	last := len(c.active) - 1
	moved := c.active[last]
	c.active[cl.position] = moved
	moved.position = cl.position
	c.active[last] = nil
	c.active = c.active[:last]
	cl.position = -1
	delete(c.classes, cl.key)
}

// classOf returns the class of j, made if there is none.
func (c *Core) classOf(j *job) *class {
	key := classKey{
		account: j.Account, shape: j.Shape, urgent: j.Urgent,
		runOnce: j.RunOnce, canCheckpoint: j.CanCheckpoint,
	}
	if len(j.failures) > 0 || !j.notBefore.IsZero() {
		key.solo = j.ID
	}
	cl := c.classes[key]
	if cl == nil {
		cl = &class{key: key, owner: j.owner, position: -1}
		c.classes[key] = cl
	}
	return cl
}

// order sorts the active classes: urgent ones first, then by the key of their first job.
func (c *Core) order() {
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
		if d := a.head.key.Compare(b.head.key); d != 0 {
			return d
		}
		return cmp.Compare(a.head.seq, b.head.seq)
	})
	for i, cl := range c.active {
		cl.position = i
	}
}
