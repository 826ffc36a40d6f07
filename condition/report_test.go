package condition

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unusualEndpoints is how many endpoints of a tracker are slow and often observed.
const unusualEndpoints = 120

// busyTracker returns a tracker of many slow endpoints, and of a pool of three of which one is left out.
func busyTracker(now time.Time) (t *Tracker, leftOut Key) {
	var engines, plain []Key
	for i := range 2 * unusualEndpoints {
		engines = append(engines, Key{Name: fmt.Sprintf("i-%09d", i)})
	}
	for i := range 3 {
		plain = append(plain, Key{Name: fmt.Sprintf("p-%09d", i)})
	}
	t = NewTracker("n1")
	t.SetEndpoints(map[string][]Key{"engines": engines, "plain": plain}, map[string]bool{"engines": true})
	for range 10 {
		t.Observe(now, plain[0], Result{Failed: true})
	}
	t.Decide(now)
	observeSlow(t, now)
	return t, plain[0]
}

// observeSlow lets half of the engines be slow.
func observeSlow(t *Tracker, now time.Time) {
	for _, k := range t.pools["engines"] {
		speed := 0.0
		if slices.Index(t.pools["engines"], k) < unusualEndpoints {
			speed = -1
		}
		k.addSpeed(now, speed, 20)
		k.own.attempts += 20
	}
	t.Decide(now)
}

// TestTrialIsReportedBeforeWhatIsKnown guards against an endpoint that serves again and stays left out:
// its trials were few observations, and the reports of many slow endpoints left them no room.
func TestTrialIsReportedBeforeWhatIsKnown(t *testing.T) {
	const room = 200
	for name, reports := range map[string]func(*Tracker, time.Time) []Report{
		"an instance's":  func(tr *Tracker, now time.Time) []Report { return tr.Reports(now, room) },
		"all instances'": func(tr *Tracker, now time.Time) []Report { return tr.Totals(now, room) },
	} {
		now := testStart
		tr, leftOut := busyTracker(now)
		require.True(t, tr.Condition(leftOut).LeftOut)
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			observeSlow(tr, now)
			reports(tr, now)
		}
		tr.Observe(now, leftOut, Result{Trial: true})
		told := slices.ContainsFunc(reports(tr, now), func(r Report) bool { return r.Endpoint == leftOut.Name && r.Good >= countUnit })
		require.True(t, told, "%s reports tell the trial at once", name)
	}
}
