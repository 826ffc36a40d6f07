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

// slowAnswer begins its answer at once and ends it when it may, as a large list does on
// a slow way.
type slowAnswer struct{ rest chan struct{} }

func (s slowAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	body, w := io.Pipe()
	go func() {
		fmt.Fprint(w, `{"version": 7, `)
		select {
		case <-s.rest:
			fmt.Fprint(w, `"members": []}`)
			w.Close()
		case <-r.Context().Done():
			w.CloseWithError(r.Context().Err())
		}
	}()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, Request: r}, nil
}

// TestAnswerThatHasBegunIsNotGivenUp asks to give up while an answer is on its way:
// asking again would only have it sent twice.
func TestAnswerThatHasBegunIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := slowAnswer{rest: make(chan struct{})}
		s := NewSource("http://platform", answer)
		go func() {
			time.Sleep(time.Second)
			s.CancelPoll()
			time.Sleep(time.Second)
			close(answer.rest)
		}()
		l, err := s.Next(t.Context(), 0)
		require.NoError(t, err)
		require.EqualValues(t, 7, l.Version)
	})
}

// neverAnswers hangs until the caller gives up.
type neverAnswers struct{}

func (neverAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestHungCallEnds goes through the ways in which a call that nobody answers ends.
func TestHungCallEnds(t *testing.T) {
	cases := []struct {
		name string
		end  func(*Source, context.CancelFunc)
		want any
		at   time.Duration
	}{
		{"given up", func(s *Source, _ context.CancelFunc) { s.CancelPoll() }, new(*PollCancelledError), time.Second},
		{"the instance stops", func(_ *Source, stop context.CancelFunc) { stop() }, new(*SourceError), time.Second},
		{"behind the platform's hold", func(*Source, context.CancelFunc) {}, new(*SourceError), pollTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				s := NewSource("http://platform", neverAnswers{})
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
