package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Source reads the platform's list by long polling.
type Source struct {
	url    string
	client *http.Client

	mu sync.Mutex
	// cancelPoll cancels the call whose response has not begun; nil if there is none.
	cancelPoll context.CancelCauseFunc
}

// maxListingBytes bounds one response of the list.
const maxListingBytes = 4 << 20

const (
	// platformPollHold is how long the platform holds a request while the list is unchanged, as
	// defined by its interface.
	platformPollHold = 10 * time.Second
	// pollSlack is the additional time that a call may take, the same as for any call to the
	// platform (store.DefaultCallTimeout).
	pollSlack = 2 * time.Second
	// pollTimeout bounds a call that is not answered.
	pollTimeout = platformPollHold + pollSlack
)

// PollCancelledError is the error of a call that was cancelled by CancelPoll.
type PollCancelledError struct {
	// Waited is how long the call had waited for a response.
	Waited time.Duration
}

// Error gives the time that the call waited.
func (e *PollCancelledError) Error() string {
	return fmt.Sprintf("poll of the platform's list was cancelled after %v", e.Waited)
}

// errPollCancelled is the cause with which CancelPoll cancels a call.
var errPollCancelled = errors.New("poll cancelled")

// NewSource returns a source that polls the list at url. A nil transport means the default of
// net/http.
func NewSource(url string, transport http.RoundTripper) *Source {
	return &Source{url: strings.TrimSuffix(url, "/") + "/members", client: &http.Client{Transport: transport}}
}

// SourceError is a failure to read the platform's list.
type SourceError struct{ Err error }

// Error gives the cause.
func (e *SourceError) Error() string { return fmt.Sprintf("platform's list: %v", e.Err) }

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Err }

// Next returns the list once it is newer than version after.
func (s *Source) Next(ctx context.Context, after int64) (Listing, error) {
	for {
		l, unchanged, err := s.poll(ctx, after)
		if !unchanged {
			return l, err
		}
	}
}

// CancelPoll cancels a call whose response has not begun, and closes its connection: Next
// returns a PollCancelledError. A response that has begun is left to complete.
func (s *Source) CancelPoll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelPoll != nil {
		s.cancelPoll(errPollCancelled)
	}
}

// setCancel sets how a call that waits for its response is cancelled; nil means that none
// waits.
func (s *Source) setCancel(cancelPoll context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelPoll = cancelPoll
}

// poll makes one request; the platform holds it while the list is unchanged, and answers 304 at
// the end of that time.
func (s *Source) poll(ctx context.Context, after int64) (l Listing, unchanged bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	bounded, cancelPoll := context.WithCancelCause(bounded)
	defer cancelPoll(nil)
	began := time.Now()
	l, unchanged, err = s.request(bounded, cancelPoll, after)
	if err == nil || bounded.Err() == nil || ctx.Err() != nil {
		return l, unchanged, err
	}
	// Idle connections may have stalled for the same reason as this one.
	s.client.CloseIdleConnections()
	if errors.Is(context.Cause(bounded), errPollCancelled) {
		err = &PollCancelledError{Waited: time.Since(began)}
	}
	return l, false, err
}

// request makes the call of poll.
func (s *Source) request(ctx context.Context, cancelPoll context.CancelCauseFunc, after int64) (l Listing, unchanged bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"?after="+strconv.FormatInt(after, 10), nil)
	if err != nil {
		return l, false, &SourceError{Err: err}
	}
	s.setCancel(cancelPoll)
	resp, err := s.client.Do(req)
	s.setCancel(nil)
	if err != nil {
		return l, false, &SourceError{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return l, true, nil
	}
	if resp.StatusCode != http.StatusOK {
		return l, false, &SourceError{Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListingBytes)).Decode(&l); err != nil {
		return l, false, &SourceError{Err: err}
	}
	return l, false, nil
}
