// Package settings reads the TOML settings files of the daemons.
//
// A settings file holds what a process must know before it can reach its peers: its location, its listeners, the
// platform's addresses, its keys and its limits. Everything that processes must agree on is in the configuration document
// instead.
//
// Units are part of the names: _ms are milliseconds, _bytes are bytes, queue_length and max_connections are counts.
// Addresses are IP addresses with a port. File names are relative to the directory of the settings file. Unknown keys
// are rejected, and all faults of a file are reported at once in a *FaultList of kind errkind.BadInput.
package settings

// Common holds the settings that both daemons have.
type Common struct {
	// FailureDomain, VM and Region name the location of the process.
	FailureDomain string `toml:"failure_domain"`
	VM            string `toml:"vm"`
	Region        string `toml:"region"`

	Platform Platform `toml:"platform"`
	// Peers is the seed list. It may name this process too, so that all VMs can share one list.
	Peers []Peer `toml:"peers"`
	TLS   TLS    `toml:"tls"`
	Log   Log    `toml:"log"`
	Trace Trace  `toml:"trace"`
}

// Gateway holds the settings of redwing-gateway.
type Gateway struct {
	Common
	Listen    GatewayListen `toml:"listen"`
	Limits    Limits        `toml:"limits"`
	Shutdown  Shutdown      `toml:"shutdown"`
	Bootstrap Bootstrap     `toml:"bootstrap"`
}

// Scheduler holds the settings of redwing-scheduler.
type Scheduler struct {
	Common
	Listen SchedulerListen `toml:"listen"`
}

// SchedulerListen holds the listeners of a scheduler.
type SchedulerListen struct {
	// Inner is the UDP address of the inner protocol. Peers reach the process at this address.
	Inner string `toml:"inner"`
	// Metrics is the TCP address of the HTTP service with /metrics and /healthz.
	Metrics string `toml:"metrics"`
}

// GatewayListen holds the listeners of a gateway.
type GatewayListen struct {
	// Inner is the UDP address of the inner protocol. Peers reach the process at this address.
	Inner string `toml:"inner"`
	// Metrics is the TCP address of the HTTP service with /metrics and /healthz.
	Metrics string `toml:"metrics"`
	// Callers is the TCP address of the caller HTTP API, with /readyz for the balancer.
	Callers string `toml:"callers"`
	// Operators is the TCP address of the operator HTTP API.
	Operators string `toml:"operators"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// LogURL and VMListURL are base URLs such as http://10.0.0.5:8100.
	LogURL    string `toml:"log_url"`
	VMListURL string `toml:"vm_list_url"`
	// TimeoutMS bounds one append to the log and one configuration request to a peer, in milliseconds.
	TimeoutMS int64 `toml:"timeout_ms"`
	// RetentionMS is the minimum time in milliseconds for which the log keeps a record. Snapshots of the state are appended
	// well before a record can expire.
	RetentionMS int64 `toml:"retention_ms"`
}

// Roles of peers.
const (
	RoleGateway   = "gateway"
	RoleScheduler = "scheduler"
)

// Peer is one entry of the seed list.
type Peer struct {
	VM            string `toml:"vm"`
	Role          string `toml:"role"`
	FailureDomain string `toml:"failure_domain"`
	// Inner is the UDP address of the peer's inner protocol listener.
	Inner string `toml:"inner"`
}

// TLS names the PEM files of the inner protocol's mutual TLS.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
	// ReloadMS is the interval in milliseconds at which the files are read again.
	ReloadMS int64 `toml:"reload_ms"`
}

// Log holds the settings of the JSON log on standard error.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `toml:"level"`
}

// Trace exporters.
const (
	TraceOff    = "off"
	TraceStdout = "stdout"
	TraceFile   = "file"
)

// Trace holds the settings of the trace exporter.
type Trace struct {
	// Exporter is TraceOff, TraceStdout or TraceFile.
	Exporter string `toml:"exporter"`
	// Path is the file to which TraceFile appends spans.
	Path string `toml:"path"`
	// SampleRatio is the share of traces that are recorded, 0 to 1.
	SampleRatio float64 `toml:"sample_ratio"`
}

// Limits bounds the resources of a gateway that callers and operators can use.
type Limits struct {
	// MaxBodyBytes bounds the body of a request to the operator API.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeaderBytes, ReadHeaderTimeoutMS and IdleTimeoutMS apply to the callers' and the operators' listeners.
	MaxHeaderBytes      int64 `toml:"max_header_bytes"`
	ReadHeaderTimeoutMS int64 `toml:"read_header_timeout_ms"`
	IdleTimeoutMS       int64 `toml:"idle_timeout_ms"`
	// MaxConnections bounds the open connections of each listener.
	MaxConnections int64 `toml:"max_connections"`
	// BodyMemoryBytes bounds the memory for the bodies of callers' requests, of all connections together.
	BodyMemoryBytes int64 `toml:"body_memory_bytes"`
	// QueueLength bounds the number of requests, of all accounts together, that wait for an endpoint.
	QueueLength int64 `toml:"queue_length"`
	// StoredResponseBytes bounds the memory for responses that are stored for repeated request keys.
	StoredResponseBytes int64 `toml:"stored_response_bytes"`
}

// Shutdown holds the time limits of a graceful shutdown.
type Shutdown struct {
	// DrainMS is the time in milliseconds between reporting not ready and rejecting new requests. It must be at least the
	// load balancer's reaction time.
	DrainMS int64 `toml:"drain_ms"`
	// FinishMS bounds the wait for accepted requests after that, in milliseconds.
	FinishMS int64 `toml:"finish_ms"`
}

// Bootstrap holds the credentials that are valid only while there is no configuration.
type Bootstrap struct {
	// OperatorTokenDigest is the lower-case hex SHA-256 digest of the token that may call /v1/config/init. Empty
	// disables the first initialisation through this gateway.
	OperatorTokenDigest string `toml:"operator_token_digest"`
}

// OtherPeers returns the seed list without the entry of this process, which has the given role.
func (c Common) OtherPeers(role string) []Peer {
	var others []Peer
	for _, p := range c.Peers {
		if p.VM == c.VM && p.Role == role {
			continue
		}
		others = append(others, p)
	}
	return others
}

func defaultCommon() Common {
	return Common{
		Region:   "default",
		Platform: Platform{TimeoutMS: 2_000, RetentionMS: 86_400_000},
		TLS:      TLS{ReloadMS: 30_000},
		Log:      Log{Level: "info"},
		Trace:    Trace{Exporter: TraceOff, SampleRatio: 0.01},
	}
}

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		Common: defaultCommon(),
		Limits: Limits{
			MaxBodyBytes:        1 << 20,
			MaxHeaderBytes:      32 << 10,
			ReadHeaderTimeoutMS: 5_000,
			IdleTimeoutMS:       60_000,
			MaxConnections:      1_024,
			BodyMemoryBytes:     32 << 20,
			QueueLength:         1_024,
			StoredResponseBytes: 16 << 20,
		},
		Shutdown: Shutdown{DrainMS: 2_000, FinishMS: 30_000},
	}
}

// DefaultScheduler returns the default settings of a scheduler.
func DefaultScheduler() Scheduler {
	return Scheduler{Common: defaultCommon()}
}
