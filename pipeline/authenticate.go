package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/eiderspring/eiderspring/settings"
)

// authenticate finds the caller by the hash of its bearer token and checks
// that it may use what it asks for.
type authenticate struct {
	catalog func() *settings.Catalog
}

// Process implements Filter.
func (a authenticate) Process(_ context.Context, x *Exchange) error {
	caller, err := a.identify(x.Request)
	if err != nil {
		return err
	}
	if !caller.May(x.Call.Name) {
		return &AuthError{Status: http.StatusForbidden, Reason: "caller " + caller.Name + " may not use " + x.Call.Name}
	}
	x.Caller = caller
	return nil
}

func (a authenticate) identify(r *http.Request) (settings.Identity, error) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return settings.Identity{}, &AuthError{Status: http.StatusUnauthorized, Reason: "a bearer token is needed"}
	}
	sum := sha256.Sum256([]byte(token))
	caller, known := a.catalog().Caller(hex.EncodeToString(sum[:]))
	if !known {
		return settings.Identity{}, &AuthError{Status: http.StatusUnauthorized, Reason: "the token is not known"}
	}
	return caller, nil
}
