package routing

import "time"

// Probe is a request to test an endpoint on a new connection that is closed afterwards. The caller of Probes carries it
// out.
type Probe struct {
	Service  string
	Endpoint string
	Address  string
	// MaxConnections is the maximum number of connections of this gateway to the endpoint, including that of the probe.
	MaxConnections int
	// QueryIncarnation is true if the probe must ask the endpoint for its incarnation. Otherwise it only opens the
	// connection.
	QueryIncarnation bool
}

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	// Connected reports whether the connection was opened.
	Connected bool
	// Incarnation and Leaving are from the endpoint's response; Incarnation is empty without one.
	Incarnation string
	Leaving     bool
}

// Probes returns the probes that are due and marks them as in progress. Unreachable endpoints are probed by opening a
// connection. A leaving endpoint is probed by opening a connection too, which is no work for it, until it has refused a
// connection, another incarnation has responded, or the VM list has shown it as live for minListedLive; from then on it
// is asked for its incarnation.
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
					Service:          s.name,
					Endpoint:         e.config.ID,
					Address:          e.config.Address,
					MaxConnections:   e.connections,
					QueryIncarnation: ask,
				})
			}
		}
	}
	return due
}

// probeDue reports whether a probe of the endpoint is due, and whether it must ask for the incarnation.
func (t *Table) probeDue(e *endpoint, now time.Time) (ask, due bool) {
	if _, leaving := t.leaving.since(e); leaving {
		if now.Before(e.incarnation.probeAt) {
			return false, false
		}
		live := e.incarnation.liveSince
		return e.incarnation.mayBeReplaced || !live.IsZero() && now.Sub(live) >= minListedLive, true
	}
	switch e.health.state {
	case unreachable:
		return false, !now.Before(e.health.until)
	case ejected:
		return true, !now.Before(e.health.until.Add(probeGrace))
	}
	return false, false
}

// probeGrace is the time after the end of an ejection during which an idempotent request may serve as the probe. If
// none arrives, the endpoint is asked for its incarnation instead: the ejected endpoints of a service without
// idempotent requests would otherwise never return.
const probeGrace = time.Second

// ProbeDone applies the result of a probe. It must be called once for each probe that Probes returned.
func (t *Table) ProbeDone(p Probe, r ProbeResult, now time.Time) {
	e := t.find(p.Service, p.Endpoint)
	if e == nil || e.config.Address != p.Address {
		return
	}
	e.health.probing = false
	e.incarnation.probeAt = now.Add(leavingProbeInterval)
	if p.QueryIncarnation && e.health.state == ejected {
		kind := Failed
		if r.Incarnation != "" {
			kind = Responded
		}
		t.finishProbe(e, kind, now)
	}
	if !r.Connected {
		t.markUnreachable(e, now)
		return
	}
	if r.Incarnation != "" {
		t.applyIncarnationProbe(e, r, now)
	}
	if e.health.state != unreachable {
		return
	}
	e.health.state = usable
	e.health.connectFailures = 0
	if e.health.isFlapping(now) {
		t.eject(e, now)
	}
}

// applyIncarnationProbe applies the incarnation that a probe returned. If the id of the leaving incarnation was never
// known, an endpoint that does not report itself as leaving counts as a new incarnation.
func (t *Table) applyIncarnationProbe(e *endpoint, r ProbeResult, now time.Time) {
	if e.incarnation.id == "" && !r.Leaving {
		delete(t.leaving, e.name())
	}
	t.observeIncarnation(e, r.Incarnation, r.Leaving, time.Time{}, now)
}
