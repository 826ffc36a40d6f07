package peer

import (
	"fmt"
	"math/rand/v2"
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
	g.Step(now, LiveInstances{Names: []string{"a", "b"}})
	acted := besidesSending(g.Step(now, Received{Hint: wordOfList(t, now, 1, 7)}))
	for range 4 {
		now = now.Add(250 * time.Millisecond)
		acted = append(acted, besidesSending(g.Step(now, Tick{}))...)
	}
	require.NotEmpty(t, acted, "another instance has a newer list")
}

// listTick is the time between two looks of the gossip in these tests.
const listTick = 250 * time.Millisecond

// asksAt lets the gossip look for a while and returns when it asked for the list.
func asksAt(g *Gossip, from time.Time, looks int) []time.Duration {
	var at []time.Duration
	for i := 1; i <= looks; i++ {
		now := from.Add(time.Duration(i) * listTick)
		for _, a := range besidesSending(g.Step(now, Tick{})) {
			if _, asks := a.(RefreshList); asks {
				at = append(at, now.Sub(from))
			}
		}
	}
	return at
}

// TestWhenTheListIsAskedOnAWord goes through what another instance may tell and what the
// own call may bring.
func TestWhenTheListIsAskedOnAWord(t *testing.T) {
	start := time.Unix(1000, 0)
	word := func(version int64) Event {
		return Received{Hint: Hint{From: "b", Process: "p", Seq: uint64(version) + 1, SentMS: start.UnixMilli(), List: version}}
	}
	cases := []struct {
		name   string
		events []Event
		want   []time.Duration
	}{
		{"an older release tells no version", []Event{ListReceived{Version: 5}, word(0)}, nil},
		{"the same list", []Event{ListReceived{Version: 5}, word(5)}, nil},
		{"an older list", []Event{ListReceived{Version: 5}, word(4)}, nil},
		{"the own call brings it", []Event{ListReceived{Version: 5}, word(6), ListReceived{Version: 6}}, nil},
		{"the own call brings a newer one", []Event{ListReceived{Version: 5}, word(6), ListReceived{Version: 7}}, nil},
		{"no answer at all: asks come further apart", []Event{ListReceived{Version: 5}, word(6)}, []time.Duration{
			250 * time.Millisecond, 1250 * time.Millisecond, 3250 * time.Millisecond, 7250 * time.Millisecond, 11250 * time.Millisecond,
		}},
		{"the list does not have it", []Event{ListReceived{Version: 5}, word(100), ListReceived{Version: 5, Asked: 100}, word(99)}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGossip(GossipConfig{Name: "a", Process: "p"})
			for _, e := range c.events {
				g.Step(start, e)
			}
			require.Equal(t, c.want, asksAt(g, start, 48))
		})
	}
}

// TestBurstOfListsAsksForNothing has a list that changes faster than the grace and of
// which every version comes here a little later than elsewhere.
func TestBurstOfListsAsksForNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGossip(GossipConfig{Name: "a", Process: "p"})
	for version := int64(2); version < 40; version++ {
		g.Step(now, Received{Hint: Hint{From: "b", Process: "p", Seq: uint64(version), SentMS: now.UnixMilli(), List: version}})
		g.Step(now, ListReceived{Version: version - 1})
		now = now.Add(100 * time.Millisecond)
		require.Empty(t, besidesSending(g.Step(now, Tick{})))
	}
}

// TestNewerListIsToldOnceALook bounds the hints of a list that changes often.
func TestNewerListIsToldOnceALook(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGossip(GossipConfig{Name: "a", Process: "p"})
	g.Step(now, LiveInstances{Names: []string{"a", "b"}})
	g.Step(now, Tick{})
	for version := int64(1); version <= 20; version++ {
		require.Empty(t, g.Step(now, ListReceived{Version: version}))
	}
	told := g.Step(now.Add(listTick), Tick{})
	require.Len(t, told, 1)
	require.EqualValues(t, 20, told[0].(Send).Hint.List)
	require.Empty(t, g.Step(now.Add(listTick+time.Millisecond), Tick{}))
}

// fieldKeyOfLater is a key that no hint of this release has.
const fieldKeyOfLater = 60

func TestHintsOfNeighbouringReleasesAreRead(t *testing.T) {
	now := time.Unix(1000, 0)
	fields := map[int]any{1: HintVersion, 2: "b", 3: "p", 4: 1, 5: now.UnixMilli(), 6: 3, 7: -1}
	for _, key := range []int{0, fieldKeyOfLater} {
		if key > 0 {
			fields[key] = 7
		}
		data, err := cbor.Marshal(fields)
		require.NoError(t, err)
		h, err := DecodeHint(data)
		require.NoError(t, err)
		require.Zero(t, h.List)
		require.EqualValues(t, 3, h.Revision)
	}
}

// TestNewerListReachesAllWhosePollsHang has one instance hear of a newer list, the polls
// of all others hanging. Each look begins at a moment of its own.
func TestNewerListReachesAllWhosePollsHang(t *testing.T) {
	const step = 10 * time.Millisecond
	// The time that there is for a leaving endpoint.
	const inTime = 2 * time.Second
	for _, n := range []int{2, 6, 9} {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 0))
			var names []string
			nodes, phase, asks := map[string]*Gossip{}, map[string]time.Duration{}, map[string]int{}
			for i := range n {
				name := fmt.Sprintf("i%d", i)
				names = append(names, name)
				nodes[name], phase[name] = NewGossip(GossipConfig{Name: name, Process: "p"}), time.Duration(r.IntN(25))*step
			}
			start := time.Unix(1000, 0)
			for _, name := range names {
				nodes[name].Step(start, LiveInstances{Names: names})
				nodes[name].Step(start, ListReceived{Version: 1})
			}
			nodes["i0"].Step(start, ListReceived{Version: 2})
			for at := time.Duration(0); at < inTime; at += step {
				now := start.Add(at)
				for _, name := range names {
					if at%listTick != phase[name] {
						continue
					}
					for _, a := range nodes[name].Step(now, Tick{}) {
						switch a := a.(type) {
						case Send:
							nodes[a.To].Step(now, Received{Hint: a.Hint})
						case RefreshList:
							asks[name]++
							nodes[name].Step(now, ListReceived{Version: 2, Asked: a.Version})
						}
					}
				}
			}
			for _, name := range names[1:] {
				require.EqualValues(t, 2, nodes[name].list.own, "%s of %d, seed %d", name, n, seed)
				require.Equal(t, 1, asks[name])
			}
			require.Zero(t, asks["i0"])
		}
	}
}
