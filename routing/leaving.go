package routing

import (
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
)

// LeavingBound is the time after the first sign within which a leaving endpoint stops getting requests.
const LeavingBound = 3 * time.Second

// listedLive is the time for which the VM list must name a leaving endpoint as live before the endpoint is asked for a
// new incarnation. The list lags and goes back and forth, so it is never believed by itself.
const listedLive = 10 * time.Second

// leavingProbe is the time between connection probes of a leaving endpoint.
const leavingProbe = time.Second

// retiredKept bounds the replaced incarnations remembered per endpoint.
const retiredKept = 8

// incarnation is what is known about the incarnation of an endpoint.
type incarnation struct {
	// id is empty until a response or a peer named it.
	id string
	// retired lists replaced incarnations, whose late responses say nothing about the present one.
	retired []string
	// refused is set once a connection to a leaving incarnation was refused: its listener is closed.
	refused bool
	// liveSince is when the VM list began to name the endpoint as live; zero while it does not.
	liveSince time.Time
	// probeAt is the time of the next probe while the incarnation is leaving.
	probeAt time.Time
}

// leavingSet holds the leaving endpoint incarnations with the time of the first sign. Marks are never taken back: only
// a new incarnation gets work again.
type leavingSet map[inner.EndpointIncarnation]time.Time

// name returns the present incarnation of an endpoint.
func (e *endpoint) name() inner.EndpointIncarnation {
	return inner.EndpointIncarnation{Service: e.service.name, Endpoint: e.config.ID, Incarnation: e.incarnation.id}
}

// since reports whether the present incarnation of the endpoint is leaving, and since when.
func (s leavingSet) since(e *endpoint) (time.Time, bool) {
	if len(s) == 0 {
		return time.Time{}, false
	}
	at, ok := s[e.name()]
	return at, ok
}

// mark records a sign that the endpoint's present incarnation leaves.
func (t *Table) mark(e *endpoint, now time.Time) {
	if _, ok := t.leaving[e.name()]; ok {
		return
	}
	t.leaving[e.name()] = now
	e.incarnation.refused = false
	e.incarnation.probeAt = now.Add(leavingProbe)
}

// observe takes in the incarnation that an endpoint stated itself.
func (t *Table) observe(e *endpoint, id string, leaving bool, now time.Time) {
	for _, old := range e.incarnation.retired {
		if old == id {
			return
		}
	}
	if id != e.incarnation.id {
		t.replace(e, id, now)
	}
	if leaving {
		t.mark(e, now)
	}
}

// replace sets the present incarnation of an endpoint.
func (t *Table) replace(e *endpoint, id string, now time.Time) {
	old := e.name()
	since, wasLeaving := t.leaving[old]
	delete(t.leaving, old)
	e.incarnation.id = id
	e.incarnation.liveSince = time.Time{}
	if old.Incarnation != "" {
		e.incarnation.retired = append(e.incarnation.retired, old.Incarnation)
		if len(e.incarnation.retired) > retiredKept {
			e.incarnation.retired = e.incarnation.retired[1:]
		}
		return
	}
	// A mark made before the incarnation was known holds for the incarnation that first responds.
	if wasLeaving {
		t.leaving[e.name()] = since
		e.incarnation.probeAt = now.Add(leavingProbe)
	}
}

// Learn takes in leaving incarnations from a peer.
func (t *Table) Learn(list []inner.EndpointIncarnation, now time.Time) {
	for _, name := range list {
		e := t.find(name.Service, name.Endpoint)
		if e == nil {
			continue
		}
		if name.Incarnation == "" && e.incarnation.id == "" || name.Incarnation == e.incarnation.id {
			t.mark(e, now)
			continue
		}
		if name.Incarnation != "" {
			t.learnOther(e, name, now)
		}
	}
}

// learnOther takes in a mark for an incarnation that is not the one this gateway knows.
func (t *Table) learnOther(e *endpoint, name inner.EndpointIncarnation, now time.Time) {
	for _, old := range e.incarnation.retired {
		if old == name.Incarnation {
			return
		}
	}
	if e.incarnation.id == "" {
		t.replace(e, name.Incarnation, now)
		t.mark(e, now)
		return
	}
	// The endpoint's next response tells whether the named incarnation came before or after the known one.
	if _, ok := t.leaving[name]; !ok {
		t.leaving[name] = now
	}
}

// markKept is how long a mark is kept that is not of a present incarnation.
const markKept = 10 * time.Minute

// Leaving lists the present incarnations that are leaving, to be offered to peers. Marks of others are not passed on and
// are dropped after a while; gateways would otherwise teach them to each other for good.
func (t *Table) Leaving(now time.Time) []inner.EndpointIncarnation {
	var list []inner.EndpointIncarnation
	for name, since := range t.leaving {
		e := t.find(name.Service, name.Endpoint)
		switch {
		case e != nil && e.name() == name:
			list = append(list, name)
		case now.Sub(since) > markKept:
			delete(t.leaving, name)
		}
	}
	return list
}

// ObserveVMs takes in the platform's list. An endpoint is matched by its id or its address.
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

// observeVM takes in the listed state of one endpoint, empty if it is not listed.
func (t *Table) observeVM(e *endpoint, state infra.VMState, now time.Time) {
	switch state {
	case infra.VMLeaving:
		t.mark(e, now)
		e.incarnation.liveSince = time.Time{}
	case infra.VMLive:
		if e.incarnation.liveSince.IsZero() {
			e.incarnation.liveSince = now
		}
	default:
		e.incarnation.liveSince = time.Time{}
	}
}

// applyDrains takes the operators' drains from the document. A drain ends when the operator removes it.
func (t *Table) applyDrains(doc *config.Document) {
	for _, s := range t.services {
		for _, e := range s.endpoints {
			_, e.drained = doc.Drains[e.config.ID]
		}
	}
}
