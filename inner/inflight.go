package inner

import "sync"

// inflight counts the requests in progress. Unlike a sync.WaitGroup, it may count new requests while another goroutine
// waits for the count to become zero. The zero value is ready to use.
type inflight struct {
	mu sync.Mutex
	// count is guarded by mu.
	count int
	// zero is closed when count becomes zero; nil if nobody waits. It is guarded by mu.
	zero chan struct{}
}

// begin counts a new request.
func (f *inflight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// end records that a request has ended.
func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.zero != nil {
		close(f.zero)
		f.zero = nil
	}
}

// idle returns a channel that is closed as soon as no request is in progress.
func (f *inflight) idle() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if f.zero == nil {
		f.zero = make(chan struct{})
	}
	return f.zero
}
