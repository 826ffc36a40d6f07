package credit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReturnsAtTheSameMomentAllCount guards against requests that are refused although they would
// start in time: six places whose requests of 200 ms ended together were seen to become free 14
// times a second instead of 30, as only the first return of each moment counted.
func TestReturnsAtTheSameMomentAllCount(t *testing.T) {
	const period = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	l := NewLender(Config{Self: "i", Process: "own", Running: func(Key) (int64, int64) { return 0, 2 }})
	key := Key{Name: "e"}
	seq, acks := uint64(0), map[string]uint64{}
	ask := func(process string, running int64) {
		seq++
		l.ReceiveAsk(now, "n"+process, process, Ask{
			Endpoint: key.Name, Seq: seq, Places: 2, Ack: acks[process], Running: running, Waiting: 1,
			Wants: []Want{{ID: seq, Weight: 100, PatienceMS: 60_000, Endpoints: 1}},
		})
		out, _, _ := l.Tick(now)
		for _, o := range out {
			if o.Grant != nil && o.Grant.Process != "" {
				acks[o.Grant.Process] = max(acks[o.Grant.Process], o.Grant.Number)
			}
		}
		now = now.Add(time.Millisecond)
	}
	for range 40 {
		// Both requests end, the places are lent again, and both next ones start.
		ask("p", 0)
		ask("q", 0)
		ask("p", 1)
		ask("q", 1)
		now = now.Add(period - 4*time.Millisecond)
	}
	rate, observed := l.lent[key].freed.PerSecond()
	require.True(t, observed)
	require.InDelta(t, 20, rate, 2)
}
