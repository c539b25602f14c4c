package routing

import (
	"slices"
	"time"
)

// healthState says whether an endpoint gets requests.
type healthState int

const (
	usable healthState = iota
	// unreachable endpoints refuse connections. They are probed by connection alone, so this state needs no bound.
	unreachable
	// ejected endpoints accept connections but fail, are slow, or come and go. Their share is bounded.
	ejected
)

// Rules of ejection.
const (
	// unreachableAfter is the number of failed connections in a row after which an endpoint is unreachable. A single
	// one may be a full accept queue.
	unreachableAfter = 2
	// failuresInRow is the number of failed exchanges in a row that eject an endpoint.
	failuresInRow = 5
	// failureShare is the share of failed exchanges that ejects an endpoint, unless the service as a whole fails.
	failureShare = 0.5
	// slowFactor is the multiple of the service's median exchange time above which an endpoint is slow.
	slowFactor = 5
	// slowFloor keeps small absolute differences from counting as slow.
	slowFloor = 20 * time.Millisecond
	// minSamples is the number of exchanges before shares and times are judged.
	minSamples = 20
	// flapWindow and flapCount define flapping: that many turns to unreachable within the window.
	flapWindow = time.Minute
	flapCount  = 3
	// ejectBase and ejectMax bound the time of an ejection, which doubles with each one in a row.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// probeBase and probeMax bound the time between connection probes of an unreachable endpoint.
	probeBase = 100 * time.Millisecond
	probeMax  = time.Second
	// calmAfter is the time without trouble after which earlier ejections no longer count.
	calmAfter = 2 * time.Minute
	// sampleWeight is the share of a new sample in the averages.
	sampleWeight = 0.1
)

// health is the record of an endpoint's failures and exchange times.
type health struct {
	state healthState
	// until is the end of the ejection, or the time of the next connection probe.
	until time.Time
	// probing is true while one probe is under way.
	probing      bool
	refusals     int
	failures     int
	samples      int
	failureShare float64
	// took is the average time of an exchange.
	took      time.Duration
	ejections int
	// trouble is the time of the last ejection.
	trouble time.Time
	// turns holds the times of recent turns to unreachable.
	turns []time.Time
	// backoff is the time between connection probes.
	backoff time.Duration
}

// ResultKind says how an exchange ended.
type ResultKind int

// The result kinds.
const (
	// Answered marks a whole response, whatever its status.
	Answered ResultKind = iota
	// ServerError marks a whole response with a status from 500 on, the statement not_run excluded.
	ServerError
	// Refused marks a whole response with the statement not_run.
	Refused
	// NoConnection marks a connection that could not be opened.
	NoConnection
	// Failed marks an exchange on a new connection without a valid response.
	Failed
	// FailedReused marks an exchange on a reused connection without a valid response. The connection may have gone
	// silent while the endpoint works, so this alone does not count against the endpoint.
	FailedReused
	// Abandoned marks an exchange that was given up for reasons of the caller.
	Abandoned
)

// Report is what came of an exchange. Set every field: the zero Kind is Answered and the zero Inflight a reported load.
type Report struct {
	Kind ResultKind
	Took time.Duration
	// Inflight is the load that the endpoint reported; -1 if it did not.
	Inflight int
	// Incarnation and Leaving are from the response's headers; Incarnation is empty without a response.
	Incarnation string
	Leaving     bool
}

// Done gives a choice back and takes in what came of the exchange.
func (t *Table) Done(c Choice, r Report, now time.Time) {
	e := t.find(c.Service, c.Endpoint)
	if e == nil || e.config.Address != c.Address {
		return
	}
	e.inflight = max(0, e.inflight-1)
	if r.Inflight >= 0 && r.Incarnation != "" {
		// The endpoint counted the exchange that just ended.
		e.load.report(r.Inflight-1, e.inflight, now)
	}
	if r.Kind == Refused {
		e.load.report(e.config.Slots, e.inflight, now)
	}
	if r.Incarnation != "" {
		t.observe(e, r.Incarnation, r.Leaving, now)
	}
	t.judge(e, c.Probe, r, now)
	e.load.exchange = e.health.took
}

