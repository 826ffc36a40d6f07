package pipeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/outlook"
)

// TestPromiseIsKeptOnce guards against a promise that another request inherits: the next of the
// same session, or a copy of the one that has returned.
func TestPromiseIsKeptOnce(t *testing.T) {
	var p Promises
	now := time.Unix(1000, 0)
	at, since := now.Add(900*time.Millisecond), now.Add(-200*time.Millisecond)
	request := RequestHash("/chat/", "m", "shared:800,session:90", "890,40")
	p.Record(now, outlook.Caller{Request: request, Since: since}, at)
	require.Zero(t, p.Take(at, RequestHash("/chat/", "m", "shared:800,session:130", "930,40")), "the session's next request")
	require.Equal(t, Return{Promised: true, Since: since}, p.Take(at.Add(-returnTolerance-1), request), "before its time")
	require.Equal(t, Return{Promised: true, InTime: true, Since: since}, p.Take(at.Add(returnTolerance), request))
	require.Zero(t, p.Take(at, request), "a second time")
	p.Record(now, outlook.Caller{Request: request, Since: since}, at)
	require.Equal(t, Return{Promised: true, Since: since}, p.Take(at.Add(returnTolerance+1), request), "after its time")
	require.Zero(t, p.Take(at.Add(promiseMemory), request))
	p.Record(now, outlook.Caller{}, at)
	require.Zero(t, p.Take(at, 0), "a request that cannot be identified")
}

func TestPromisesAreBounded(t *testing.T) {
	var p Promises
	now := time.Unix(1000, 0)
	for i := range uint32(3 * maxPromises) {
		p.Record(now, outlook.Caller{Request: i + 1}, now)
	}
	require.LessOrEqual(t, len(p.byRequest), maxPromises)
}
