package workload

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
)

// Origin identifies how a caller has named a job, and discloses nothing of the key. Both values are hashes that include the id of the job; 0
// stands for one that is not known.
type Origin struct {
	// URL identifies the URL of the job.
	URL uint64 `cbor:",omitempty"`
	// Key identifies the key of the caller; 0 if it has sent none.
	Key uint64 `cbor:",omitempty"`
}

// NewOrigin returns the origin of a request for the job by the queue at host, in any case of letters, and pathPrefix. key may be empty.
func NewOrigin(host, pathPrefix, key string, id JobID) Origin {
	origin := Origin{URL: hash("url", strings.ToLower(host), pathPrefix, string(id))}
	if key != "" {
		origin.Key = hash("key", key, string(id))
	}
	return origin
}

// hash returns a hash of the parts that is not 0.
func hash(parts ...string) uint64 {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return max(1, binary.BigEndian.Uint64(sum[:]))
}

// SameURL reports whether both requests are known to have had the same URL.
func (o Origin) SameURL(other Origin) bool { return o.URL != 0 && o.URL == other.URL }

// SameKey reports whether both requests are known to have had the same key.
func (o Origin) SameKey(other Origin) bool { return o.Key != 0 && o.Key == other.Key }
