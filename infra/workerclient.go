package infra

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/dghubble/sling"
	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/errkind"
)

// Limits of the worker client.
const (
	// maxWorkerResponseBytes bounds the response body of a worker.
	maxWorkerResponseBytes = 4 << 20
	// workerDialTimeout bounds the TCP connect.
	workerDialTimeout = time.Second
	// workerIdleTimeout is longer than the renewal intervals, so that each worker needs only one connection.
	workerIdleTimeout = 30 * time.Second
	// workerBufferBytes is the size of each connection's read buffer and of its write buffer. It is small because
	// messages are small and there is a connection to each worker of the failure domain.
	workerBufferBytes = 2 << 10
)

// HTTPWorkers implements WorkerClient over HTTP/JSON. It is safe for concurrent use. Only its context bounds the time of
// a request; the connection of a request that ends without a response is closed and not reused.
type HTTPWorkers struct {
	client *http.Client
}

// NewHTTPWorkers returns a client that counts the bytes on its connections in registry, nil for the default one, as
// control.worker.bytes_sent and control.worker.bytes_received.
func NewHTTPWorkers(registry metrics.Registry) *HTTPWorkers {
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	transport := &http.Transport{
		DialContext:         countingDial("control.worker", workerDialTimeout, registry),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     workerIdleTimeout,
		ReadBufferSize:      workerBufferBytes,
		WriteBufferSize:     workerBufferBytes,
	}
	// A redirect would send commands to a process that is not the worker.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &HTTPWorkers{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Close closes the idle connections.
func (h *HTTPWorkers) Close() { h.client.CloseIdleConnections() }

// Commands implements WorkerClient. After an error of kind Unavailable, Unknown or TooLarge the commands may have been
// applied.
func (h *HTTPWorkers) Commands(ctx context.Context, address string, req CommandsRequest) (CommandsResponse, error) {
	var response CommandsResponse
	request, err := sling.New().Base("http://" + address).Post("/v1/commands").BodyJSON(req).Request()
	if err != nil {
		return response, errkind.Wrap(err, errkind.BadInput, "check the worker's address in the configuration",
			"build a request to worker %s", address)
	}
	opened := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { opened = !info.Reused }}
	if err := h.do(httptrace.WithClientTrace(ctx, trace), request, &response); err != nil {
		return CommandsResponse{}, err
	}
	response.NewConnection = opened
	if response.Granted && len(response.Results) != len(req.Commands) {
		return CommandsResponse{}, errkind.New(errkind.Unknown, "check the worker's version",
			"worker %s returned %d results for %d commands", address, len(response.Results), len(req.Commands))
	}
	return response, nil
}

// Inventory implements WorkerClient.
func (h *HTTPWorkers) Inventory(ctx context.Context, address string) (Inventory, error) {
	var inventory Inventory
	request, err := sling.New().Base("http://" + address).Get("/v1/inventory").Request()
	if err != nil {
		return inventory, errkind.Wrap(err, errkind.BadInput, "check the worker's address in the configuration",
			"build a request to worker %s", address)
	}
	if err := h.do(ctx, request, &inventory); err != nil {
		return Inventory{}, err
	}
	return inventory, nil
}

// do sends request and decodes the JSON body of a successful response into target.
func (h *HTTPWorkers) do(ctx context.Context, request *http.Request, target any) error {
	// An empty value omits the User-Agent header, to save bytes in every request at about 60 requests per second.
	request.Header.Set("User-Agent", "")
	response, err := h.client.Do(request.WithContext(ctx))
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "check the worker and its network",
			"worker %s did not respond", request.URL.Host)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWorkerResponseBytes+1))
	if err != nil {
		return errkind.Wrap(err, errkind.Unknown, "repeat the commands", "read the response of worker %s", request.URL.Host)
	}
	if response.StatusCode != http.StatusOK {
		return errkind.New(errkind.Unavailable, "check the worker's log", "worker %s responded with status %d",
			request.URL.Host, response.StatusCode)
	}
	if len(body) > maxWorkerResponseBytes {
		return errkind.New(errkind.TooLarge, "check the worker's inventory", "response of worker %s exceeds %d bytes",
			request.URL.Host, maxWorkerResponseBytes)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return errkind.Wrap(err, errkind.Unknown, "check the worker's version", "decode the response of worker %s",
			request.URL.Host)
	}
	return nil
}
