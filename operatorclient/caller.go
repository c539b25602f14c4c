package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// Headers and outcomes of the caller HTTP API.
const (
	headerKey        = "Idempotency-Key"
	headerTimeout    = "Request-Timeout-Ms"
	headerIdempotent = "Redwing-Idempotent"
	headerOutcome    = "Redwing-Outcome"
	headerRequestID  = "Redwing-Request-Id"

	outcomeCompleted = "completed"
	outcomeNotRun    = "not_run"
	outcomeUnknown   = "unknown"
)

// Caller calls the caller API of one gateway for a client account.
type Caller struct {
	base  string
	token string
	http  *http.Client
}

// NewCaller returns a client of the caller API at address (host:port). A call takes at most timeout.
func NewCaller(address, token string, timeout time.Duration) *Caller {
	return &Caller{base: "http://" + address, token: token, http: newHTTPClient(timeout)}
}

// ServiceRequest is one request to a service.
type ServiceRequest struct {
	Method string
	// Target is SERVICE/PATH, with an optional query.
	Target string
	Body   []byte
	// Key is the request key of a non-idempotent request; empty for none.
	Key string
	// TimeoutMS is the deadline in milliseconds; 0 for the service's.
	TimeoutMS int64
	// Idempotent declares that a POST or PATCH may run more than once.
	Idempotent bool
}

// ServiceResponse is a complete response of a service.
type ServiceResponse struct {
	Outcome   string `json:"outcome"`
	Status    int    `json:"status"`
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	Body      string `json:"body"`
}

// NewKey gets a request key.
func (c *Caller) NewKey(ctx context.Context) (string, error) {
	response, raw, err := c.send(ctx, http.MethodPost, "/v1/keys", nil, nil)
	if err != nil {
		return "", err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return "", responseError(response.StatusCode, raw)
	}
	var body struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || body.Key == "" {
		return "", errkind.New(errkind.Internal, "check that -addr is the caller address of a gateway",
			"answer of status %d without a key", response.StatusCode)
	}
	return body.Key, nil
}

// Send sends a request to a service. An outcome other than completed gives an error; of kind errkind.Unknown if the
// request may have run.
func (c *Caller) Send(ctx context.Context, request ServiceRequest) (ServiceResponse, error) {
	header := http.Header{}
	if request.Key != "" {
		header.Set(headerKey, request.Key)
	}
	if request.TimeoutMS > 0 {
		header.Set(headerTimeout, strconv.FormatInt(request.TimeoutMS, 10))
	}
	if request.Idempotent {
		header.Set(headerIdempotent, "true")
	}
	path := "/v1/services/" + strings.TrimPrefix(request.Target, "/")
	response, raw, err := c.send(ctx, request.Method, path, header, request.Body)
	if err != nil {
		return ServiceResponse{Outcome: outcomeOf(err), Key: request.Key}, err
	}
	result := ServiceResponse{
		Outcome:   response.Header.Get(headerOutcome),
		Status:    response.StatusCode,
		RequestID: response.Header.Get(headerRequestID),
		Key:       response.Header.Get(headerKey),
		Body:      string(raw),
	}
	if result.Key == "" {
		result.Key = request.Key
	}
	if result.Outcome == outcomeCompleted {
		return result, nil
	}
	return result, outcomeError(result, raw)
}

// outcomeOf returns the outcome of a request without a response.
func outcomeOf(err error) string {
	if errkind.Is(err, errkind.Unknown) {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// outcomeError returns the typed error of a request that was not completed. An unknown outcome decides the kind, so that
// a script cannot take it for one that did not run.
func outcomeError(r ServiceResponse, raw []byte) error {
	err := responseError(r.Status, raw)
	if r.Outcome == outcomeNotRun || errkind.Is(err, errkind.Unknown) {
		return err
	}
	typed := errkind.As(err)
	return errkind.New(errkind.Unknown, typed.Remedy, "%s", typed.Message)
}

// send sends one request and reads the whole response.
func (c *Caller) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.BadInput, "check -addr, the method and the path", "request %s %s",
			method, path)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	const settle = "send it again with the same key; without a key it may run twice"
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, transportError(err, settle, "%s %s", method, c.base+path)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, transportError(err, settle, "response to %s %s", method, c.base+path)
	}
	return response, raw, nil
}
