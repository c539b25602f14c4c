package operatorclient

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/redwingthread/redwingthread/config"
)

// tokenBytes is the number of random bytes in a token, before hex encoding.
const tokenBytes = 32

// NewToken returns a random bearer token and its digest. The configuration stores only the digest.
func NewToken() (token, digest string) {
	raw := make([]byte, tokenBytes)
	// rand.Read never returns an error; it crashes the program if no randomness is available.
	_, _ = rand.Read(raw)
	token = hex.EncodeToString(raw)
	return token, config.TokenDigest(token)
}
