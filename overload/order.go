package overload

import (
	"cmp"
	"time"
)

const (
	// dueStep is the precision of latest starts: within it, estimates do not tell steps apart, and the value for the work that a job
	// needs decides. If that value counted as much as the time left, small jobs would always go first: at three times the capacity, the
	// largest tenth of a queue was served in time 0.4 times as often as the queue, where users expect at least half.
	dueStep = time.Second
	// ampleTimeLeft is the least time left of all work on time from which late work goes with it, scarceTimeLeft that below which it
	// goes after it again. Otherwise a steady flow of small jobs would keep late gangs waiting while there is room for all.
	ampleTimeLeft  = 5 * time.Second
	scarceTimeLeft = 2 * time.Second
	// noObjectiveTimeLeft is the time that a job without an objective may wait before it counts as having none left.
	noObjectiveTimeLeft = 10 * time.Second
	// hopelessShare is the part of the started work of an overloaded service that is hopeless work, as long as some waits. It bounds
	// what hopeless work costs other work, and the time after which its turn comes: about 8 times what it would take alone.
	hopelessShare = 0.125
)

// Rank holds what determines the place of a waiting step in the order.
type Rank struct {
	// Guaranteed steps are within the guarantee of their account. They go first.
	Guaranteed bool
	// Turn is true for hopeless steps when their share of starts is due.
	Turn bool
	// Class is the class with which the step goes; see Margins.
	Class    Class
	Priority int
	// Reserving steps have capacity reserved, which later steps should not take over.
	Reserving bool
	// Due is the latest start with which the class is kept, in steps of dueStep; zero in calm times. The earliest goes first.
	Due time.Time
	// WorkPerValue is the work that the job needs for its value, relative to its queue; 0 in calm times. The lowest goes first.
	WorkPerValue float64
	// SortTime orders steps that are equal otherwise.
	SortTime time.Time
}

// Compare returns a negative number if a goes before b, a positive one if b goes before a, and 0 if neither does.
func Compare(a, b *Rank) int {
	if a.Guaranteed || b.Guaranteed {
		return cmp.Or(compareBool(a.Guaranteed, b.Guaranteed), a.SortTime.Compare(b.SortTime))
	}
	if a.Turn || b.Turn {
		return cmp.Or(compareBool(a.Turn, b.Turn), a.SortTime.Compare(b.SortTime))
	}
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Priority, b.Priority), compareBool(a.Reserving, b.Reserving),
		a.Due.Compare(b.Due), cmp.Compare(a.WorkPerValue, b.WorkPerValue), a.SortTime.Compare(b.SortTime))
}

// compareBool puts true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Due returns the value of Rank.Due for a step that goes with the class: its latest start in that class, extended by its deferral. Hopeless
// steps have equal values, so that they go in order of acceptance.
func Due(o Outlook, class Class, deferral time.Duration, now time.Time) time.Time {
	if class == Hopeless {
		return time.Time{}
	}
	return now.Add(o.TimeLeft(class) + deferral).Truncate(dueStep)
}

// Margins tracks whether the work on time of an overloaded service has time left for late work to go with it. The zero value is ready for
// use.
type Margins struct {
	// least maps each priority to the least time left since the last update, ample holds the priorities with ample time left.
	least map[int]time.Duration
	ample map[int]bool
}

// Observe records the time left of a waiting step that is on time.
func (m *Margins) Observe(priority int, left time.Duration) {
	if m.least == nil {
		m.least, m.ample = map[int]time.Duration{}, map[int]bool{}
	}
	if least, known := m.least[priority]; !known || left < least {
		m.least[priority] = left
	}
}

// Update decides from what was observed since the last update.
func (m *Margins) Update() {
	for priority := range m.ample {
		if _, waits := m.least[priority]; !waits {
			delete(m.ample, priority)
		}
	}
	for priority, least := range m.least {
		m.ample[priority] = least >= ampleTimeLeft || least >= scarceTimeLeft && m.ample[priority]
	}
	clear(m.least)
}

// Place returns the class with which work of the class goes: late work goes with work on time if all of that which it would then precede
// has ample time left.
func (m *Margins) Place(class Class, priority int) Class {
	if class != Late {
		return class
	}
	for other, ample := range m.ample {
		if other >= priority && !ample {
			return Late
		}
	}
	return OnTime
}

// Turns decides when hopeless work of an overloaded service goes before other work, so that it gets hopelessShare of the started work.
// The zero value is ready for use.
type Turns struct {
	// credit is the hopeless work that may start before it has had its share.
	credit float64
}

// Due reports whether it is the turn of hopeless work.
func (t *Turns) Due() bool { return t.credit > 0 }

// Started counts started work, or takes it back if it is negative: nothing of it has begun. maxCredit bounds the credit, and the excess
// that a single large job leaves: without a bound, hopeless work would be served for a long time at once, or not at all.
func (t *Turns) Started(class Class, work, maxCredit float64) {
	if class == Hopeless {
		t.credit -= work * (1 - hopelessShare)
	} else {
		t.credit += work * hopelessShare
	}
	t.credit = min(max(t.credit, -maxCredit), maxCredit)
}
