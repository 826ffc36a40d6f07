package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
	"github.com/eiderspring/eiderspring/membership"
)

// testFleet returns a fleet in five failure domains, in which one instance in twenty has more
// cores.
func testFleet(n int) []Instance {
	var fleet []Instance
	for i := range n {
		cores := 0.2
		if i/5%20 == 0 {
			cores = 0.8
		}
		fleet = append(fleet, Instance{Name: fmt.Sprintf("edge-%d", i), FailureDomain: fmt.Sprint("z", i%5), Cores: cores})
	}
	return fleet
}

// TestRelaysHaveTheMostCoresAndAreAgreedOn shuffles the order in which instances know the fleet.
func TestRelaysHaveTheMostCoresAndAreAgreedOn(t *testing.T) {
	fleet := testFleet(984)
	relays := Select("z1", fleet)
	require.Len(t, relays, RelaysPerDomain)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		random.Shuffle(len(fleet), func(i, j int) { fleet[i], fleet[j] = fleet[j], fleet[i] })
		require.Equal(t, relays, Select("z1", fleet))
	}
	for _, i := range fleet {
		if slices.Contains(relays, i.Name) {
			require.Equal(t, "z1", i.FailureDomain)
			require.Equal(t, 0.8, i.Cores)
		}
	}
	require.Empty(t, Select("z1", testFleet(MaxDirectReaders)), "in a small fleet all instances read from the store")
}

// TestRelaysShareTheirFollowers counts for how many instances each relay comes first.
func TestRelaysShareTheirFollowers(t *testing.T) {
	fleet := testFleet(984)
	relays := Select("z0", fleet)
	first, followers := map[string]int{}, 0
	for _, i := range fleet {
		if i.FailureDomain != "z0" || slices.Contains(relays, i.Name) {
			continue
		}
		order := Rank(i.Name, relays)
		require.ElementsMatch(t, relays, order)
		first[order[0]]++
		followers++
	}
	for _, r := range relays {
		require.InDelta(t, followers/RelaysPerDomain, first[r], float64(followers)/8)
		require.Nil(t, Rank(r, relays))
	}
}

// entry returns a member as the platform's workers register it.
func entry(i int) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("i-%010x", i*7919), Pool: "lohu930", Address: fmt.Sprintf("10.%d.%d.%d:8128", 128+i%5, i/250, i%250),
		FailureDomain: fmt.Sprint("pnw-moses-lake-", i%5), Incarnation: fmt.Sprintf("i-%010x@%d", i*7919, 1_796_000_000_000+i), StartedAtMS: 1_796_000_000_000 + int64(i),
		State: membership.Live, Slots: 64, Resident: []string{fmt.Sprintf("daka%d", i%444), fmt.Sprintf("rada%d", i*3%444), fmt.Sprintf("ravo%d", i*7%444)},
	}
}

func TestDeltaSurvivesEncoding(t *testing.T) {
	for _, members := range []int{0, 1, 40} {
		d := Delta{Process: "p", Seq: 9, Current: true, Revision: 4, Removed: []string{"gone"}}
		for i := range members {
			d.Members = append(d.Members, entry(i))
		}
		encoded, err := Encode(d)
		require.NoError(t, err)
		got, err := Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, d, got)
		_, err = Decode(encoded[:len(encoded)/2])
		require.Error(t, err)
	}
	_, err := Decode([]byte{9})
	require.ErrorIs(t, err, ErrUnknownFormat)
}

// TestFollowersEndWithTheSameMembers changes members at random while two instances follow, at
// times after many changes, at times after a restart of the sender.
func TestFollowersEndWithTheSameMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		feed := NewFeed("p0")
		now := time.Unix(1000, 0)
		members := map[string]membership.Member{}
		version := int64(0)
		type follower struct {
			entries *membership.Entries
			process string
			seq     int64
		}
		followers := []*follower{{entries: membership.NewEntries()}, {entries: membership.NewEntries()}}
		take := func() {
			version++
			l := membership.Listing{Version: version}
			for _, m := range members {
				l.Members = append(l.Members, m)
			}
			feed.Update(l)
		}
		follow := func(f *follower) {
			d := feed.Since(f.process, f.seq)
			if !d.Empty() {
				f.entries.Step(now, d.Event())
			}
			f.process, f.seq = d.Process, d.Seq
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "member"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				delete(members, name)
			case 1:
				feed = NewFeed(fmt.Sprint("p", i+1))
			case 2:
				follow(followers[rapid.IntRange(0, 1).Draw(t, "follower")])
			default:
				members[name] = membership.Member{Name: name, Incarnation: name, State: membership.Live, Slots: i}
			}
			take()
		}
		for _, f := range followers {
			follow(f)
			got := map[string]membership.Member{}
			for _, m := range f.entries.Listing().Members {
				got[m.Name] = m
			}
			require.Equal(t, members, got)
		}
	})
}

// storeBytes is the approximate size in bytes of an entry in the store's list.
const storeBytes = 420

// TestSimultaneousStartDoesNotSaturateTheStoresLink computes what the store and the busiest
// relay send while all instances start at once, each in front of four endpoints. With every
// instance reading from the store, this grew with the square of the fleet and took 13 s of a
// link of 1,000 Mbit/s at 984 instances.
func TestSimultaneousStartDoesNotSaturateTheStoresLink(t *testing.T) {
	const link = 125e6
	for _, size := range []int{6, 90, 301, 984, 1968} {
		fleet := testFleet(size)
		endpoints := 4 * size
		d := Delta{Full: true}
		for i := range endpoints {
			d.Members = append(d.Members, entry(i))
		}
		encoded, err := Encode(d)
		require.NoError(t, err)
		readers, followers := 0, map[string]int{}
		for _, i := range fleet {
			order := Rank(i.Name, Select(i.FailureDomain, fleet))
			if len(order) == 0 {
				readers++
				continue
			}
			followers[order[0]]++
		}
		maxFollowers := 0
		for _, n := range followers {
			maxFollowers = max(maxFollowers, n)
		}
		store := float64(readers*endpoints*storeBytes) / link
		relay := float64(maxFollowers*len(encoded)) / link
		t.Logf("%d instances, %d endpoints: %d read the store (%.2f s of its link), one serves %d (%d KB, %.2f s)", size, endpoints, readers, store, maxFollowers, len(encoded)/1000, relay)
		require.Less(t, store, 0.6)
		require.Less(t, relay, 0.6)
	}
}
