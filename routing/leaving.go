package routing

import (
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
)

// LeavingBound is the maximum time during which an endpoint may still get requests, from the time at which this gateway
// first learned that the endpoint is leaving.
const LeavingBound = 3 * time.Second

// minListedLive is the time for which the VM list must continuously show a leaving endpoint as live before the endpoint
// is asked for its incarnation. The list lags and may revert to older states, so it never suffices by itself.
const minListedLive = 10 * time.Second

// leavingProbeInterval is the interval between probes of a leaving endpoint.
const leavingProbeInterval = time.Second

// maxRetired is the maximum number of replaced incarnations kept per endpoint.
const maxRetired = 8

// incarnation is the known state of the current incarnation of an endpoint.
type incarnation struct {
	// id is empty until it is known from a response or a peer.
	id string
	// retired lists replaced incarnations, whose late responses say nothing about the current one.
	retired []string
	// respondedAt is the time of the first own response of the incarnation; zero before it.
	respondedAt time.Time
	// mayBeReplaced is true once a leaving incarnation refused a connection, since its listener is closed then, or another one has
	// responded whose order is not known.
	mayBeReplaced bool
	// liveSince is the time since which the VM list shows the endpoint as live; zero while it does not.
	liveSince time.Time
	// probeAt is the time of the next probe while the incarnation is leaving.
	probeAt time.Time
}

// leavingSet maps leaving endpoint incarnations to the time at which this gateway first learned that they are leaving. An
// incarnation stays marked as leaving: only a new incarnation of the endpoint gets requests again.
type leavingSet map[inner.EndpointIncarnation]time.Time

// name returns the service, the endpoint id and the current incarnation of an endpoint. The incarnation is empty until
// it is known.
func (e *endpoint) name() inner.EndpointIncarnation {
	return inner.EndpointIncarnation{Service: e.service.name, Endpoint: e.config.ID, Incarnation: e.incarnation.id}
}

// since reports whether the current incarnation of the endpoint is leaving, and since when.
func (s leavingSet) since(e *endpoint) (time.Time, bool) {
	if len(s) == 0 {
		return time.Time{}, false
	}
	at, ok := s[e.name()]
	return at, ok
}

// markLeaving marks the current incarnation of the endpoint as leaving.
func (t *Table) markLeaving(e *endpoint, now time.Time) {
	if _, ok := t.leaving[e.name()]; ok {
		return
	}
	t.leaving[e.name()] = now
	e.incarnation.mayBeReplaced = false
	e.incarnation.probeAt = now.Add(leavingProbeInterval)
}

// observeIncarnation applies the incarnation and the leaving state that an endpoint reported itself in an exchange or a probe. startedAt
// is when that began; zero if it is not known. The report of an unknown incarnation shows that it is newer than the current one only if
// the exchange began after the current one had responded: a long response of an earlier one may end later.
func (t *Table) observeIncarnation(e *endpoint, id string, leaving bool, startedAt, now time.Time) {
	for _, old := range e.incarnation.retired {
		if old == id {
			return
		}
	}
	if id != e.incarnation.id && !startedAt.IsZero() && startedAt.Before(e.incarnation.respondedAt) {
		e.incarnation.mayBeReplaced = true
		if leaving {
			t.noteLeaving(inner.EndpointIncarnation{Service: e.service.name, Endpoint: e.config.ID, Incarnation: id}, now)
		}
		return
	}
	if id != e.incarnation.id {
		t.replaceIncarnation(e, id, now)
	}
	if e.incarnation.respondedAt.IsZero() {
		e.incarnation.respondedAt = now
	}
	if leaving {
		t.markLeaving(e, now)
	}
}

