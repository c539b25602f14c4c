package operatorclient

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// tokenBytes is the length of a random token before its hex encoding.
const tokenBytes = 32

// NewToken returns a random bearer token and its digest, which is what the configuration keeps.
func NewToken() (token, digest string) {
	raw := make([]byte, tokenBytes)
	// Read of crypto/rand fills raw or ends the program.
	_, _ = rand.Read(raw)
	token = hex.EncodeToString(raw)
	return token, TokenDigest(token)
}

// TokenDigest returns the lower-case hex SHA-256 digest of a token.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
