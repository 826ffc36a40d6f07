package streamversion

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSessions runs sessions of tables and searches. A line is a time in milliseconds and an event.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		table := NewTable()
		var search *Search
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				fields := strings.Fields(line)
				var ms int64
				_, err := fmt.Sscan(fields[0], &ms)
				require.NoError(t, err)
				now := time.UnixMilli(ms)
				args := fields[2:]
				switch fields[1] {
				case "put":
					// put STREAM POOL VERSION KEEP-MS
					b := Beginning{Key: KeyOf("", args[0]), Pool: args[1], Version: args[2]}
					_, err := fmt.Sscan(args[3], &b.KeepMS)
					require.NoError(t, err)
					fmt.Fprintf(&out, "%d kept %t of %d\n", ms, table.Put(now, b), table.Len())
				case "find":
					b, state := table.Find(now, KeyOf("", args[0]))
					fmt.Fprintf(&out, "%d %s %s\n", ms, state, b.Version)
				case "search":
					// search NEAR,... FAR,...
					search = NewSearch(now, split(args[0]), split(args[1]))
				case "tick":
					ask, round := search.Tick(now)
					_, state, ended := search.Result()
					fmt.Fprintf(&out, "%d ask %v in round %d; ended %t, %s\n", ms, ask, round, ended, state)
				case "answer":
					// answer FROM ROUND [VERSION | conflicting]
					a := Answer{}
					_, err := fmt.Sscan(args[1], &a.Round)
					require.NoError(t, err)
					if len(args) > 2 {
						a.State, a.Beginning.Version = Known, args[2]
					}
					if a.Beginning.Version == "conflicting" {
						a.State = Conflicting
					}
					search.Answered(args[0], a)
					b, state, ended := search.Result()
					fmt.Fprintf(&out, "%d ended %t, %s %s\n", ms, ended, state, b.Version)
				}
			}
			return out.String()
		})
	})
}

// split splits names that are joined by commas; - stands for none.
func split(names string) []string {
	if names == "-" {
		return nil
	}
	return strings.Split(names, ",")
}

// fleetOf draws a fleet.
func fleetOf(t *rapid.T) []Instance {
	n := rapid.IntRange(1, 60).Draw(t, "instances")
	var fleet []Instance
	for i := range n {
		region := rapid.IntRange(0, 2).Draw(t, "region")
		domain := rapid.IntRange(0, 3).Draw(t, "domain")
		fleet = append(fleet, Instance{Name: fmt.Sprint(i), FailureDomain: fmt.Sprint(region, "-", domain), Region: fmt.Sprint(region)})
	}
	return fleet
}

// TestOwnersAreInDifferentFailureDomains guards against a beginning that is lost with one failure
// domain, and against owners that the instances compute differently.
func TestOwnersAreInDifferentFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := fleetOf(t)
		home := rapid.SampledFrom(instances).Draw(t, "home").Region
		key := KeyOf("", rapid.String().Draw(t, "attempt"))
		near, far := NewFleet(instances).Owners(key, home)
		shuffled := rapid.Permutation(instances).Draw(t, "order")
		again, farAgain := NewFleet(shuffled).Owners(key, home)
		require.Equal(t, near, again)
		require.Equal(t, far, farAgain)
		domains, all := map[string]bool{}, map[string]bool{}
		count := 0
		for _, i := range instances {
			if i.Region == home {
				all[i.FailureDomain] = true
				count++
			}
			if slices.Contains(near, i.Name) {
				require.Equal(t, home, i.Region)
				domains[i.FailureDomain] = true
			}
			require.False(t, slices.Contains(far, i.Name) && i.Region == home)
		}
		require.Len(t, near, min(count, ownersPerRegion))
		require.Len(t, domains, min(len(all), ownersPerRegion))
	})
}

// TestOwnersChangeLittle guards against an instance that joins and makes the beginnings of most streams
// impossible to find: at most one owner of a key changes.
func TestOwnersChangeLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := fleetOf(t)
		joined := rapid.SampledFrom(instances).Draw(t, "joined")
		before := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return i.Name == joined.Name })
		key := KeyOf("", rapid.String().Draw(t, "attempt"))
		old, _ := NewFleet(before).Owners(key, joined.Region)
		current, _ := NewFleet(instances).Owners(key, joined.Region)
		lost := 0
		for _, name := range old {
			if !slices.Contains(current, name) {
				lost++
			}
		}
		require.LessOrEqual(t, lost, 1)
	})
}

