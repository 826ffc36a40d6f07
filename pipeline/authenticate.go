package pipeline

import (
	"context"
	"net/http"
	"strings"

	"github.com/eiderspring/eiderspring/settings"
)

// Authenticator identifies the caller of a request by its bearer token.
type Authenticator struct {
	// TokensCurrent reports whether the callers' tokens in the settings of a revision may
	// still be trusted: an instance that receives no revocations must not admit the
	// holders of revoked tokens. Nil means always.
	TokensCurrent func(revision int64) bool
}

// Identify returns the caller whose token the request carries. If no token is needed, an
// unknown or currently untrusted token yields an anonymous identity. For a request that another
// instance has handed over it returns the caller that this one has identified.
func (a Authenticator) Identify(r *http.Request, catalog *settings.Catalog, needed bool) (settings.Identity, error) {
	if account, handedOver := identifiedAccount(r); handedOver {
		return catalog.CallerByName(account), nil
	}
	who, err := a.find(r, catalog)
	if err != nil && !needed {
		return settings.Identity{}, nil
	}
	return who, err
}

const bearer = "Bearer "

func (a Authenticator) find(r *http.Request, catalog *settings.Catalog) (settings.Identity, error) {
	fields := r.Header["Authorization"]
	if len(fields) != 1 || len(fields[0]) < len(bearer) || !strings.EqualFold(fields[0][:len(bearer)], bearer) {
		return settings.Identity{}, &AuthError{Status: http.StatusUnauthorized, Reason: "one bearer token is needed"}
	}
	if a.TokensCurrent != nil && !a.TokensCurrent(catalog.Revision) {
		return settings.Identity{}, &StaleSettingsError{}
	}
	who, known := catalog.CallerByToken(fields[0][len(bearer):])
	if !known {
		return settings.Identity{}, &AuthError{Status: http.StatusUnauthorized, Reason: "the token is not known"}
	}
	return who, nil
}

// authenticate identifies the caller by its bearer token and checks that it may use what
// it requests.
type authenticate struct {
	Authenticator
	catalog func() *settings.Catalog
}

// Process implements Filter.
func (a authenticate) Process(_ context.Context, x *Exchange) error {
	caller, err := a.Identify(x.Request, a.catalog(), true)
	if err != nil {
		return err
	}
	if !caller.MayUse(x.Call.Name) {
		return &AuthError{Status: http.StatusForbidden, Reason: "caller " + caller.Name + " may not use " + x.Call.Name}
	}
	x.Caller = caller
	return nil
}
