package quarantine

import (
	"testing"
	"time"
)

// smallFleetMost is up to how many instances everybody tells everybody; in larger fleets
// all is told by way of the first.
const smallFleetMost = 16

// BenchmarkBytesOfAnEnding counts what instances send each other, all together, when an
// endpoint ends with 20 requests of as many instances as there are, up to 20: until all
// know it, and in each second from then on.
func BenchmarkBytesOfAnEnding(b *testing.B) {
	for _, bc := range []struct {
		name      string
		instances int
	}{{"6", 6}, {"18", 18}, {"63", 63}, {"295", 295}} {
		b.Run(bc.name, func(b *testing.B) {
			for b.Loop() {
				news, calm := bytesOfAnEnding(bc.instances)
				b.ReportMetric(float64(news), "bytes/ending")
				b.ReportMetric(float64(calm), "bytes/s-after")
			}
		})
	}
}

func bytesOfAnEnding(instances int) (news, calm int) {
	hub := instances > smallFleetMost
	ledgers := make([]*Tracker, instances)
	for i := range ledgers {
		ledgers[i] = NewTracker(limits)
	}
	for r := range 20 {
		ledgers[(1+r)%instances].Ended(at(0), request(r), 7, tellsOfOwn)
	}
	tick := func(now time.Time) (bytes int) {
		for i, l := range ledgers {
			words, digest := l.Words(now, fleetRoom), l.Digest(now)
			for to, other := range ledgers {
				if to == i || hub && i != 0 && to != 0 {
					continue
				}
				for _, w := range words {
					bytes += w.size()
					other.Hear(now, w, heardTells(hub, to))
				}
				other.HearDigest(now, digest)
			}
		}
		return bytes
	}
	for ms := 0; ms < 5000; ms += fleetTick {
		news += tick(at(float64(ms) / 1000))
	}
	for ms := 5000; ms < 6000; ms += fleetTick {
		calm += tick(at(float64(ms) / 1000))
	}
	return news, calm
}

// heardTells is how often an instance tells on what it has heard.
func heardTells(hub bool, instance int) int {
	if hub && instance != 0 {
		return 0
	}
	return tellsOfHeard
}
