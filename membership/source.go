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
	// giveUp ends the call whose answer has not begun; nil if there is none.
	giveUp context.CancelCauseFunc
}

// maxListingBytes bounds one answer of the list.
const maxListingBytes = 4 << 20

const (
	// platformHold is how long the platform holds an unchanged list, by its interface.
	platformHold = 10 * time.Second
	// pollSlack is what a call may take besides, as long as any call to the platform
	// (store.DefaultCallTimeout).
	pollSlack = 2 * time.Second
	// pollTimeout bounds a call that nobody answers.
	pollTimeout = platformHold + pollSlack
)

// PollCancelledError is the error of a call that was given up by GiveUp.
type PollCancelledError struct {
	// Waited is how long the call had no answer.
	Waited time.Duration
}

// Error says so.
func (e *PollCancelledError) Error() string {
	return fmt.Sprintf("poll of the platform's list was given up after %v", e.Waited)
}

// errGivenUp is the cause that ends such a call.
var errGivenUp = errors.New("given up")

// NewSource returns a source that asks the list at url. A nil transport means
// net/http's default.
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

// CancelPoll gives up a call whose answer has not begun, and its connection: Next returns
// a GivenUpError. An answer that has begun is on its way and is left to come.
func (s *Source) CancelPoll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.giveUp != nil {
		s.giveUp(errGivenUp)
	}
}

// waits records how a call that waits is given up; nil says that none waits.
func (s *Source) waits(giveUp context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveUp = giveUp
}

// poll asks once; the platform holds the request while the list is unchanged,
// and tells so in the end.
func (s *Source) poll(ctx context.Context, after int64) (l Listing, unchanged bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	bounded, giveUp := context.WithCancelCause(bounded)
	defer giveUp(nil)
	began := time.Now()
	l, unchanged, err = s.ask(bounded, giveUp, after)
	if err == nil || bounded.Err() == nil || ctx.Err() != nil {
		return l, unchanged, err
	}
	// Whatever silenced this connection may have silenced those that rest.
	s.client.CloseIdleConnections()
	if errors.Is(context.Cause(bounded), errGivenUp) {
		err = &PollCancelledError{Waited: time.Since(began)}
	}
	return l, false, err
}

// ask makes the call of poll.
func (s *Source) ask(ctx context.Context, giveUp context.CancelCauseFunc, after int64) (l Listing, unchanged bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"?after="+strconv.FormatInt(after, 10), nil)
	if err != nil {
		return l, false, &SourceError{Err: err}
	}
	s.waits(giveUp)
	resp, err := s.client.Do(req)
	s.waits(nil)
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
