// Package overload decides which work is delayed or refused when capacity is insufficient.
//
// It has no I/O, clock or goroutines: package dispatch asks it for the order of waiting steps and for the forecast, package node
// whether a submission is accepted. In calm times, when there is room for all waiting work, the order is that of acceptance and
// everything is accepted.
//
//   - objective.go: the time within which a job should be done, its value, and whether it can still be done in time
//   - order.go: the order of waiting steps, and the share of starts that hopeless work gets
//   - forecast.go: how long a job that is accepted now is expected to wait
//   - backlog.go: how long waiting steps take together
//   - admission.go: which submissions are refused, and when to submit them again
package overload

import (
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// LateFactor times its objective after its acceptance, a job is worth nothing to most callers.
	LateFactor = 3
	// leastNeed is the part of its estimate that a job is assumed to need at least. Estimates are wrong by up to half, and a job that is
	// put in a worse class by mistake loses more than one that is kept in a better one: under the load of TestMixedLoad, urgent jobs
	// kept 2 to 4 percent more of their value than with 1.3.
	leastNeed = 0.8
	// recovery is the part of its time within which a job must be expected to end before it returns to a better class. The corrections of
	// estimates, and with them objectives, vary by 5 percent from run to run.
	recovery = 0.8
	// minCorrection and maxCorrection bound the factor by which the runs of a queue correct its estimates.
	minCorrection = 0.5
	maxCorrection = 2
	// MaxEstimate and maxSlack bound the values of callers and operators, so that no product overflows.
	MaxEstimate = 30 * 24 * time.Hour
	maxSlack    = 1000
	// maxObjective is the longest objective.
	maxObjective = 10 * 365 * 24 * time.Hour
	// maxRelativeWork bounds the work of a job in multiples of the mean of its queue: beyond it, the value does not grow.
	maxRelativeWork = 4
	// baseValue is the part of a job's value that does not depend on its work.
	baseValue = 0.3
)

// Class tells what a waiting job can still achieve. A lower class goes first.
type Class uint8

// The classes of waiting work.
const (
	// OnTime work can still meet its objective. Work without an objective counts as on time.
	OnTime Class = iota
	// Late work can only end within LateFactor times its objective.
	Late
	// Hopeless work can only end later than that.
	Hopeless
)

// Chains holds how long the steps of a job take one after the other, by the estimates of its caller.
type Chains struct {
	// Longest is the duration of the longest chain.
	Longest time.Duration
	// tails holds, for each step, the duration of the longest chain that begins with it.
	tails []time.Duration
	// endless is true if some tasks run until they are cancelled.
	endless bool
}

// NewChains returns the chains of the steps.
func NewChains(steps []workload.Step) Chains {
	c := Chains{tails: make([]time.Duration, len(steps))}
	for i := len(steps) - 1; i >= 0; i-- {
		s := &steps[i]
		c.endless = c.endless || s.LongRunning
		c.tails[i] += min(max(0, s.Estimate), MaxEstimate)
		c.Longest = max(c.Longest, c.tails[i])
		// Predecessors have lower indexes, so the tail of this step is complete.
		for _, predecessor := range s.After {
			c.tails[predecessor] = max(c.tails[predecessor], c.tails[i])
		}
	}
	return c
}

// From returns the duration of the longest chain that begins with the step.
func (c *Chains) From(step int) time.Duration { return c.tails[step] }

// Objective returns the time after its acceptance within which a job with the chains should be done, under the policy of its queue;
// 0 if it has none.
func (c *Chains) Objective(policy workload.QueuePolicy) time.Duration {
	if c.endless {
		return 0
	}
	objective := max(0, policy.Target)
	if policy.SlackFactor > 0 {
		objective = min(objective, maxObjective) + scale(c.Longest, min(policy.SlackFactor, maxSlack))
	}
	return min(objective, maxObjective)
}

// Correction returns the factor by which estimates are multiplied if runs progress at the given multiple of the estimated rate.
func Correction(relativeRate float64) float64 {
	if !(relativeRate > 0) {
		return 1
	}
	return min(max(1/relativeRate, minCorrection), maxCorrection)
}

// WorkPerValue returns the work that a job needs for its value, relative to others of its queue, from its work and their mean work.
func WorkPerValue(work, mean float64) float64 {
	if mean <= 0 || work < 0 {
		return 1
	}
	relative := work / mean
	return relative / (baseValue + (1-baseValue)*min(relative, maxRelativeWork))
}

// Outlook is what is known of when a job can end.
type Outlook struct {
	// Objective is the job's objective; 0 if it has none.
	Objective time.Duration
	// Age is the time since the job was accepted or due.
	Age time.Duration
	// Need is the duration of the longest chain that is still ahead.
	Need time.Duration
}

// Corrected returns the outlook with all estimates multiplied by the factor; target is the part of the objective that does not depend
// on them.
func (o Outlook) Corrected(factor float64, target time.Duration) Outlook {
	target = min(max(0, target), o.Objective)
	if o.Objective > 0 {
		o.Objective = scale(o.Objective-target, factor) + target
	}
	o.Need = scale(o.Need, factor)
	return o
}

// Class returns the class of a job whose class was previous. A job returns to a better class only if it is clearly better, so that it does
// not change back and forth.
func (o Outlook) Class(previous Class) Class {
	class := o.classWithin(1)
	if class >= previous {
		return class
	}
	return min(previous, o.classWithin(recovery))
}

// classWithin returns the class of the job if only the given part of the time may be used.
func (o Outlook) classWithin(part float64) Class {
	end, limit := o.age()+scale(o.Need, leastNeed), scale(o.Objective, part)
	switch {
	case o.Objective <= 0, end <= limit:
		return OnTime
	case end <= LateFactor*limit:
		return Late
	}
	return Hopeless
}

// age returns the age within bounds with which no sum overflows. A record without a time of acceptance gives the longest possible age.
func (o Outlook) age() time.Duration { return min(max(o.Age, -maxObjective), maxObjective) }

// TimeLeft returns how much longer the job can wait without leaving the class; it is negative if the job has left it. Without an objective,
// it is the rest of noObjectiveTimeLeft.
func (o Outlook) TimeLeft(class Class) time.Duration {
	if o.Objective <= 0 {
		return noObjectiveTimeLeft - o.age()
	}
	left := -o.age() - scale(o.Need, leastNeed)
	switch class {
	case OnTime:
		return left + o.Objective
	case Late:
		return left + LateFactor*o.Objective
	}
	return left
}

// scale returns d times the factor, which is not negative, at most maxObjective.
func scale(d time.Duration, factor float64) time.Duration {
	if product := float64(d) * factor; product < float64(maxObjective) {
		return time.Duration(product)
	}
	return maxObjective
}
