package handover

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eiderspring/eiderspring/outcome"
)

// TestSessions runs sessions of the choice of helpers. A line is the time in milliseconds, a verb
// and the name of an instance; instances whose name begins with "far" are in another region.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		h := NewHelpers("self")
		var candidates []Candidate
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				candidates = nil
				for _, name := range strings.Fields(d.Input) {
					candidates = append(candidates, Candidate{Name: name, Near: !strings.HasPrefix(name, "far")})
				}
				return ""
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				fields := strings.Fields(line)
				var ms int64
				_, err := fmt.Sscan(fields[0], &ms)
				require.NoError(t, err)
				now := time.UnixMilli(ms)
				switch fields[1] {
				case "choose":
					name, found := h.Choose(now, candidates, fields[2:])
					fmt.Fprintf(&out, "%d %s %t\n", ms, name, found)
				case "ended":
					h.Ended(fields[2])
				case "refused":
					h.Refused(now, fields[2], Reason(fields[3]))
				case "lost":
					h.Lost(now, fields[2])
				}
			}
			return out.String()
		})
	})
}

// TestFewHelpersOfEachInstance checks for any fleet that an instance asks few others, never itself
// or one that was tried, and that a fleet of cut off instances spreads evenly over the rest.
func TestFewHelpersOfEachInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "instances")
		var fleet []Candidate
		for i := range n {
			fleet = append(fleet, Candidate{Name: fmt.Sprint(i), Near: true})
		}
		h := NewHelpers("0")
		asked := map[string]bool{}
		for range 50 {
			name, found := h.Choose(time.UnixMilli(0), fleet, nil)
			require.Equal(t, n > 1, found)
			if !found {
				return
			}
			require.NotEqual(t, "0", name)
			asked[name] = true
			second, found := h.Choose(time.UnixMilli(0), fleet, []string{name})
			if found {
				require.NotEqual(t, name, second)
				h.Ended(second)
			}
		}
		require.LessOrEqual(t, len(asked), maxHelpers)
	})
}

// TestMostOfAFailureDomainIsSpread cuts off 30 of 90 instances, each with 30 requests: no other one
// gets more than four times the even share.
func TestMostOfAFailureDomainIsSpread(t *testing.T) {
	const instances, cut, requests = 90, 30, 30
	var fleet []Candidate
	for i := range instances {
		fleet = append(fleet, Candidate{Name: fmt.Sprint(i), Near: true})
	}
	load := map[string]int{}
	for i := range cut {
		h := NewHelpers(fmt.Sprint(i))
		for range requests {
			name, found := h.Choose(time.UnixMilli(0), fleet, nil)
			require.True(t, found)
			for n := 0; found && isBelow(name, cut); n++ {
				h.Ended(name)
				h.Refused(time.UnixMilli(0), name, CutOff)
				name, found = h.Choose(time.UnixMilli(0), fleet, nil)
			}
			load[name]++
		}
	}
	for name, n := range load {
		require.LessOrEqual(t, n, 4*cut*requests/(instances-cut), name)
	}
}

func isBelow(name string, limit int) bool {
	var i int
	_, err := fmt.Sscan(name, &i)
	return err == nil && i < limit
}

// TestHandedOverLoadOfFleets logs, for a failure domain of a third of the fleet that is cut off, how
// many instances each cut off one is connected to and how the requests are spread over the others.
func TestHandedOverLoadOfFleets(t *testing.T) {
	const requests = 20
	for _, instances := range []int{6, 86, 300, 984} {
		cut := instances / 3
		var fleet []Candidate
		for i := range instances {
			fleet = append(fleet, Candidate{Name: fmt.Sprint(i), Near: true})
		}
		load, asked := map[string]int{}, 0
		for i := range cut {
			h, connected := NewHelpers(fmt.Sprint(i)), map[string]bool{}
			for range requests {
				name, found := h.Choose(time.UnixMilli(0), fleet, nil)
				for require.True(t, found); isBelow(name, cut); {
					connected[name] = true
					h.Ended(name)
					h.Refused(time.UnixMilli(0), name, CutOff)
					name, found = h.Choose(time.UnixMilli(0), fleet, nil)
					require.True(t, found)
				}
				connected[name] = true
				load[name]++
			}
			asked = max(asked, len(connected))
		}
		most := slices.Max(slices.Collect(maps.Values(load)))
		even := float64(cut*requests) / float64(instances-cut)
		t.Logf("%d instances, %d cut off: at most %d connections each, %.1f requests at the mean other one, %d at the fullest", instances, cut, asked, even, most)
		require.LessOrEqual(t, asked, 4*maxHelpers)
	}
}

// TestFieldsBetweenInstances encodes and decodes the fields of the header. They are taken out of it,
// so that neither an endpoint nor a caller gets them.
func TestFieldsBetweenInstances(t *testing.T) {
	after := int64(7)
	sent := Envelope{From: "a", Account: "desk", Revision: 3, AgeMS: 120, Tried: []string{"e"}, Counted: true, ResumeAfter: &after, SoftwareVersion: "v1.1"}
	h := http.Header{EnvelopeHeader: {Encode(sent)}}
	got, err := DecodeEnvelope(h)
	require.NoError(t, err)
	require.Equal(t, sent, got)
	require.Empty(t, h)
	_, err = DecodeEnvelope(h)
	require.Error(t, err, "no envelope")

	w := httptest.NewRecorder()
	failure := Failure{Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: "not_run", Message: "full", RetryAfterMS: 250}
	WriteFailure(w, failure)
	f, failed, err := DecodeFailure(w.Header())
	require.NoError(t, err)
	require.True(t, failed)
	require.Equal(t, failure, f)
	_, failed, err = DecodeFailure(w.Header())
	require.NoError(t, err)
	require.False(t, failed)
}
