package routing

import (
	"slices"
	"time"
)

// The age at which a load report has half its weight is reportHalfLifeExchanges times the mean exchange time, or
// defaultReportHalfLife while that time is unknown. Reports must lose weight: a gateway that sends an endpoint nothing
// gets no new report, and would otherwise never use an endpoint again that was reported as full. The age follows
// the exchange time because a fixed age much longer than an exchange leaves free slots unused, such as an age of 100 to
// 500 ms with exchanges of 50 ms at 90% load.
const (
	defaultReportHalfLife   = 50 * time.Millisecond
	reportHalfLifeExchanges = 2
)

// load is the last reported number of exchanges of other gateways at an endpoint.
type load struct {
	others     int
	reportedAt time.Time
	// meanExchange is the mean duration of an exchange, after which the exchanges of other gateways probably end.
	meanExchange time.Duration
}

// update records a report of total exchanges at the endpoint, of which own are this gateway's.
func (l *load) update(total, own int, now time.Time) {
	l.others = max(0, total-own)
	l.reportedAt = now
}

// estimate returns the estimated number of exchanges of other gateways that still run.
func (l *load) estimate(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	life := reportHalfLifeExchanges * l.meanExchange
	if life <= 0 {
		life = defaultReportHalfLife
	}
	return float64(l.others) / (1 + float64(age)/float64(life))
}

// estimatedInflight returns the estimated number of exchanges of all gateways at the endpoint.
func (e *endpoint) estimatedInflight(now time.Time) float64 {
	return float64(e.inflight) + e.load.estimate(now)
}

// hasFreeSlot reports whether the endpoint probably has a free slot and this gateway may open another connection to it.
func (t *Table) hasFreeSlot(e *endpoint, now time.Time) bool {
	if t.unsafe.Bound {
		return true
	}
	if e.inflight >= min(e.connections, e.config.Slots) {
		return false
	}
	// A gateway may always use its share of the slots, whatever the endpoint reports, since reports may be late or
	// wrong.
	return e.inflight < max(1, e.config.Slots/t.seats) || e.estimatedInflight(now) < float64(e.config.Slots)
}

// choose picks an endpoint of the gateway's failure domain. It picks one of another failure domain only if no local
// endpoint is usable at all. If the local endpoints are merely full, the request waits: sending requests to other
// failure domains would use up their capacity as well. probe reports whether the exchange probes an ejected endpoint.
func (t *Table) choose(s *service, exclude []string, mayProbe bool, now time.Time) (e *endpoint, probe bool) {
	if mayProbe && len(exclude) == 0 {
		if e := t.endpointToProbe(s, now); e != nil {
			return e, true
		}
	}
	usable := t.candidates(s, func(e *endpoint) bool { return e.config.FailureDomain == t.failureDomain })
	if len(usable) == 0 {
		usable = t.candidates(s, func(*endpoint) bool { return true })
	}
	if len(exclude) > 0 {
		others := slices.DeleteFunc(slices.Clone(usable), func(e *endpoint) bool {
			return slices.Contains(exclude, e.config.ID)
		})
		if len(others) > 0 {
			usable = others
		}
	}
	return t.lessLoadedOfTwo(usable, now), false
}

// endpointToProbe returns a local ejected endpoint that is due to be probed by an exchange, nil if there is none.
func (t *Table) endpointToProbe(s *service, now time.Time) *endpoint {
	if s.ejected == 0 {
		return nil
	}
	for _, e := range s.endpoints {
		due := e.health.state == ejected && !e.health.probing && !now.Before(e.health.until)
		if due && e.config.FailureDomain == t.failureDomain && t.eligible(e) && t.hasFreeSlot(e, now) {
			return e
		}
	}
	return nil
}

// candidates returns the usable endpoints that match, with or without a free slot. The slice is valid until the next
// call.
func (t *Table) candidates(s *service, match func(*endpoint) bool) []*endpoint {
	s.candidateBuffer = s.candidateBuffer[:0]
	for _, e := range s.endpoints {
		if match(e) && t.eligible(e) && (t.unsafe.Health || e.health.state == usable) {
			s.candidateBuffer = append(s.candidateBuffer, e)
		}
	}
	return s.candidateBuffer
}

// eligible reports whether no drain of the endpoint is configured, it is not leaving, and this gateway may open
// connections to it.
func (t *Table) eligible(e *endpoint) bool {
	if e.connections == 0 || e.drainRequested {
		return false
	}
	_, leaving := t.leaving.since(e)
	return !leaving || t.unsafe.Leaving
}

// lessLoadedOfTwo returns the less loaded of two random endpoints with a free slot, nil if there is none. Two random
// choices balance the load nearly as well as choosing the least loaded endpoint, but all gateways do not choose the
// same endpoint at once. It reuses the memory of list.
func (t *Table) lessLoadedOfTwo(list []*endpoint, now time.Time) *endpoint {
	free := list[:0]
	for _, e := range list {
		if t.hasFreeSlot(e, now) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	first := free[t.random.IntN(len(free))]
	second := free[t.random.IntN(len(free))]
	if second.estimatedInflight(now)*float64(first.config.Slots) < first.estimatedInflight(now)*float64(second.config.Slots) {
		return second
	}
	return first
}
