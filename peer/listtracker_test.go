package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// These tests guard against routing to an endpoint for up to half a minute after the
// platform's list has reported that it leaves. That happens when an instance's poll of the
// list begins while the list does not answer: such a call is never answered. Other instances
// have the newer list, so hints carry its version.

// listKey is the CBOR key of the list's version in a hint.
const listKey = 9

// hintWithList returns a decoded hint of an instance that has the given version of the
// list.
func hintWithList(t *testing.T, now time.Time, seq uint64, version int64) Hint {
	t.Helper()
	data, err := cbor.Marshal(map[int]any{
		1: HintVersion, 2: "b", 3: "p", 4: seq, 5: now.UnixMilli(), 6: int64(0), 7: int64(-1), listKey: version,
	})
	require.NoError(t, err)
	h, err := DecodeHint(data)
	require.NoError(t, err)
	return h
}

// withoutSends returns the actions other than Send.
func withoutSends(actions []Action) []Action {
	var others []Action
	for _, a := range actions {
		if _, sends := a.(Send); !sends {
			others = append(others, a)
		}
	}
	return others
}

func TestHintOfANewerListCausesAction(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGossip(GossipConfig{Name: "a", Process: "p"})
	g.Step(now, LiveInstances{Names: []string{"a", "b"}})
	actions := withoutSends(g.Step(now, Received{Hint: hintWithList(t, now, 1, 7)}))
	for range 4 {
		now = now.Add(250 * time.Millisecond)
		actions = append(actions, withoutSends(g.Step(now, Tick{}))...)
	}
	require.NotEmpty(t, actions, "another instance has a newer list")
}

// tickInterval is the time between two ticks of a Gossip in these tests.
const tickInterval = 250 * time.Millisecond

// refreshesAt runs a number of ticks and returns the times, from the start, at which the
// Gossip requested a refresh of the list.
func refreshesAt(g *Gossip, from time.Time, ticks int) []time.Duration {
	var at []time.Duration
	for i := 1; i <= ticks; i++ {
		now := from.Add(time.Duration(i) * tickInterval)
		for _, a := range withoutSends(g.Step(now, Tick{})) {
			if _, refreshes := a.(RefreshList); refreshes {
				at = append(at, now.Sub(from))
			}
		}
	}
	return at
}

// TestReportedListVersionCausesRefresh covers the versions that another instance may
// report and the answers that the own call may return.
func TestReportedListVersionCausesRefresh(t *testing.T) {
	start := time.Unix(1000, 0)
	report := func(version int64) Event {
		return Received{Hint: Hint{From: "b", Process: "p", Seq: uint64(version) + 1, SentMS: start.UnixMilli(), List: version}}
	}
	cases := []struct {
		name   string
		events []Event
		want   []time.Duration
	}{
		{"an older release reports no version", []Event{ListReceived{Version: 5}, report(0)}, nil},
		{"the same list", []Event{ListReceived{Version: 5}, report(5)}, nil},
		{"an older list", []Event{ListReceived{Version: 5}, report(4)}, nil},
		{"the own call returns it", []Event{ListReceived{Version: 5}, report(6), ListReceived{Version: 6}}, nil},
		{"the own call returns a newer one", []Event{ListReceived{Version: 5}, report(6), ListReceived{Version: 7}}, nil},
		{"no answer at all: refreshes back off", []Event{ListReceived{Version: 5}, report(6)}, []time.Duration{
			250 * time.Millisecond, 1250 * time.Millisecond, 3250 * time.Millisecond, 7250 * time.Millisecond, 11250 * time.Millisecond,
		}},
		{"the list does not have it", []Event{ListReceived{Version: 5}, report(100), ListReceived{Version: 5, Requested: 100}, report(99)}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGossip(GossipConfig{Name: "a", Process: "p"})
			for _, e := range c.events {
				g.Step(start, e)
			}
			require.Equal(t, c.want, refreshesAt(g, start, 48))
		})
	}
}

// TestBurstOfListsCausesNoRefresh changes the list faster than the grace period, and each
// version arrives at this instance a little later than at others: no refresh is needed.
func TestBurstOfListsCausesNoRefresh(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGossip(GossipConfig{Name: "a", Process: "p"})
	for version := int64(2); version < 40; version++ {
		g.Step(now, Received{Hint: Hint{From: "b", Process: "p", Seq: uint64(version), SentMS: now.UnixMilli(), List: version}})
		g.Step(now, ListReceived{Version: version - 1})
		now = now.Add(100 * time.Millisecond)
		require.Empty(t, withoutSends(g.Step(now, Tick{})))
	}
}

// TestNewerListIsSentOncePerTick bounds the hints caused by a list that changes often.
func TestNewerListIsSentOncePerTick(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGossip(GossipConfig{Name: "a", Process: "p"})
	g.Step(now, LiveInstances{Names: []string{"a", "b"}})
	g.Step(now, Tick{})
	for version := int64(1); version <= 20; version++ {
		require.Empty(t, g.Step(now, ListReceived{Version: version}))
	}
	sent := g.Step(now.Add(tickInterval), Tick{})
	require.Len(t, sent, 1)
	require.EqualValues(t, 20, sent[0].(Send).Hint.List)
	require.Empty(t, g.Step(now.Add(tickInterval+time.Millisecond), Tick{}))
}

// unknownFieldKey is a CBOR key that hints of this release do not use.
const unknownFieldKey = 60

func TestHintsOfNeighbouringReleasesAreDecoded(t *testing.T) {
	now := time.Unix(1000, 0)
	fields := map[int]any{1: HintVersion, 2: "b", 3: "p", 4: 1, 5: now.UnixMilli(), 6: 3, 7: -1}
	for _, key := range []int{0, unknownFieldKey} {
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

// TestNewerListReachesAllWhosePollsHang gives one instance a newer list while the polls of
// all others hang. The ticks of the instances are out of phase.
func TestNewerListReachesAllWhosePollsHang(t *testing.T) {
	const step = 10 * time.Millisecond
	// The time in which all instances must stop routing to a leaving endpoint.
	const deadline = 2 * time.Second
	for _, n := range []int{2, 6, 9} {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 0))
			var names []string
			nodes, phase, refreshes := map[string]*Gossip{}, map[string]time.Duration{}, map[string]int{}
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
			for at := time.Duration(0); at < deadline; at += step {
				now := start.Add(at)
				for _, name := range names {
					if at%tickInterval != phase[name] {
						continue
					}
					for _, a := range nodes[name].Step(now, Tick{}) {
						switch a := a.(type) {
						case Send:
							nodes[a.To].Step(now, Received{Hint: a.Hint})
						case RefreshList:
							refreshes[name]++
							nodes[name].Step(now, ListReceived{Version: 2, Requested: a.Version})
						}
					}
				}
			}
			for _, name := range names[1:] {
				require.EqualValues(t, 2, nodes[name].list.ownVersion, "%s of %d, seed %d", name, n, seed)
				require.Equal(t, 1, refreshes[name])
			}
			require.Zero(t, refreshes["i0"])
		}
	}
}
