package daemon

import (
	"context"
	"encoding/hex"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/streamversion"
)

// Stated targets that the streams' beginnings must fit.
const (
	targetNodes           = 390
	targetRequestsPerS    = 2000
	targetBytesPerNodeAnS = 12_000
)

// lineNet delivers datagrams between streamVersions of a test, and counts their bytes.
type lineNet struct {
	receivers map[string]func([]byte)
	lost      func() bool

	// mu guards bytes, by receiver.
	mu    sync.Mutex
	bytes map[string]int
}

// lineEnd is one end of a lineNet.
type lineEnd struct{ net *lineNet }

func (e lineEnd) Send(address string, data []byte) {
	const headers = 28
	e.net.mu.Lock()
	e.net.bytes[address] += len(data) + headers
	e.net.mu.Unlock()
	if e.net.lost == nil || !e.net.lost() {
		e.net.receivers[address](data)
	}
}

func (lineEnd) Close() {}

// newStreamFleet returns the streamVersions of a fleet in three failure domains.
func newStreamFleet(t *testing.T, n int) (*lineNet, []*streamVersions) {
	line := &lineNet{receivers: map[string]func([]byte){}, bytes: map[string]int{}}
	listed := map[string]presence{}
	name := func(i int) string { return fmt.Sprintf("edge-hall-outremeuse-%d", i) }
	for i := range n {
		listed[name(i)] = presence{Datagrams: fmt.Sprintf("10.1.%d.%d:8801", i/250, i%250), FailureDomain: fmt.Sprint("domain-", i%3)}
	}
	key, err := hex.DecodeString("000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f")
	require.NoError(t, err)
	var fleet []*streamVersions
	for i := range n {
		sealer, err := peer.NewSealer([][]byte{key})
		require.NoError(t, err)
		m := &mesh{
			instance: name(i), process: "26-characters-of-a-process", address: listed[name(i)].Datagrams, self: listed[name(i)],
			eras: &store.Eras{}, sealer: sealer, datagrams: lineEnd{line}, listed: listed, log: logr.Discard(), now: time.Now,
		}
		m.opener.Store(sealer)
		m.streams = newStreamVersions(m, new(expvar.Map).Init(), logr.Discard(), time.Now)
		line.receivers[m.address] = m.receive
		fleet = append(fleet, m.streams)
	}
	return line, fleet
}

// began has an instance of the fleet begin a stream.
func began(s *streamVersions, attempt string) streamversion.Key {
	key := streamversion.KeyOf("cascade-desk", attempt)
	s.Began(context.Background(), streamversion.Beginning{Key: key, Pool: "annotateur", Version: "v1.1.3", KeepMS: 60_000})
	return key
}

// TestBytesOfBeginningsInFleets guards against beginnings and searches that take more of a node's link
// than the stated target, if each request were a stream that may be taken up, and one in twenty were.
func TestBytesOfBeginningsInFleets(t *testing.T) {
	const streams, perSearch, callers = 1000, 20, 40
	for _, instances := range []int{6, 86, 300, targetNodes, 984} {
		line, fleet := newStreamFleet(t, instances)
		for i := range streams {
			key := began(fleet[i%min(callers, instances)], fmt.Sprintf("%016x", i))
			if i%perSearch > 0 {
				continue
			}
			b, state := fleet[(i+1)%min(callers, instances)].Find(t.Context(), key)
			require.Equal(t, streamversion.Known, state)
			require.Equal(t, "v1.1.3", b.Version)
		}
		total, most := 0, 0
		for _, n := range line.bytes {
			total, most = total+n, max(most, n)
		}
		perStream := float64(total) / streams
		perNode := perStream * targetRequestsPerS / float64(instances)
		t.Logf("%d instances: %.0f bytes a stream, %.0f bytes a second at the mean node with %d streams a second", instances, perStream, perNode, targetRequestsPerS)
		if instances >= targetNodes {
			require.LessOrEqual(t, perNode, float64(targetBytesPerNodeAnS))
		}
	}
}

// TestSearchSurvivesLostDatagrams guards against a stream that can't be taken up because one datagram
// was lost: of its beginning, a question or an answer.
func TestSearchSurvivesLostDatagrams(t *testing.T) {
	line, fleet := newStreamFleet(t, 9)
	n := 0
	line.lost = func() bool { n++; return n%4 == 0 }
	for i := range 50 {
		key := began(fleet[i%9], fmt.Sprint(i))
		_, state := fleet[(i+4)%9].Find(t.Context(), key)
		require.Equal(t, streamversion.Known, state, i)
	}
}

// TestInstanceThatIsCutOffKnowsNothing guards against an instance without the others that answers with
// a guess, or waits for long.
func TestInstanceThatIsCutOffKnowsNothing(t *testing.T) {
	line, fleet := newStreamFleet(t, 9)
	key := began(fleet[0], "a")
	line.lost = func() bool { return true }
	known := 0
	for _, s := range fleet {
		if _, state := s.Find(t.Context(), key); state == streamversion.Known {
			known++
		}
	}
	require.LessOrEqual(t, known, 4, "the instance that began it and three others keep it")
	_, found := fleet[1].Only(t.Context(), "annotateur")
	require.False(t, found)
}

// TestInstanceWithoutListPassesBeginningsOn guards against streams that nobody can take up because the
// instance that began them, and has ended since, had contact to the others but no list of them yet;
// and against such an instance that doesn't find the streams of others.
func TestInstanceWithoutListPassesBeginningsOn(t *testing.T) {
	for _, instances := range []int{3, 9, 86} {
		line, fleet := newStreamFleet(t, instances)
		fresh := fleet[0].mesh
		fresh.listed, fresh.reportedAddresses = map[string]presence{}, map[string]string{}
		for _, other := range fleet[1:] {
			fresh.reportedAddresses[other.mesh.instance] = other.mesh.address
		}
		fresh.unlisted = fresh.findUnlisted()
		for i := range 20 {
			key := began(fleet[1], fmt.Sprint("others", i))
			_, state := fleet[0].Find(t.Context(), key)
			require.Equal(t, streamversion.Known, state, "%d instances", instances)
		}
		var keys []streamversion.Key
		for i := range 20 {
			keys = append(keys, began(fleet[0], fmt.Sprint(i)))
		}
		line.receivers[fresh.address] = func([]byte) {}
		for i, key := range keys {
			_, state := fleet[1+i%(instances-1)].Find(t.Context(), key)
			require.Equal(t, streamversion.Known, state, "%d instances", instances)
		}
	}
}

func BenchmarkBeginning(b *testing.B) {
	_, fleet := newStreamFleet(&testing.T{}, targetNodes)
	for i := 0; b.Loop(); i++ {
		began(fleet[0], fmt.Sprint(i))
	}
}