// replaceIncarnation sets the current incarnation of an endpoint and retires the previous one.
func (t *Table) replaceIncarnation(e *endpoint, id string, now time.Time) {
	old := e.name()
	since, wasLeaving := t.leaving[old]
	delete(t.leaving, old)
	e.incarnation.id = id
	e.incarnation.liveSince, e.incarnation.respondedAt = time.Time{}, time.Time{}
	if old.Incarnation != "" {
		e.incarnation.retired = append(e.incarnation.retired, old.Incarnation)
		if len(e.incarnation.retired) > maxRetired {
			e.incarnation.retired = e.incarnation.retired[1:]
		}
		return
	}
	// A mark that was made before the incarnation was known applies to the first incarnation that becomes known.
	if wasLeaving {
		t.leaving[e.name()] = since
		e.incarnation.probeAt = now.Add(leavingProbeInterval)
	}
}

// LearnLeaving marks the incarnations that a peer reports as leaving.
func (t *Table) LearnLeaving(list []inner.EndpointIncarnation, now time.Time) {
	for _, name := range list {
		e := t.find(name.Service, name.Endpoint)
		if e == nil {
			continue
		}
		if name.Incarnation == "" && e.incarnation.id == "" || name.Incarnation == e.incarnation.id {
			t.markLeaving(e, now)
			continue
		}
		if name.Incarnation != "" {
			t.learnOtherIncarnation(e, name, now)
		}
	}
}

// learnOtherIncarnation marks an incarnation as leaving that is not the one that this gateway knows as the current one.
func (t *Table) learnOtherIncarnation(e *endpoint, name inner.EndpointIncarnation, now time.Time) {
	for _, old := range e.incarnation.retired {
		if old == name.Incarnation {
			return
		}
	}
	if e.incarnation.id == "" {
		t.replaceIncarnation(e, name.Incarnation, now)
		t.markLeaving(e, now)
		return
	}
	t.noteLeaving(name, now)
}

// noteLeaving marks an incarnation as leaving that is not known as the current one. The next response of the endpoint shows whether it
// is older or newer than that.
func (t *Table) noteLeaving(name inner.EndpointIncarnation, now time.Time) {
	if _, ok := t.leaving[name]; !ok {
		t.leaving[name] = now
	}
}

// staleMarkRetention is how long the mark of an incarnation that is not current is kept.
const staleMarkRetention = 10 * time.Minute

// Leaving lists the current incarnations that are leaving, for peers. Marks of other incarnations are not passed on and
// are dropped after staleMarkRetention: gateways would otherwise pass them to each other forever.
func (t *Table) Leaving(now time.Time) []inner.EndpointIncarnation {
	var list []inner.EndpointIncarnation
	for name, since := range t.leaving {
		e := t.find(name.Service, name.Endpoint)
		switch {
		case e != nil && e.name() == name:
			list = append(list, name)
		case now.Sub(since) > staleMarkRetention:
			delete(t.leaving, name)
		}
	}
	return list
}

// ObserveVMs applies the platform's VM list. VMs are matched to endpoints by id or, failing that, by address.
func (t *Table) ObserveVMs(vms []infra.VM, now time.Time) {
	byID := make(map[string]infra.VMState, len(vms))
	byAddress := make(map[string]infra.VMState, len(vms))
	for _, vm := range vms {
		if vm.Role == infra.RoleEndpoint {
			byID[vm.ID] = vm.State
			byAddress[vm.Address] = vm.State
		}
	}
	for _, s := range t.services {
		for _, e := range s.endpoints {
			state, ok := byID[e.config.ID]
			if !ok {
				state = byAddress[e.config.Address]
			}
			t.observeVM(e, state, now)
		}
	}
}

// observeVM applies the state of an endpoint in the VM list, empty if it is not listed.
func (t *Table) observeVM(e *endpoint, state infra.VMState, now time.Time) {
	switch state {
	case infra.VMLeaving:
		t.markLeaving(e, now)
		e.incarnation.liveSince = time.Time{}
	case infra.VMLive:
		if e.incarnation.liveSince.IsZero() {
			e.incarnation.liveSince = now
		}
	default:
		e.incarnation.liveSince = time.Time{}
	}
}

// applyDrains sets which endpoints the document drains. A drain lasts until it is removed from the document.
func (t *Table) applyDrains(doc *config.Document) {
	for _, s := range t.services {
		for _, e := range s.endpoints {
			_, e.drainRequested = doc.Drains[e.config.ID]
		}
	}
}
