package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

// TestGolden runs the sessions in testdata. The commands listed, changed and announced take
// at=ERA/REVISION.
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var k Tracker
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at string
			d.ScanArgs(t, "at", &at)
			var v Version
			_, err := fmt.Sscanf(at, "%d/%d", &v.Era, &v.Revision)
			require.NoError(t, err)
			changed := k.Step(eventOf(t, d, v))
			in := k.InForce()
			return fmt.Sprintf("changed=%v in-force=%d/%d domains=%v\n", changed, in.Version.Era, in.Version.Revision, in.Domains)
		})
	})
}

// eventOf parses an event. The input lists domains; for changed, each has a + or - prefix.
func eventOf(t *testing.T, d *datadriven.TestData, v Version) Event {
	domains := strings.Fields(d.Input)
	switch d.Cmd {
	case "listed":
		return Listed{Set{v, domains}}
	case "announced":
		return Announced{Set{v, domains}}
	case "changed":
		c := Changed{Version: v, Domains: map[string]bool{}}
		for _, signed := range domains {
			c.Domains[signed[1:]] = signed[0] == '+'
		}
		return c
	default:
		t.Fatalf("unknown command %s", d.Cmd)
		return nil
	}
}

// TestNewestSetIsInForce delivers versions of one store history to an instance, by its own
// watch and by announcements of others, some of them delayed. It guards against an older set
// replacing a newer one.
func TestNewestSetIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []Set{{Version: Version{Revision: 1}}}
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			domain := fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "domain"))
			last := history[len(history)-1]
			next := last.apply(Changed{Domains: map[string]bool{domain: !slices.Contains(last.Domains, domain)}})
			next.Version = Version{Revision: int64(i + 2)}
			history = append(history, next)
		}
		var k Tracker
		watched, newest := -1, -1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at := rapid.IntRange(0, len(history)-1).Draw(t, "at")
			if rapid.Bool().Draw(t, "announced") {
				k.Step(Announced{history[at]})
				newest = max(newest, at)
			} else if at = max(at, watched); watched < 0 {
				k.Step(Listed{history[at]})
				watched, newest = at, max(newest, at)
			} else {
				k.Step(changesBetween(history[watched], history[at]))
				watched, newest = at, max(newest, at)
			}
			require.Equal(t, history[newest].Domains, k.InForce().Domains)
		}
	})
}

func changesBetween(from, to Set) Changed {
	c := Changed{Version: to.Version, Domains: map[string]bool{}}
	for _, d := range from.Domains {
		c.Domains[d] = false
	}
	for _, d := range to.Domains {
		c.Domains[d] = true
	}
	return c
}
