package pipeline

import (
	"errors"
	"net/http"
)

// framing is how the end of an answer's body is marked (RFC 9112, section 6.3).
type framing string

const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	// framedByClose marks the end by the end of the connection alone: a break by an orderly close
	// looks the same.
	framedByClose framing = "close"
)

// framingOf returns the framing of an answer.
func framingOf(resp *http.Response) framing {
	switch {
	case resp.ContentLength >= 0:
		return framedByLength
	case len(resp.TransferEncoding) > 0:
		return framedByChunks
	default:
		return framedByClose
	}
}

// answerFraming returns the framing of the last answer that an endpoint has begun; empty if none has.
func (x *Exchange) answerFraming() framing {
	if len(x.Attempts) == 0 || x.attempt().response == nil {
		return ""
	}
	return framingOf(x.attempt().response)
}

// countFraming counts an answer that only the end of its connection frames, and a stream that ended
// inside an event.
func (m *Metrics) countFraming(x *Exchange, err error) {
	if x.answerFraming() == framedByClose {
		m.vars.Add("answers_framed_by_close", 1)
	}
	if errors.Is(err, errTruncated) {
		m.vars.Add("streams_truncated", 1)
	}
}
