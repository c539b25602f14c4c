package inner

import (
	"sync"
	"testing"
	"time"
)

// TestInflight guards against a wait that ends while a request is in progress, that never ends, or that races with requests
// which begin meanwhile.
func TestInflight(t *testing.T) {
	var requests inflight
	select {
	case <-requests.idle():
	default:
		t.Error("not idle before the first request")
	}
	requests.begin()
	idle := requests.idle()
	var others sync.WaitGroup
	for range 50 {
		others.Go(func() {
			requests.begin()
			requests.end()
		})
	}
	others.Wait()
	select {
	case <-idle:
		t.Fatal("idle while a request is in progress")
	default:
	}
	requests.end()
	select {
	case <-idle:
	case <-time.After(time.Second):
		t.Error("not idle after the last request has ended")
	}
}
