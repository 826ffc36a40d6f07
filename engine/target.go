package engine

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

// TargetError reports a request target that an attempt cannot carry as it is.
type TargetError struct{ Target string }

// Error names the target.
func (e *TargetError) Error() string {
	return fmt.Sprintf("the target %q cannot be passed on unchanged", e.Target)
}

// CheckTarget returns nil if an attempt carries the target, a path with an optional query, byte for byte.
// The error is a *TargetError.
func CheckTarget(target string) error {
	_, err := targetURL(target)
	return err
}

// targetURL returns the URL without a host whose request line has the target byte for byte.
func targetURL(target string) (url.URL, error) {
	path, query, hasQuery := strings.Cut(target, "?")
	u := url.URL{Scheme: "http", Opaque: path, RawQuery: query, ForceQuery: hasQuery}
	if strings.HasPrefix(path, "//") {
		// An opaque target that begins so would be sent as one with a host.
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return url.URL{}, &TargetError{Target: target}
		}
		u.Opaque, u.Path, u.RawPath = "", decoded, path
	}
	if u.RequestURI() != target {
		return url.URL{}, &TargetError{Target: target}
	}
	return u, nil
}

// setTarget sets the target of a request.
func setTarget(req *http.Request, target string) error {
	u, err := targetURL(target)
	if err != nil {
		return err
	}
	u.Host = req.URL.Host
	req.URL = &u
	return nil
}
