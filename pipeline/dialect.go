package pipeline

import "net/http"

// Dialect is how callers ask and how they are answered.
type Dialect interface {
	// PrepareFilters returns the filters that find out what is asked. Together they
	// set Call, Caller and Target of the exchange.
	PrepareFilters() []Filter
	// SetHeaders completes the end-to-end headers of an answer that is passed on.
	SetHeaders(h http.Header, x *Exchange)
	// WriteFailure gives the caller a failure as a whole answer.
	WriteFailure(w http.ResponseWriter, a Answer)
	// WriteStreamError tells the caller of an event stream, of which a part was
	// passed on, that it broke. It reports false if the dialect has no way to
	// tell but to cut the connection.
	WriteStreamError(w http.ResponseWriter, a Answer) bool
	// StreamTerminator is the data of the event that ends a whole stream; nil means
	// that a stream is whole when its body ends without an error.
	StreamTerminator() []byte
}
