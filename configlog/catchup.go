package configlog

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/invariant"
)

// peersPerRound bounds the peers asked at once, to keep the cost of an outage independent of the number of processes.
const peersPerRound = 4

func checkMonotone(held, next *config.Document) bool {
	return invariant.Check(held == nil || next.Version >= held.Version, invariant.ConfigurationMonotone,
		"a process that holds version %d was given a lower one", versionOf(held))
}

func versionOf(doc *config.Document) uint64 {
	if doc == nil {
		return 0
	}
	return doc.Version
}

// start finds the first state. A complete log needs no help; with an empty or truncated one the peers are asked before
// the process concludes that there is no configuration.
func (f *Follower) start(ctx context.Context, resp infra.ReadResponse) error {
	if resp.Oldest == 0 && resp.Next > 0 {
		f.begin(NewState(), resp.Next)
		return nil
	}
	if f.askState(ctx) {
		return nil
	}
	if resp.Next == 0 {
		f.begin(NewState(), 0)
		return nil
	}
	if state, err := f.scanSnapshot(ctx, resp.Oldest); err != nil || state != nil {
		if state != nil {
			f.begin(state, resp.Next)
		}
		return err
	}
	if f.gapAge() < f.settings.GapGrace || !f.everyPeerEmpty(ctx) {
		return errkind.New(errkind.Unavailable, "wait for a peer that has the configuration",
			"log begins at offset %d without a snapshot", resp.Oldest)
	}
	// Nobody has a configuration, so an initialise record may make one.
	state := NewState()
	state.SkipTo(resp.Oldest)
	f.begin(state, 0)
	return nil
}

// begin sets the first state, unless a peer's was taken over meanwhile. Tail is the end of the log.
func (f *Follower) begin(state *State, tail uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != nil {
		return
	}
	f.state = state
	f.startTail, f.startedAt = tail, time.Now()
	f.gapSince = time.Time{}
	f.wake()
	f.publish()
}

// scanSnapshot reads the log from oldest to its end and returns the newest state to start from, nil if there is none.
func (f *Follower) scanSnapshot(ctx context.Context, oldest uint64) (*State, error) {
	var found *State
	from := oldest
	for {
		resp, err := f.read(ctx, from, 0, 2*f.settings.ReadMargin)
		if err != nil {
			return nil, err
		}
		if resp.Oldest > oldest {
			return nil, errkind.New(errkind.Unavailable, "read again", "records expired while the log was read")
		}
		if state := FromRecords(oldest, resp.Records); state != nil {
			found = state
		}
		if len(resp.Records) == 0 {
			return found, nil
		}
		from = resp.Records[len(resp.Records)-1].Offset + 1
	}
}

// closeGap continues after the next records expired unread: with records or the state of a peer, else with a snapshot in
// the log, else, after GapGrace, with the state held.
func (f *Follower) closeGap(ctx context.Context, oldest uint64) error {
	f.askRecords(ctx)
	if f.nextOffset() >= oldest || f.askState(ctx) {
		return nil
	}
	state, err := f.scanSnapshot(ctx, oldest)
	if err != nil {
		return err
	}
	if state != nil && f.replace(state) {
		return nil
	}
	if !f.maySkip(ctx) {
		return errkind.New(errkind.Unavailable, "wait for the snapshot of another process",
			"records %d to %d expired before they were read", f.nextOffset(), oldest)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Next >= oldest {
		return nil
	}
	f.settings.Logger.Error().Uint64("from", f.state.Next).Uint64("to", oldest).Msg("configuration records expired unread")
	f.state.SkipTo(oldest)
	metricSkipped.Inc(1)
	f.relay.clear()
	f.gapSince = time.Time{}
	f.wake()
	return nil
}

// maySkip reports whether this process may carry its state on over expired records. Another process may have read them
// and accepted a higher version, so a process that does not hear from every peer waits much longer for that one's snapshot.
func (f *Follower) maySkip(ctx context.Context) bool {
	missing := f.gapAge()
	if missing < f.settings.GapGrace {
		return false
	}
	return missing >= f.settings.IsolatedGapGrace || f.everyPeerAnswers(ctx)
}

// gapAge returns for how long the next records have been missing from the log.
func (f *Follower) gapAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gapSince.IsZero() {
		f.gapSince = time.Now()
	}
	return time.Since(f.gapSince)
}

// everyPeerAnswers asks each peer and reports whether all answered that they hold nothing behind this state.
func (f *Follower) everyPeerAnswers(ctx context.Context) bool {
	peers := f.settings.Peers()
	next := f.nextOffset()
	return f.askAll(ctx, peers, func(ctx context.Context, p Peer) bool {
		resp, err := p.FetchRecords(ctx, inner.FetchRecords{From: next, Limit: 1})
		return err == nil && resp.Next <= next
	}) == len(peers)
}

