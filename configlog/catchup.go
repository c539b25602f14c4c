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

// peersPerRound is the largest number of peers queried at once. It keeps the cost of an outage of the log independent
// of the number of processes.
const peersPerRound = 4

// checkMonotone reports whether next may replace current and records an invariant violation if its version is lower.
func checkMonotone(current, next *config.Document) bool {
	return invariant.Check(current == nil || next.Version >= current.Version, invariant.ConfigurationMonotone,
		"a process with configuration version %d was given a lower version", versionOf(current))
}

func versionOf(doc *config.Document) uint64 {
	if doc == nil {
		return 0
	}
	return doc.Version
}

// findInitialState sets the first state from the log or from a peer. A complete log suffices. If the log is empty or
// truncated, it queries the peers before it concludes that there is no configuration. It returns an error if no state
// could be set yet.
func (f *Follower) findInitialState(ctx context.Context, resp infra.ReadResponse) error {
	if resp.Oldest == 0 && resp.Next > 0 {
		f.setInitialState(NewState(), resp.Next)
		return nil
	}
	if f.fetchStateFromPeers(ctx) {
		return nil
	}
	if resp.Next == 0 {
		f.setInitialState(NewState(), 0)
		return nil
	}
	if state, err := f.findSnapshotInLog(ctx, resp.Oldest); err != nil || state != nil {
		if state != nil {
			f.setInitialState(state, resp.Next)
		}
		return err
	}
	if f.gapAge() < f.options.GapGrace || !f.confirmNoPeerHasConfig(ctx) {
		return errkind.New(errkind.Unavailable, "wait for a peer that has the configuration",
			"log starts at offset %d and contains no snapshot", resp.Oldest)
	}
	// No process has a configuration, so an initialise record may create one.
	state := NewState()
	state.SkipTo(resp.Oldest)
	f.setInitialState(state, 0)
	return nil
}

// setInitialState sets the first state, unless the state of a peer has been adopted in the meantime. tail becomes
// startTail: the next offset of the log if records before it must still be folded, otherwise 0.
func (f *Follower) setInitialState(state *State, tail uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != nil {
		return
	}
	f.state = state
	f.startTail, f.initialStateAt = tail, time.Now()
	f.gapSince = time.Time{}
	f.notifyWaiters()
	f.publish()
}

// findSnapshotInLog reads the log from oldest to its end and returns the state of the newest snapshot that a fold can
// start from, or nil if there is none. It returns an error if the log cannot be read or records expire during the read.
func (f *Follower) findSnapshotInLog(ctx context.Context, oldest uint64) (*State, error) {
	var found *State
	from := oldest
	for {
		resp, err := f.read(ctx, from, 0, 2*f.options.ReadMargin)
		if err != nil {
			return nil, err
		}
		if resp.Oldest > oldest {
			return nil, errkind.New(errkind.Unavailable, "read the log again", "records expired while the log was read")
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

// closeGap continues the fold after the next records have expired unread. It uses the records or the state of a peer,
// otherwise a snapshot in the log. If there is none, it continues with the current state once canSkipGap allows it, and
// returns an error until then.
func (f *Follower) closeGap(ctx context.Context, oldest uint64) error {
	f.fetchRecordsFromPeers(ctx)
	if f.nextOffset() >= oldest || f.fetchStateFromPeers(ctx) {
		return nil
	}
	state, err := f.findSnapshotInLog(ctx, oldest)
	if err != nil {
		return err
	}
	if state != nil && f.replaceState(state) {
		return nil
	}
	if !f.canSkipGap(ctx) {
		return errkind.New(errkind.Unavailable, "wait for the snapshot of another process",
			"records %d to %d expired before they were read", f.nextOffset(), oldest)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Next >= oldest {
		return nil
	}
	f.options.Logger.Error().Uint64("from", f.state.Next).Uint64("to", oldest).Msg("configuration records expired unread")
	f.state.SkipTo(oldest)
	metricSkipped.Inc(1)
	f.recordCache.clear()
	f.gapSince = time.Time{}
	f.notifyWaiters()
	return nil
}

// canSkipGap reports whether this process may skip the expired records and continue with its current state. Another
// process may have read them and accepted a higher version. Therefore, unless every peer responds that it is not ahead,
// this process waits much longer (IsolatedGapGrace) for a snapshot of such a process.
func (f *Follower) canSkipGap(ctx context.Context) bool {
	missing := f.gapAge()
	if missing < f.options.GapGrace {
		return false
	}
	return missing >= f.options.IsolatedGapGrace || f.confirmNoPeerAhead(ctx)
}

// gapAge returns how long the next records have been missing from the log. Its first call after the records were found
// missing starts the measurement.
func (f *Follower) gapAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gapSince.IsZero() {
		f.gapSince = time.Now()
	}
	return time.Since(f.gapSince)
}

// confirmNoPeerAhead queries each peer and reports whether all responded that they hold no records after this state.
func (f *Follower) confirmNoPeerAhead(ctx context.Context) bool {
	peers := f.options.Peers()
	next := f.nextOffset()
	return f.queryPeers(ctx, peers, func(ctx context.Context, p Peer) bool {
		resp, err := p.FetchRecords(ctx, inner.FetchRecords{From: next, Limit: 1})
		return err == nil && resp.Next <= next
	}) == len(peers)
}

// syncWithPeers runs until ctx ends. It queries peers while the log does not respond, while there is no configuration,
// and after a heartbeat that reports a higher offset.
func (f *Follower) syncWithPeers(ctx context.Context) {
	ticker := time.NewTicker(f.options.PeerPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.peerSyncRequested:
		case <-ticker.C:
		}
		if !f.needsPeerSync() {
			continue
		}
		if f.hasState() && f.Document() != nil {
			f.fetchRecordsFromPeers(ctx)
		} else {
			f.fetchStateFromPeers(ctx)
		}
		boottime.Sleep(ctx, f.options.PeerPeriod/2)
	}
}

func (f *Follower) needsPeerSync() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil || f.state.Doc == nil || f.peerOffset > f.state.Next {
		return true
	}
	return f.logError != nil || time.Since(f.lastRead) > f.options.PollWait+f.options.PeerPeriod
}

// requestPeerSync makes syncWithPeers run its next round without waiting for the ticker.
func (f *Follower) requestPeerSync() {
	select {
	case f.peerSyncRequested <- struct{}{}:
	default:
	}
}

// ObservePeerOffset records that a peer's heartbeat reports next as the offset of the next record that it will fold. If
// next is after this follower's state, the follower queries its peers.
func (f *Follower) ObservePeerOffset(next uint64) {
	f.mu.Lock()
	f.peerOffset = max(f.peerOffset, next)
	behind := f.state == nil || f.peerOffset > f.state.Next
	f.mu.Unlock()
	if behind {
		f.requestPeerSync()
	}
}

// randomPeers returns up to peersPerRound randomly chosen peers.
func (f *Follower) randomPeers() []Peer {
	peers := append([]Peer(nil), f.options.Peers()...)
	f.random.mu.Lock()
	defer f.random.mu.Unlock()
	f.random.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), peersPerRound)]
}

