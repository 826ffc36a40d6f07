package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func liveNames(l Listing) []string {
	names := []string{}
	for _, m := range l.Members {
		if m.State == Live {
			names = append(names, m.Name)
		}
	}
	return names
}

// TestRestoredCopyDoesNotBringBackEndedMembers lists a restored copy of the store that shows
// members as live that have since left or gone, and lacks one that has since joined.
func TestRestoredCopyDoesNotBringBackEndedMembers(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second))) }
	member := func(name string) Member { return Member{Name: name, State: Live, Incarnation: name} }
	s := NewEntries()
	s.Step(at(0), EntriesListed{[]Member{member("stays"), member("leaves"), member("goes")}})
	leaving := member("leaves")
	leaving.State = Leaving
	newer := member("newer")
	s.Step(at(1), EntriesChanged{[]EntryChange{{Name: "leaves", Member: &leaving}, {Name: "goes"}, {Name: "newer", Member: &newer}}})

	s.Step(at(2), StoreRestored{})
	l, changed := s.Step(at(2.1), EntriesListed{[]Member{member("stays"), member("leaves"), member("goes")}})
	require.False(t, changed, "%v", l)
	back := member("newer")
	s.Step(at(3), EntriesChanged{[]EntryChange{{Name: "newer", Member: &back}}})
	l, changed = s.Step(at(6), EntriesChanged{[]EntryChange{{Name: "leaves"}}})
	require.True(t, changed)
	require.ElementsMatch(t, []string{"stays", "newer"}, liveNames(l))
}

// TestMemberMissingFromTheCopyMustReappearInTime covers a member that does not write its entry
// again.
func TestMemberMissingFromTheCopyMustReappearInTime(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewEntries()
	s.Step(now, EntriesListed{[]Member{{Name: "a", State: Live}}})
	s.Step(now, StoreRestored{})
	_, changed := s.Step(now.Add(time.Second), EntriesListed{})
	require.False(t, changed)
	l, changed := s.Step(now.Add(StoreReturnGrace), EntriesTick{})
	require.True(t, changed)
	require.Empty(t, l.Members)
}