// followPeers asks peers while the log does not respond, while there is no configuration, or after a hint.
func (f *Follower) followPeers(ctx context.Context) {
	ticker := time.NewTicker(f.settings.PeerPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.wakePeers:
		case <-ticker.C:
		}
		if !f.needsPeers() {
			continue
		}
		if f.started() && f.Document() != nil {
			f.askRecords(ctx)
		} else {
			f.askState(ctx)
		}
		boottime.Sleep(ctx, f.settings.PeerPeriod/2)
	}
}

func (f *Follower) needsPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil || f.state.Doc == nil || f.hint > f.state.Next {
		return true
	}
	return f.logError != nil || time.Since(f.lastRead) > f.settings.PollWait+f.settings.PeerPeriod
}

func (f *Follower) askPeersSoon() {
	select {
	case f.wakePeers <- struct{}{}:
	default:
	}
}

// Hint tells that a peer has folded up to next, as its heartbeat says.
func (f *Follower) Hint(next uint64) {
	f.mu.Lock()
	f.hint = max(f.hint, next)
	behind := f.state == nil || f.hint > f.state.Next
	f.mu.Unlock()
	if behind {
		f.askPeersSoon()
	}
}

// somePeers returns a random choice of peers.
func (f *Follower) somePeers() []Peer {
	peers := append([]Peer(nil), f.settings.Peers()...)
	f.random.mu.Lock()
	defer f.random.mu.Unlock()
	f.random.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), peersPerRound)]
}

// askAll calls ask for each peer at once, each with its own time limit, and returns the number of true answers.
func (f *Follower) askAll(ctx context.Context, peers []Peer, ask func(context.Context, Peer) bool) int {
	results := make(chan bool, len(peers))
	for _, p := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
			defer cancel()
			results <- ask(ctx, p)
		}()
	}
	count := 0
	for range peers {
		if <-results {
			count++
		}
	}
	return count
}

// askRecords takes over records of peers behind the state, or a peer's state if it no longer holds them. A hint that no
// asked peer bears out is forgotten; the next heartbeat repeats it.
func (f *Follower) askRecords(ctx context.Context) {
	peers := f.somePeers()
	before := f.nextOffset()
	answers := f.askAll(ctx, peers, func(ctx context.Context, p Peer) bool {
		from := f.nextOffset()
		resp, err := p.FetchRecords(ctx, inner.FetchRecords{From: from, Limit: readLimit})
		if err != nil {
			return false
		}
		if resp.Oldest > from {
			return f.takeState(ctx, p)
		}
		f.fold(resp.Records)
		return true
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if answers == len(peers) && f.state.Next == before {
		f.hint = 0
	}
}

// askState takes over the state of a peer and reports whether one was.
func (f *Follower) askState(ctx context.Context) bool {
	return f.askAll(ctx, f.somePeers(), f.takeState) > 0
}

func (f *Follower) takeState(ctx context.Context, p Peer) bool {
	resp, err := p.FetchState(ctx)
	if err != nil || len(resp.State) == 0 {
		return false
	}
	state, err := DecodeState(resp.State)
	if err != nil {
		f.settings.Logger.Warn().Err(err).Str("peer", p.ID()).Msg("state of a peer cannot be used")
		return false
	}
	if !f.replace(state) {
		return false
	}
	metricFromPeers.Inc(1)
	return true
}

// everyPeerEmpty reports whether each peer answered that it has no configuration.
func (f *Follower) everyPeerEmpty(ctx context.Context) bool {
	peers := f.settings.Peers()
	return f.askAll(ctx, peers, func(ctx context.Context, p Peer) bool {
		resp, err := p.FetchState(ctx)
		return err == nil && len(resp.State) == 0
	}) == len(peers)
}

// FetchRecords answers a peer with the records that are kept.
func (f *Follower) FetchRecords(req inner.FetchRecords) inner.FetchRecordsResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return inner.FetchRecordsResponse{}
	}
	limit := min(max(req.Limit, 1), readLimit)
	return f.relay.fetch(req.From, f.state.Next, limit)
}

// FetchState answers a peer with the folded state.
func (f *Follower) FetchState() (inner.FetchStateResponse, error) {
	raw, err := EncodeState(f.State())
	return inner.FetchStateResponse{State: raw}, err
}

// relay keeps the newest records, which are contiguous.
type relay struct {
	records []infra.Record
	bytes   int
}

func (r *relay) add(record infra.Record, limit int) {
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for r.bytes > limit && len(r.records) > 0 {
		r.bytes -= len(r.records[0].Data)
		r.records = r.records[1:]
	}
}

func (r *relay) clear() { r.records, r.bytes = nil, 0 }

// fetch returns up to limit records from an offset on; next is that of the state.
func (r *relay) fetch(from, next uint64, limit int) inner.FetchRecordsResponse {
	resp := inner.FetchRecordsResponse{Oldest: next, Next: next}
	if len(r.records) == 0 {
		return resp
	}
	resp.Oldest = r.records[0].Offset
	if from < resp.Oldest || from >= next {
		return resp
	}
	first := int(from - resp.Oldest)
	last := min(first+limit, len(r.records))
	resp.Records = append(resp.Records, r.records[first:last]...)
	return resp
}
