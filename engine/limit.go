package engine

import (
	"fmt"
	"net/http"
	"time"
)

// Limit is the request limit that an endpoint reports with an answer.
type Limit struct {
	// Present is set if the endpoint reports a limit.
	Present bool
	// PerSecond is the number of requests per second that the endpoint accepts from all
	// instances together.
	PerSecond float64
}

// LimitError is returned for a limit that cannot be parsed.
type LimitError struct{ Text string }

// maxShownLimitBytes is the maximum number of bytes of Text in the error message.
const maxShownLimitBytes = 40

// Error includes the beginning of the text.
func (e *LimitError) Error() string {
	return fmt.Sprintf("limit unreadable: %q", e.Text[:min(len(e.Text), maxShownLimitBytes)])
}

// ColdRemaining returns the remaining time for which an endpoint is cold, as reported in the
// header of an answer; 0 if it is not cold or does not report it.
func (c *Client) ColdRemaining(header http.Header) time.Duration { return c.dialect.Cold(header) }

// ReportedLimit returns the limit that an endpoint reports in the header of an answer. The
// error is a *LimitError; such a report must be ignored.
func (c *Client) ReportedLimit(header http.Header) (Limit, error) { return c.dialect.Limit(header) }
