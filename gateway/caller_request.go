package gateway

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/callerconn"
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/request"
)

// Header fields of the caller API.
const (
	headerKey        = "Idempotency-Key"
	headerTimeout    = "Request-Timeout-Ms"
	headerIdempotent = "Redwing-Idempotent"
	headerOutcome    = "Redwing-Outcome"
	headerRequestID  = "Redwing-Request-Id"
)

const servicePrefix = "/v1/services/"

// defaultMaxBody is the maximum body size, in bytes, of a service that configures none.
const defaultMaxBody = 1 << 20

// callerRequest is a request from a caller, received directly or forwarded by another gateway.
type callerRequest struct {
	// id is the request id for logs and for the endpoint.
	id      string
	account config.Account
	// service is the name of the service, config its configuration.
	service string
	config  config.Service
	method  string
	// path is the escaped path below the service, with the query. It starts with a slash.
	path string
	// header holds the fields that are sent to the endpoint; body is nil if the request has none.
	header http.Header
	body   []byte
	// deadline is the end of the timeout that the caller requested, or of the default timeout.
	deadline time.Time
	// idempotent is true if the caller sent no key and the request is idempotent by its method or by the caller's header.
	idempotent bool
	// keyText and key are the caller's key or the one that the gateway issued. keyText is empty for idempotent
	// requests.
	keyText string
	key     request.Key
	// implicitKey is true if the caller sent no key and the gateway issued one for this request, so no other request can
	// use the key yet.
	implicitKey bool
}

// newID returns a request id that is unique across gateway incarnations.
func (g *Gateway) newID() string {
	return g.idPrefix + strconv.FormatUint(g.idCount.Add(1), 36)
}

// parseTarget parses the method, key, service, path and deadline. It does not read the body.
func (g *Gateway) parseTarget(r *http.Request, s *snapshot, account config.Account, c *callerRequest) error {
	c.account = account
	c.method = r.Method
	c.keyText = r.Header.Get(headerKey)
	if c.keyText != "" {
		key, err := request.Parse(c.keyText)
		if err != nil {
			return err
		}
		c.key = key
	}
	c.idempotent = c.keyText == "" && (idempotentMethod(r.Method) || strings.EqualFold(r.Header.Get(headerIdempotent), "true"))
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	name, path, _ := strings.Cut(rest, "/")
	c.service = name
	c.path = "/" + path
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return errkind.New(errkind.BadInput, "use another method", "method %s cannot be forwarded", r.Method)
	}
	service, ok := s.doc.Services[name]
	if !ok {
		return errNoService(name)
	}
	c.config = service
	return g.parseDeadline(r, c)
}

// errNoService returns the error of a request for a service that is not configured.
func errNoService(name string) error {
	return errkind.New(errkind.NotFound, "use the name of a configured service", "service %q is not configured", name)
}

// idempotentMethod reports whether HTTP defines the method as idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// parseDeadline sets the deadline from Request-Timeout-Ms or from the default timeout.
func (g *Gateway) parseDeadline(r *http.Request, c *callerRequest) error {
	timeout := g.options.Timeout
	if text := r.Header.Get(headerTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > g.options.MaxTimeout.Milliseconds() {
			return errkind.New(errkind.BadInput, "send Request-Timeout-Ms as whole milliseconds from 1 to "+
				strconv.FormatInt(g.options.MaxTimeout.Milliseconds(), 10), "Request-Timeout-Ms is %q", text)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	c.deadline = time.Now().Add(timeout)
	return nil
}

// maxBody returns the maximum size of a buffered body of the service, in bytes.
func maxBody(s config.Service) int64 {
	if s.MaxBodyBytes <= 0 {
		return defaultMaxBody
	}
	return s.MaxBodyBytes
}

// readBody reads the request body within the size limit of the service and the limits of the listener.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *callerRequest) error {
	if r.ContentLength == 0 {
		return nil
	}
	body, err := callerconn.ReadBody(r, maxBody(c.config))
	if err != nil {
		return err
	}
	c.body = body
	w.Header().Del("Connection")
	return nil
}

// fingerprint returns the fingerprint of the method, the service, the path and the body.
func (c *callerRequest) fingerprint() request.Fingerprint {
	return request.Fingerprint{Method: c.method, Path: c.service + c.path, BodyDigest: sha256.Sum256(c.body)}
}

// notForwarded holds the header fields, in canonical form, that the gateway does not forward: hop-by-hop fields, the
// caller's token and timeout, and the trace context, which each attempt sets anew.
var notForwarded = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	headerTimeout:         true,
	"Traceparent":         true,
	"Tracestate":          true,
}

// endToEnd returns a copy of the header without the fields that the gateway does not forward: those in notForwarded,
// those that the Connection field names, and all whose names begin with "Redwing-".
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	for name, values := range from {
		if !notForwarded[name] && !strings.HasPrefix(name, "Redwing-") {
			to[name] = values
		}
	}
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return to
}
