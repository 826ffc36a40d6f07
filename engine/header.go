package engine

import (
	"net/http"
	"strings"
)

// Headers holds a dialect's rules for forwarding the fields of a caller's header to an
// endpoint. Names are in the canonical form of net/http.
type Headers struct {
	// FirstValueOnly are the fields that define the request. Each is forwarded with its
	// first value only, which is the one that the instance has read: an endpoint that read
	// another value would run another request.
	FirstValueOnly map[string]bool
	// Control are the fields by which an instance controls an endpoint. They are dropped
	// from a caller's header: a forged one could take reserved capacity, pin memory, or
	// resume from the memory of another caller's request.
	Control map[string]bool
	// ControlPrefixes are name prefixes of further such fields.
	ControlPrefixes []string
}

// hopByHop are the fields that are not forwarded: those of a single connection (RFC 9110,
// section 7.6.1) and credentials.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Authorization": true, "Content-Length": true,
}

// HopByHop reports whether a field, its name in canonical form, concerns a single
// connection only or is a credential.
func HopByHop(name string) bool { return hopByHop[name] }

// forward returns the fields of a caller's header that go to an endpoint.
func (h Headers) forward(caller http.Header) http.Header {
	out := make(http.Header, len(caller))
	listed := connectionOptions(caller)
	for name, values := range caller {
		switch {
		case len(values) == 0 || hopByHop[name] || h.isControl(name):
		case h.FirstValueOnly[name]:
			out[name] = values[:1:1]
		case !listed[name]:
			out[name] = values
		}
	}
	return out
}

func (h Headers) isControl(name string) bool {
	if h.Control[name] {
		return true
	}
	for _, prefix := range h.ControlPrefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// connectionOptions returns the names, in canonical form, that the Connection field lists:
// these fields concern the caller's connection only.
func connectionOptions(h http.Header) map[string]bool {
	var listed map[string]bool
	for _, value := range h["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[http.CanonicalHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return listed
}
