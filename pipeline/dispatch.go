package pipeline

import (
	"context"
	"errors"
	"net/http"

	"github.com/eiderspring/eiderspring/engine"
)

// dispatch sends the attempt to its endpoint and waits for the answer's header.
type dispatch struct {
	client *engine.Client
}

// Process implements Filter.
func (f dispatch) Process(ctx context.Context, x *Exchange) error {
	a := x.attempt()
	resp, err := f.client.Do(ctx, engine.Attempt{
		ID: a.ID, Endpoint: a.Decision.Endpoint.Name, Address: a.Decision.Endpoint.Address,
		Method: x.Call.Method, Path: x.Call.Path, Header: forwardHeader(x.Request.Header), Body: x.Call.Body,
	})
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		return &DispatchError{NotStarted: true, Err: err}
	}
	x.dispatched = true
	if err != nil {
		return &DispatchError{TimedOut: errors.Is(err, context.DeadlineExceeded), Err: err}
	}
	a.response = resp
	return nil
}

// withheld are the request headers that stay between the caller and the
// instance: those of one hop (RFC 9110, section 7.6.1), and credentials.
var withheld = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Authorization": true, "Content-Length": true, engine.RequestIDHeader: true,
}

func forwardHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !withheld[name] {
			out[name] = values
		}
	}
	return out
}
