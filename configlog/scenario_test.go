package configlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/invariant"
)

const (
	// testRetention is short, so that records expire often during a run.
	testRetention = 5 * time.Minute
	// quietPeriod is the length of the fault-free end of a run. It is longer than IsolatedGapGrace.
	quietPeriod = 6 * time.Minute
	// changeInterval is the mean time between two changes at the planned rate of 3,100 changes per day.
	changeInterval = 24 * time.Hour / 3100
)

// operation is one operation of an operator with its result.
type operation struct {
	kind string // "submit", "withdraw", "read"
	// id is that of the patch, and base that of a submission.
	id   string
	base uint64
	// call and ret are the times at which the operation started and ended.
	call, ret time.Time
	decision  Decision
	// read is the version that a read returned; known reports whether it is set. valid reports whether a submitted patch
	// is valid.
	read         uint64
	valid, known bool
}

// result holds the results of one or more runs.
type result struct {
	violations []string
	operations []operation
	// accepted counts the accepted patches, unknown the submissions with an unknown outcome, and skippedPatches the
	// patches in records that expired unread.
	accepted       int
	unknown        int
	skippedPatches int
	// delays and burstDelays hold the times from the append of an accepted patch until its version was in force on a
	// reachable follower, for changes at the planned rate and in bursts.
	delays, burstDelays []time.Duration
}

// recordRewriter returns a function that applies change to an encoded record.
func recordRewriter(change func(Record) Record) func(infra.Record) infra.Record {
	return func(r infra.Record) infra.Record {
		record, err := decode(r.Data)
		if err != nil {
			return r
		}
		if data, err := Encode(change(record)); err == nil {
			r.Data = data
		}
		return r
	}
}

// runScenario does one randomised run in virtual time with nine nodes in three failure domains, concurrent operators,
// and faults of the log, the network and the nodes.
func runScenario(t *testing.T, seed uint64) *result {
	// In every fourth run most appends are late, so that withdrawals must settle them.
	late := 0
	if seed%4 == 0 {
		late = 60
	}
	return runScenarioWith(t, seed, options{duration: 30 * time.Minute, latePercent: late})
}

func runScenarioWith(t *testing.T, seed uint64, o options) *result {
	res := &result{}
	synctest.Test(t, func(t *testing.T) {
		var assertions invariant.Collector
		defer invariant.SetRecorder(assertions.Record)()
		c := newCluster(seed, o)
		ctx, cancel := context.WithCancel(t.Context())
		var followers, drivers sync.WaitGroup
		for _, n := range c.nodes {
			c.start(ctx, &followers, n)
		}
		c.initialise()
		run := &driver{cluster: c, result: res}
		end := time.Now().Add(o.duration)
		drivers.Go(func() { run.injectFaults(ctx, &followers, seed, end) })
		drivers.Go(func() { run.runBursts(ctx, seed, end) })
		for i := range 3 {
			drivers.Go(func() { run.runOperator(ctx, seed, i, end) })
		}
		drivers.Wait()
		run.healAndSettle(ctx, &followers)
		cancel()
		followers.Wait()
		time.Sleep(30 * time.Second) // wait for late appends
		for _, v := range assertions.Violations() {
			c.addViolation("assertion %s", v)
		}
		c.check(res)
	})
	return res
}

func (c *cluster) initialise() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	boottime.Sleep(ctx, 5*time.Second)
	d := c.nodes[0].current().Initialise(ctx, Initialise{ID: "init", Author: "ana", Reason: "start", Document: testDocument()})
	if d.Outcome != Accepted {
		c.addViolation("initialise was %s: %v", d.Outcome, d.Err())
	}
}

// driver injects faults and runs the operations of the operators.
type driver struct {
	cluster *cluster
	result  *result
	mu      sync.Mutex
	// count is the number of submitted patches. mu guards it and result.operations.
	count int
}

func (d *driver) record(op operation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.operations = append(d.result.operations, op)
}

