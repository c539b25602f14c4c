package endpoint

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"io"
	"net/http"
	"strings"

	"github.com/redwingthread/redwingthread/errkind"
)

// invalid returns the error of a response that must not be passed on.
func invalid(format string, args ...any) error {
	return errkind.New(errkind.Unavailable, "check that the endpoint keeps the contract of docs/design.md, section 5",
		format, args...)
}

// bodyAllowed reports whether a response has a body by the rules of HTTP.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// checkHeader checks that the response belongs to the request and states its length and digest. It returns the SHA-256
// digest of the body, nil if there is no body.
func checkHeader(r *Request, response *http.Response) (digest []byte, fault error) {
	if echo := response.Header[HeaderRequestID]; len(echo) != 1 || echo[0] != r.ID {
		return nil, invalid("response carries request id %q instead of %q", echo, r.ID)
	}
	if response.StatusCode < 200 {
		return nil, invalid("response has status %d", response.StatusCode)
	}
	if !bodyAllowed(r.Method, response.StatusCode) {
		return nil, nil
	}
	if response.ContentLength < 0 {
		return nil, invalid("response has no Content-Length")
	}
	digest = parseDigest(response.Header.Values(HeaderDigest))
	if digest == nil {
		return nil, invalid("response has no Content-Digest with sha-256")
	}
	return digest, nil
}

// parseDigest returns the sha-256 member of Content-Digest fields (RFC 9530), nil if there is none.
func parseDigest(values []string) []byte {
	for _, value := range values {
		for member := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(member), "sha-256=:")
			if !ok || !strings.HasSuffix(text, ":") {
				continue
			}
			digest, err := base64.StdEncoding.DecodeString(strings.TrimSuffix(text, ":"))
			if err == nil && len(digest) == sha256.Size {
				return digest
			}
		}
	}
	return nil
}

// FormatDigest returns the Content-Digest field of a body.
func FormatDigest(body []byte) string {
	digest := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(digest[:]) + ":"
}

// checkBody checks length and digest of a whole body.
func checkBody(body []byte, length int64, digest []byte) error {
	if int64(len(body)) != length {
		return invalid("body has %d bytes instead of %d", len(body), length)
	}
	sum := sha256.Sum256(body)
	if !bytes.Equal(sum[:], digest) {
		return invalid("body does not match its Content-Digest")
	}
	return nil
}

// stream passes on a large body and holds its end back until the digest is checked.
type stream struct {
	pool   *pool
	conn   *conn
	body   io.Reader
	left   int64
	digest []byte
	sum    hash.Hash
	keep   bool
	done   bool
	err    error
}

// newStream returns the body of a large response. The connection is given back when the body was read whole.
func newStream(p *pool, c *conn, body io.Reader, length int64, digest []byte, keep bool) *stream {
	return &stream{pool: p, conn: c, body: body, left: length, digest: digest, sum: sha256.New(), keep: keep}
}

// Read reads the next part. The last part is returned only if the whole body matches its digest.
func (s *stream) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.body.Read(p)
	s.sum.Write(p[:n])
	s.left -= int64(n)
	switch {
	case s.left > 0 && err != nil:
		s.end(false, invalid("body ended %d bytes early", s.left))
		return 0, s.err
	case s.left > 0:
		return n, nil
	case !bytes.Equal(s.sum.Sum(nil), s.digest):
		s.end(false, invalid("body does not match its Content-Digest"))
		return 0, s.err
	}
	s.end(true, io.EOF)
	return n, s.err
}

// end gives the connection back or closes it.
func (s *stream) end(whole bool, err error) {
	s.err = err
	if s.done {
		return
	}
	s.done = true
	if whole && s.keep && s.conn.reader.Buffered() == 0 {
		s.pool.put(s.conn)
		return
	}
	s.pool.discard(s.conn)
}

// Close ends the exchange. A body that was not read to its end closes the connection.
func (s *stream) Close() error {
	s.end(false, io.ErrClosedPipe)
	return nil
}
