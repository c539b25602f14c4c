package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// maxVoidedWrites is the number of cancellations of voided jobs that are stored at the same time.
	maxVoidedWrites = 64
	// voidedWriteTimeout bounds one attempt to store such a cancellation, voidedRetryInterval is the pause before the next one.
	voidedWriteTimeout  = 3 * time.Second
	voidedRetryInterval = 500 * time.Millisecond
	// counterVoidedCancels counts the cancellations of voided jobs that this VM has stored.
	counterVoidedCancels = "jobs.voided_cancels"
)

// voidedCancels stores the ordinary cancellation of jobs that an early cancellation has cancelled. A holder of a version that ignores early
// cancellations follows it, and a later holder does not depend on how long the early one is kept. Any VM does this that reads both records
// and no ordinary cancellation; the holder reads first.
type voidedCancels struct {
	node *Node
	// wake holds an element after a read in which jobs were voided.
	wake chan struct{}
}

func newVoidedCancels(n *Node) *voidedCancels {
	c := &voidedCancels{node: n, wake: make(chan struct{}, 1)}
	n.follower.OnVoided(c.notify)
	return c
}

// notify makes run look for voided jobs. It never blocks.
func (c *voidedCancels) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run stores cancellations until ctx ends.
func (c *voidedCancels) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for ids := c.node.view.Voided(maxVoidedWrites); len(ids) > 0 && ctx.Err() == nil; ids = c.node.view.Voided(maxVoidedWrites) {
			if !c.store(ctx, ids) {
				boottime.Sleep(ctx, voidedRetryInterval)
			}
		}
	}
}

// store stores the cancellations of the jobs and reports whether all are stored and the view shows them. Those that the view does not show
// are stored again.
func (c *voidedCancels) store(ctx context.Context, ids []workload.JobID) (complete bool) {
	ctx, cancel := context.WithTimeout(ctx, voidedWriteTimeout)
	defer cancel()
	var failed atomic.Bool
	var writes sync.WaitGroup
	for _, id := range ids {
		writes.Go(func() {
			if !c.storeOne(ctx, id) {
				failed.Store(true)
			}
		})
	}
	writes.Wait()
	err := c.node.refresh(ctx, 0, c.node.follower.Streams()...)
	return err == nil && !failed.Load()
}

// storeOne stores the cancellation of one job and reports whether it did. It logs the outcome.
func (c *voidedCancels) storeOne(ctx context.Context, id workload.JobID) (stored bool) {
	offset, err := c.node.writer.Cancel(ctx, id)
	event := c.node.Logger.Info()
	if err != nil {
		event = c.node.Logger.Warn().Err(err)
	} else {
		metrics.GetOrRegisterCounter(counterVoidedCancels, nil).Inc(1)
	}
	event.Str("job", string(id)).Bool("stored", err == nil).Int64("offset", offset).Msg("cancellation of a voided submission")
	return err == nil
}