// judge updates the health of an endpoint.
func (t *Table) judge(e *endpoint, probe bool, r Report, now time.Time) {
	h := &e.health
	switch r.Kind {
	case Abandoned, FailedReused:
	case NoConnection:
		h.refusals++
		if h.refusals >= unreachableAfter {
			t.turnUnreachable(e, now)
		}
	case Answered:
		h.refusals, h.failures = 0, 0
		h.sample(0, r.Took)
	case Refused:
		// A full endpoint refuses now and then; one that refuses everything is of no use.
		h.refusals = 0
		h.failures++
		h.sample(0.5, 0)
	case ServerError, Failed:
		h.refusals = 0
		h.failures++
		h.sample(1, r.Took)
	}
	if probe {
		t.endProbe(e, r.Kind, now)
		return
	}
	if h.state == usable && t.isBad(e) {
		t.eject(e, now)
	}
}

// sample adds one exchange to the averages. A took of 0 is no sample of the exchange time.
func (h *health) sample(failure float64, took time.Duration) {
	h.samples++
	h.failureShare += sampleWeight * (failure - h.failureShare)
	switch {
	case took <= 0:
	case h.took == 0:
		h.took = took
	default:
		h.took += time.Duration(sampleWeight * float64(took-h.took))
	}
}

// isBad reports whether the endpoint fails or is slow, compared with the others of its service.
func (t *Table) isBad(e *endpoint) bool {
	h := &e.health
	if h.failures >= failuresInRow {
		return true
	}
	if h.samples < minSamples || h.samples%8 != 0 {
		return false
	}
	share, took := e.service.typical()
	if h.failureShare > failureShare && share < failureShare/2 {
		return true
	}
	return took > 0 && h.took > slowFloor && h.took > slowFactor*took
}

// typical returns the median share of failures and the median exchange time of the service's usable endpoints.
func (s *service) typical() (failureShare float64, took time.Duration) {
	shares := make([]float64, 0, len(s.endpoints))
	times := make([]time.Duration, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if e.health.state == usable && e.health.samples >= minSamples {
			shares = append(shares, e.health.failureShare)
			times = append(times, e.health.took)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(shares)
	slices.Sort(times)
	return shares[len(shares)/2], times[len(times)/2]
}

// eject takes an endpoint out for a while, unless too many of the service's endpoints are out already: failures of most
// endpoints at once are more likely a fault of this gateway or of the requests.
func (t *Table) eject(e *endpoint, now time.Time) {
	h := &e.health
	if (e.service.ejected+1)*100 > len(e.service.endpoints)*t.ejectPercent {
		h.failures = 0
		return
	}
	if now.Sub(h.trouble) > calmAfter {
		h.ejections = 0
	}
	h.ejections++
	h.trouble = now
	h.state = ejected
	h.until = now.Add(min(ejectMax, ejectBase<<min(h.ejections-1, 10)))
	h.probing = false
	h.failures, h.samples, h.failureShare, h.took = 0, 0, 0, 0
	e.service.ejected++
}

// endProbe returns an ejected endpoint to use after a good probe, and ejects it for longer after a bad one. A
// probe that tells nothing is repeated.
func (t *Table) endProbe(e *endpoint, kind ResultKind, now time.Time) {
	if e.health.state != ejected {
		return
	}
	e.health.probing = false
	if kind == Abandoned || kind == FailedReused {
		return
	}
	e.service.ejected--
	e.health.state = usable
	if kind != Answered {
		t.eject(e, now)
	}
}

// turnUnreachable takes out an endpoint that refuses connections until a connection probe succeeds.
func (t *Table) turnUnreachable(e *endpoint, now time.Time) {
	h := &e.health
	if h.state == ejected {
		return
	}
	e.incarnation.refused = true
	if h.state == usable {
		h.turns = append(h.turns, now)
		h.backoff = probeBase
	}
	h.state = unreachable
	h.until = now.Add(h.backoff)
	h.backoff = min(2*h.backoff, probeMax)
}

// flaps reports whether the endpoint became unreachable too often lately.
func (h *health) flaps(now time.Time) bool {
	h.turns = slices.DeleteFunc(h.turns, func(at time.Time) bool { return now.Sub(at) > flapWindow })
	return len(h.turns) >= flapCount
}