// queryPeers runs query for all peers concurrently, each with its own timeout, and returns how many queries returned
// true.
func (f *Follower) queryPeers(ctx context.Context, peers []Peer, query func(context.Context, Peer) bool) int {
	results := make(chan bool, len(peers))
	for _, p := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, f.options.RequestTimeout)
			defer cancel()
			results <- query(ctx, p)
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

// fetchRecordsFromPeers queries random peers for the records that follow the state and folds them. It adopts the state
// of a peer that no longer has these records cached. If all queried peers respond and none has more, it clears peerOffset;
// the next heartbeat sets it again.
func (f *Follower) fetchRecordsFromPeers(ctx context.Context) {
	peers := f.randomPeers()
	before := f.nextOffset()
	responses := f.queryPeers(ctx, peers, func(ctx context.Context, p Peer) bool {
		from := f.nextOffset()
		resp, err := p.FetchRecords(ctx, inner.FetchRecords{From: from, Limit: readLimit})
		if err != nil {
			return false
		}
		if resp.Oldest > from {
			return f.adoptPeerState(ctx, p)
		}
		f.fold(resp.Records)
		return true
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if responses == len(peers) && f.state.Next == before {
		f.peerOffset = 0
	}
}

// fetchStateFromPeers queries peers for their states and reports whether it adopted one.
func (f *Follower) fetchStateFromPeers(ctx context.Context) bool {
	return f.queryPeers(ctx, f.randomPeers(), f.adoptPeerState) > 0
}

// adoptPeerState fetches the state of a peer and reports whether it replaced the current state.
func (f *Follower) adoptPeerState(ctx context.Context, p Peer) bool {
	resp, err := p.FetchState(ctx)
	if err != nil || len(resp.State) == 0 {
		return false
	}
	state, err := DecodeState(resp.State)
	if err != nil {
		f.options.Logger.Warn().Err(err).Str("peer", p.ID()).Msg("cannot use configuration state of peer")
		return false
	}
	if !f.replaceState(state) {
		return false
	}
	metricFromPeers.Inc(1)
	return true
}

// confirmNoPeerHasConfig queries each peer and reports whether all responded that they have no configuration.
func (f *Follower) confirmNoPeerHasConfig(ctx context.Context) bool {
	peers := f.options.Peers()
	return f.queryPeers(ctx, peers, func(ctx context.Context, p Peer) bool {
		resp, err := p.FetchState(ctx)
		return err == nil && len(resp.State) == 0
	}) == len(peers)
}

// FetchRecords returns up to req.Limit cached records for a peer, starting at offset req.From. If the cache does not
// reach back that far, the response has no records and its Oldest is above req.From. The response is empty if there is
// no state yet.
func (f *Follower) FetchRecords(req inner.FetchRecords) inner.FetchRecordsResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return inner.FetchRecordsResponse{}
	}
	limit := min(max(req.Limit, 1), readLimit)
	return f.recordCache.fetch(req.From, f.state.Next, limit)
}

// FetchState returns the encoded state for a peer. It is empty if there is no configuration. An error has the kind
// Internal.
func (f *Follower) FetchState() (inner.FetchStateResponse, error) {
	raw, err := EncodeState(f.State())
	return inner.FetchStateResponse{State: raw}, err
}

// recordCache holds the newest folded records for peers. Their offsets are contiguous. bytes is the size of their data.
type recordCache struct {
	records []infra.Record
	bytes   int
}

// add appends a record and drops the oldest ones while their data exceeds limit bytes.
func (r *recordCache) add(record infra.Record, limit int) {
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for r.bytes > limit && len(r.records) > 0 {
		r.bytes -= len(r.records[0].Data)
		r.records = r.records[1:]
	}
}

func (r *recordCache) clear() { r.records, r.bytes = nil, 0 }

// fetch returns up to limit records starting at offset from. next is the offset of the next record of the state.
func (r *recordCache) fetch(from, next uint64, limit int) inner.FetchRecordsResponse {
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
