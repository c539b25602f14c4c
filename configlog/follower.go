package configlog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
)

// Peer is another process that follows the configuration stream.
type Peer interface {
	// ID identifies the peer. It does not change during the lifetime of the process.
	ID() string
	// FetchRecords returns records that the peer has cached. See Follower.FetchRecords.
	FetchRecords(ctx context.Context, req inner.FetchRecords) (inner.FetchRecordsResponse, error)
	// FetchState returns the state of the peer. See Follower.FetchState.
	FetchState(ctx context.Context) (inner.FetchStateResponse, error)
}

// Options holds the dependencies and limits of a Follower. Durations and limits that are zero get defaults.
type Options struct {
	Log infra.Log
	// Peers returns the current peers. A nil function means that there are none.
	Peers     func() []Peer
	Logger    zerolog.Logger
	Retention Retention
	// PollWait is the wait time of one long poll of the log. ReadMargin is added to it for the response. Together with
	// PeerPeriod they bound the time until the follower queries peers because a connection to the log is unresponsive.
	PollWait   time.Duration
	ReadMargin time.Duration
	// PeerPeriod is the time between two rounds of queries to peers while the log does not respond.
	PeerPeriod time.Duration
	// RequestTimeout is the timeout of one request to a peer, of the read in CatchUp and of the first attempt of an
	// append. Further attempts and appends of snapshots use multiples of it.
	RequestTimeout time.Duration
	// GapGrace is the time for which a process whose next records have expired waits for a snapshot of another process
	// before it continues with its own state. IsolatedGapGrace applies instead while a peer does not respond, because
	// that peer may hold a higher version.
	GapGrace         time.Duration
	IsolatedGapGrace time.Duration
	// SnapshotJitter is the upper limit of the random delay before a snapshot is appended. It prevents all processes
	// from appending the same snapshot: after the delay a process appends only if a snapshot is still due.
	SnapshotJitter time.Duration
	// RecordCacheBytes limits the size of the records cached for peers, in bytes of their data.
	RecordCacheBytes int
	// Seed makes random delays and the choice of peers reproducible; 0 selects a random seed.
	Seed uint64
}

// Defaults of Options. The requirement is that a change is in force within 8 s. A change reaches a process that can
// reach a peer within PollWait + ReadMargin + 2 PeerPeriod = 5.5 s, even if its connection to the log is unresponsive.
// GapGrace leaves enough of the 8 s for the other steps.
const (
	defaultPollWait         = 2 * time.Second
	defaultReadMargin       = 1500 * time.Millisecond
	defaultPeerPeriod       = time.Second
	defaultRequestTimeout   = 2 * time.Second
	defaultGapGrace         = 3 * time.Second
	defaultIsolatedGapGrace = 5 * time.Minute
	defaultSnapshotJitter   = 10 * time.Second
	defaultRecordCacheBytes = 2 << 20
	defaultRetention        = 24 * time.Hour
	// defaultEveryRecords keeps the fold at start below 1 s: at the planned size a record takes 2 to 3 ms.
	defaultEveryRecords = 250
)

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&o.PollWait, defaultPollWait)
	set(&o.ReadMargin, defaultReadMargin)
	set(&o.PeerPeriod, defaultPeerPeriod)
	set(&o.RequestTimeout, defaultRequestTimeout)
	set(&o.GapGrace, defaultGapGrace)
	set(&o.IsolatedGapGrace, defaultIsolatedGapGrace)
	set(&o.SnapshotJitter, defaultSnapshotJitter)
	set(&o.Retention.Period, defaultRetention)
	if o.Retention.EveryRecords == 0 {
		o.Retention.EveryRecords = defaultEveryRecords
	}
	if o.RecordCacheBytes == 0 {
		o.RecordCacheBytes = defaultRecordCacheBytes
	}
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	return o
}

// readLimit is the largest number of records requested in one read.
const readLimit = 256

