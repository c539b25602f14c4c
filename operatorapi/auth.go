package operatorapi

import (
	"net/http"
	"strings"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
)

// scope says which tokens a path admits beside those of operators.
type scope int

const (
	scopeOperator scope = iota
	// scopeBootstrap also admits the bootstrap token while there is no configuration.
	scopeBootstrap
	// scopeAccount also admits the tokens of client accounts.
	scopeAccount
)

// bootstrapName is the author of changes made with the bootstrap token.
const bootstrapName = "bootstrap"

// principal is who sent a request: an operator or a client account.
type principal struct {
	operator string
	account  string
}

// maySee reports whether the principal may see and change things of an account.
func (p principal) maySee(account string) bool { return p.operator != "" || p.account == account }

// authenticate finds the principal of a request and checks that it may use a path of the scope.
func (a *API) authenticate(r *http.Request, s scope) (principal, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return principal{}, errkind.New(errkind.Unauthenticated, "send Authorization: Bearer with a token", "request has no token")
	}
	who, found := a.lookup(config.TokenDigest(token))
	if !found {
		return principal{}, errkind.New(errkind.Unauthenticated, "use the token of a configured operator or account", "token is not known")
	}
	if who.operator == "" && s != scopeAccount {
		return principal{}, errkind.New(errkind.Forbidden, "use an operator token", "account %s may only use the job paths", who.account)
	}
	if who.operator == bootstrapName && a.settings.Configuration.Document() == nil && s != scopeBootstrap {
		return principal{}, errkind.New(errkind.Unavailable, "run redwingctl config init first", "there is no configuration yet")
	}
	return who, nil
}

// lookup compares digest with every known one in constant time, so that the time tells nothing about them.
func (a *API) lookup(digest string) (principal, bool) {
	var found principal
	doc := a.settings.Configuration.Document()
	if doc == nil {
		bootstrap := a.settings.BootstrapTokenDigest
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
