package inner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/redwingthread/redwingthread/errkind"
)

// Connection limits of the inner protocol.
const (
	// keepAliveInterval finds a connection that went silent within maxIdle.
	keepAliveInterval = 2 * time.Second
	maxIdle           = 6 * time.Second
	handshakeTimeout  = 2 * time.Second
	// maxStreams bounds the exchanges that one peer runs at once on a connection.
	maxStreams = 512
	// readTimeout bounds the time in which a peer must send its request.
	readTimeout = 10 * time.Second
)

// quicConfig returns the QUIC parameters of both ends.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       maxIdle,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxStreams,
	}
}

// Server answers requests of peers on one UDP address.
type Server struct {
	listener *quic.Listener
	packets  net.PacketConn
	handler  Handler
	meter    *meter
	exchange sync.WaitGroup
}

// Listen opens address (host:port, UDP) with the keys of the store. It returns an Unavailable error if the address
// cannot be opened.
func Listen(address string, keys *KeyStore, handler Handler) (*Server, error) {
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "check listen.inner in the settings", "open %s", address)
	}
	listener, err := quic.Listen(packets, keys.serverConfig(), quicConfig())
	if err != nil {
		packets.Close()
		return nil, errkind.Wrap(err, errkind.Unavailable, "check listen.inner in the settings", "listen on %s", address)
	}
	return &Server{listener: listener, packets: packets, handler: handler, meter: newMeter("server")}, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return nil
		}
		go s.serveConn(conn)
	}
}

// Close waits for the exchanges under way until ctx ends, then closes all connections.
func (s *Server) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.exchange.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.listener.Close()
	s.packets.Close()
}

func (s *Server) serveConn(conn *quic.Conn) {
	wire.add(conn)
	from := peerOf(conn)
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		s.exchange.Add(1)
		go func() {
			defer s.exchange.Done()
			s.serveStream(conn.Context(), from, stream)
		}()
	}
}

// peerOf returns the member named by the certificate of the peer: only VM is set, from the subject's common name.
func peerOf(conn *quic.Conn) Member {
	chain := conn.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 {
		return Member{}
	}
	return Member{VM: chain[0].Subject.CommonName}
}

func (s *Server) serveStream(ctx context.Context, from Member, stream *quic.Stream) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(readTimeout))
	var req Request
	received, err := readFrame(stream, &req)
	if err != nil {
		stream.CancelRead(0)
		return
	}
	kind := req.kind()
	s.meter.received(kind, received)
	resp, err := s.handler.Handle(extractTrace(ctx, req.TraceContext), from, &req)
	if err != nil {
		resp = &Response{Error: errkind.As(err)}
	}
	sent, err := writeFrame(stream, resp)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	s.meter.sent(kind, sent)
}