// Follower holds the configuration in force and keeps it up to date. It is safe for concurrent use.
type Follower struct {
	options Options
	doc     atomic.Pointer[config.Document]

	mu sync.Mutex
	// state is nil until an initial state was found. mu guards it and the fields from here to snapshotError.
	state *State
	// changed is closed and replaced whenever state changes.
	changed chan struct{}
	// subscribers holds the channel of each subscription, by the number of the subscription.
	subscribers    map[int]chan *config.Document
	nextSubscriber int
	recordCache    recordCache
	// lastRead is the time of the last successful read of the log. logError is the error of the last read, nil if it
	// succeeded. logTail is the next offset of the log in the last response.
	lastRead time.Time
	logError error
	logTail  uint64
	// alarm is set if the log has violated its contract.
	alarm string
	// peerOffset is the highest next offset that a peer has reported, 0 if none is pending.
	peerOffset uint64
	// startTail is the next offset of the log when the initial state was found there, at initialStateAt. The first
	// document is not published before the records up to startTail are folded or maxStartHold has passed, because it
	// may be outdated.
	startTail      uint64
	initialStateAt time.Time
	// gapSince is the time at which the next records were first missing from the log; zero if they are not missing.
	gapSince time.Time
	// nextSnapshotAt is the time of the next append of a snapshot; zero if none is scheduled.
	nextSnapshotAt time.Time
	// appendingSnapshot is true while an append of a snapshot is in progress. snapshotError is the error of the last
	// append of a snapshot that has finished, nil if it succeeded.
	appendingSnapshot bool
	snapshotError     error

	// handlerLock serialises the handling of responses by the two readers, which may take long. It is a channel instead
	// of a mutex because the virtual time of tests does not advance while a goroutine waits for a mutex.
	handlerLock chan struct{}

	// peerSyncRequested contains a value if syncWithPeers must run its next round without waiting for the ticker.
	peerSyncRequested chan struct{}
	random            random
}

// random is a random number generator that is safe for concurrent use.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom(seed uint64) random {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return random{rng: rand.New(rand.NewPCG(seed, 0))}
}

// duration returns a duration in [0, limit).
func (r *random) duration(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// NewFollower returns a follower without a configuration. Run makes it follow the log.
func NewFollower(options Options) *Follower {
	return &Follower{
		options:           options.withDefaults(),
		changed:           make(chan struct{}),
		subscribers:       map[int]chan *config.Document{},
		peerSyncRequested: make(chan struct{}, 1),
		handlerLock:       make(chan struct{}, 1),
		random:            newRandom(options.Seed),
	}
}

// Document returns the configuration in force, nil if there is none. It does not block.
func (f *Follower) Document() *config.Document { return f.doc.Load() }

// Subscribe returns a channel that receives the document in force and then each new one. A slow reader may miss
// intermediate versions, but never the newest. stop ends the subscription; it does not close the channel.
func (f *Follower) Subscribe() (documents <-chan *config.Document, stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextSubscriber
	f.nextSubscriber++
	c := make(chan *config.Document, 1)
	f.subscribers[id] = c
	if doc := f.doc.Load(); doc != nil {
		c <- doc
	}
	return c, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, id)
	}
}

// State returns a copy of the folded state, nil if no initial state has been found yet.
func (f *Follower) State() *State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return nil
	}
	return f.state.Clone()
}

// Run follows the log until ctx is cancelled and returns the error of ctx.
func (f *Follower) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { f.syncWithPeers(ctx) })
	group.Go(func() { f.followSlowLog(ctx) })
	f.followLog(ctx)
	group.Wait()
	return ctx.Err()
}