// exponential returns an exponentially distributed random duration.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// runOperator submits changes at a third of the planned rate, withdraws some of those with unknown outcomes, and reads.
func (d *driver) runOperator(ctx context.Context, seed uint64, operator int, end time.Time) {
	rng := rand.New(rand.NewPCG(seed, uint64(100+operator)))
	for time.Now().Before(end) {
		boottime.Sleep(ctx, exponential(rng, 3*changeInterval))
		f := d.randomFollower(rng)
		if f == nil {
			continue
		}
		op := d.submit(ctx, rng, f, "p")
		if op.decision.Outcome == Unknown && rng.IntN(2) == 0 {
			if other := d.randomFollower(rng); other != nil {
				d.withdraw(ctx, other, op.id)
			}
		}
		if rng.IntN(3) == 0 {
			d.read(ctx, f)
		}
	}
}

// runBursts makes ten operators submit changes concurrently for 20 s, at random intervals of 5 min on average.
func (d *driver) runBursts(ctx context.Context, seed uint64, end time.Time) {
	rng := rand.New(rand.NewPCG(seed, 99))
	for time.Now().Before(end) {
		boottime.Sleep(ctx, exponential(rng, 5*time.Minute))
		stop := time.Now().Add(20 * time.Second)
		var group sync.WaitGroup
		for i := range 10 {
			operatorRNG := rand.New(rand.NewPCG(seed, rng.Uint64()+uint64(i)))
			group.Go(func() {
				for time.Now().Before(stop) {
					if f := d.randomFollower(operatorRNG); f != nil {
						d.submit(ctx, operatorRNG, f, burstPrefix)
					}
					boottime.Sleep(ctx, exponential(operatorRNG, 2*time.Second))
				}
			})
		}
		group.Wait()
	}
}

// randomFollower returns the follower of a random node, nil if the node is down.
func (d *driver) randomFollower(rng *rand.Rand) *Follower {
	return d.cluster.nodes[rng.IntN(len(d.cluster.nodes))].current()
}

// burstPrefix is the prefix of the ids of patches in bursts.
const burstPrefix = "burst"

// submit submits a random patch through f and records the operation. One patch in ten is invalid.
func (d *driver) submit(ctx context.Context, rng *rand.Rand, f *Follower, prefix string) operation {
	doc := f.Document()
	if doc == nil {
		return operation{}
	}
	d.mu.Lock()
	d.count++
	op := operation{kind: "submit", id: fmt.Sprintf("%s-%d", prefix, d.count), base: doc.Version, valid: rng.IntN(10) > 0}
	d.mu.Unlock()
	path := fmt.Sprintf("drains/vm-%d", rng.IntN(5))
	value := fmt.Sprintf(`{"reason":%q}`, op.id)
	if !op.valid {
		value = `{"unknown":1}`
	}
	patch := config.Patch{ID: op.id, Base: op.base, Author: "ana", Reason: "change",
		Ops: []config.Op{{Op: config.OpSet, Path: path, Value: []byte(value)}}}
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	op.call = time.Now()
	op.decision = d.submitPatch(ctx, f, patch)
	op.ret = time.Now()
	d.record(op)
	return op
}

// submitPatch submits patch through f. With appendErrorIsRefusal it reports a patch whose append failed as refused.
func (d *driver) submitPatch(ctx context.Context, f *Follower, patch config.Patch) Decision {
	if !d.cluster.options.appendErrorIsRefusal {
		return f.Submit(ctx, patch)
	}
	if err := f.append(ctx, Record{RuleSet: config.RuleSet, Patch: &patch}, time.Second); err != nil {
		return Decision{ID: patch.ID, Outcome: Refused, Error: errkind.As(err)}
	}
	return f.Settle(ctx, patch.ID)
}

func (d *driver) withdraw(ctx context.Context, f *Follower, id string) {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	op := operation{kind: "withdraw", id: id, call: time.Now()}
	op.decision = f.Withdraw(ctx, id, "ana", "late")
	op.ret = time.Now()
	d.record(op)
}

