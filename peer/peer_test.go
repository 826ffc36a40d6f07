package peer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

func key(b byte) []byte { return bytes.Repeat([]byte{b}, KeyBytes) }

func TestNeighboursAreBoundedAndReachAll(t *testing.T) {
	for _, n := range []int{1, 2, 6, 9, 36, 390} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("i%d", i))
		}
		reached := map[string]bool{names[0]: true}
		frontier := []string{names[0]}
		steps := 0
		for len(reached) < n {
			steps++
			var next []string
			for _, name := range frontier {
				neighbours := Neighbours(name, names)
				require.LessOrEqual(t, len(neighbours), MaxNeighbours)
				for _, to := range neighbours {
					if !reached[to] {
						reached[to] = true
						next = append(next, to)
					}
				}
			}
			require.NotEmpty(t, next, "%d of %d are reached", len(reached), n)
			frontier = next
		}
		require.LessOrEqual(t, steps, 10, "%d instances", n)
	}
}

func TestSealRotation(t *testing.T) {
	a, err := NewSealer([][]byte{key(1)})
	require.NoError(t, err)
	b, err := NewSealer([][]byte{key(2), key(1)})
	require.NoError(t, err)
	plain, err := b.Open(a.Seal([]byte("x")))
	require.NoError(t, err)
	require.Equal(t, "x", string(plain))
	_, err = a.Open(b.Seal([]byte("x")))
	require.ErrorIs(t, err, ErrSeal)
	require.NoError(t, a.SetKeys([][]byte{key(2)}))
	_, err = a.Open(b.Seal([]byte("x")))
	require.NoError(t, err)
}

// TestReplayIsDropped compares the window with the set of accepted sequence numbers.
func TestReplayIsDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		g := newReplayGuard()
		seen := map[uint64]bool{}
		highest := uint64(0)
		for range 100 {
			seq := uint64(rapid.IntRange(1, 300).Draw(t, "seq"))
			got := g.fresh(now, Hint{From: "a", Process: "p", Seq: seq, SentMS: now.UnixMilli()})
			want := !seen[seq] && (seq > highest || highest-seq < windowBits)
			require.Equal(t, want, got, "seq %d, highest %d", seq, highest)
			seen[seq] = true
			highest = max(highest, seq)
		}
	})
}

func TestReplayOfAnEarlierProcessOrTime(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newReplayGuard()
	old := Hint{From: "a", Process: "p", Seq: 5, SentMS: now.UnixMilli()}
	require.True(t, g.fresh(now, old))
	require.True(t, g.fresh(now, Hint{From: "a", Process: "q", Seq: 1, SentMS: now.UnixMilli() + 10}))
	require.False(t, g.fresh(now, old))
	require.False(t, g.fresh(now.Add(2*maxClockSkew), Hint{From: "b", Process: "p", Seq: 1, SentMS: now.UnixMilli()}))
}

// TestRevisionReachesAll runs the gossip of many instances over a network that loses
// a third of the datagrams, and counts the rounds until all have the revision.
func TestRevisionReachesAll(t *testing.T) {
	const instances = 36
	var names []string
	nodes := map[string]*Gossip{}
	now := time.Unix(1000, 0)
	for i := range instances {
		name := fmt.Sprintf("i%d", i)
		names = append(names, name)
		nodes[name] = NewGossip(GossipConfig{Name: name, Process: "p"})
	}
	var network []Send
	lost := 0
	carry := func(name string, actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				if lost++; lost%3 != 0 {
					network = append(network, a)
				}
			case Fetch:
				// The fetch succeeds at once.
				for _, next := range nodes[name].Step(now, RevisionInForce{Revision: a.Revision}) {
					network = append(network, next.(Send))
				}
			}
		}
	}
	for _, n := range names {
		carry(n, nodes[n].Step(now, LiveInstances{Names: names}))
	}
	carry("i0", nodes["i0"].Step(now, RevisionInForce{Revision: 7}))
	rounds := 0
	for ; rounds < 20; rounds++ {
		outdated := 0
		for _, n := range nodes {
			if n.revision < 7 {
				outdated++
			}
		}
		if outdated == 0 {
			break
		}
		now = now.Add(DefaultGossipInterval)
		for _, n := range names {
			carry(n, nodes[n].Step(now, Tick{}))
		}
		for len(network) > 0 {
			s := network[0]
			network = network[1:]
			carry(s.To, nodes[s.To].Step(now, Received{Hint: s.Hint}))
		}
	}
	require.LessOrEqual(t, rounds, 4)
}

