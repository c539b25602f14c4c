// Package request implements request keys, the table of the keys that a gateway incarnation issued, and the outcomes of
// requests.
//
// A key names the gateway incarnation that issued it. Only that incarnation may dispatch a request with the key, so a
// key runs at most once without coordination between gateways: if the incarnation ends, its record of used keys is lost,
// but no other incarnation may run those keys either.
//
// The package does no I/O, reads no clock and starts no goroutines. A Table is not safe for concurrent use.
package request

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"net/url"
	"strconv"
	"strings"

	"github.com/redwingthread/redwingthread/errkind"
)

// Outcome is what is known about whether a request ran.
type Outcome string

// The outcomes.
const (
	// Completed marks a request whose complete response is known.
	Completed Outcome = "completed"
	// NotRun marks a request that did not run and never will run under the same key.
	NotRun Outcome = "not_run"
	// Unknown marks a request that may or may not have run.
	Unknown Outcome = "unknown"
)

// Owner names the gateway incarnation that issued a key.
type Owner struct {
	FailureDomain string
	VM            string
	Incarnation   string
}

// Key is a parsed request key. Its text form consists of the failure domain, VM, incarnation, sequence number and MAC,
// joined by slashes.
type Key struct {
	Owner    Owner
	Sequence uint64
	mac      []byte
}

// macBytes is the length of the truncated MAC in bytes. With 16 bytes, a forged key is valid with a probability of
// 2^-128.
const macBytes = 16

// maxKeyLength is the maximum length of the text form of a key, in bytes.
const maxKeyLength = 512

const keyRemedy = "get a key with POST /v1/keys and send it unchanged"

// Parse parses the text form of a key. It returns a BadInput error if the text is malformed. It does not verify the
// MAC, which only the owner of the key can do.
func Parse(text string) (Key, error) {
	if len(text) > maxKeyLength {
		return Key{}, errkind.New(errkind.BadInput, keyRemedy, "request key of %d bytes is too long", len(text))
	}
	parts := strings.Split(text, "/")
	if len(parts) != 5 {
		return Key{}, errkind.New(errkind.BadInput, keyRemedy, "request key has %d parts instead of 5", len(parts))
	}
	for i := range parts[:3] {
		part, err := url.PathUnescape(parts[i])
		if err != nil || part == "" {
			return Key{}, errkind.New(errkind.BadInput, keyRemedy, "request key has an empty or malformed owner")
		}
		parts[i] = part
	}
	sequence, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return Key{}, errkind.Wrap(err, errkind.BadInput, keyRemedy, "request key has a malformed sequence number")
	}
	mac, err := base64.RawURLEncoding.DecodeString(parts[4])
	if err != nil || len(mac) != macBytes {
		return Key{}, errkind.New(errkind.BadInput, keyRemedy, "request key has a malformed MAC")
	}
	owner := Owner{FailureDomain: parts[0], VM: parts[1], Incarnation: parts[2]}
	return Key{Owner: owner, Sequence: sequence, mac: mac}, nil
}

// String returns the text form of the key.
func (k Key) String() string {
	return strings.Join([]string{
		url.PathEscape(k.Owner.FailureDomain),
		url.PathEscape(k.Owner.VM),
		url.PathEscape(k.Owner.Incarnation),
		strconv.FormatUint(k.Sequence, 10),
		base64.RawURLEncoding.EncodeToString(k.mac),
	}, "/")
}

// signer computes and verifies the MACs of one gateway incarnation. It reuses its hash, since setting up the inner and
// outer pads of HMAC for each key would take most of the time and allocations.
type signer struct {
	mac hash.Hash
	sum []byte
}

// newSigner returns a signer that uses the secret.
func newSigner(secret []byte) *signer { return &signer{mac: hmac.New(sha256.New, secret)} }

// sign returns the MAC of the sequence number and the account. The slice is valid until the next call.
func (s *signer) sign(account string, sequence uint64) []byte {
	s.mac.Reset()
	s.sum = binary.BigEndian.AppendUint64(s.sum[:0], sequence)
	s.sum = append(s.sum, account...)
	s.mac.Write(s.sum)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:macBytes]
}

// valid reports whether the MAC shows that the key was issued to the account.
func (s *signer) valid(account string, key Key) bool {
	return hmac.Equal(key.mac, s.sign(account, key.Sequence))
}
