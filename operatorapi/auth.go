package operatorapi

import (
	"net/http"
	"strings"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
)

// scope specifies which tokens a path accepts in addition to those of operators.
type scope int

const (
	// scopeOperator accepts no other tokens.
	scopeOperator scope = iota
	// scopeBootstrap also accepts the bootstrap token while the configuration is not initialised.
	scopeBootstrap
	// scopeAccount also accepts the tokens of client accounts.
	scopeAccount
)

// bootstrapName is the operator name recorded for changes that are made with the bootstrap token.
const bootstrapName = "bootstrap"

// principal is the authenticated sender of a request: an operator or a client account. The other name is empty.
type principal struct {
	operator string
	account  string
}

// canAccess reports whether the principal may submit, read and cancel the jobs of an account.
func (p principal) canAccess(account string) bool { return p.operator != "" || p.account == account }

// authenticate returns the principal of a request. The error has the kind Unauthenticated if the token is missing or
// unknown, Forbidden if an account may not use paths of the scope, or Unavailable if the bootstrap token may not.
func (a *API) authenticate(r *http.Request, s scope) (principal, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return principal{}, errkind.New(errkind.Unauthenticated, "send Authorization: Bearer with a token", "the request has no bearer token")
	}
	p, found := a.findPrincipal(config.TokenDigest(token))
	if !found {
		return principal{}, errkind.New(errkind.Unauthenticated, "use the token of a configured operator or account", "unknown token")
	}
	if p.operator == "" && s != scopeAccount {
		return principal{}, errkind.New(errkind.Forbidden, "use an operator token", "account %s may only use the job paths", p.account)
	}
	if p.operator == bootstrapName && a.options.Configuration.Document() == nil && s != scopeBootstrap {
		return principal{}, errkind.New(errkind.Unavailable, "run redwingctl config init first", "the configuration is not initialised")
	}
	return p, nil
}

// findPrincipal returns the principal whose token has the digest, and false if there is none. It compares the digest
// with all known digests in constant time, so that response times reveal nothing about them.
func (a *API) findPrincipal(digest string) (principal, bool) {
	var found principal
	doc := a.options.Configuration.Document()
	if doc == nil {
		bootstrap := a.options.BootstrapTokenDigest
		if config.ValidTokenDigest(bootstrap) && config.SameTokenDigest(bootstrap, digest) {
			return principal{operator: bootstrapName}, true
		}
		return found, false
	}
	for name, o := range doc.Operators {
		if config.SameTokenDigest(o.TokenDigest, digest) {
			found = principal{operator: name}
		}
	}
	for name, account := range doc.Accounts {
		if config.SameTokenDigest(account.TokenDigest, digest) {
			found = principal{account: name}
		}
	}
	return found, found != principal{}
}