// read waits until the follower has caught up with the log and records the version in force as a read of the register.
// It records nothing if the follower does not catch up.
func (d *driver) read(ctx context.Context, f *Follower) {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	op := operation{kind: "read", call: time.Now()}
	if f.CatchUp(ctx) != nil {
		return
	}
	op.read, op.ret, op.known = versionOf(f.Document()), time.Now(), true
	d.record(op)
}

// injectFaults injects one or two random faults at a time until end. It heals all faults before the next ones.
func (d *driver) injectFaults(ctx context.Context, group *sync.WaitGroup, seed uint64, end time.Time) {
	rng := rand.New(rand.NewPCG(seed, 98))
	c := d.cluster
	for time.Now().Before(end) {
		c.heal(rng)
		boottime.Sleep(ctx, exponential(rng, 40*time.Second))
		for range 1 + rng.IntN(2) {
			d.injectFault(ctx, group, rng)
		}
		length := exponential(rng, 40*time.Second)
		if rng.IntN(10) == 0 {
			length = testRetention + exponential(rng, time.Minute) // long enough that records expire
		}
		boottime.Sleep(ctx, min(length, 8*time.Minute))
	}
}

// heal ends all outages and partitions. Lost responses, late appends and reads without a response continue at new
// rates.
func (c *cluster) heal(rng *rand.Rand) {
	c.withLock(func() { c.cutLog, c.cut = [domainCount]bool{}, [domainCount][domainCount]bool{} })
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.log.down, c.log.extraDelay = false, 0
	c.log.lossPercent, c.log.latePercent, c.log.hangPercent = rng.IntN(15), rng.IntN(10), rng.IntN(5)
	if c.options.latePercent > 0 {
		c.log.latePercent = c.options.latePercent
	}
}

// injectFault injects one random fault.
func (d *driver) injectFault(ctx context.Context, group *sync.WaitGroup, rng *rand.Rand) {
	c := d.cluster
	switch rng.IntN(5) {
	case 0:
		c.log.withLock(func() { c.log.down, c.log.hangWhenDown = true, rng.IntN(2) == 0 })
	case 1:
		c.log.withLock(func() { c.log.extraDelay = exponential(rng, 2*time.Second) })
	case 2:
		c.withLock(func() { c.cutLog[rng.IntN(domainCount)] = true })
	case 3:
		a, b := rng.IntN(domainCount), rng.IntN(domainCount)
		c.withLock(func() { c.cut[a][b], c.cut[b][a] = a != b, a != b })
	case 4:
		d.restart(ctx, group, rng)
	}
}

// restart stops one to three nodes, one after the other, and starts a new incarnation of each after a random delay.
func (d *driver) restart(ctx context.Context, group *sync.WaitGroup, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		n := d.cluster.nodes[rng.IntN(len(d.cluster.nodes))]
		d.cluster.kill(n)
		boottime.Sleep(ctx, exponential(rng, 3*time.Second))
		if n.current() == nil {
			d.cluster.start(ctx, group, n)
		}
	}
}

// healAndSettle ends all faults, waits for quietPeriod, and settles every unknown outcome by a withdrawal.
func (d *driver) healAndSettle(ctx context.Context, group *sync.WaitGroup) {
	c := d.cluster
	c.heal(rand.New(rand.NewPCG(0, 0)))
	c.log.withLock(func() { c.log.lossPercent, c.log.latePercent, c.log.hangPercent = 0, 0, 0 })
	for _, n := range c.nodes {
		if n.current() == nil {
			c.start(ctx, group, n)
		}
	}
	boottime.Sleep(ctx, quietPeriod)
	f := c.nodes[0].current()
	d.mu.Lock()
	operations := append([]operation(nil), d.result.operations...)
	d.mu.Unlock()
	for _, op := range operations {
		if op.kind == "submit" && op.decision.Outcome == Unknown {
			d.result.unknown++
			d.withdraw(ctx, f, op.id)
		}
	}
	d.read(ctx, f)
	boottime.Sleep(ctx, 10*time.Second)
}
