// Package routing chooses the endpoint of each request and decides which endpoints get no requests.
//
// The package does no I/O, reads no clock and starts no goroutines. Its random choices are determined by the seed. A
// Table is not safe for concurrent use.
package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/invariant"
)

// Defaults for policy fields that are 0.
const (
	DefaultSeats        = 8
	DefaultEjectPercent = 30
)

// Table holds the endpoints of all services as seen by one gateway.
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

// Rules selects rules of a Table.
type Rules struct {
	// Leaving is the rule that leaving endpoints get no requests.
	Leaving bool
	// Health is the rule that unreachable and ejected endpoints get no requests.
	Health bool
	// Bound is the rule that an endpoint without a free slot or connection gets no requests.
	Bound bool
}

// UnsafeIgnore disables rules. Only tests call it, to show that their checks detect the missing rules.
func (t *Table) UnsafeIgnore(rules Rules) { t.unsafe = rules }

// service holds the endpoints of one service, sorted by id.
type service struct {
	name      string
	endpoints []*endpoint
	byID      map[string]*endpoint
	// ejected is the number of ejected endpoints.
	ejected int
	// candidateBuffer is a buffer that Pick reuses between calls.
	candidateBuffer []*endpoint
}

// endpoint is one endpoint with its load, health and leaving state.
type endpoint struct {
	service *service
	config  config.Endpoint
	// connections is the maximum number of connections, and so of concurrent exchanges, of this gateway.
	connections int
	// inflight is the number of exchanges of this gateway in progress.
	inflight    int
	load        load
	health      health
	incarnation incarnation
	// drainRequested is true while the configuration drains the endpoint.
	drainRequested bool
}

// Choice is an endpoint chosen for one exchange. It must be passed to Done exactly once.
type Choice struct {
	Service  string
	Endpoint string
	Address  string
	// MaxConnections is the maximum number of connections of this gateway to the endpoint.
	MaxConnections int
	// Local is false for an endpoint of another failure domain.
	Local bool
	// Probe is true if the exchange probes an ejected endpoint. At most one such exchange is in progress per endpoint.
	Probe bool
	// pickedAt is when Pick chose the endpoint.
	pickedAt time.Time
}

// NewTable returns an empty table for a gateway in the failure domain. The seed determines the random choices.
func NewTable(failureDomain string, seed uint64) *Table {
	return &Table{
		failureDomain: failureDomain,
		random:        rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		services:      map[string]*service{},
		leaving:       leavingSet{},
	}
}

// SetConfig applies the services, policy and drains of the document. An endpoint that keeps its id and address keeps
// its state.
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

// newService returns the state of a service and keeps the state of unchanged endpoints of the previous one, which may
// be nil.
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
		// Each gateway gets a fixed share, so the endpoint's limit holds without coordination as long as there are at
		// most t.seats live gateways.
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

// find returns the endpoint, nil if it is not configured.
func (t *Table) find(serviceName, id string) *endpoint {
	if s := t.services[serviceName]; s != nil {
		return s.byID[id]
	}
	return nil
}

// Pick chooses an endpoint with a free slot for one exchange and reserves the slot. It avoids the excluded endpoints if
// there are others. With mayProbe, which is only safe for idempotent requests, the exchange may probe an ejected
// endpoint. Pick returns false if no endpoint may be used now.
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
		pickedAt:       now,
	}, true
}

// CheckDispatch asserts that the endpoint may still get requests. It is called right before the first byte is written.
func (t *Table) CheckDispatch(c Choice, now time.Time) {
	e := t.find(c.Service, c.Endpoint)
	if e == nil {
		return
	}
	since, leaving := t.leaving.since(e)
	if !leaving {
		return
	}
	invariant.Check(now.Sub(since) <= LeavingBound, invariant.LeavingGetsNoWork,
		"endpoint %s of service %s gets a request %s after the gateway learned that it is leaving", c.Endpoint, c.Service,
		now.Sub(since))
}

// EndpointStatus is the state of one endpoint for metrics.
type EndpointStatus struct {
	Service     string
	Endpoint    string
	Inflight    int
	Ejected     bool
	Unreachable bool
	Leaving     bool
}

// Status lists the state of all endpoints, sorted by service and id.
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
				Service:     name,
				Endpoint:    e.config.ID,
				Inflight:    e.inflight,
				Ejected:     e.health.state == ejected,
				Unreachable: e.health.state == unreachable,
				Leaving:     leaving,
			})
		}
	}
	return list
}
