package configlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/resource"
)

const (
	domainCount    = 3
	nodesPerDomain = 3
	// sampleInterval is the time between two samples of reachability.
	sampleInterval = 250 * time.Millisecond
)

// cluster holds the nodes of a test run, the network between them, the log, and the observations.
type cluster struct {
	options options
	log     *fakeLog
	nodes   []*node

	mu sync.Mutex
	// rng and everything below is guarded by mu.
	rng *rand.Rand
	// cutLog marks the failure domains that cannot reach the log. cut marks the pairs of failure domains that cannot
	// reach each other.
	cutLog       [domainCount]bool
	cut          [domainCount][domainCount]bool
	incarnations []*incarnation
	violations   []string
}

// options configures the faults of a run. Tests that verify that a check is effective also disable mechanisms with it.
type options struct {
	duration time.Duration
	// latePercent is the percentage of late appends; 0 selects a random one.
	latePercent int
	// noPeers removes all peers. appendErrorIsRefusal makes submissions treat a failed append as a refusal.
	noPeers, appendErrorIsRefusal bool
	// drop selects records that the log discards although the append succeeds; nil selects none. rewrite changes the
	// records that the nodes of failure domain 1 read; nil changes none.
	drop    func(Record) bool
	rewrite func(*node, Record) Record
}

// incarnation holds the observations of one follower between start and end.
type incarnation struct {
	node       *node
	start, end time.Time
	// publications holds the publications in order.
	publications []publication
	// reachableSamples holds the results of cluster.reachable, one for each sampleInterval after start.
	reachableSamples []bool
}

// publication records when a follower put a document in force, with the version and digest of the document.
type publication struct {
	at      time.Time
	version uint64
	digest  uint64
}

func (c *cluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *cluster) randomInt(n int) (value int) {
	c.withLock(func() { value = c.rng.IntN(n) })
	return value
}

func (c *cluster) addViolation(format string, args ...any) {
	c.withLock(func() { c.violations = append(c.violations, fmt.Sprintf(format, args...)) })
}

func (c *cluster) linked(a, b *node) (ok bool) {
	c.withLock(func() { ok = !c.cut[a.domain][b.domain] })
	return ok
}

func (c *cluster) reachesLog(domain int) (ok bool) {
	c.withLock(func() { ok = !c.cutLog[domain] })
	return ok
}

func newCluster(seed uint64, o options) *cluster {
	c := &cluster{options: o, log: newFakeLog(seed, testRetention), rng: rand.New(rand.NewPCG(seed, 2))}
	c.log.drop = o.drop
	for i := range domainCount * nodesPerDomain {
		n := &node{id: i, domain: i % domainCount, cluster: c}
		n.logClient = &logClient{log: c.log, reachesLog: func() bool { return c.reachesLog(n.domain) }}
		if o.rewrite != nil && n.domain == 1 {
			n.logClient.rewrite = recordRewriter(func(r Record) Record { return o.rewrite(n, r) })
		}
		c.nodes = append(c.nodes, n)
	}
	return c
}

// start starts a new incarnation of n.
func (c *cluster) start(ctx context.Context, group *sync.WaitGroup, n *node) {
	ctx, cancel := context.WithCancel(ctx)
	f := NewFollower(Options{
		Log: n.logClient, Logger: zerolog.Nop(), Seed: uint64(c.randomInt(1<<30) + 1),
		Retention: Retention{Period: testRetention, EveryRecords: 200},
		Peers: func() []Peer {
			var peers []Peer
			for _, other := range c.nodes {
				if other != n && !c.options.noPeers {
					peers = append(peers, NewPeer(fmt.Sprint(other.id), "", peerLink{n, other}))
				}
			}
			return peers
		},
	})
	inc := &incarnation{node: n, start: time.Now()}
	c.withLock(func() { c.incarnations = append(c.incarnations, inc) })
	n.mu.Lock()
	n.follower, n.stop = f, cancel
	n.incarnationCount++
	n.mu.Unlock()
	group.Go(func() { _ = f.Run(ctx) })
	group.Go(func() { c.observe(ctx, inc, f) })
}

// observe records the documents that f publishes and samples whether its node can receive new ones.
func (c *cluster) observe(ctx context.Context, inc *incarnation, f *Follower) {
	documents, stop := f.Subscribe()
	defer stop()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			inc.end = time.Now()
			return
		case doc := <-documents:
			inc.publications = append(inc.publications, publication{time.Now(), doc.Version, config.Digest(doc)})
		case <-ticker.C:
			inc.reachableSamples = append(inc.reachableSamples, c.reachable(inc.node))
		}
	}
}

// reachable reports whether n reaches the log or a running node that reaches the log. It is false while the log is down
// or delays requests by more than 1 s, since inForceBound applies only while the log responds.
func (c *cluster) reachable(n *node) bool {
	var down bool
	c.log.withLock(func() { down = c.log.down || c.log.extraDelay > time.Second })
	if down {
		return false
	}
	if c.reachesLog(n.domain) {
		return true
	}
	for _, other := range c.nodes {
		if other != n && other.current() != nil && c.linked(n, other) && c.reachesLog(other.domain) {
			return true
		}
	}
	return false
}

// kill stops the current incarnation of n.
func (c *cluster) kill(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.follower != nil {
		n.stop()
		n.follower = nil
	}
}

// testDocument is a small valid document.
func testDocument() *config.Document {
	return config.Normalise(&config.Document{
		FailureDomains: map[string]config.FailureDomain{"fd-a": {Region: "north"}},
		Workers: map[string]resource.Worker{"w-1": {FailureDomain: "fd-a", Rack: "r", Address: "10.0.0.1:90",
			Capacity: resource.Resources{Accelerators: 8, MilliCPU: 1000, MemoryMB: 1000}}},
		Operators: map[string]config.Operator{"ana": {TokenDigest: config.TokenDigest("ana")}},
		Policy:    config.DefaultPolicy(),
	})
}
