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
	domains       = 3
	nodesOfDomain = 3
	// sampleEvery is the period at which reachability is sampled.
	sampleEvery = 250 * time.Millisecond
)

// cluster is a run: nodes in failure domains, the network between them and the log, and what was observed.
type cluster struct {
	options options
	log     *fakeLog
	nodes   []*node

	mu sync.Mutex
	// rng and everything below is guarded by mu.
	rng *rand.Rand
	// cutLog holds the failure domains that cannot reach the log, cut the pairs that cannot reach each other.
	cutLog       [domains]bool
	cut          [domains][domains]bool
	incarnations []*incarnation
	violations   []string
}

// options switch faults and, for runs that must fail, mechanisms off.
type options struct {
	duration time.Duration
	// latePercent replaces the share of late appends; 0 for the random one.
	latePercent int
	// noPeers takes the relay away, appendErrorMeansNo takes a failed append for a refusal.
	noPeers, appendErrorMeansNo bool
	// swallow and mangle are those of fakeLog and port; mangle is given to the nodes of failure domain 1.
	swallow func(Record) bool
	mangle  func(*node, Record) Record
}

// incarnation is what was seen of one follower between start and end.
type incarnation struct {
	node       *node
	start, end time.Time
	// versions are the documents published, in order.
	versions []seen
	// reached holds one sample for each sampleEvery from start on.
	reached []bool
}

type seen struct {
	at      time.Time
	version uint64
	digest  uint64
}

func (c *cluster) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *cluster) roll(n int) (value int) {
	c.locked(func() { value = c.rng.IntN(n) })
	return value
}

func (c *cluster) violate(format string, args ...any) {
	c.locked(func() { c.violations = append(c.violations, fmt.Sprintf(format, args...)) })
}

func (c *cluster) connected(a, b *node) (ok bool) {
	c.locked(func() { ok = !c.cut[a.domain][b.domain] })
	return ok
}

func (c *cluster) reachesLog(domain int) (ok bool) {
	c.locked(func() { ok = !c.cutLog[domain] })
	return ok
}

func newCluster(seed uint64, o options) *cluster {
	c := &cluster{options: o, log: newFakeLog(seed, testRetention), rng: rand.New(rand.NewPCG(seed, 2))}
	c.log.swallow = o.swallow
	for i := range domains * nodesOfDomain {
		n := &node{id: i, domain: i % domains, cluster: c}
		n.port = &port{log: c.log, reach: func() bool { return c.reachesLog(n.domain) }}
		if o.mangle != nil && n.domain == 1 {
			n.port.mangle = mangler(func(r Record) Record { return o.mangle(n, r) })
		}
		c.nodes = append(c.nodes, n)
	}
	return c
}

// start begins a new incarnation of n.
func (c *cluster) start(ctx context.Context, group *sync.WaitGroup, n *node) {
	ctx, cancel := context.WithCancel(ctx)
	f := NewFollower(Settings{
		Log: n.port, Logger: zerolog.Nop(), Seed: uint64(c.roll(1<<30) + 1),
		Retention: Retention{Period: testRetention, EveryRecords: 200},
		Peers: func() []Peer {
			var peers []Peer
			for _, other := range c.nodes {
				if other != n && !c.options.noPeers {
					peers = append(peers, NewPeer(fmt.Sprint(other.id), "", link{n, other}))
				}
			}
			return peers
		},
	})
	run := &incarnation{node: n, start: time.Now()}
	c.locked(func() { c.incarnations = append(c.incarnations, run) })
	n.mu.Lock()
	n.follower, n.stop = f, cancel
	n.incarnation++
	n.mu.Unlock()
	group.Go(func() { _ = f.Run(ctx) })
	group.Go(func() { c.observe(ctx, run, f) })
}

// observe records the documents that f publishes and samples whether it could hear of new ones.
func (c *cluster) observe(ctx context.Context, run *incarnation, f *Follower) {
	documents, stop := f.Subscribe()
	defer stop()
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			run.end = time.Now()
			return
		case doc := <-documents:
			run.versions = append(run.versions, seen{time.Now(), doc.Version, config.Digest(doc)})
		case <-ticker.C:
			run.reached = append(run.reached, c.reachable(run.node))
		}
	}
}

// reachable reports whether n reaches the log, or a running node that does.
func (c *cluster) reachable(n *node) bool {
	var down bool
	c.log.locked(func() { down = c.log.down || c.log.slow > time.Second })
	if down {
		return false
	}
	if c.reachesLog(n.domain) {
		return true
	}
	for _, other := range c.nodes {
		if other != n && other.current() != nil && c.connected(n, other) && c.reachesLog(other.domain) {
			return true
		}
	}
	return false
}

// kill ends the incarnation of n.
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
