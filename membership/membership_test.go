package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestGolden runs the sessions in testdata/list. A member is NAME:INCARNATION:STATE.
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata/list", func(t *testing.T, path string) {
		l := NewList()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var changes []Change
			switch d.Cmd {
			case "listed":
				var version int64
				d.ScanArgs(t, "version", &version)
				listing := Listing{Version: version}
				for _, line := range strings.Fields(d.Input) {
					listing.Members = append(listing.Members, parseMember(line))
				}
				changes = l.Step(time.Time{}, Listed{Listing: listing})
			case "observed":
				m := parseMember(d.CmdArgs[0].Key)
				changes = l.Step(time.Time{}, Observed{Name: m.Name, Incarnation: m.Incarnation, State: m.State})
			}
			var b strings.Builder
			for _, c := range changes {
				fmt.Fprintf(&b, "%s:%s:%s\n", c.Member.Name, c.Member.Incarnation, c.Member.State)
			}
			if b.Len() == 0 {
				return "no change\n"
			}
			return b.String()
		})
	})
}

func parseMember(text string) Member {
	parts := strings.Split(text, ":")
	return Member{Name: parts[0], Pool: "p", Incarnation: parts[1], State: State(parts[2])}
}
