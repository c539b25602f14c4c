package operatorclient

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/redwingthread/redwingthread/config"
)

// tokenBytes is the length of a random token before its hex encoding.
const tokenBytes = 32

// NewToken returns a random bearer token and its digest, which is what the configuration keeps.
func NewToken() (token, digest string) {
	raw := make([]byte, tokenBytes)
	// Read of crypto/rand fills raw or ends the program.
	_, _ = rand.Read(raw)
	token = hex.EncodeToString(raw)
	return token, config.TokenDigest(token)
}
