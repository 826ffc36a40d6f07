package engine

import (
	"fmt"
	"net/http"
	"time"
)

// Limit is what an endpoint says, with an answer, of the requests that it takes.
type Limit struct {
	// Present is set if it names a limit.
	Present bool
	// PerSecond is the requests a second that it takes from all instances together.
	PerSecond float64
}

// LimitError is a limit that cannot be read.
type LimitError struct{ Text string }

// shownLimit bounds how much of an unreadable limit is shown, in bytes.
const shownLimit = 40

// Error gives the beginning of the text.
func (e *LimitError) Error() string {
	return fmt.Sprintf("limit unreadable: %q", e.Text[:min(len(e.Text), shownLimit)])
}

// ColdRemaining returns how much longer an endpoint stays cold, as it tells with the head of an
// answer; 0 where it is not, or does not tell.
func (c *Client) ColdRemaining(head http.Header) time.Duration { return c.dialect.Cold(head) }

// ReportedLimit returns the limit that an endpoint tells with the head of an answer. The error
// is a *LimitError; such a word says nothing.
func (c *Client) ReportedLimit(head http.Header) (Limit, error) { return c.dialect.Limit(head) }
