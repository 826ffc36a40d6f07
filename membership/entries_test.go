package membership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestEntriesGolden runs the sessions in testdata/entries. Times are in milliseconds since the
// start.
func TestEntriesGolden(t *testing.T) {
	datadriven.Walk(t, "testdata/entries", func(t *testing.T, path string) {
		s := NewEntries()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms int
			d.ScanArgs(t, "at", &ms)
			listing, changed := s.Step(time.UnixMilli(int64(ms)), entryEvent(t, d))
			if !changed {
				return "unchanged\n"
			}
			return show(listing)
		})
	})
}

func entryEvent(t *testing.T, d *datadriven.TestData) EntryEvent {
	switch d.Cmd {
	case "listed":
		return EntriesListed{Members: entryMembers(d)}
	case "changed":
		return EntriesChanged{Changes: entryChanges(entryMembers(d))}
	case "removed":
		var name string
		d.ScanArgs(t, "name", &name)
		changes := append([]EntryChange{{Name: name}}, entryChanges(entryMembers(d))...)
		return EntriesChanged{Changes: changes}
	case "unreachable":
		return StoreUnreachable{}
	case "answered":
		var since int
		d.MaybeScanArgs(t, "since", &since)
		if since == 0 {
			return StoreAnswered{}
		}
		return StoreAnswered{Since: time.UnixMilli(int64(since))}
	default:
		return EntriesTick{}
	}
}

// entryChanges returns the changes that add or update members.
func entryChanges(members []Member) []EntryChange {
	var changes []EntryChange
	for _, m := range members {
		changes = append(changes, EntryChange{Name: m.Name, Member: &m})
	}
	return changes
}

// entryMembers parses one member a line: NAME STATE [UNIT ...]. NAME is NAME@START if the entry
// has the start time of its member, and NAME#N for an incarnation without it.
func entryMembers(d *datadriven.TestData) []Member {
	var members []Member
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		m := Member{Incarnation: fields[0], State: State(fields[1]), Resident: fields[2:]}
		name, start, hasStart := strings.Cut(fields[0], "@")
		m.Name, _, _ = strings.Cut(name, "#")
		if hasStart {
			at, err := strconv.ParseInt(start, 10, 64)
			if err != nil {
				d.Fatalf(nil, "start: %v", err)
			}
			m.StartedAtMS = at
		}
		members = append(members, m)
	}
	return members
}

func show(l Listing) string {
	slices.SortFunc(l.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", l.Version)
	for _, m := range l.Members {
		fmt.Fprintln(&b, strings.TrimSpace(fmt.Sprintf("%s %s %s", m.Incarnation, m.State, strings.Join(m.Resident, " "))))
	}
	return b.String()
}

// After an outage, one response reported both that a member leaves and that its entry was
// deleted. As only the last of these counted, the entry seemed to have lapsed, and the member
// was kept for the grace period.
func TestMemberThatLeavesAndGoesInOneResponseIsGone(t *testing.T) {
	s := NewEntries()
	live, leaving := Member{Name: "a", State: Live}, Member{Name: "a", State: Leaving}
	s.Step(time.UnixMilli(0), EntriesListed{Members: []Member{live}})
	s.Step(time.UnixMilli(1000), StoreUnreachable{})
	s.Step(time.UnixMilli(5000), StoreAnswered{})
	l, changed := s.Step(time.UnixMilli(5001), EntriesChanged{Changes: []EntryChange{{Name: "a", Member: &leaving}, {Name: "a"}}})
	require.True(t, changed)
	require.Empty(t, l.Members)
}
