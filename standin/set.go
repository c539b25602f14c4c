package standin

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// Set is a running set of stand-ins. Log and VMList are nil if they do not run. The maps hold the others by id.
type Set struct {
	Log       *Log
	VMList    *VMList
	Gates     map[string]*Gate
	Workers   map[string]*Worker
	Endpoints map[string]*Endpoint

	servers []*http.Server
	// addresses holds the address of each stand-in by name: "control", "log", "vm_list" or an id.
	addresses map[string]string
}

// readHeaderTimeout limits the time for reading the headers of a request.
const readHeaderTimeout = 10 * time.Second

// Start starts the stand-ins that s describes. Close stops them. The error is of kind errkind.BadInput for inconsistent
// settings and errkind.Unavailable for an address that cannot be listened on.
func Start(s Settings) (*Set, error) {
	set := &Set{
		Gates:     make(map[string]*Gate),
		Workers:   make(map[string]*Worker),
		Endpoints: make(map[string]*Endpoint),
		addresses: make(map[string]string),
	}
	if err := set.start(s); err != nil {
		set.Close(context.Background())
		return nil, err
	}
	return set, nil
}

func (s *Set) start(settings Settings) error {
	if settings.Log.Address != "" {
		s.Log = NewLog(LogOptions{
			RetentionRecords: settings.Log.RetentionRecords,
			RetentionAge:     milliseconds(settings.Log.RetentionMS),
			AppendsPerSecond: settings.Log.AppendsPerSecond,
		})
		if err := s.serve("log", settings.Log.Address, s.Log.Handler(), nil); err != nil {
			return err
		}
	}
	if settings.VMList.Address != "" {
		s.VMList = NewVMList(settings.vms(), milliseconds(settings.VMList.LagMS))
		if err := s.serve("vm_list", settings.VMList.Address, s.VMList.Handler(), nil); err != nil {
			return err
		}
	}
	for _, g := range settings.Gates {
		if err := s.startGate(g); err != nil {
			return err
		}
	}
	for _, w := range settings.Workers {
		for _, p := range instances(w.ID, w.Address, w.Count) {
			worker := NewWorker(w.options(p.id))
			s.Workers[p.id] = worker
			if err := s.serve(p.id, p.address, worker.Handler(), nil); err != nil {
				return err
			}
		}
	}
	for _, e := range settings.Endpoints {
		for _, p := range instances(e.ID, e.Address, e.Count) {
			endpoint := NewEndpoint(e.options(p.id))
			s.Endpoints[p.id] = endpoint
			if err := s.serve(p.id, p.address, endpoint.Handler(), endpoint.ConnState); err != nil {
				return err
			}
		}
	}
	return s.serve("control", settings.Control, s.controlHandler(), nil)
}

// startGate starts a gate in front of the running log or VM list.
func (s *Set) startGate(g GateSettings) error {
	var service http.Handler
	switch {
	case g.Service == "log" && s.Log != nil:
		service = s.Log.Handler()
	case g.Service == "vm_list" && s.VMList != nil:
		service = s.VMList.Handler()
	default:
		return errkind.New(errkind.BadInput, "give the service an address",
			"gate %q leads to a service that is not running", g.ID)
	}
	gate := NewGate(service)
	s.Gates[g.ID] = gate
	return s.serve(g.ID, g.Address, gate, nil)
}

// serve listens on address and serves the handler in the background. The stand-in is registered under name.
func (s *Set) serve(name, address string, handler http.Handler, connState func(net.Conn, http.ConnState)) error {
	if _, ok := s.addresses[name]; ok {
		return errkind.New(errkind.BadInput, "give each stand-in its own id", "two stand-ins have the id %q", name)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "use a free loopback port", "listen for stand-in %s", name)
	}
	server := &http.Server{
		Handler: handler, ConnState: connState, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: log.New(discard{}, "", 0),
	}
	s.servers = append(s.servers, server)
	s.addresses[name] = listener.Addr().String()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "stand-in", name, "stopped:", err)
		}
	}()
	return nil
}

// discard is a writer that drops its input. It keeps http.Server from logging the connections that stand-ins abort on
// purpose.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Address returns the host:port of a stand-in by name: "control", "log", "vm_list" or an id. It is empty if no such
// stand-in runs.
func (s *Set) Address(name string) string { return s.addresses[name] }

// Len returns the number of running servers, including the control service.
func (s *Set) Len() int { return len(s.servers) }

// Close shuts all servers down. It aborts requests that are still in progress when ctx ends.
func (s *Set) Close(ctx context.Context) {
	for _, server := range s.servers {
		if ctx.Err() != nil || server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}
