package routing

import (
	"slices"
	"time"
)

// Ages at which a load report counts half: the fixed one if the exchange time is not known, else a multiple of that.
// Reports must lose weight: an endpoint reported as full would otherwise never be tried again by a gateway that sends
// it nothing. With a fixed age of 100 to 500 ms, exchanges of 50 ms left free slots unused at 90% load.
const (
	reportLife      = 50 * time.Millisecond
	reportExchanges = 2
)

// load is what an endpoint last reported about its use by other gateways.
type load struct {
	others int
	at     time.Time
	// exchange is the mean time of an exchange, by which requests of other gateways end.
	exchange time.Duration
}

// report takes in the number of exchanges that the endpoint counted, own ones included.
func (l *load) report(total, own int, now time.Time) {
	l.others = max(0, total-own)
	l.at = now
}

// estimate returns the exchanges of other gateways that probably still run.
func (l *load) estimate(now time.Time) float64 {
	age := now.Sub(l.at)
	life := reportExchanges * l.exchange
	if life <= 0 {
		life = reportLife
	}
	return float64(l.others) / (1 + float64(age)/float64(life))
}

// use returns the estimated exchanges at the endpoint.
func (e *endpoint) use(now time.Time) float64 { return float64(e.inflight) + e.load.estimate(now) }

// hasSlot reports whether one more exchange probably finds a free slot, within the hard bound of connections.
func (t *Table) hasSlot(e *endpoint, now time.Time) bool {
	if t.unsafe.Bound {
		return true
	}
	if e.inflight >= min(e.connections, e.config.Slots) {
		return false
	}
	// A gateway's share of the slots is always its own, whatever the endpoint reports: reports may be late or wrong.
	return e.inflight < max(1, e.config.Slots/t.seats) || e.use(now) < float64(e.config.Slots)
}

// choose picks among the endpoints of the own failure domain, or of the others if no own one is usable at all. Own
// endpoints that are merely full are waited for: load that spills over would take the others' capacity as well.
func (t *Table) choose(s *service, exclude []string, mayProbe bool, now time.Time) (e *endpoint, probe bool) {
	if mayProbe && len(exclude) == 0 {
		if e := t.dueProbe(s, now); e != nil {
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
	return t.lessLoaded(usable, now), false
}

// dueProbe returns an ejected endpoint of the own failure domain that is due to be tested by one exchange.
func (t *Table) dueProbe(s *service, now time.Time) *endpoint {
	if s.ejected == 0 {
		return nil
	}
	for _, e := range s.endpoints {
		due := e.health.state == ejected && !e.health.probing && !now.Before(e.health.until)
		if due && e.config.FailureDomain == t.failureDomain && t.mayWork(e) && t.hasSlot(e, now) {
			return e
		}
	}
	return nil
}

// candidates returns the usable endpoints that match, whether they have a free slot or not.
func (t *Table) candidates(s *service, match func(*endpoint) bool) []*endpoint {
	s.candidates = s.candidates[:0]
	for _, e := range s.endpoints {
		if match(e) && t.mayWork(e) && (t.unsafe.Health || e.health.state == usable) {
			s.candidates = append(s.candidates, e)
		}
	}
	return s.candidates
}

// mayWork reports whether the endpoint is not leaving and may hold a connection of this gateway.
func (t *Table) mayWork(e *endpoint) bool {
	if e.connections == 0 || e.drained {
		return false
	}
	_, leaving := t.leaving.since(e)
	return !leaving || t.unsafe.Leaving
}

// lessLoaded returns the less loaded of two random endpoints with a free slot, nil if there is none. Two choices spread
// the load nearly as well as the least loaded one does, without all gateways choosing the same endpoint at once.
func (t *Table) lessLoaded(list []*endpoint, now time.Time) *endpoint {
	free := list[:0]
	for _, e := range list {
		if t.hasSlot(e, now) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	first := free[t.random.IntN(len(free))]
	second := free[t.random.IntN(len(free))]
	if second.use(now)*float64(first.config.Slots) < first.use(now)*float64(second.config.Slots) {
		return second
	}
	return first
}
