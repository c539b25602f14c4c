package infra

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/errkind"
)

// Limits of the worker client.
const (
	// maxWorkerBody bounds the answer of a worker in bytes.
	maxWorkerBody = 4 << 20
	// workerDialTimeout bounds the connection set-up.
	workerDialTimeout = time.Second
	// workerIdle is longer than the renewal intervals, so that each worker needs one connection.
	workerIdle = 30 * time.Second
	// workerBuffer is the size of each connection's read and write buffer in bytes. Requests and answers are small,
	// and there is a connection to each worker of the failure domain.
	workerBuffer = 2 << 10
)

// HTTPWorkers is the WorkerClient over HTTP/JSON. It is safe for concurrent use. The caller bounds each request with
// its context; the connection of a request that ends without an answer is closed and not used again.
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
		DialContext:         countedDial("control.worker", workerDialTimeout, registry),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     workerIdle,
		ReadBufferSize:      workerBuffer,
		WriteBufferSize:     workerBuffer,
	}
	// A redirect would send commands to a process that is not the worker.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &HTTPWorkers{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Close closes the idle connections.
func (h *HTTPWorkers) Close() { h.client.CloseIdleConnections() }

// Commands sends req to the worker at address. After an error of kind Unavailable or Unknown the commands may have been
// applied.
func (h *HTTPWorkers) Commands(ctx context.Context, address string, req CommandsRequest) (CommandsResponse, error) {
	var answer CommandsResponse
	request, err := sling.New().Base("http://" + address).Post("/v1/commands").BodyJSON(req).Request()
	if err != nil {
		return answer, errkind.Wrap(err, errkind.BadInput, "check the worker's address in the configuration",
			"build a request to worker %s", address)
	}
	if err := h.do(ctx, request, &answer); err != nil {
		return CommandsResponse{}, err
	}
	if answer.Granted && len(answer.Results) != len(req.Commands) {
		return CommandsResponse{}, errkind.New(errkind.Unknown, "check the worker's version",
			"worker %s answered %d of %d commands", address, len(answer.Results), len(req.Commands))
	}
	return answer, nil
}

// Inventory reads the inventory without a lease.
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

func (h *HTTPWorkers) do(ctx context.Context, request *http.Request, answer any) error {
	// An empty User-Agent leaves the header out: at 60 requests per second every header counts.
	request.Header.Set("User-Agent", "")
	response, err := h.client.Do(request.WithContext(ctx))
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "check the worker and its network",
			"worker %s did not answer", request.URL.Host)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWorkerBody+1))
	if err != nil {
		return errkind.Wrap(err, errkind.Unknown, "repeat the commands", "read the answer of worker %s", request.URL.Host)
	}
	if response.StatusCode != http.StatusOK {
		return errkind.New(errkind.Unavailable, "check the worker's log", "worker %s answered status %d",
			request.URL.Host, response.StatusCode)
	}
	if len(body) > maxWorkerBody {
		return errkind.New(errkind.TooLarge, "check the worker's inventory", "the answer of worker %s exceeds %d bytes",
			request.URL.Host, maxWorkerBody)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return errkind.Wrap(err, errkind.Unknown, "check the worker's version", "decode the answer of worker %s",
			request.URL.Host)
	}
	return nil
}
