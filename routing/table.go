// Package routing chooses the endpoint of each request and decides which endpoints get none.
//
// The package is pure: it has no I/O, clock or goroutines, and its random choices follow from the seed. A Table is not
// safe for concurrent use.
package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/invariant"
)

// Defaults of the policy fields that are 0.
const (
	DefaultSeats        = 8
	DefaultEjectPercent = 30
)

// Table holds the endpoints of all services as one gateway sees them.
type Table struct {
	failureDomain string
	random        *rand.Rand
	seats         int
	ejectPercent  int
	services      map[string]*service
	leaving       leavingSet
	// unsafe is set by UnsafeIgnore.
	unsafe Rules
}

// Rules names rules of a Table.
type Rules struct {
	Leaving bool
	Health  bool
	Bound   bool
}

// UnsafeIgnore switches rules off. Only tests call it, to show that their checks need the rules.
func (t *Table) UnsafeIgnore(rules Rules) { t.unsafe = rules }

// service holds the endpoints of one service in order of their id.
type service struct {
	name      string
	endpoints []*endpoint
	byID      map[string]*endpoint
	ejected   int
	// candidates is scratch space of Pick.
	candidates []*endpoint
}

// endpoint is one endpoint with its load, health and leaving state.
type endpoint struct {
	service *service
	config  config.Endpoint
	// connections bounds the connections and so the exchanges of this gateway.
	connections int
	// inflight counts the exchanges of this gateway.
	inflight    int
	load        load
	health      health
	incarnation incarnation
	// drained is true while an operator drains the endpoint.
	drained bool
}

// Choice is an endpoint chosen for one exchange. It must be given back with Done.
type Choice struct {
	Service  string
	Endpoint string
	Address  string
	// MaxConnections bounds the connections of this gateway to the endpoint.
	MaxConnections int
	// Local is false for an endpoint of another failure domain.
	Local bool
	// Probe marks the only exchange that tests an ejected endpoint.
	Probe bool
}

// NewTable returns an empty table for a gateway of the failure domain.
func NewTable(failureDomain string, seed uint64) *Table {
	return &Table{
		failureDomain: failureDomain,
		random:        rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		services:      map[string]*service{},
		leaving:       leavingSet{},
	}
}

// SetConfig replaces services and policy. An endpoint that keeps its id and address keeps its state.
func (t *Table) SetConfig(doc *config.Document) {
	t.seats = doc.Policy.GatewaySeats
	if t.seats <= 0 {
		t.seats = DefaultSeats
	}
	t.ejectPercent = doc.Policy.EjectPercent
	if t.ejectPercent <= 0 {
		t.ejectPercent = DefaultEjectPercent
	}
	services := make(map[string]*service, len(doc.Services))
	for name, s := range doc.Services {
		services[name] = t.newService(name, s, t.services[name])
	}
	t.services = services
	t.applyDrains(doc)
}

// newService builds the state of a service and takes over what is known from the previous one, nil if there is none.
func (t *Table) newService(name string, doc config.Service, previous *service) *service {
	s := &service{name: name, byID: make(map[string]*endpoint, len(doc.Endpoints))}
	for id, c := range doc.Endpoints {
		c.ID = id
		e := &endpoint{}
		if previous != nil {
			if old, ok := previous.byID[id]; ok && old.config.Address == c.Address {
				e = old
			}
		}
		e.service = s
		e.config = c
		// The hard bound needs no agreement between gateways while at most seats of them live.
		e.connections = c.MaxConnections / t.seats
		if e.health.state == ejected {
			s.ejected++
		}
		s.endpoints = append(s.endpoints, e)
		s.byID[id] = e
	}
	sort.Slice(s.endpoints, func(i, j int) bool { return s.endpoints[i].config.ID < s.endpoints[j].config.ID })
	return s
}

// Has reports whether the service is configured.
func (t *Table) Has(name string) bool { return t.services[name] != nil }

// find returns an endpoint, nil if it is not configured.
func (t *Table) find(serviceName, id string) *endpoint {
	if s := t.services[serviceName]; s != nil {
		return s.byID[id]
	}
	return nil
}

// Pick chooses an endpoint with a free slot for one exchange and counts it as in use. It avoids the excluded endpoints
// if there is another. With mayProbe the exchange may test an ejected endpoint, which a request that cannot be repeated
// should not do. It reports false if no endpoint may be used now.
func (t *Table) Pick(serviceName string, exclude []string, mayProbe bool, now time.Time) (Choice, bool) {
	s := t.services[serviceName]
	if s == nil {
		return Choice{}, false
	}
	e, probe := t.choose(s, exclude, mayProbe, now)
	if e == nil {
		return Choice{}, false
	}
	e.inflight++
	if probe {
		e.health.probing = true
	}
	return Choice{
		Service:        s.name,
		Endpoint:       e.config.ID,
		Address:        e.config.Address,
		MaxConnections: e.connections,
		Local:          e.config.FailureDomain == t.failureDomain,
		Probe:          probe,
	}, true
}

// Dispatching asserts, right before the first byte is written, that the endpoint may still get work.
func (t *Table) Dispatching(c Choice, now time.Time) {
	e := t.find(c.Service, c.Endpoint)
	if e == nil {
		return
	}
	since, leaving := t.leaving.since(e)
	if !leaving {
		return
	}
	invariant.Check(now.Sub(since) <= LeavingBound, invariant.LeavingGetsNoWork,
		"endpoint %s of service %s gets a request %s after the first sign that it leaves", c.Endpoint, c.Service,
		now.Sub(since))
}

// EndpointStatus is the state of one endpoint for metrics and operators.
type EndpointStatus struct {
	Service  string
	Endpoint string
	Inflight int
	Ejected  bool
	Gone     bool
	Leaving  bool
}

// Status lists all endpoints in order of service and id.
func (t *Table) Status() []EndpointStatus {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	var list []EndpointStatus
	for _, name := range names {
		for _, e := range t.services[name].endpoints {
			_, leaving := t.leaving.since(e)
			list = append(list, EndpointStatus{
				Service:  name,
				Endpoint: e.config.ID,
				Inflight: e.inflight,
				Ejected:  e.health.state == ejected,
				Gone:     e.health.state == unreachable,
				Leaving:  leaving,
			})
		}
	}
	return list
}
