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
	// ID names the peer; it is stable over the life of the process.
	ID() string
	FetchRecords(ctx context.Context, req inner.FetchRecords) (inner.FetchRecordsResponse, error)
	FetchState(ctx context.Context) (inner.FetchStateResponse, error)
}

// Settings are the collaborators and bounds of a Follower. Zero durations and bounds get defaults.
type Settings struct {
	Log infra.Log
	// Peers returns the peers to ask now; nil if there are none.
	Peers     func() []Peer
	Logger    zerolog.Logger
	Retention Retention
	// PollWait is the wait of one long poll, and ReadMargin what is added to it for the response. Together with
	// PeerPeriod they bound the time until a silent connection to the log is given up for peers.
	PollWait   time.Duration
	ReadMargin time.Duration
	// PeerPeriod is the time between two rounds of asking peers while the log does not respond.
	PeerPeriod time.Duration
	// CallTimeout bounds one call to a peer and one append.
	CallTimeout time.Duration
	// GapGrace is the time for which a process whose next records expired waits for another process's snapshot before it
	// carries its own state on. IsolatedGapGrace takes its place while a peer does not answer: that one may hold a higher
	// version.
	GapGrace         time.Duration
	IsolatedGapGrace time.Duration
	// SnapshotJitter spreads the snapshots of all processes; an append waits up to this long and is then checked again.
	SnapshotJitter time.Duration
	// RelayBytes bounds the records kept for peers.
	RelayBytes int
	// Seed makes jitter and the choice of peers repeatable; 0 for a random one.
	Seed uint64
}

// Defaults of Settings. GapGrace leaves room for the rest of the 8 s within which a change must be in force. A change reaches a process that can reach a peer within PollWait + ReadMargin + 2 PeerPeriod,
// 5.5 s, also when its connection to the log went silent; the requirement is 8 s.
const (
	defaultPollWait         = 2 * time.Second
	defaultReadMargin       = 1500 * time.Millisecond
	defaultPeerPeriod       = time.Second
	defaultCallTimeout      = 2 * time.Second
	defaultGapGrace         = 3 * time.Second
	defaultIsolatedGapGrace = 5 * time.Minute
	defaultSnapshotJitter   = 10 * time.Second
	defaultRelayBytes       = 2 << 20
	defaultRetention        = 24 * time.Hour
	// defaultEveryRecords bounds the fold at start, at 2 to 3 ms a record at the planned size.
	defaultEveryRecords = 250
)

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&s.PollWait, defaultPollWait)
	set(&s.ReadMargin, defaultReadMargin)
	set(&s.PeerPeriod, defaultPeerPeriod)
	set(&s.CallTimeout, defaultCallTimeout)
	set(&s.GapGrace, defaultGapGrace)
	set(&s.IsolatedGapGrace, defaultIsolatedGapGrace)
	set(&s.SnapshotJitter, defaultSnapshotJitter)
	set(&s.Retention.Period, defaultRetention)
	if s.Retention.EveryRecords == 0 {
		s.Retention.EveryRecords = defaultEveryRecords
	}
	if s.RelayBytes == 0 {
		s.RelayBytes = defaultRelayBytes
	}
	if s.Peers == nil {
		s.Peers = func() []Peer { return nil }
	}
	return s
}

// readLimit is the number of records asked for in one read.
const readLimit = 256

// Follower holds the configuration in force and keeps it up to date. It is safe for concurrent use.
type Follower struct {
	settings Settings
	doc      atomic.Pointer[config.Document]

	mu sync.Mutex
	// state is nil until a start was found; guarded by mu, as are all fields below.
	state *State
	// changed is closed and replaced whenever state changes.
	changed     chan struct{}
	subscribers map[int]chan *config.Document
	nextID      int
	relay       relay
	// lastRead is the time of the last response of the log, and logError the last error since; logTail is the next
	// offset of the log as last seen.
	lastRead time.Time
	logError error
	logTail  uint64
	alarm    string
	// hint is the highest offset that a peer reported.
	hint uint64
	// startTail is the end of the log when the first state was found there. Documents in front of it are old and are held
	// back, for at most startHold after startedAt.
	startTail uint64
	startedAt time.Time
	// gapSince is the time at which the log was first seen to lack the next records; zero if it does not.
	gapSince time.Time
	// snapshotAt is the time of the next append of a snapshot; zero if none is planned.
	snapshotAt    time.Time
	appending     bool
	snapshotError error

	// handling serialises the handling of responses of the two readers, which may last. It is a channel and no mutex, so
	// that virtual time goes on in tests.
	handling chan struct{}

	wakePeers chan struct{}
	random    random
}

// random is a source of jitter that is safe for concurrent use.
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

// NewFollower returns a follower without a configuration. Run makes it follow.
func NewFollower(settings Settings) *Follower {
	return &Follower{
		settings:    settings.withDefaults(),
		changed:     make(chan struct{}),
		subscribers: map[int]chan *config.Document{},
		wakePeers:   make(chan struct{}, 1),
		handling:    make(chan struct{}, 1),
		random:      newRandom(settings.Seed),
	}
}

// Document returns the configuration in force, nil if there is none. It does not block.
func (f *Follower) Document() *config.Document { return f.doc.Load() }

// Subscribe returns a channel that receives the document in force and then each new one. A slow reader misses versions
// in between, never the newest. Stop ends the subscription.
func (f *Follower) Subscribe() (documents <-chan *config.Document, stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
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

// State returns a copy of the folded state, nil if there is none.
func (f *Follower) State() *State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return nil
	}
	return f.state.Clone()
}

