package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is when the tests' time begins.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestWhatAnEndpointSays(t *testing.T) {
	l, e := NewLocal(), Endpoint{Name: "e1"}
	require.True(t, l.Named(at(0), e, 1.1))
	require.False(t, l.Named(at(time.Second), e, 1.1), "the same again")
	require.True(t, l.Named(at(2*time.Second), e, 2))
	perSecond, limited := l.Limit(e)
	require.True(t, limited)
	require.Equal(t, 2.0, perSecond)
	_, limited = l.Limit(Endpoint{Name: "e1", StartedAtMS: 7})
	require.False(t, limited, "another start of it")

	require.False(t, l.Unlimited(at(3*time.Second), e, start), "an answer to a request from before the limit")
	require.True(t, l.Unlimited(at(3*time.Second), e, at(time.Second)))
	require.False(t, l.Unlimited(at(4*time.Second), e, at(2*time.Second)), "it has ended")
	_, limited = l.Limit(e)
	require.False(t, limited)
	require.True(t, l.Named(at(5*time.Second), e, 2), "it begins again")
}

func TestLocalThatKnowsNothing(t *testing.T) {
	var l *Local
	require.False(t, l.Named(start, Endpoint{Name: "e1"}, 1))
	require.False(t, l.Unlimited(start, Endpoint{Name: "e1"}, start))
	_, limited := l.Limit(Endpoint{Name: "e1"})
	require.False(t, limited)
}
