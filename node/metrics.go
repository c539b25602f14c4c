package node

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Observe records a completed request of a caller, by method and status, and its latency in the metrics.
func (n *Node) Observe(method string, status int, took time.Duration) {
	metrics.GetOrRegisterCounter("requests."+method+"."+strconv.Itoa(status), metrics.DefaultRegistry).Inc(1)
	metrics.GetOrRegisterTimer("requests."+method+".latency", metrics.DefaultRegistry).Update(took)
}
