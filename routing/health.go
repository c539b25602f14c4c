package routing

import (
	"slices"
	"time"
)

// healthState is the health of an endpoint. Only usable endpoints get requests, except for probes.
type healthState int

const (
	usable healthState = iota
	// unreachable endpoints refuse connections. They are probed by opening a connection, which does no work, so the
	// number of unreachable endpoints is not limited.
	unreachable
	// ejected endpoints accept connections but fail, are slow or flap. Their share of a service is limited.
	ejected
)

// Rules of ejection.
const (
	// unreachableAfter is the number of consecutive failed connection attempts after which an endpoint is unreachable.
	// A single one may be due to a full accept queue.
	unreachableAfter = 2
	// failuresInRow is the number of consecutive failed exchanges that ejects an endpoint.
	failuresInRow = 5
	// failureShare is the share of failed exchanges that ejects an endpoint, unless most endpoints of the service fail.
	failureShare = 0.5
	// slowFactor is the multiple of the service's median exchange time above which an endpoint counts as slow.
	slowFactor = 5
	// slowFloor is the exchange time up to which an endpoint never counts as slow.
	slowFloor = 20 * time.Millisecond
	// minSamples is the minimum number of exchanges before failure shares and exchange times are compared.
	minSamples = 20
	// An endpoint that becomes unreachable flapCount times within flapWindow is flapping.
	flapWindow = time.Minute
	flapCount  = 3
	// ejectBase is the duration of a first ejection. The duration doubles with each further one, up to ejectMax.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// probeBase is the first interval between connection probes of an unreachable endpoint. The interval doubles with
	// each probe, up to probeMax.
	probeBase = 100 * time.Millisecond
	probeMax  = time.Second
	// ejectionMemory is the time without an ejection after which earlier ejections no longer count.
	ejectionMemory = 2 * time.Minute
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.1
)

// health holds the health state of an endpoint and the failures and exchange times that determine it.
type health struct {
	state healthState
	// until is the end of an ejection, or the time of the next connection probe of an unreachable endpoint.
	until time.Time
	// probing is true while a probe is in progress.
	probing bool
	// connectFailures and consecutiveFailures are the numbers of consecutive failed connection attempts and exchanges.
	connectFailures     int
	consecutiveFailures int
	// samples is the number of exchanges in the averages since the last ejection.
	samples int
	// failureShare is the moving average of the share of failed exchanges, from 0 to 1.
	failureShare float64
	// exchangeTime is the moving average of the duration of an exchange.
	exchangeTime time.Duration
	// ejections is the number of ejections that count for the duration of the next one.
	ejections    int
	lastEjection time.Time
	// outages holds the times at which the endpoint recently became unreachable.
	outages []time.Time
	// backoff is the time between connection probes.
	backoff time.Duration
}

// ResultKind is the kind of result of an exchange.
type ResultKind int

// The result kinds.
const (
	// Responded marks a complete response other than those of ServerError and Rejected.
	Responded ResultKind = iota
	// ServerError marks a complete response with a status of 500 or above that does not state not_run.
	ServerError
	// Rejected marks a complete response that states not_run: the endpoint rejected the request without running it.
	Rejected
	// NoConnection marks an exchange for which no connection could be opened.
	NoConnection
	// Failed marks an exchange on a new connection without a valid response.
	Failed
	// FailedReused marks an exchange on a reused connection without a valid response. It does not count as a failure of
	// the endpoint, since the connection may be dead while the endpoint works.
	FailedReused
	// Abandoned marks an exchange that the caller gave up. It says nothing about the endpoint.
	Abandoned
)

// Report is the result of an exchange. Every field must be set: the zero Kind is Responded, and the zero Inflight is a
// reported load of 0.
type Report struct {
	Kind ResultKind
	// Took is the duration of the exchange, 0 if it is not to be averaged.
	Took time.Duration
	// Inflight is the number of exchanges that the endpoint reported, -1 if it reported none.
	Inflight int
	// Incarnation and Leaving are from the header of the response. Incarnation is empty without a response.
	Incarnation string
	Leaving     bool
}

// Done returns the slot of a choice and records the result of its exchange. It does nothing if the endpoint is no
// longer configured at the address of the choice.
func (t *Table) Done(c Choice, r Report, now time.Time) {
	e := t.find(c.Service, c.Endpoint)
	if e == nil || e.config.Address != c.Address {
		return
	}
	e.inflight = max(0, e.inflight-1)
	if r.Inflight >= 0 && r.Incarnation != "" {
		// The reported load includes the exchange that just ended.
		e.load.update(r.Inflight-1, e.inflight, now)
	}
	if r.Kind == Rejected {
		e.load.update(e.config.Slots, e.inflight, now)
	}
	if r.Incarnation != "" {
		t.observeIncarnation(e, r.Incarnation, r.Leaving, c.pickedAt, now)
	}
	t.updateHealth(e, c.Probe, r, now)
	e.load.meanExchange = e.health.exchangeTime
}