func TestStoreAgeIsPropagated(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewGossip(GossipConfig{Name: "a", Process: "p"}), NewGossip(GossipConfig{Name: "b", Process: "p"})
	for _, g := range []*Gossip{a, b} {
		g.Step(now, LiveInstances{Names: []string{"a", "b"}})
	}
	a.Step(now, StoreAnswered{})
	later := now.Add(2 * time.Second)
	for _, s := range a.Step(later, Tick{}) {
		b.Step(later, Received{Hint: s.(Send).Hint})
	}
	require.Equal(t, now, b.LastStoreAnswer())
	require.Equal(t, later, b.LastPeerContact())
}

func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

func TestDatagramsOverUDP(t *testing.T) {
	address := freeUDP(t)
	got := make(chan string, 1)
	d, err := ListenUDP(address, func(b []byte) { got <- string(b) })
	require.NoError(t, err)
	defer d.Close()
	d.Send(address, []byte("hello"))
	require.Equal(t, "hello", <-got)
}

func TestStreams(t *testing.T) {
	now := time.Now()
	identity := func(keys ...[]byte) *Identity {
		id, err := NewIdentity(keys, now)
		require.NoError(t, err)
		return id
	}
	address := freeUDP(t)
	server, err := ListenStreams(address, identity(key(1)), func(_ context.Context, req Request) Reply {
		return Reply{Found: req.Chunk == "h", Data: bytes.Repeat([]byte("x"), 1<<20)}
	})
	require.NoError(t, err)
	defer server.Close()
	ctx := context.Background()
	session, err := NewStreamClient(identity(key(2), key(1))).Dial(ctx, address)
	if err == nil {
		// The client's certificate is derived from the newer key, which the server does
		// not know: mutual TLS ends the session at the first request.
		_, err = session.Call(ctx, Request{Chunk: "h"})
		session.Close()
	}
	require.Error(t, err)
	server.SetIdentity(identity(key(1), key(2)))
	session, err = NewStreamClient(identity(key(2), key(1))).Dial(ctx, address)
	require.NoError(t, err)
	defer session.Close()
	data, err := session.Call(ctx, Request{Chunk: "h"})
	require.NoError(t, err)
	require.Len(t, data, 1<<20)
	_, err = session.Call(ctx, Request{Chunk: "other"})
	require.ErrorIs(t, err, ErrNotFound)
	_, err = NewStreamClient(identity(key(3))).Dial(ctx, address)
	require.Error(t, err)
	client := NewStreamClient(identity(key(1)))
	defer client.Close()
	for range 3 {
		_, err = client.Call(ctx, address, Request{Chunk: "h"})
		require.NoError(t, err)
	}
	require.Len(t, client.sessions, 1)
}

func FuzzDecodeHint(f *testing.F) {
	good, err := EncodeHint(Hint{Version: HintVersion, From: "a", Process: "p", Seq: 1, Revision: 2})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0xa1, 0x01, 0x18, 0x63})
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := DecodeHint(data)
		if err != nil {
			return
		}
		require.Equal(t, HintVersion, h.Version)
		again, err := EncodeHint(h)
		require.NoError(t, err)
		_, err = DecodeHint(again)
		require.NoError(t, err)
	})
}
