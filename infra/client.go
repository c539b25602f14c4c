package infra

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/redwingthread/redwingthread/errkind"
)

// Limits of the HTTP clients.
const (
	// maxResponseBytes bounds a response body. A read of 256 records of 256 KB, encoded in base64, is smaller.
	maxResponseBytes = 96 << 20
	// dialTimeout bounds the TCP connect, and the TLS handshake separately.
	dialTimeout = 2 * time.Second
	// idleTimeout closes unused connections before a middlebox drops its state for them.
	idleTimeout = 30 * time.Second
	// maxConnections bounds the connections to one service.
	maxConnections = 16
)

// tracer creates the spans of this package. They are dropped unless the daemon installs an exporter.
var tracer = otel.Tracer("github.com/redwingthread/redwingthread/infra")

// service sends requests to one of the platform's HTTP services.
type service struct {
	name      string
	sling     *sling.Sling
	transport *http.Transport
}

// newService returns a client of the service at baseURL, for example "http://10.0.0.1:7000". It counts the bytes on its
// connections as platform.METRICNAME.bytes_sent and platform.METRICNAME.bytes_received. An unusable URL is a BadInput
// error.
func newService(name, metricName, baseURL string) (*service, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return nil, errkind.New(errkind.BadInput, "give a URL like http://10.0.0.1:7000", "%s has unusable URL %q", name, baseURL)
	}
	transport := &http.Transport{
		DialContext:         countingDial("platform."+metricName, dialTimeout, nil),
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
	}
	client := &http.Client{Transport: &boundedTransport{transport}}
	base := sling.New().Client(client).Base(strings.TrimSuffix(baseURL, "/") + "/")
	return &service{name: name, sling: base, transport: transport}, nil
}

// boundedTransport truncates response bodies to maxResponseBytes.
type boundedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(resp.Body, maxResponseBytes), resp.Body}
	return resp, nil
}

// errNotModified reports that the content that a conditional request asks for has not changed.
var errNotModified = errors.New("content has not changed")

// do sends request and decodes a 2xx response into success. An error status gives an error of the kind that fits it. If
// there is no response or it cannot be decoded, the error is Unavailable and the request may have been executed.
func (s *service) do(ctx context.Context, request *sling.Sling, success any) error {
	_, err := s.doWithHeader(ctx, request, success)
	return err
}

// doWithHeader is like do and also returns the header of a 2xx response.
func (s *service) doWithHeader(ctx context.Context, request *sling.Sling, success any) (http.Header, error) {
	req, err := request.Request()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadInput, "correct the request", "build a request to %s", s.name)
	}
	ctx, span := tracer.Start(ctx, s.name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	var errorBody errkind.Error
	resp, err := request.Do(req.WithContext(ctx), success, &errorBody)
	if resp != nil && resp.StatusCode == http.StatusNotModified {
		return nil, errNotModified
	}
	if resp != nil && resp.StatusCode/100 != 2 {
		return nil, s.statusError(resp.StatusCode, errorBody)
	}
	if err != nil {
		// An unresponsive connection must not be reused for the next request.
		s.transport.CloseIdleConnections()
		return nil, errkind.Wrap(err, errkind.Unavailable, "the request is retried; check that the service is reachable",
			"%s did not respond", s.name)
	}
	return resp.Header, nil
}

// statusError converts an error status, with the decoded error body, into a typed error.
func (s *service) statusError(status int, errorBody errkind.Error) error {
	kind := errkind.Unavailable
	switch status {
	case http.StatusBadRequest:
		kind = errkind.BadInput
	case http.StatusNotFound:
		kind = errkind.NotFound
	case http.StatusRequestEntityTooLarge:
		kind = errkind.TooLarge
	case http.StatusTooManyRequests:
		kind = errkind.Overloaded
	}
	remedy := errorBody.Remedy
	if remedy == "" {
		remedy = "check the service and try again"
	}
	return errkind.New(kind, remedy, "%s responded with status %d: %s", s.name, status, errorBody.Message)
}

// LogClient implements Log over HTTP.
type LogClient struct{ service *service }

// NewLogClient returns a client of the log service at baseURL. An unusable URL is a BadInput error.
func NewLogClient(baseURL string) (*LogClient, error) {
	s, err := newService("log service", "log", baseURL)
	if err != nil {
		return nil, err
	}
	return &LogClient{service: s}, nil
}

func streamPath(stream string) string {
	return fmt.Sprintf("v1/streams/%s/records", url.PathEscape(stream))
}

// Append implements Log.
func (c *LogClient) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	var resp AppendResponse
	request := c.service.sling.New().Post(streamPath(stream)).BodyJSON(AppendRequest{Records: records})
	err := c.service.do(ctx, request, &resp)
	return resp.FirstOffset, err
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	From   uint64 `url:"from"`
	Limit  int    `url:"limit"`
	WaitMS int    `url:"wait_ms"`
}

// Read implements Log. It rejects a response whose records are not contiguous.
func (c *LogClient) Read(ctx context.Context, stream string, from uint64, limit, waitMS int) (ReadResponse, error) {
	var resp ReadResponse
	request := c.service.sling.New().Get(streamPath(stream)).QueryStruct(readQuery{from, limit, waitMS})
	if err := c.service.do(ctx, request, &resp); err != nil {
		return ReadResponse{}, err
	}
	if err := checkRead(from, resp); err != nil {
		return ReadResponse{}, err
	}
	return resp, nil
}

// checkRead detects a response that belongs to another read or is inconsistent.
func checkRead(from uint64, resp ReadResponse) error {
	expected := max(from, resp.Oldest)
	for _, r := range resp.Records {
		if r.Offset != expected || r.Offset >= resp.Next {
			return errkind.New(errkind.Unavailable, "the read is retried",
				"log returned record %d instead of %d, next %d", r.Offset, expected, resp.Next)
		}
		expected++
	}
	if resp.Oldest > resp.Next {
		return errkind.New(errkind.Unavailable, "the read is retried", "log returned oldest offset %d above next offset %d", resp.Oldest, resp.Next)
	}
	return nil
}

// VMListClient implements VMList over HTTP. It is safe for concurrent use.
//
// The list contains every VM of the platform and changes rarely, so a read is conditional on the entity tag (RFC 9110)
// of the last list. A service that sends no tag transfers the full list on each read.
type VMListClient struct {
	service *service

	mu sync.Mutex
	// tag is the entity tag of vms; empty if there is none. Both are guarded by mu.
	tag string
	vms []VM
}

// NewVMListClient returns a client of the VM list at baseURL. An unusable URL is a BadInput error.
func NewVMListClient(baseURL string) (*VMListClient, error) {
	s, err := newService("VM list", "vm_list", baseURL)
	if err != nil {
		return nil, err
	}
	return &VMListClient{service: s}, nil
}

// VMs implements VMList. It omits entries that cannot be used. The list must not be modified, since later calls may return
// it again.
func (c *VMListClient) VMs(ctx context.Context) ([]VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.service.sling.New().Get("v1/vms").ResponseDecoder(vmListDecoder{})
	if c.tag != "" {
		request.Set("If-None-Match", c.tag)
	}
	var resp VMListResponse
	header, err := c.service.doWithHeader(ctx, request, &resp)
	if errors.Is(err, errNotModified) {
		return c.vms, nil
	}
	if err != nil {
		return nil, err
	}
	c.vms, c.tag = resp.VMs, header.Get("ETag")
	return c.vms, nil
}
