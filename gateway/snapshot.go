package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/routing"
)

// snapshot is a configuration document with an index of its accounts.
type snapshot struct {
	doc *config.Document
	// accountsByDigest holds the accounts by the SHA-256 digest of their token, in hexadecimal.
	accountsByDigest map[string]config.Account
}

// newSnapshot returns the document with its index.
func newSnapshot(doc *config.Document) *snapshot {
	s := &snapshot{doc: doc, accountsByDigest: make(map[string]config.Account, len(doc.Accounts))}
	for name, account := range doc.Accounts {
		account.Name = name
		s.accountsByDigest[account.TokenDigest] = account
	}
	return s
}

// current returns the configuration in force, nil while there is none. It first applies the document if it is new.
func (g *Gateway) current() *snapshot {
	doc := g.options.Config()
	s := g.snapshot.Load()
	if doc == nil || s != nil && s.doc == doc {
		return s
	}
	return g.applyConfig()
}

// applyConfig applies the document in force. It reads the document again under the lock, so that a goroutine that read
// an older document cannot replace a newer one.
func (g *Gateway) applyConfig() *snapshot {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	doc := g.options.Config()
	if s := g.snapshot.Load(); s != nil && s.doc == doc {
		return s
	}
	s := newSnapshot(doc)
	g.dispatcher.setConfig(doc)
	g.snapshot.Store(s)
	return s
}

// refresh applies a new configuration and takes a seat if one is free, that is, if there are no more live gateways than
// seats.
func (g *Gateway) refresh() {
	s := g.current()
	if s == nil || g.seated.Load() {
		return
	}
	if g.liveGateways() <= seats(s.doc) {
		g.seated.Store(true)
	}
}

// seats returns the number of gateways that may hold connections to endpoints.
func seats(doc *config.Document) int {
	if doc.Policy.GatewaySeats <= 0 {
		return routing.DefaultSeats
	}
	return doc.Policy.GatewaySeats
}

// liveGateways counts the live gateways, this one included.
func (g *Gateway) liveGateways() int {
	n := 1
	for _, member := range g.options.Gateways() {
		if !g.isSelf(member) {
			n++
		}
	}
	return n
}

// isSelf reports whether the member is this incarnation.
func (g *Gateway) isSelf(m inner.Member) bool {
	self := g.options.Self
	return m.VM == self.VM && m.Incarnation == self.Incarnation && m.FailureDomain == self.FailureDomain
}

const tokenRemedy = "send Authorization: Bearer with the token of a client account"

// authenticate returns the account of the request's bearer token.
func (s *snapshot) authenticate(r *http.Request) (config.Account, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return config.Account{}, errkind.New(errkind.Unauthenticated, tokenRemedy, "request has no bearer token")
	}
	digest := sha256.Sum256([]byte(strings.TrimSpace(token)))
	account, ok := s.accountsByDigest[hex.EncodeToString(digest[:])]
	if !ok {
		return config.Account{}, errkind.New(errkind.Unauthenticated, tokenRemedy, "token does not match any account")
	}
	return account, nil
}
