package membership

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowResponse starts its response at once and completes it once complete is closed, like a
// large list on a slow link.
type slowResponse struct{ complete chan struct{} }

func (s slowResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	body, w := io.Pipe()
	go func() {
		fmt.Fprint(w, `{"version": 7, `)
		select {
		case <-s.complete:
			fmt.Fprint(w, `"members": []}`)
			w.Close()
		case <-r.Context().Done():
			w.CloseWithError(r.Context().Err())
		}
	}()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, Request: r}, nil
}

// TestStartedResponseIsNotCancelled cancels while a response is being received: another request
// would only transfer it twice.
func TestStartedResponseIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response := slowResponse{complete: make(chan struct{})}
		s := NewSource("http://platform", response)
		go func() {
			time.Sleep(time.Second)
			s.CancelPoll()
			time.Sleep(time.Second)
			close(response.complete)
		}()
		l, err := s.Next(t.Context(), 0)
		require.NoError(t, err)
		require.EqualValues(t, 7, l.Version)
	})
}

// noResponse waits until the client cancels.
type noResponse struct{}

func (noResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestHungCallEnds covers the ways in which a call without a response ends.
func TestHungCallEnds(t *testing.T) {
	cases := []struct {
		name string
		end  func(*Source, context.CancelFunc)
		want any
		at   time.Duration
	}{
		{"cancelled", func(s *Source, _ context.CancelFunc) { s.CancelPoll() }, new(*PollCancelledError), time.Second},
		{"the instance stops", func(_ *Source, stop context.CancelFunc) { stop() }, new(*SourceError), time.Second},
		{"past the platform's hold time", func(*Source, context.CancelFunc) {}, new(*SourceError), pollTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				s := NewSource("http://platform", noResponse{})
				s.CancelPoll()
				go func() {
					time.Sleep(time.Second)
					c.end(s, stop)
				}()
				began := time.Now()
				_, err := s.Next(ctx, 1)
				require.ErrorAs(t, err, c.want)
				require.Equal(t, c.at, time.Since(began))
			})
		})
	}
}
