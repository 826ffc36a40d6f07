package pipeline

import "net/http"

// Dialect defines the API that callers use: how requests are decoded and how answers are
// written.
type Dialect interface {
	// PrepareFilters returns the filters that decode a request. Together they set Call,
	// Caller and Target of the exchange.
	PrepareFilters() []Filter
	// SetHeaders completes the end-to-end headers of an answer that is passed on.
	SetHeaders(h http.Header, x *Exchange)
	// WriteFailure writes a failure as a complete answer.
	WriteFailure(w http.ResponseWriter, a Answer)
	// WriteStreamError reports a failure to the caller of an event stream of which a part
	// was passed on. It returns false if the dialect can only close the connection.
	WriteStreamError(w http.ResponseWriter, a Answer) bool
	// StreamTerminator returns the data of the event that ends a complete stream; nil
	// means that a stream is complete when its body ends without an error.
	StreamTerminator() []byte
}