// TestTableNeverNamesTwoVersions guards against a table that answers with one of two versions for a
// stream, or with an expired one, or grows without bound.
func TestTableNeverNamesTwoVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(), time.Unix(1000, 0)
		versions := map[string]map[string]bool{}
		until := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			attempt := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt")
			if !now.Before(until[attempt]) {
				delete(versions, attempt)
			}
			if rapid.Bool().Draw(t, "put") {
				b := Beginning{Key: KeyOf("", attempt), Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), KeepMS: int64(rapid.IntRange(1, 5000).Draw(t, "keep"))}
				require.True(t, table.Put(now, b))
				if versions[attempt] == nil {
					versions[attempt] = map[string]bool{}
				}
				versions[attempt][b.Version] = true
				until[attempt] = latest(until[attempt], now.Add(b.keep()))
			}
			b, state := table.Find(now, KeyOf("", attempt))
			switch len(versions[attempt]) {
			case 0:
				require.Equal(t, Unknown, state)
			case 1:
				require.Equal(t, Known, state)
				require.True(t, versions[attempt][b.Version])
			default:
				require.Equal(t, Conflicting, state)
			}
		}
		// The next beginning after all have expired finds an empty table.
		now = now.Add(MaxKeep)
		require.True(t, table.Put(now, Beginning{Key: KeyOf("", "last"), KeepMS: 1}))
		require.Equal(t, 1, table.Len())
		require.LessOrEqual(t, len(table.due), 1)
	})
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// TestFullTableKeepsWhatItHas guards against a caller with many attempts that pushes others' streams
// out.
func TestFullTableKeepsWhatItHas(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	for i := range MaxBeginnings {
		require.True(t, table.Put(now, Beginning{Key: KeyOf("", fmt.Sprint(i)), Version: "v1", KeepMS: 1000}))
	}
	more := Beginning{Key: KeyOf("", "more"), Version: "v1", KeepMS: 1000}
	require.False(t, table.Put(now, more))
	_, state := table.Find(now, KeyOf("", "0"))
	require.Equal(t, Known, state)
	require.True(t, table.Put(now.Add(3*time.Second), more))
}

// TestKeysOfAccountsDiffer guards against a caller that takes up another account's stream.
func TestKeysOfAccountsDiffer(t *testing.T) {
	require.NotEqual(t, KeyOf("desk", "a"), KeyOf("clerks", "a"))
	require.NotEqual(t, KeyOf("desk", "a"), KeyOf("", "deska"))
}

// storedEntry is an entry and when it was written.
type storedEntry struct {
	at    time.Time
	entry *Entry
}

// asOf returns the last entry that was written before a time; nil for none.
func asOf(history []storedEntry, at time.Time) *Entry {
	var found *Entry
	for _, s := range history {
		if s.at.Before(at) {
			found = s.entry
		}
	}
	return found
}

// TestRegisterNamesEachVersionLongEnough guards against an entry that claims to be complete and lacks
// a version whose streams may still be taken up, over holders of the lease that follow one another,
// are suspended, and write, and over a store that comes back from a copy.
func TestRegisterNamesEachVersionLongEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var stored *Entry
		var history []storedEntry
		era := int64(1)
		seen := map[string]time.Time{}
		present := []string{"v1"}
		first := rapid.Bool().Draw(t, "first")
		register := NewRegister()
		if !first {
			// Streams of a version that is gone may be taken up.
			seen["v0"] = now
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 10:
				// The store comes back; the holder reads the entry again.
				era++
				stored = asOf(history, now.Add(-time.Duration(rapid.IntRange(0, int(maxCopyAge.Seconds())).Draw(t, "age"))*time.Second))
				register.Step(now, era, present)
				register.Load(now, stored)
			case 0:
				register, first = NewRegister(), false
				register.Load(now, stored)
			case 1:
				// The holder is suspended; another version comes and goes meanwhile.
				now = now.Add(maxStepGap + time.Second)
				if stored != nil {
					seen["suspended"] = now
					e := stored.With("suspended")
					e.Versions = slices.Compact(e.Versions)
					stored = &e
					history = append(history, storedEntry{now, stored})
				}
				register.Load(now, stored)
			case 2:
				present = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 0, 3, rapid.ID).Draw(t, "present")
			case 3:
				for range int(MaxKeep / maxStepGap) {
					now = now.Add(maxStepGap)
					register.Step(now, era, present)
					for _, version := range present {
						seen[version] = now
					}
				}
			default:
				now = now.Add(200 * time.Millisecond)
			}
			register.Step(now, era, present)
			for _, version := range present {
				seen[version] = now
			}
			if e, changed := register.Entry(first); changed {
				stored = &e
				history = append(history, storedEntry{now, stored})
				register.Load(now, stored)
			}
			if stored == nil || !stored.Complete || stored.Era != era {
				continue
			}
			for version, at := range seen {
				if now.Sub(at) < MaxKeep-maxStepGap {
					require.Contains(t, stored.Versions, version)
				}
			}
		}
	})
}

// TestOnlyVersionIsCertain guards against a version that is taken for the only one of its pool.
func TestOnlyVersionIsCertain(t *testing.T) {
	const era = 2
	for name, tc := range map[string]struct {
		entry   Entry
		present []string
		want    string
	}{
		"one":                {Entry{Versions: []string{"v1"}, Complete: true}, []string{"v1"}, "v1"},
		"none present":       {Entry{Versions: []string{"v1"}, Complete: true}, nil, "v1"},
		"two":                {Entry{Versions: []string{"v1", "v2"}, Complete: true}, []string{"v1"}, ""},
		"others may be gone": {Entry{Versions: []string{"v1"}}, []string{"v1"}, ""},
		"not written yet":    {Entry{Versions: []string{"v1"}, Complete: true}, []string{"v1", "v2"}, ""},
		"unknown":            {Entry{Versions: []string{""}, Complete: true}, []string{""}, ""},
		"nothing":            {Entry{Complete: true}, []string{"v1"}, ""},
		"from a copy":        {Entry{Versions: []string{"v1"}, Complete: true, Era: 1}, []string{"v1"}, ""},
	} {
		if tc.entry.Era == 0 {
			tc.entry.Era = era
		}
		version, found := tc.entry.Only(era, tc.present)
		require.Equal(t, tc.want, version, name)
		require.Equal(t, tc.want != "", found, name)
	}
}
