package routing

import "time"

// Probe asks the adapter to test an endpoint on a new connection that is closed afterwards.
type Probe struct {
	Service  string
	Endpoint string
	Address  string
	// MaxConnections bounds the connections of this gateway to the endpoint, the probe's included.
	MaxConnections int
	// Ask is true if the endpoint is to be asked for its incarnation; otherwise the connection alone is tested.
	Ask bool
}

// ProbeResult is what came of a Probe.
type ProbeResult struct {
	// Connected reports whether the connection was opened.
	Connected bool
	// Incarnation and Leaving are from the endpoint's response; Incarnation is empty without one.
	Incarnation string
	Leaving     bool
}

// Probes returns the probes due now and counts them as under way. Endpoints that refuse connections are tested by
// connection alone. A leaving one is asked for its incarnation once its listener was closed and is open again, or once
// the VM list named it as live for a while; until then it is tested by connection alone, which is no work.
func (t *Table) Probes(now time.Time) []Probe {
	var due []Probe
	for _, s := range t.services {
		for _, e := range s.endpoints {
			if e.health.probing || e.connections == 0 {
				continue
			}
			if ask, ok := t.probeDue(e, now); ok {
				e.health.probing = true
				due = append(due, Probe{
					Service:        s.name,
					Endpoint:       e.config.ID,
					Address:        e.config.Address,
					MaxConnections: e.connections,
					Ask:            ask,
				})
			}
		}
	}
	return due
}

// probeDue reports whether an endpoint is due to be probed by the adapter.
func (t *Table) probeDue(e *endpoint, now time.Time) (ask, due bool) {
	if _, leaving := t.leaving.since(e); leaving {
		if now.Before(e.incarnation.probeAt) {
			return false, false
		}
		live := e.incarnation.liveSince
		return e.incarnation.refused || !live.IsZero() && now.Sub(live) >= listedLive, true
	}
	switch e.health.state {
	case unreachable:
		return false, !now.Before(e.health.until)
	case ejected:
		return true, !now.Before(e.health.until.Add(probeGrace))
	}
	return false, false
}

// probeGrace is the time after an ejection for which a repeatable request may come by as a probe. A service without such
// requests has its ejected endpoints asked instead; they would otherwise stay out for good.
const probeGrace = time.Second

// ProbeDone takes in the result of a probe.
func (t *Table) ProbeDone(p Probe, r ProbeResult, now time.Time) {
	e := t.find(p.Service, p.Endpoint)
	if e == nil || e.config.Address != p.Address {
		return
	}
	e.health.probing = false
	e.incarnation.probeAt = now.Add(leavingProbe)
	if p.Ask && e.health.state == ejected {
		kind := Failed
		if r.Incarnation != "" {
			kind = Answered
		}
		t.endProbe(e, kind, now)
	}
	if !r.Connected {
		t.turnUnreachable(e, now)
		return
	}
	if r.Incarnation != "" {
		t.askedIncarnation(e, r, now)
	}
	if e.health.state != unreachable {
		return
	}
	e.health.state = usable
	e.health.refusals = 0
	if e.health.flaps(now) {
		t.eject(e, now)
	}
}

// askedIncarnation takes in the incarnation that a probe learned. If the leaving one was never named, an endpoint that
// does not call itself leaving any more counts as a new one.
func (t *Table) askedIncarnation(e *endpoint, r ProbeResult, now time.Time) {
	if e.incarnation.id == "" && !r.Leaving {
		delete(t.leaving, e.name())
	}
	t.observe(e, r.Incarnation, r.Leaving, now)
}
