// Package request holds request keys, the table of the keys that a gateway incarnation issued, and the outcomes of
// requests.
//
// A key names the gateway incarnation that issued it. Only that incarnation may dispatch the key's request, so a key
// runs at most once without any agreement between gateways: the memory of what ran and the right to run it end together.
//
// The package is pure: it has no I/O, clock or goroutines. A Table is not safe for concurrent use.
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

// Outcome says what is known about the effect of a request.
type Outcome string

// The outcomes.
const (
	// Completed marks a request whose whole response is known.
	Completed Outcome = "completed"
	// NotRun marks a request that did not run and never will under the same key.
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

// Key is a parsed request key. The text form is failure domain, VM, incarnation, sequence and MAC, joined by slashes.
type Key struct {
	Owner    Owner
	Sequence uint64
	mac      []byte
}

// macBytes is the length of a truncated MAC; 16 bytes leave a forger a chance of 2^-128 per try.
const macBytes = 16

// maxKeyLength bounds the text form in bytes.
const maxKeyLength = 512

const keyRemedy = "get a key with POST /v1/keys and send it unchanged"

// Parse reads the text form of a key. It does not check the MAC, which only the owner can.
func Parse(text string) (Key, error) {
	if len(text) > maxKeyLength {
		return Key{}, errkind.New(errkind.BadInput, keyRemedy, "request key has %d bytes", len(text))
	}
	parts := strings.Split(text, "/")
	if len(parts) != 5 {
		return Key{}, errkind.New(errkind.BadInput, keyRemedy, "request key has %d parts instead of 5", len(parts))
	}
	for i := range parts[:3] {
		part, err := url.PathUnescape(parts[i])
		if err != nil || part == "" {
			return Key{}, errkind.New(errkind.BadInput, keyRemedy, "request key names no owner")
		}
		parts[i] = part
	}
	sequence, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return Key{}, errkind.Wrap(err, errkind.BadInput, keyRemedy, "request key has no sequence number")
	}
	mac, err := base64.RawURLEncoding.DecodeString(parts[4])
	if err != nil || len(mac) != macBytes {
		return Key{}, errkind.New(errkind.BadInput, keyRemedy, "request key has a malformed MAC")
	}
	owner := Owner{FailureDomain: parts[0], VM: parts[1], Incarnation: parts[2]}
	return Key{Owner: owner, Sequence: sequence, mac: mac}, nil
}

// String returns the text form.
func (k Key) String() string {
	return strings.Join([]string{
		url.PathEscape(k.Owner.FailureDomain),
		url.PathEscape(k.Owner.VM),
		url.PathEscape(k.Owner.Incarnation),
		strconv.FormatUint(k.Sequence, 10),
		base64.RawURLEncoding.EncodeToString(k.mac),
	}, "/")
}

// signer makes and checks the MACs of one gateway incarnation. It keeps its hash, since setting up the inner and outer
// pads for each key takes most of the time and allocations.
type signer struct {
	mac hash.Hash
	sum []byte
}

// newSigner returns a signer with the secret.
func newSigner(secret []byte) *signer { return &signer{mac: hmac.New(sha256.New, secret)} }

// sign returns the MAC over the sequence number and the account. It is valid until the next call.
func (s *signer) sign(account string, sequence uint64) []byte {
	s.mac.Reset()
	s.sum = binary.BigEndian.AppendUint64(s.sum[:0], sequence)
	s.sum = append(s.sum, account...)
	s.mac.Write(s.sum)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:macBytes]
}

// valid reports whether the key was issued to the account.
func (s *signer) valid(account string, key Key) bool {
	return hmac.Equal(key.mac, s.sign(account, key.Sequence))
}
