package engine

import (
	"net/http"
	"strings"
)

// Headers says which fields of a caller's head concern an endpoint in a dialect.
// Names are in canonical form.
type Headers struct {
	// FirstValueOnly are the fields that say what is asked for. Each is carried with the one
	// value that the instance has read, its first: an endpoint that reads another one
	// would run another request.
	FirstValueOnly map[string]bool
	// Control are the fields by which an instance directs an endpoint. A caller's
	// are dropped: a forged one takes a place that was set aside, pins memory, or
	// goes on from the memory of somebody else's request.
	Control map[string]bool
	// ControlPrefixes begin the names of further such fields.
	ControlPrefixes []string
}

// oneHop are the fields that stay between the caller and the instance: those of one
// connection (RFC 9110, section 7.6.1), and credentials.
var oneHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Authorization": true, "Content-Length": true,
}

// HopByHop tells whether a field, its name in canonical form, concerns one connection
// only or is a credential.
func HopByHop(name string) bool { return oneHop[name] }

// forward returns what a caller's head carries to an endpoint.
func (h Headers) forward(caller http.Header) http.Header {
	out := make(http.Header, len(caller))
	listed := connectionOptions(caller)
	for name, values := range caller {
		switch {
		case len(values) == 0 || oneHop[name] || h.steers(name):
		case h.FirstValueOnly[name]:
			out[name] = values[:1:1]
		case !listed[name]:
			out[name] = values
		}
	}
	return out
}

func (h Headers) steers(name string) bool {
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

// connectionOptions are the fields that the Connection field names, in canonical
// form: they concern the caller's connection only.
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
