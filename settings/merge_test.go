package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

// TestMergeGolden runs the script in testdata/merge: base, mine and theirs set the
// texts, diff prints the changes from base to mine, and merge prints the result or the
// conflicts.
func TestMergeGolden(t *testing.T) {
	texts := map[string][]byte{}
	datadriven.RunTest(t, "testdata/merge/session.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "merge":
			merged, err := Merge(texts["base"], texts["mine"], texts["theirs"])
			if err != nil {
				return err.Error() + "\n"
			}
			return string(merged) + "\n"
		case "diff":
			changes, err := Diff(texts["base"], texts["mine"])
			require.NoError(t, err)
			var b strings.Builder
			for _, c := range changes {
				fmt.Fprintln(&b, c)
			}
			return b.String()
		default:
			texts[d.Cmd] = []byte(d.Input)
			return ""
		}
	})
}

// TestMergeLosesNothing makes random edits of one base and checks that each field that
// either side changed has that side's value or is a conflict.
func TestMergeLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := map[string]string{}
		for i := range 6 {
			base[fmt.Sprintf("/n%d/f%d", i%3, i)] = "0"
		}
		mine, theirs := edited(t, base, "mine"), edited(t, base, "theirs")
		merged, err := Merge(render(base), render(mine), render(theirs))
		conflict := false
		want := map[string]string{}
		for path := range union(base, mine, theirs) {
			m, th, b := mine[path], theirs[path], base[path]
			switch {
			case m != b && th != b && m != th:
				conflict = true
			case m != b:
				want[path] = m
			default:
				want[path] = th
			}
			if want[path] == "" {
				delete(want, path)
			}
		}
		if conflict {
			var ce *ConflictError
			require.ErrorAs(t, err, &ce)
			return
		}
		require.NoError(t, err)
		got, err := fieldsOf(merged)
		require.NoError(t, err)
		for path, value := range got {
			if value == emptyObject {
				delete(got, path)
			}
		}
		require.Equal(t, want, got)
	})
}

func edited(t *rapid.T, base map[string]string, who string) map[string]string {
	next := map[string]string{}
	for path, v := range base {
		next[path] = v
	}
	for range rapid.IntRange(0, 4).Draw(t, who) {
		path := fmt.Sprintf("/n%d/f%d", rapid.IntRange(0, 3).Draw(t, "node"), rapid.IntRange(0, 8).Draw(t, "field"))
		if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
			delete(next, path)
			continue
		}
		next[path] = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "value"))
	}
	return next
}

func union(maps ...map[string]string) map[string]bool {
	all := map[string]bool{}
	for _, m := range maps {
		for k := range m {
			all[k] = true
		}
	}
	return all
}

// render returns fields of depth two as a JWCC text.
func render(fields map[string]string) []byte {
	nodes := map[string][]string{}
	for path, v := range fields {
		parts := strings.Split(path, "/")
		nodes[parts[1]] = append(nodes[parts[1]], fmt.Sprintf("%q: %s", parts[2], v))
	}
	var b strings.Builder
	b.WriteString("{")
	for name, members := range nodes {
		fmt.Fprintf(&b, "%q: {%s},", name, strings.Join(members, ", "))
	}
	b.WriteString("}")
	return []byte(b.String())
}
