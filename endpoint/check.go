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

// errInvalidResponse returns the error of a response that must not be passed on.
func errInvalidResponse(format string, args ...any) error {
	return errkind.New(errkind.Unavailable, "check that the endpoint keeps the contract of docs/design.md, section 5",
		format, args...)
}

// bodyAllowed reports whether HTTP allows a body in the response to the method with the status.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// checkHeader checks that the response belongs to the request and has a Content-Length and a Content-Digest. It returns
// the SHA-256 digest of the body, nil if there is no body.
func checkHeader(r *Request, response *http.Response) (digest []byte, fault error) {
	if echo := response.Header[HeaderRequestID]; len(echo) != 1 || echo[0] != r.ID {
		return nil, errInvalidResponse("response carries request id %q instead of %q", echo, r.ID)
	}
	if response.StatusCode < 200 {
		return nil, errInvalidResponse("response has status %d", response.StatusCode)
	}
	if !bodyAllowed(r.Method, response.StatusCode) {
		return nil, nil
	}
	if response.ContentLength < 0 {
		return nil, errInvalidResponse("response has no Content-Length")
	}
	digest = parseDigest(response.Header.Values(HeaderDigest))
	if digest == nil {
		return nil, errInvalidResponse("response has no Content-Digest with sha-256")
	}
	return digest, nil
}

// parseDigest returns the sha-256 digest in the values of Content-Digest (RFC 9530), nil if there is no valid one.
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

// FormatDigest returns the value of the Content-Digest field for a body.
func FormatDigest(body []byte) string {
	digest := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(digest[:]) + ":"
}

// checkBody checks the length in bytes and the SHA-256 digest of a buffered body.
func checkBody(body []byte, length int64, digest []byte) error {
	if int64(len(body)) != length {
		return errInvalidResponse("body has %d bytes instead of %d", len(body), length)
	}
	sum := sha256.Sum256(body)
	if !bytes.Equal(sum[:], digest) {
		return errInvalidResponse("body does not match its Content-Digest")
	}
	return nil
}

// bodyStream is the body of a streamed response. It does not return the last bytes until it has checked the digest.
type bodyStream struct {
	pool *pool
	conn *conn
	body io.Reader
	// remaining is the number of bytes that were not read yet.
	remaining int64
	// digest is the SHA-256 digest that the endpoint sent, sum that of the bytes read so far.
	digest []byte
	sum    hash.Hash
	// reusable is true if the connection may be reused after the whole body.
	reusable bool
	// done is true once the connection was returned to the pool or closed.
	done bool
	err  error
}

// newStream returns the body of a streamed response. If reusable is set, the connection returns to the pool once the
// whole body was read.
func newStream(p *pool, c *conn, body io.Reader, length int64, digest []byte, reusable bool) *bodyStream {
	return &bodyStream{pool: p, conn: c, body: body, remaining: length, digest: digest, sum: sha256.New(), reusable: reusable}
}

// Read implements io.Reader. It returns the last part only if the whole body matches its digest, and an error
// otherwise.
func (s *bodyStream) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.body.Read(p)
	s.sum.Write(p[:n])
	s.remaining -= int64(n)
	switch {
	case s.remaining > 0 && err != nil:
		s.finish(false, errInvalidResponse("body ended %d bytes early", s.remaining))
		return 0, s.err
	case s.remaining > 0:
		return n, nil
	case !bytes.Equal(s.sum.Sum(nil), s.digest):
		s.finish(false, errInvalidResponse("body does not match its Content-Digest"))
		return 0, s.err
	}
	s.finish(true, io.EOF)
	return n, s.err
}

// finish makes Read return err from now on. The first call returns the connection to the pool if the whole body was valid
// and the connection may be reused, and closes it otherwise.
func (s *bodyStream) finish(whole bool, err error) {
	s.err = err
	if s.done {
		return
	}
	s.done = true
	if whole && s.reusable && s.conn.reader.Buffered() == 0 {
		s.pool.put(s.conn)
		return
	}
	s.pool.discard(s.conn)
}

// Close ends the exchange. If the body was not read to its end, Close closes the connection.
func (s *bodyStream) Close() error {
	s.finish(false, io.ErrClosedPipe)
	return nil
}
