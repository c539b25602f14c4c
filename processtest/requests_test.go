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

// balancer sends requests to the gateways that were ready at its last look.
type balancer struct {
	s    *system
	next atomic.Uint64

	mu sync.Mutex
	// ready is guarded by mu.
	ready []*vm
}

// follow looks at every gateway until ctx ends. A look may take reactionTime together with its pause.
func (b *balancer) follow(ctx context.Context) {
	client := &http.Client{Timeout: reactionTime / 4}
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
		time.Sleep(reactionTime / 10)
	}
}

func (b *balancer) pick() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}

// runsOf returns how often each path ran on all endpoints together.
func (s *system) runsOf() map[string]int {
	runs := make(map[string]int)
	for _, endpoint := range s.set.Endpoints {
		for _, run := range endpoint.Runs() {
			runs[run.Path] += run.Count
		}
	}
	return runs
}

// load sends orders through the balancer until ctx ends and returns the paths that completed and the failures.
func (s *system) load(ctx context.Context, b *balancer, workers int) (completed []string, failures []error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				path := fmt.Sprintf("/order/%d/%d", w, i)
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

// TestRollingReplacementCutsNothing guards against a planned stop that cuts or repeats an order, while all 6 entry VMs
// are replaced one after another under load.
func TestRollingReplacementCutsNothing(t *testing.T) {
	s := startSystem(t)
	ctx, cancel := context.WithCancel(t.Context())
	b := &balancer{s: s}
	go b.follow(ctx)
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
			s.stop(v.scheduler)
			s.stop(v.gateway)
			s.startGateway(v)
			s.startScheduler(v)
			// The next VM follows when this one is ready, as in a rolling upgrade.
			for range 500 {
				if s.healthy(v) == nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		cancel()
	}()
	completed, failures := s.load(ctx, b, 8)
	<-replaced
	for _, err := range failures {
		t.Errorf("cut or refused: %v", err)
	}
	runs := s.runsOf()
	for _, path := range completed {
		if runs[path] != 1 {
			t.Errorf("%s completed and ran %d times", path, runs[path])
		}
	}
	for path, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
	if len(completed) < 100 {
		t.Errorf("only %d orders completed", len(completed))
	}
	for _, line := range s.violations() {
		t.Error(line)
	}
	t.Logf("%d orders completed, %d cut, during the replacement of 6 VMs", len(completed), len(failures))
}

// TestFrozenGatewayRunsKeysOnce guards against an order that runs twice when its gateway freezes with SIGSTOP, the
// caller repeats it at other gateways, and the gateway resumes.
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
	var first sync.WaitGroup
	for i := range keys {
		first.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			send(frozen, i)
		})
	}
	time.Sleep(100 * time.Millisecond)
	frozen.gateway.Process.Signal(syscall.SIGSTOP)
	notRun := 0
	for i := range keys {
		err := send(other, i)
		if err == nil {
			t.Errorf("order %d completed at another gateway while its owner was frozen", i)
		}
		if !errkind.Is(err, errkind.Unknown) {
			notRun++
		}
	}
	frozen.gateway.Process.Signal(syscall.SIGCONT)
	first.Wait()
	for i := range keys {
		s.waitFor(fmt.Sprintf("order %d", i), 10*time.Second, func() error {
			if err := send(other, i); err != nil && !errkind.Is(err, errkind.Unknown) {
				return err
			}
			return nil
		})
	}
	for path, n := range s.runsOf() {
		if n > 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
	if notRun > 0 {
		t.Errorf("%d orders were refused as not run by a gateway that does not own their keys", notRun)
	}
	for _, line := range s.violations() {
		t.Error(line)
	}
}
