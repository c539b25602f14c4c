// Package crowdtest opens crowds of connections that misbehave as untrusted callers do, and measures the process that serves
// them.
package crowdtest

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Kind is what the connections of a crowd send.
type Kind string

// The kinds of crowds.
const (
	// WholeBodies sends bodies with a length in one piece, BodiesInPieces in pieces of pieceBytes.
	WholeBodies    Kind = "whole bodies"
	BodiesInPieces Kind = "bodies in pieces"
	// LargeChunks sends chunked bodies in one chunk, SmallChunks in chunks of smallChunkBytes.
	LargeChunks Kind = "one large chunk"
	SmallChunks Kind = "very small chunks"
	// LargeHeaders sends one header field of headerBytes, EndlessHeaders many short fields without the end of the header.
	LargeHeaders   Kind = "headers over the limit"
	EndlessHeaders Kind = "headers without end"
	// EmptyLines sends empty lines before a request.
	EmptyLines Kind = "empty lines"
	// Mixed sends all of the above in turn.
	Mixed Kind = "mixed"
)

// Kinds holds all kinds.
var Kinds = []Kind{WholeBodies, BodiesInPieces, LargeChunks, SmallChunks, LargeHeaders, EndlessHeaders, EmptyLines, Mixed}

const (
	pieceBytes      = 16 << 10
	piecePause      = 2 * time.Millisecond
	smallChunkBytes = 8
	// headerBytes is just under the limit that net/http sets by default; shortHeaderBytes is just under the limit of a usual
	// configuration.
	headerBytes      = 900 << 10
	shortHeaderBytes = 16_000
	emptyLineBytes   = 256 << 10
	// completeEvery is the share of the connections that send their request to its end: one of so many.
	completeEvery = 10
	// sendTime bounds the time for which a connection sends; after that it stays open.
	sendTime = 10 * time.Second
	dialTime = 10 * time.Second
)

// Crowd is a set of connections to one listener.
type Crowd struct {
	// Address is the host:port of the listener.
	Address string
	// Head is the request line and the header fields of a request with a body, each line with its end.
	Head string
	// BodyBytes is the size of the bodies.
	BodyBytes int

	mu    sync.Mutex
	conns []net.Conn
}

// Open opens count connections and returns when all have sent what they send, or were closed. The connections stay open
// until the test ends. It fails the test if less than half of them could be opened.
func (c *Crowd) Open(t *testing.T, kind Kind, count int) {
	t.Helper()
	t.Cleanup(c.close)
	var opened atomic.Int64
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", c.Address, dialTime)
			if err != nil {
				return
			}
			opened.Add(1)
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(sendTime))
			c.send(conn, kind, i)
		})
	}
	group.Wait()
	if n := opened.Load(); n < int64(count)/2 {
		t.Fatalf("%s: only %d of %d connections could be opened", kind, n, count)
	}
}

func (c *Crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// send sends what the connection with the given number in the crowd sends. Failed writes end it: the listener has closed
// the connection, which it may.
func (c *Crowd) send(conn net.Conn, kind Kind, number int) {
	complete := number%completeEvery == 0
	if kind == Mixed {
		kind = Kinds[number%(len(Kinds)-1)]
	}
	switch kind {
	case WholeBodies:
		write(conn, c.withLength()+c.body(complete))
	case BodiesInPieces:
		if write(conn, c.withLength()) {
			writePieces(conn, c.body(complete))
		}
	case LargeChunks:
		write(conn, c.chunked()+fmt.Sprintf("%x\r\n", c.BodyBytes)+c.body(complete)+lastChunk(complete))
	case SmallChunks:
		write(conn, c.chunked()+inSmallChunks(c.body(complete))+lastChunk(complete))
	case LargeHeaders:
		write(conn, c.Head+"X-Large: "+strings.Repeat("x", headerBytes)+"\r\n\r\n")
	case EndlessHeaders:
		size := headerBytes
		if number%2 == 0 {
			size = shortHeaderBytes
		}
		write(conn, c.Head+shortFields(size-len(c.Head)))
	case EmptyLines:
		write(conn, strings.Repeat("\r\n", emptyLineBytes/2))
	}
}

func (c *Crowd) withLength() string {
	return c.Head + fmt.Sprintf("Content-Length: %d\r\n\r\n", c.BodyBytes)
}

func (c *Crowd) chunked() string { return c.Head + "Transfer-Encoding: chunked\r\n\r\n" }

// body returns a body that stops one byte before its end, or a complete one. A complete one has as many elements as fit, so
// that its decoded form is many times as large.
func (c *Crowd) body(complete bool) string {
	if !complete {
		return strings.Repeat("x", c.BodyBytes-1)
	}
	const start, end = `{"steps":[{}`, `]}`
	elements := (c.BodyBytes - len(start) - len(end)) / len(`,{}`)
	text := start + strings.Repeat(`,{}`, elements) + end
	return text + strings.Repeat(" ", c.BodyBytes-len(text))
}

// inSmallChunks returns the body in chunks of smallChunkBytes.
func inSmallChunks(body string) string {
	var text strings.Builder
	for len(body) > 0 {
		n := min(smallChunkBytes, len(body))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return text.String()
}

func lastChunk(complete bool) string {
	if complete {
		return "\r\n0\r\n\r\n"
	}
	return ""
}

// shortFields returns about size bytes of header fields with different names.
func shortFields(size int) string {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "X%x: \r\n", i)
	}
	return text.String()
}

func writePieces(conn net.Conn, text string) {
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		if !write(conn, text[:n]) {
			return
		}
		text = text[n:]
		time.Sleep(piecePause)
	}
}

// write reports whether the text was written.
func write(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}
