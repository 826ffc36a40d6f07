package peer

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// An instance routed to an endpoint for up to half a minute after the platform's list
// had said that it leaves. Its poll of the list had begun while the list was silent,
// and nobody answers such a call; the other instances had the newer list, but nothing
// that they told it said so.

// listKey is the key of the list's version in an encoded hint.
const listKey = 9

// wordOfList is a hint as it arrives, by an instance that has a version of the list.
func wordOfList(t *testing.T, now time.Time, seq uint64, version int64) Hint {
	t.Helper()
	data, err := cbor.Marshal(map[int]any{
		1: HintVersion, 2: "b", 3: "p", 4: seq, 5: now.UnixMilli(), 6: int64(0), 7: int64(-1), listKey: version,
	})
	require.NoError(t, err)
	h, err := DecodeHint(data)
	require.NoError(t, err)
	return h
}

// besidesSending returns the actions that are no hints to others.
func besidesSending(actions []Action) []Action {
	var others []Action
	for _, a := range actions {
		if _, sends := a.(Send); !sends {
			others = append(others, a)
		}
	}
	return others
}

func TestWordOfANewerListIsActedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGossip(GossipConfig{Name: "a", Process: "p"})
	g.Step(now, Live{Names: []string{"a", "b"}})
	acted := besidesSending(g.Step(now, Received{Hint: wordOfList(t, now, 1, 7)}))
	for range 4 {
		now = now.Add(250 * time.Millisecond)
		acted = append(acted, besidesSending(g.Step(now, Tick{}))...)
	}
	require.NotEmpty(t, acted, "another instance has a newer list")
}