// Run follows the log until ctx ends. It returns ctx's error.
func (f *Follower) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { f.followPeers(ctx) })
	group.Go(func() { f.followSlowLog(ctx) })
	f.followLog(ctx)
	group.Wait()
	return ctx.Err()
}

// followLog reads the log, with a backoff after errors.
func (f *Follower) followLog(ctx context.Context) {
	const firstBackoff, maxBackoff = 100 * time.Millisecond, time.Second
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := f.readOnce(ctx, f.settings.PollWait, f.settings.ReadMargin)
		if err == nil {
			backoff = firstBackoff
			continue
		}
		f.askPeersSoon()
		boottime.Sleep(ctx, backoff/2+f.random.duration(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// followSlowLog reads with much more time while followLog gets no response: a log that is slow for long is followed late,
// and a connection that went silent does not keep followLog from trying others.
func (f *Follower) followSlowLog(ctx context.Context) {
	const patience = 30 * time.Second
	for ctx.Err() == nil {
		boottime.Sleep(ctx, f.settings.PollWait+f.settings.ReadMargin)
		f.mu.Lock()
		failing := f.logError != nil
		f.mu.Unlock()
		if failing {
			_ = f.readOnce(ctx, 0, patience) // readOnce logs the error
		}
	}
}

// readOnce does one read, which waits up to wait for records, and handles its response.
func (f *Follower) readOnce(ctx context.Context, wait, margin time.Duration) error {
	from := f.nextOffset()
	if !f.started() {
		wait = 0
	}
	resp, err := f.read(ctx, from, wait, margin)
	f.handling <- struct{}{}
	if err == nil {
		err = f.handle(ctx, from, resp)
	}
	<-f.handling
	f.mu.Lock()
	f.logError = err
	if err == nil {
		f.lastRead = time.Now()
	}
	f.publish()
	f.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		metricReadErrors.Inc(1)
		f.settings.Logger.Warn().Err(err).Uint64("offset", from).Msg("configuration log cannot be read")
	}
	return err
}

func (f *Follower) read(ctx context.Context, from uint64, wait, margin time.Duration) (infra.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	return f.settings.Log.Read(ctx, infra.ConfigStream, from, readLimit, int(wait.Milliseconds()))
}

// handle takes over the records of a response, or closes the gap if the next ones have expired.
func (f *Follower) handle(ctx context.Context, from uint64, resp infra.ReadResponse) error {
	f.mu.Lock()
	f.logTail = resp.Next
	f.mu.Unlock()
	if !f.started() {
		return f.start(ctx, resp)
	}
	next := f.nextOffset()
	if resp.Next < next && resp.Next < from {
		return f.raise(errkind.New(errkind.Unavailable, "restore the log service; the last version stays in force",
			"log ends at offset %d in front of %d: it has lost records", resp.Next, next))
	}
	if resp.Oldest > next {
		return f.closeGap(ctx, resp.Oldest)
	}
	f.mu.Lock()
	f.gapSince = time.Time{}
	f.mu.Unlock()
	f.fold(resp.Records)
	if f.Document() == nil {
		f.askPeersSoon()
	}
	f.planSnapshot(ctx, resp)
	return f.stopped(ctx)
}

// stopped slows the reader down while the fold goes no further.
func (f *Follower) stopped(ctx context.Context) error {
	f.mu.Lock()
	stop := f.state.Stopped
	f.mu.Unlock()
	if stop != nil {
		boottime.Sleep(ctx, f.settings.PollWait)
	}
	return nil
}

// raise sets the alarm shown by Status and returns err.
func (f *Follower) raise(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alarm = errkind.As(err).Message
	metricStopped.Update(1)
	return err
}

func (f *Follower) started() bool {
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

// fold applies the records that follow the state; others are left out.
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
		f.wake()
		f.publish()
	}
}

// wake lets waiters look at the state again; the caller holds mu.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// foldOne folds one record; the caller holds mu.
func (f *Follower) foldOne(r infra.Record) {
	if f.state.Stopped != nil {
		return
	}
	began := time.Now()
	decision := f.state.Fold(r.Offset, r.Data)
	timeFold(began)
	countDecision(decision)
	if stop := f.state.Stopped; stop != nil {
		metricStopped.Update(1)
		f.settings.Logger.Error().Str("reason", string(stop.Reason)).Uint64("offset", stop.Offset).Msg(stop.Detail)
		return
	}
	if f.state.Next != r.Offset+1 {
		// The records kept for peers belong to the state that was given up.
		f.relay.clear()
		return
	}
	f.relay.add(r, f.settings.RelayBytes)
	if decision != nil {
		f.settings.Logger.Info().Str("patch", decision.ID).Str("outcome", string(decision.Outcome)).
			Uint64("version", decision.Version).Str("author", decision.Author).Msg("configuration decision")
	}
}

// startHold bounds the time for which documents are held back at start.
const startHold = 3 * time.Second

// publish gives the state's document to readers; the caller holds mu.
func (f *Follower) publish() {
	if f.state == nil {
		return
	}
	doc, held := f.state.Doc, f.doc.Load()
	if doc == nil || doc == held {
		return
	}
	if held == nil && f.state.Next < f.startTail && time.Since(f.startedAt) < startHold {
		return
	}
	if !checkMonotone(held, doc) {
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

// replace puts another state in place if it supersedes the one held.
func (f *Follower) replace(next *State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !next.Supersedes(f.state) {
		return false
	}
	f.state = next
	f.relay.clear()
	f.wake()
	f.publish()
	return true
}