// followLog reads the log until ctx ends, with a backoff after errors.
func (f *Follower) followLog(ctx context.Context) {
	const firstBackoff, maxBackoff = 100 * time.Millisecond, time.Second
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := f.readOnce(ctx, f.options.PollWait, f.options.ReadMargin)
		if err == nil {
			backoff = firstBackoff
			continue
		}
		f.requestPeerSync()
		boottime.Sleep(ctx, backoff/2+f.random.duration(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// followSlowLog reads with a much longer timeout while the reads of followLog fail, until ctx ends. If the log stays
// slow for a long time, records are therefore still read, although late. An unresponsive connection does not keep
// followLog from trying others.
func (f *Follower) followSlowLog(ctx context.Context) {
	const slowReadTimeout = 30 * time.Second
	for ctx.Err() == nil {
		boottime.Sleep(ctx, f.options.PollWait+f.options.ReadMargin)
		f.mu.Lock()
		failing := f.logError != nil
		f.mu.Unlock()
		if failing {
			_ = f.readOnce(ctx, 0, slowReadTimeout) // readOnce logs the error
		}
	}
}

// readOnce reads once and handles the response. wait is the time for which the log may wait for records, and margin is
// the additional time for the response. readOnce logs the error and returns it.
func (f *Follower) readOnce(ctx context.Context, wait, margin time.Duration) error {
	from := f.nextOffset()
	if !f.hasState() {
		wait = 0
	}
	resp, err := f.read(ctx, from, wait, margin)
	f.handlerLock <- struct{}{}
	if err == nil {
		err = f.handleResponse(ctx, from, resp)
	}
	<-f.handlerLock
	f.mu.Lock()
	f.logError = err
	if err == nil {
		f.lastRead = time.Now()
	}
	f.publish()
	f.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		metricReadErrors.Inc(1)
		f.options.Logger.Warn().Err(err).Uint64("offset", from).Msg("configuration log cannot be read")
	}
	return err
}

func (f *Follower) read(ctx context.Context, from uint64, wait, margin time.Duration) (infra.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	return f.options.Log.Read(ctx, infra.ConfigStream, from, readLimit, int(wait.Milliseconds()))
}

// handleResponse folds the records of a response that started at offset from, or closes the gap if the next ones have
// expired.
func (f *Follower) handleResponse(ctx context.Context, from uint64, resp infra.ReadResponse) error {
	f.mu.Lock()
	f.logTail = resp.Next
	f.mu.Unlock()
	if !f.hasState() {
		return f.findInitialState(ctx, resp)
	}
	next := f.nextOffset()
	if resp.Next < next && resp.Next < from {
		return f.raiseAlarm(errkind.New(errkind.Unavailable, "restore the log service; the last version stays in force",
			"log ends at offset %d, before the next expected offset %d: it has lost records", resp.Next, next))
	}
	if resp.Oldest > next {
		return f.closeGap(ctx, resp.Oldest)
	}
	f.mu.Lock()
	f.gapSince = time.Time{}
	f.mu.Unlock()
	f.fold(resp.Records)
	if f.Document() == nil {
		f.requestPeerSync()
	}
	f.appendSnapshotIfDue(ctx, resp)
	return f.pauseIfStopped(ctx)
}

// pauseIfStopped pauses the reader for PollWait if the fold has stopped. It returns nil.
func (f *Follower) pauseIfStopped(ctx context.Context) error {
	f.mu.Lock()
	stop := f.state.Stopped
	f.mu.Unlock()
	if stop != nil {
		boottime.Sleep(ctx, f.options.PollWait)
	}
	return nil
}

// raiseAlarm sets the alarm in Status to the message of err and returns err.
func (f *Follower) raiseAlarm(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alarm = errkind.As(err).Message
	metricStopped.Update(1)
	return err
}

// hasState reports whether an initial state has been found.
func (f *Follower) hasState() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state != nil
}

func (f *Follower) nextOffset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return 0
	}
	return f.state.Next
}

// fold folds the records that continue the state and ignores others.
func (f *Follower) fold(records []infra.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return
	}
	before := f.state.Next
	for _, r := range records {
		if r.Offset != f.state.Next {
			continue
		}
		f.foldOne(r)
	}
	if f.state.Next != before {
		f.notifyWaiters()
		f.publish()
	}
}

// notifyWaiters makes waiters evaluate the state again. mu must be held.
func (f *Follower) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// foldOne folds one record, caches it for peers and logs its decision. mu must be held.
func (f *Follower) foldOne(r infra.Record) {
	if f.state.Stopped != nil {
		return
	}
	start := time.Now()
	decision := f.state.Fold(r.Offset, r.Data)
	recordFoldDuration(start)
	countDecision(decision)
	if stop := f.state.Stopped; stop != nil {
		metricStopped.Update(1)
		f.options.Logger.Error().Str("reason", string(stop.Reason)).Uint64("offset", stop.Offset).Msg(stop.Detail)
		return
	}
	if f.state.Next != r.Offset+1 {
		// The fold adopted another state; the cached records belong to the previous one.
		f.recordCache.clear()
		return
	}
	f.recordCache.add(r, f.options.RecordCacheBytes)
	if decision != nil {
		f.options.Logger.Info().Str("patch", decision.ID).Str("outcome", string(decision.Outcome)).
			Uint64("version", decision.Version).Str("author", decision.Author).Msg("configuration decision")
	}
}

// maxStartHold is the longest time after initialStateAt for which the first document is not published.
const maxStartHold = 3 * time.Second

// publish makes the state's document available to Document and to subscribers. It does nothing if the document is
// already published, has a lower version than the published one, or must be held back (see startTail). mu must be held.
func (f *Follower) publish() {
	if f.state == nil {
		return
	}
	doc, current := f.state.Doc, f.doc.Load()
	if doc == nil || doc == current {
		return
	}
	if current == nil && f.state.Next < f.startTail && time.Since(f.initialStateAt) < maxStartHold {
		return
	}
	if !checkMonotone(current, doc) {
		return
	}
	f.doc.Store(doc)
	metricVersion.Update(int64(doc.Version))
	for _, c := range f.subscribers {
		select {
		case <-c:
		default:
		}
		c <- doc
	}
}

// replaceState sets next as the state if it supersedes the current one, and reports whether it did.
func (f *Follower) replaceState(next *State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !next.Supersedes(f.state) {
		return false
	}
	f.state = next
	f.recordCache.clear()
	f.notifyWaiters()
	f.publish()
	return true
}
