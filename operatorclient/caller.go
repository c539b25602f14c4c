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

// CallerClient is a client of the caller API of one gateway. It sends requests on behalf of a client account.
type CallerClient struct {
	base  string
	token string
	http  *http.Client
}

// NewCallerClient returns a client of the caller API at address (host:port). Each request is limited to timeout.
func NewCallerClient(address, token string, timeout time.Duration) *CallerClient {
	return &CallerClient{base: "http://" + address, token: token, http: newHTTPClient(timeout)}
}

// ServiceRequest is one request to a service.
type ServiceRequest struct {
	Method string
	// Target is SERVICE/PATH, with an optional query.
	Target string
	Body   []byte
	// Key is the request key of a non-idempotent request; empty for none.
	Key string
	// TimeoutMS is the timeout in milliseconds; 0 selects the default of the service.
	TimeoutMS int64
	// Idempotent declares that a POST or PATCH may run more than once.
	Idempotent bool
}

// ServiceResponse is the response to a ServiceRequest. Without a response from the gateway only Outcome and Key are set.
type ServiceResponse struct {
	Outcome   string `json:"outcome"`
	Status    int    `json:"status"`
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	Body      string `json:"body"`
}

// NewKey requests a new request key from the gateway.
func (c *CallerClient) NewKey(ctx context.Context) (string, error) {
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
			"response with status %d has no request key", response.StatusCode)
	}
	return body.Key, nil
}

// Send sends a request to a service. It returns an error for any outcome other than completed; the error has kind
// errkind.Unknown if the request may have run. The response is returned with an error, too.
func (c *CallerClient) Send(ctx context.Context, request ServiceRequest) (ServiceResponse, error) {
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
		return ServiceResponse{Outcome: outcomeWithoutResponse(err), Key: request.Key}, err
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

// outcomeWithoutResponse returns the outcome of a request that got no response.
func outcomeWithoutResponse(err error) string {
	if errkind.Is(err, errkind.Unknown) {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// outcomeError returns the typed error of a request that was not completed. Unless the outcome is not_run, the error has
// kind errkind.Unknown whatever kind the response names, so that a script does not take the request for one that did not
// run.
func outcomeError(r ServiceResponse, raw []byte) error {
	err := responseError(r.Status, raw)
	if r.Outcome == outcomeNotRun || errkind.Is(err, errkind.Unknown) {
		return err
	}
	typed := errkind.As(err)
	return errkind.New(errkind.Unknown, typed.Remedy, "%s", typed.Message)
}

// send sends one request and returns the response and its body, of which it reads at most maxResponseBytes.
func (c *CallerClient) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.BadInput, "check -addr, the method and the path", "request %s %s",
			method, path)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	const unknownRemedy = "send it again with the same key; without a key it may run twice"
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, transportError(err, unknownRemedy, "%s %s", method, c.base+path)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, transportError(err, unknownRemedy, "response to %s %s", method, c.base+path)
	}
	return response, raw, nil
}
