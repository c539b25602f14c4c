package inner

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/redwingthread/redwingthread/errkind"
)

// Connection limits of the inner protocol.
const (
	// keepAliveInterval keeps an idle connection open; a dead one is detected within maxIdleTimeout.
	keepAliveInterval = 2 * time.Second
	maxIdleTimeout    = 6 * time.Second
	handshakeTimeout  = 2 * time.Second
	// maxStreams bounds the concurrent requests of a peer on one connection.
	maxStreams = 512
	// requestReadTimeout bounds the time a peer may take to send its request.
	requestReadTimeout = 10 * time.Second
	// responseAckTimeout bounds the time until a peer closes a stream whose response it has received.
	responseAckTimeout = time.Second
)

// quicConfig returns the QUIC parameters that client and server use.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       maxIdleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxStreams,
	}
}

// Server serves requests of peers on one UDP address.
type Server struct {
	listener   *quic.Listener
	packetConn net.PacketConn
	handler    Handler
	meter      *meter
	exchanges  inflight
}

// Listen opens address (host:port, UDP) and authenticates with the keys of the store. It returns an Unavailable error
// if the address cannot be opened.
func Listen(address string, keys *KeyStore, handler Handler) (*Server, error) {
	packetConn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "check listen.inner in the settings", "open %s", address)
	}
	listener, err := quic.Listen(packetConn, keys.serverConfig(), quicConfig())
	if err != nil {
		packetConn.Close()
		return nil, errkind.Wrap(err, errkind.Unavailable, "check listen.inner in the settings", "listen on %s", address)
	}
	return &Server{listener: listener, packetConn: packetConn, handler: handler, meter: newMeter("server")}, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until ctx ends or Close is called, and then returns nil.
func (s *Server) Serve(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return nil
		}
		go s.serveConn(conn)
	}
}

// Close waits until the peers have received the responses to the requests in progress, or until ctx ends. It then closes
// all connections.
func (s *Server) Close(ctx context.Context) {
	select {
	case <-s.exchanges.idle():
	case <-ctx.Done():
	}
	s.listener.Close()
	s.packetConn.Close()
}

func (s *Server) serveConn(conn *quic.Conn) {
	connTraffic.add(conn)
	from := peerMember(conn)
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		s.exchanges.begin()
		go func() {
			defer s.exchanges.end()
			s.serveStream(conn.Context(), from, stream)
		}()
	}
}

// peerMember returns the member that the peer's certificate names. Only VM is set, from the common name of the subject.
func peerMember(conn *quic.Conn) Member {
	chain := conn.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 {
		return Member{}
	}
	return Member{VM: chain[0].Subject.CommonName}
}

// serveStream handles the request on a stream and returns when the peer has received the response.
func (s *Server) serveStream(ctx context.Context, from Member, stream *quic.Stream) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(requestReadTimeout))
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
	stream.Close()
	awaitAck(stream)
}

// awaitAck waits until the peer closes its side of the stream, which it does once it has read the response. A response that
// is only written would be lost if the server closed its socket at that moment.
func awaitAck(stream *quic.Stream) {
	stream.SetReadDeadline(time.Now().Add(responseAckTimeout))
	if _, err := io.Copy(io.Discard, stream); err != nil {
		stream.CancelRead(0)
	}
}
