package pipeline

import (
	"errors"
	"net/http"
	"time"
)

// writeGrace is for how long behind the request's time limit the rest of an answer may be written.
const writeGrace = 200 * time.Millisecond

// boundWrites bounds the time in which the answer is written by the request's time limit. A caller that
// reads slowly, or not at all, would otherwise hold its place at the endpoint for as long as it stays.
func (x *Exchange) boundWrites(now time.Time) error {
	left := x.deadline().Sub(now) + writeGrace
	err := http.NewResponseController(x.Writer).SetWriteDeadline(time.Now().Add(left))
	if errors.Is(err, http.ErrNotSupported) {
		// The writer is not a connection of a caller.
		return nil
	}
	return err
}
