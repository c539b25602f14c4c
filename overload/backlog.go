package overload

import (
	"container/heap"
	"time"
)

// backlog computes how long a sequence of steps takes at a rate. A task takes only its own accelerators or cores for as long as it runs: a
// long one leaves the rest to others, so its work counts only up to the delay.
type backlog struct {
	rate float64
	// work is that of the steps that are shorter than the delay, in seconds, demand that of the others together, which long holds.
	work, demand float64
	long         longSteps
	delay        time.Duration
}

// add counts a step whose tasks take the duration each; if it is 0, the work counts in full.
func (b *backlog) add(work float64, duration time.Duration) {
	if b.rate <= 0 || work <= 0 {
		return
	}
	if duration <= b.delay {
		b.work += work
	} else {
		demand := work / duration.Seconds()
		b.demand += demand
		heap.Push(&b.long, longStep{duration, work, demand})
	}
	for {
		b.delay = maxObjective
		if b.demand < b.rate {
			b.delay = timeFor(b.work, b.rate-b.demand)
		}
		if len(b.long) == 0 || b.delay <= b.long[0].duration && b.demand < b.rate {
			return
		}
		s := heap.Pop(&b.long).(longStep)
		b.work += s.work
		b.demand -= s.demand
		if len(b.long) == 0 {
			// Differences of rounded sums are not exactly 0.
			b.demand = 0
		}
	}
}

type longStep struct {
	duration     time.Duration
	work, demand float64
}

// longSteps is a heap with the shortest step first.
type longSteps []longStep

func (l longSteps) Len() int           { return len(l) }
func (l longSteps) Less(i, j int) bool { return l[i].duration < l[j].duration }
func (l longSteps) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *longSteps) Push(s any)        { *l = append(*l, s.(longStep)) }
func (l *longSteps) Pop() any {
	last := len(*l) - 1
	s := (*l)[last]
	*l = (*l)[:last]
	return s
}
