// Package inner is the protocol between the system's own processes: QUIC with mutual TLS, one bidirectional stream for
// each exchange, CBOR frames of bounded length.
package inner

import (
	"context"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/jobs"
)

// Request is one message from a process to a peer. Exactly one of the pointer fields is set.
type Request struct {
	// TraceContext holds the W3C traceparent and tracestate headers.
	TraceContext map[string]string `cbor:"trace,omitempty"`
	Heartbeat    *Heartbeat        `cbor:"heartbeat,omitempty"`
	Forward      *Forward          `cbor:"forward,omitempty"`
	FetchRecords *FetchRecords     `cbor:"fetch_records,omitempty"`
	FetchState   *FetchState       `cbor:"fetch_state,omitempty"`
	JobQuery     *JobQuery         `cbor:"job_query,omitempty"`
}

// Response is the answer to a Request. Either Error or the field that matches the request is set.
type Response struct {
	Error        *errkind.Error        `cbor:"error,omitempty"`
	Heartbeat    *Heartbeat            `cbor:"heartbeat,omitempty"`
	Forward      *ForwardResponse      `cbor:"forward,omitempty"`
	FetchRecords *FetchRecordsResponse `cbor:"fetch_records,omitempty"`
	FetchState   *FetchStateResponse   `cbor:"fetch_state,omitempty"`
	JobQuery     *JobQueryResponse     `cbor:"job_query,omitempty"`
}

// Member names one incarnation of a daemon.
type Member struct {
	FailureDomain string `cbor:"fd" json:"failure_domain"`
	VM            string `cbor:"vm" json:"vm"`
	// Role is "gateway" or "scheduler".
	Role        string `cbor:"role" json:"role"`
	Incarnation string `cbor:"inc" json:"incarnation"`
	// Address is the host:port of the member's inner protocol listener.
	Address string `cbor:"addr" json:"address"`
}

// Heartbeat tells a peer the sender's state. The answer is the receiver's own heartbeat.
type Heartbeat struct {
	Member        Member `cbor:"member"`
	ConfigVersion uint64 `cbor:"config_version"`
	ConfigDigest  uint64 `cbor:"config_digest"`
	// ConfigNext is the offset of the configuration stream up to which the sender has folded.
	ConfigNext uint64 `cbor:"config_next"`
	// HasConfig is false until the sender has a configuration.
	HasConfig bool `cbor:"has_config"`
	Ready     bool `cbor:"ready"`
	Leaving   bool `cbor:"leaving"`
	// Active reports whether a scheduler holds the lease of its failure domain, at Epoch.
	Active bool   `cbor:"active,omitempty"`
	Epoch  uint64 `cbor:"epoch,omitempty"`
	// LeavingEndpoints lists endpoint incarnations that became leaving since the last heartbeat to this peer.
	LeavingEndpoints []EndpointIncarnation `cbor:"leaving_endpoints,omitempty"`
	// Relayed holds what a gateway knows of the schedulers of its failure domain, for gateways of other ones.
	Relayed []RelayedHeartbeat `cbor:"relayed,omitempty"`
}

// RelayedHeartbeat is the heartbeat of a scheduler as its gateway received it. It relays nothing itself.
type RelayedHeartbeat struct {
	Heartbeat Heartbeat `cbor:"beat"`
	// AgeMS is the time since the gateway received it, in milliseconds.
	AgeMS int64 `cbor:"age_ms"`
}

// EndpointIncarnation names one incarnation of an endpoint.
type EndpointIncarnation struct {
	Service     string `cbor:"service"`
	Endpoint    string `cbor:"endpoint"`
	Incarnation string `cbor:"incarnation"`
}

// HeaderField is one HTTP header with its values.
type HeaderField struct {
	Name   string   `cbor:"n"`
	Values []string `cbor:"v"`
}

// Forward asks the owner of Key to run a request, or to give the stored result if the key was used.
type Forward struct {
	Account string `cbor:"account"`
	Key     string `cbor:"key"`
	Service string `cbor:"service"`
	Method  string `cbor:"method"`
	// Path is the escaped path below the service, with the query.
	Path   string        `cbor:"path"`
	Header []HeaderField `cbor:"header"`
	Body   []byte        `cbor:"body"`
	// TimeoutMS is the rest of the caller's deadline in milliseconds.
	TimeoutMS int64 `cbor:"timeout_ms"`
	// RequestID is the id under which the first gateway logs the request.
	RequestID string `cbor:"request_id"`
}

// ForwardResponse is the result of a forwarded request.
type ForwardResponse struct {
	// Outcome is "completed", "not_run" or "unknown".
	Outcome string        `cbor:"outcome"`
	Status  int           `cbor:"status"`
	Header  []HeaderField `cbor:"header"`
	Body    []byte        `cbor:"body"`
	// Error is set if the outcome is not "completed".
	Error *errkind.Error `cbor:"error,omitempty"`
}

// FetchRecords asks for records of the configuration stream from an offset.
type FetchRecords struct {
	From  uint64 `cbor:"from"`
	Limit int    `cbor:"limit"`
}

// FetchRecordsResponse holds retained records in offset order. Oldest is the first offset that the peer holds.
type FetchRecordsResponse struct {
	Oldest  uint64         `cbor:"oldest"`
	Next    uint64         `cbor:"next"`
	Records []infra.Record `cbor:"records"`
}

// FetchState asks for the folded configuration.
type FetchState struct{}

// FetchStateResponse holds the folded configuration, encoded by package configlog; State is empty if there is none.
type FetchStateResponse struct {
	State []byte `cbor:"state"`
}

// JobQuery asks the scheduler of a failure domain about jobs. An empty ID lists.
type JobQuery struct {
	ID      string `cbor:"id,omitempty"`
	Account string `cbor:"account,omitempty"`
	State   string `cbor:"state,omitempty"`
	// Wake tells the scheduler that a record was appended to its job stream.
	Wake bool `cbor:"wake,omitempty"`
}

// JobQueryResponse holds the matching jobs.
type JobQueryResponse struct {
	// Active reports whether the answering scheduler holds the lease; a standby's answer may be stale.
	Active bool          `cbor:"active"`
	Jobs   []jobs.Status `cbor:"jobs"`
}

// Handler answers requests of peers. It is called on one goroutine for each exchange.
type Handler interface {
	Handle(ctx context.Context, from Member, req *Request) (*Response, error)
}

// Caller sends a request to the peer at address. After an error the peer may or may not have handled the request.
type Caller interface {
	Call(ctx context.Context, address string, req *Request) (*Response, error)
}
