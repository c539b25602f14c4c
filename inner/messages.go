// Package inner implements the protocol between the system's own processes: QUIC with mutual TLS, one bidirectional
// stream for each request and its response, CBOR messages in frames of bounded length.
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

// Response is the response to a Request. Either Error or the field that matches the request is set.
type Response struct {
	Error        *errkind.Error        `cbor:"error,omitempty"`
	Heartbeat    *Heartbeat            `cbor:"heartbeat,omitempty"`
	Forward      *ForwardResponse      `cbor:"forward,omitempty"`
	FetchRecords *FetchRecordsResponse `cbor:"fetch_records,omitempty"`
	FetchState   *FetchStateResponse   `cbor:"fetch_state,omitempty"`
	JobQuery     *JobQueryResponse     `cbor:"job_query,omitempty"`
}

// Member identifies one incarnation of a daemon.
type Member struct {
	FailureDomain string `cbor:"fd" json:"failure_domain"`
	VM            string `cbor:"vm" json:"vm"`
	// Role is "gateway" or "scheduler".
	Role        string `cbor:"role" json:"role"`
	Incarnation string `cbor:"inc" json:"incarnation"`
	// Address is the host:port of the member's inner protocol listener.
	Address string `cbor:"addr" json:"address"`
}

// Heartbeat reports the sender's state to a peer. The response is the receiver's own heartbeat.
type Heartbeat struct {
	Member        Member `cbor:"member"`
	ConfigVersion uint64 `cbor:"config_version"`
	ConfigDigest  uint64 `cbor:"config_digest"`
	// ConfigNext is the offset of the first record of the configuration stream that the sender has not applied.
	ConfigNext uint64 `cbor:"config_next"`
	// HasConfig is false until the sender has a configuration.
	HasConfig bool `cbor:"has_config"`
	Ready     bool `cbor:"ready"`
	Leaving   bool `cbor:"leaving"`
	// Active reports whether the sender is a scheduler that holds the lease of its failure domain; Epoch is its epoch.
	Active bool   `cbor:"active,omitempty"`
	Epoch  uint64 `cbor:"epoch,omitempty"`
	// LeavingEndpoints lists the endpoint incarnations that a gateway knows to be leaving.
	LeavingEndpoints []EndpointIncarnation `cbor:"leaving_endpoints,omitempty"`
	// Relayed holds the last heartbeats of the live schedulers of a gateway's failure domain, for gateways of other
	// failure domains.
	Relayed []RelayedHeartbeat `cbor:"relayed,omitempty"`
}

// RelayedHeartbeat is the heartbeat of a scheduler as a gateway of its failure domain received it. It contains no
// relayed heartbeats itself.
type RelayedHeartbeat struct {
	Heartbeat Heartbeat `cbor:"beat"`
	// AgeMS is the time since the gateway received the heartbeat, in milliseconds.
	AgeMS int64 `cbor:"age_ms"`
}

// EndpointIncarnation identifies one incarnation of an endpoint.
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

// Forward asks the gateway that owns Key to run a request, or to return the stored result if the key was already used.
type Forward struct {
	Account string `cbor:"account"`
	Key     string `cbor:"key"`
	Service string `cbor:"service"`
	Method  string `cbor:"method"`
	// Path is the escaped path below the service, with the query.
	Path   string        `cbor:"path"`
	Header []HeaderField `cbor:"header"`
	Body   []byte        `cbor:"body"`
	// TimeoutMS is the time until the caller's deadline in milliseconds.
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

// FetchRecords asks for at most Limit records of the configuration stream from offset From on.
type FetchRecords struct {
	From  uint64 `cbor:"from"`
	Limit int    `cbor:"limit"`
}

// FetchRecordsResponse holds records in offset order. Oldest is the first offset that the peer retains.
type FetchRecordsResponse struct {
	Oldest  uint64         `cbor:"oldest"`
	Next    uint64         `cbor:"next"`
	Records []infra.Record `cbor:"records"`
}

// FetchState asks for the configuration state, which is the result of applying all records.
type FetchState struct{}

// FetchStateResponse holds the configuration state, encoded by package configlog. State is empty if there is none.
type FetchStateResponse struct {
	State []byte `cbor:"state"`
}

// JobQuery asks the scheduler of a failure domain for one job, or with an empty ID for all jobs that match Account and
// State.
type JobQuery struct {
	ID      string `cbor:"id,omitempty"`
	Account string `cbor:"account,omitempty"`
	State   string `cbor:"state,omitempty"`
	// Wake notifies the scheduler that a record was appended to its job stream.
	Wake bool `cbor:"wake,omitempty"`
}

// JobQueryResponse holds the matching jobs.
type JobQueryResponse struct {
	// Active reports whether the responding scheduler holds the lease; the response of a standby may be stale.
	Active bool          `cbor:"active"`
	Jobs   []jobs.Status `cbor:"jobs"`
}

// Handler handles requests of peers. Handle is called on a goroutine of its own for each request.
type Handler interface {
	Handle(ctx context.Context, from Member, req *Request) (*Response, error)
}

// Requester sends requests to peers.
type Requester interface {
	// Call sends req to the peer at address (host:port) and returns its response. After an error the peer may or may not
	// have handled the request.
	Call(ctx context.Context, address string, req *Request) (*Response, error)
}
