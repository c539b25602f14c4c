package gateway

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/endpoint"
)

// pathCost is the measured cost of requests on one path: directly to the endpoint or through the gateway.
type pathCost struct {
	p50, p99  time.Duration
	perSecond float64
	allocs    float64
}

// measure sends n requests sequentially for the latency and the allocations, then n from 16 concurrent callers for the
// throughput.
func measure(b *testing.B, client *http.Client, url string, n int) (m pathCost) {
	body := bytes.Repeat([]byte("b"), 200)
	send := func() {
		r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+tokenOf("orders"))
		r.Header.Set(headerRequestID, "direct")
		response, err := client.Do(r)
		if err != nil {
			b.Error(err)
			return
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Errorf("status %d, %v", response.StatusCode, err)
		}
	}
	for range 50 {
		send()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	took := make([]time.Duration, n)
	for i := range took {
		start := time.Now()
		send()
		took[i] = time.Since(start)
	}
	runtime.ReadMemStats(&after)
	slices.Sort(took)
	m.p50, m.p99 = took[n/2], took[n*99/100]
	m.allocs = float64(after.Mallocs-before.Mallocs) / float64(n)
	start := time.Now()
	var all sync.WaitGroup
	for range 16 {
		all.Go(func() {
			for range n / 16 {
				send()
			}
		})
	}
	all.Wait()
	m.perSecond = float64(n/16*16) / time.Since(start).Seconds()
	return m
}

// BenchmarkHop compares requests through the gateway with requests sent directly to the same endpoint, in one run over
// loopback. Callers, gateway and endpoint share the process, so the allocations of the gateway are the difference
// between both paths.
func BenchmarkHop(b *testing.B) {
	g, front := serveLoopback(b, ListenerLimits{}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		h := w.Header()
		h.Set(endpoint.HeaderInflight, "1")
		h.Set(endpoint.HeaderIncarnation, "i")
		respondWith(w, r, string(body), len(body))
	})
	address := g.snapshot.Load().doc.Services["scan"].Endpoints["e"].Address
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	const n = 4000
	for b.Loop() {
		direct := measure(b, client, "http://"+address+"/work", n)
		viaGateway := measure(b, client, front+"/v1/services/scan/work", n)
		b.ReportMetric(float64(direct.p50.Microseconds()), "direct-p50-µs")
		b.ReportMetric(float64(viaGateway.p50.Microseconds()), "gateway-p50-µs")
		b.ReportMetric(float64(viaGateway.p50)/float64(direct.p50), "p50-ratio")
		b.ReportMetric(float64(viaGateway.p99)/float64(direct.p99), "p99-ratio")
		b.ReportMetric(viaGateway.perSecond/direct.perSecond, "throughput-ratio")
		b.ReportMetric(viaGateway.perSecond, "gateway-req/s")
		b.ReportMetric(viaGateway.allocs-direct.allocs, "gateway-allocs/request")
	}
}
