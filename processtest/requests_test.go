package processtest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorclient"
)

// balancer simulates a load balancer. It chooses among the gateways that were ready when it last polled them.
type balancer struct {
	s    *system
	next atomic.Uint64

	mu sync.Mutex
	// ready is guarded by mu.
	ready []*vm
}

// pollReadiness polls the readiness of all gateways until ctx ends. One round with its pause may take
// balancerReactionTime.
func (b *balancer) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: balancerReactionTime / 4}
	for ctx.Err() == nil {
		var ready []*vm
		for _, v := range b.s.vms {
			resp, err := client.Get("http://" + v.callers + "/readyz")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready = append(ready, v)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(balancerReactionTime / 10)
	}
}

// pick returns the next ready gateway in turn; nil if none is ready.
func (b *balancer) pick() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}

// runsByPath returns how often each path ran, summed over all endpoints.
func (s *system) runsByPath() map[string]int {
	runs := make(map[string]int)
	for _, endpoint := range s.standins.Endpoints {
		for _, run := range endpoint.Runs() {
			runs[run.Path] += run.Count
		}
	}
	return runs
}

// sendOrders sends orders from concurrent callers through the balancer until ctx ends. It returns the paths of the
// completed orders and the errors of the others.
func (s *system) sendOrders(ctx context.Context, b *balancer, callers int) (completed []string, failures []error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				path := fmt.Sprintf("/order/%d/%d", c, i)
				err := s.sendOrder(b, path)
				mu.Lock()
				if err == nil {
					completed = append(completed, path)
				} else {
					failures = append(failures, fmt.Errorf("%s: %w", path, err))
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return completed, failures
}

func (s *system) sendOrder(b *balancer, path string) error {
	target := b.pick()
	if target == nil {
		return errors.New("no gateway is ready")
	}
	_, err := s.caller(target).Send(context.Background(), operatorclient.ServiceRequest{Method: http.MethodPost,
		Target: "orders" + path, Body: []byte(`{"bags":40}`)})
	if err != nil {
		return fmt.Errorf("%s: %w", target.name, err)
	}
	return nil
}

// TestRollingReplacementCutsNothing guards against a graceful shutdown that drops or repeats an order. All 6 entry VMs
// are replaced one after another under load.
func TestRollingReplacementCutsNothing(t *testing.T) {
	s := startSystem(t)
	ctx, cancel := context.WithCancel(t.Context())
	b := &balancer{s: s}
	go b.pollReadiness(ctx)
	s.waitFor("ready gateways", 5*time.Second, func() error {
		if b.pick() == nil {
			return errors.New("none")
		}
		return nil
	})
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		for _, v := range s.vms {
			s.stopGracefully(v.scheduler)
			s.stopGracefully(v.gateway)
			s.startGateway(v)
			s.startScheduler(v)
			// As in a rolling upgrade, the next VM is replaced once this one is ready.
			for range 500 {
				if s.checkHealthy(v) == nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		cancel()
	}()
	completed, failures := s.sendOrders(ctx, b, 8)
	<-replaced
	for _, err := range failures {
		t.Errorf("order failed during the replacement: %v", err)
	}
	runs := s.runsByPath()
	for _, path := range completed {
		if runs[path] != 1 {
			t.Errorf("%s completed but ran %d times", path, runs[path])
		}
	}
	for path, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
	if len(completed) < 100 {
		t.Errorf("only %d orders completed, want 100 or more", len(completed))
	}
	for _, line := range s.violations() {
		t.Error(line)
	}
	t.Logf("%d orders completed and %d failed during the replacement of 6 VMs", len(completed), len(failures))
}

// TestFrozenGatewayRunsKeysOnce guards against an order that runs twice: the gateway that owns its key is frozen with
// SIGSTOP, the caller repeats the order at another gateway, and the frozen gateway resumes.
func TestFrozenGatewayRunsKeysOnce(t *testing.T) {
	s := startSystem(t)
	frozen, other := s.vms[0], s.vms[2]
	const orders = 20
	keys := make([]string, orders)
	for i := range keys {
		key, err := s.caller(frozen).NewKey(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		keys[i] = key
	}
	send := func(v *vm, i int) error {
		_, err := s.caller(v).Send(t.Context(), operatorclient.ServiceRequest{Method: http.MethodPost,
			Target: fmt.Sprintf("orders/frozen/%d", i), Key: keys[i], TimeoutMS: 1_500})
		return err
	}
	var frozenSends sync.WaitGroup
	for i := range keys {
		frozenSends.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			send(frozen, i)
		})
	}
	time.Sleep(100 * time.Millisecond)
	stopProcess(t, frozen.gateway.Process)
	notUnknown := 0
	for i := range keys {
		err := send(other, i)
		if err == nil {
			t.Errorf("order %d completed at another gateway while the gateway that owns its key was frozen", i)
		}
		if !errkind.Is(err, errkind.Unknown) {
			notUnknown++
		}
	}
	frozen.gateway.Process.Signal(syscall.SIGCONT)
	frozenSends.Wait()
	for i := range keys {
		s.waitFor(fmt.Sprintf("order %d", i), 10*time.Second, func() error {
			if err := send(other, i); err != nil && !errkind.Is(err, errkind.Unknown) {
				return err
			}
			return nil
		})
	}
	for path, n := range s.runsByPath() {
		if n > 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
	if notUnknown > 0 {
		t.Errorf("%d orders did not get the outcome unknown from a gateway that does not own their keys", notUnknown)
	}
	for _, line := range s.violations() {
		t.Error(line)
	}
}
