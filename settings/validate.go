package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
)

// checker validates decoded values and collects their faults.
type checker struct {
	faults []Fault
}

func (c *checker) add(key, remedy, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "set it", "is missing or empty")
	}
}

// identifier checks an id, which becomes part of request keys and stream names.
func (c *checker) identifier(key, value string) {
	if value == "" {
		c.required(key, value)
		return
	}
	for _, r := range value {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-_", r) {
			c.add(key, "use lower-case letters, digits, - and _", "has the value %q", value)
			return
		}
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(key, "use one of: "+strings.Join(allowed, ", "), "has the value %q", value)
	}
}

// inRange checks that value is between low and high, both included.
func (c *checker) inRange(key string, value, low, high int64) {
	if value < low || value > high {
		c.add(key, fmt.Sprintf("use %d to %d", low, high), "has the value %d", value)
	}
}

// listenAddress checks an address to listen on. Port 0 lets the operating system choose a port.
func (c *checker) listenAddress(key, value string) {
	if value == "" {
		c.required(key, value)
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "write an IP address and a port, such as 10.0.0.1:7000", "has the value %q", value)
	}
}

// peerAddress checks an address that peers connect to, which must therefore name one interface and one port.
func (c *checker) peerAddress(key, value string) {
	if value == "" {
		c.required(key, value)
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		c.add(key, "write an IP address and a port that peers can reach, such as 10.0.0.1:7000",
			"has the value %q", value)
	}
}

func (c *checker) baseURL(key, value string) {
	if value == "" {
		c.required(key, value)
		return
	}
	u, err := url.Parse(value)
	if err == nil && u.Scheme == "http" && (u.Path == "" || u.Path == "/") && u.RawQuery == "" {
		if _, err := netip.ParseAddrPort(u.Host); err == nil {
			return
		}
	}
	c.add(key, "write a URL with an IP address and a port, such as http://10.0.0.5:8100", "has the value %q", value)
}

// Bounds of settings. Times are in milliseconds.
const (
	// minRetentionMS is three times the snapshot interval of a job stream, so that two snapshots in a row may fail.
	minRetentionMS = 30 * 60 * 1_000
	// maxRetentionMS is one year.
	maxRetentionMS = 365 * 24 * 3_600 * 1_000
	minTimeMS      = 1
	maxTimeMS      = 24 * 60 * 60 * 1000
	maxBytes       = 1 << 30
	maxCount       = 1 << 20
	// minBodyMemory leaves room for one body of the default size.
	minBodyMemory = 1 << 20
	// minHeaderBytes leaves room for a token, a request key and a trace context.
	minHeaderBytes = 4 << 10
)

func (s *Common) check(c *checker) {
	c.identifier("failure_domain", s.FailureDomain)
	c.identifier("vm", s.VM)
	c.identifier("region", s.Region)
	c.baseURL("platform.log_url", s.Platform.LogURL)
	c.baseURL("platform.vm_list_url", s.Platform.VMListURL)
	c.inRange("platform.timeout_ms", s.Platform.TimeoutMS, minTimeMS, 60_000)
	c.inRange("platform.retention_ms", s.Platform.RetentionMS, minRetentionMS, maxRetentionMS)
	s.checkPeers(c)
	c.required("tls.certificate", s.TLS.Certificate)
	c.required("tls.key", s.TLS.Key)
	c.required("tls.ca", s.TLS.CA)
	c.inRange("tls.reload_ms", s.TLS.ReloadMS, 100, maxTimeMS)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("trace.exporter", s.Trace.Exporter, TraceOff, TraceStdout, TraceFile)
	if s.Trace.Exporter == TraceFile {
		c.required("trace.path", s.Trace.Path)
	}
	if s.Trace.SampleRatio < 0 || s.Trace.SampleRatio > 1 {
		c.add("trace.sample_ratio", "use 0 to 1", "has the value %v", s.Trace.SampleRatio)
	}
}

func (s *Common) checkPeers(c *checker) {
	seen := map[string]int{}
	for i, p := range s.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		c.identifier(key+".vm", p.VM)
		c.identifier(key+".failure_domain", p.FailureDomain)
		c.oneOf(key+".role", p.Role, RoleGateway, RoleScheduler)
		c.peerAddress(key+".inner", p.Inner)
		id := p.VM + "/" + p.Role
		if first, ok := seen[id]; ok {
			c.add(key, "remove one of them", "names the same VM and role as peers[%d]", first)
			continue
		}
		seen[id] = i
	}
}

// distinctAddresses checks that the TCP listeners of a process, given as pairs of key and address, do not share an address.
func (c *checker) distinctAddresses(listeners ...[2]string) {
	seen := map[string]string{}
	for _, l := range listeners {
		key, address := l[0], l[1]
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, ok := seen[address]; ok {
			c.add(key, "use another port", "has the same address as %s", other)
			continue
		}
		seen[address] = key
	}
}

// faults validates the decoded settings of a gateway and returns their faults, nil if there are none.
func (s *Gateway) faults() []Fault {
	c := &checker{}
	s.Common.check(c)
	c.peerAddress("listen.inner", s.Listen.Inner)
	c.listenAddress("listen.metrics", s.Listen.Metrics)
	c.listenAddress("listen.callers", s.Listen.Callers)
	c.listenAddress("listen.operators", s.Listen.Operators)
	c.distinctAddresses([2]string{"listen.metrics", s.Listen.Metrics}, [2]string{"listen.callers", s.Listen.Callers},
		[2]string{"listen.operators", s.Listen.Operators})
	l := s.Limits
	c.inRange("limits.max_body_bytes", l.MaxBodyBytes, 1, maxBytes)
	c.inRange("limits.max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxBytes)
	c.inRange("limits.read_header_timeout_ms", l.ReadHeaderTimeoutMS, minTimeMS, maxTimeMS)
	c.inRange("limits.idle_timeout_ms", l.IdleTimeoutMS, minTimeMS, maxTimeMS)
	c.inRange("limits.max_connections", l.MaxConnections, 1, maxCount)
	c.inRange("limits.body_memory_bytes", l.BodyMemoryBytes, minBodyMemory, maxBytes)
	c.inRange("limits.queue_length", l.QueueLength, 1, maxCount)
	c.inRange("limits.stored_response_bytes", l.StoredResponseBytes, 0, maxBytes)
	c.inRange("shutdown.drain_ms", s.Shutdown.DrainMS, 0, maxTimeMS)
	c.inRange("shutdown.finish_ms", s.Shutdown.FinishMS, 0, maxTimeMS)
	if d := s.Bootstrap.OperatorTokenDigest; d != "" && !isDigest(d) {
		c.add("bootstrap.operator_token_digest", "copy the digest that redwingctl token new prints",
			"is not a lower-case hex SHA-256 digest")
	}
	return c.faults
}

// faults validates the decoded settings of a scheduler and returns their faults, nil if there are none.
func (s *Scheduler) faults() []Fault {
	c := &checker{}
	s.Common.check(c)
	c.peerAddress("listen.inner", s.Listen.Inner)
	c.listenAddress("listen.metrics", s.Listen.Metrics)
	return c.faults
}

func isDigest(value string) bool {
	raw, err := hex.DecodeString(value)
	return err == nil && len(raw) == 32 && value == strings.ToLower(value)
}