// updateHealth updates the health of an endpoint after an exchange.
func (t *Table) updateHealth(e *endpoint, probe bool, r Report, now time.Time) {
	h := &e.health
	switch r.Kind {
	case Abandoned, FailedReused:
	case NoConnection:
		h.connectFailures++
		if h.connectFailures >= unreachableAfter {
			t.markUnreachable(e, now)
		}
	case Responded:
		h.connectFailures, h.consecutiveFailures = 0, 0
		h.sample(0, r.Took)
	case Rejected:
		// A rejection counts as half a failure: a full endpoint rejects some requests, but one that rejects all of them
		// must be ejected.
		h.connectFailures = 0
		h.consecutiveFailures++
		h.sample(0.5, 0)
	case ServerError, Failed:
		h.connectFailures = 0
		h.consecutiveFailures++
		h.sample(1, r.Took)
	}
	if probe {
		t.finishProbe(e, r.Kind, now)
		return
	}
	if h.state == usable && t.shouldEject(e) {
		t.eject(e, now)
	}
}

// sample adds an exchange to the averages. An exchangeTime of 0 is not averaged.
func (h *health) sample(failure float64, exchangeTime time.Duration) {
	h.samples++
	h.failureShare += sampleWeight * (failure - h.failureShare)
	switch {
	case exchangeTime <= 0:
	case h.exchangeTime == 0:
		h.exchangeTime = exchangeTime
	default:
		h.exchangeTime += time.Duration(sampleWeight * float64(exchangeTime-h.exchangeTime))
	}
}

// shouldEject reports whether the endpoint fails or is slow compared with the others of its service.
func (t *Table) shouldEject(e *endpoint) bool {
	h := &e.health
	if h.consecutiveFailures >= failuresInRow {
		return true
	}
	if h.samples < minSamples || h.samples%8 != 0 {
		return false
	}
	share, exchangeTime := e.service.medians()
	if h.failureShare > failureShare && share < failureShare/2 {
		return true
	}
	return exchangeTime > 0 && h.exchangeTime > slowFloor && h.exchangeTime > slowFactor*exchangeTime
}

// medians returns the median failure share and the median exchange time of the service's usable endpoints with enough
// samples, 0 if there are none.
func (s *service) medians() (failureShare float64, exchangeTime time.Duration) {
	shares := make([]float64, 0, len(s.endpoints))
	times := make([]time.Duration, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if e.health.state == usable && e.health.samples >= minSamples {
			shares = append(shares, e.health.failureShare)
			times = append(times, e.health.exchangeTime)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(shares)
	slices.Sort(times)
	return shares[len(shares)/2], times[len(times)/2]
}

// eject ejects an endpoint, unless too many of the service's endpoints are ejected already: if most endpoints fail at
// once, the cause is more likely this gateway or the requests.
func (t *Table) eject(e *endpoint, now time.Time) {
	h := &e.health
	if (e.service.ejected+1)*100 > len(e.service.endpoints)*t.ejectPercent {
		h.consecutiveFailures = 0
		return
	}
	if now.Sub(h.lastEjection) > ejectionMemory {
		h.ejections = 0
	}
	h.ejections++
	h.lastEjection = now
	h.state = ejected
	h.until = now.Add(min(ejectMax, ejectBase<<min(h.ejections-1, 10)))
	h.probing = false
	h.consecutiveFailures, h.samples, h.failureShare, h.exchangeTime = 0, 0, 0, 0
	e.service.ejected++
}

// finishProbe makes an ejected endpoint usable after a successful probe, and ejects it for longer after a failed one. A
// probe without a conclusive result is repeated.
func (t *Table) finishProbe(e *endpoint, kind ResultKind, now time.Time) {
	if e.health.state != ejected {
		return
	}
	e.health.probing = false
	if kind == Abandoned || kind == FailedReused {
		return
	}
	e.service.ejected--
	e.health.state = usable
	if kind != Responded {
		t.eject(e, now)
	}
}

// markUnreachable makes an endpoint unreachable until a connection probe succeeds, and schedules the next probe. An
// ejected endpoint stays ejected.
func (t *Table) markUnreachable(e *endpoint, now time.Time) {
	h := &e.health
	if h.state == ejected {
		return
	}
	e.incarnation.mayBeReplaced = true
	if h.state == usable {
		h.outages = append(h.outages, now)
		h.backoff = probeBase
	}
	h.state = unreachable
	h.until = now.Add(h.backoff)
	h.backoff = min(2*h.backoff, probeMax)
}

// isFlapping reports whether the endpoint became unreachable at least flapCount times within flapWindow.
func (h *health) isFlapping(now time.Time) bool {
	h.outages = slices.DeleteFunc(h.outages, func(at time.Time) bool { return now.Sub(at) > flapWindow })
	return len(h.outages) >= flapCount
}
