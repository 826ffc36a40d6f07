package quarantine

import (
	"testing"
	"time"
)

// maxSmallFleet is the number of instances up to which each instance reports to all others.
// In larger fleets the first instance is the coordinator, which forwards all reports.
const maxSmallFleet = 16

// BenchmarkBytesOfAnEnding counts the bytes that all instances together send when an endpoint
// terminates with 20 requests, of up to 20 instances: until all instances know it, and per
// second from then on.
func BenchmarkBytesOfAnEnding(b *testing.B) {
	for _, bc := range []struct {
		name      string
		instances int
	}{{"6", 6}, {"18", 18}, {"63", 63}, {"295", 295}} {
		b.Run(bc.name, func(b *testing.B) {
			for b.Loop() {
				spread, idle := bytesOfAnEnding(bc.instances)
				b.ReportMetric(float64(spread), "bytes/ending")
				b.ReportMetric(float64(idle), "bytes/s-after")
			}
		})
	}
}

func bytesOfAnEnding(instances int) (spread, idle int) {
	coordinator := instances > maxSmallFleet
	trackers := make([]*Tracker, instances)
	for i := range trackers {
		trackers[i] = NewTracker(limits)
	}
	for r := range 20 {
		trackers[(1+r)%instances].RecordTermination(at(0), request(r), 7, ownReportSends)
	}
	tick := func(now time.Time) (bytes int) {
		for i, l := range trackers {
			reports, digest := l.PendingReports(now, fleetRoom), l.Digest(now)
			for to, other := range trackers {
				if to == i || coordinator && i != 0 && to != 0 {
					continue
				}
				for _, r := range reports {
					bytes += r.size()
					other.ReceiveReport(now, r, forwardSends(coordinator, to))
				}
				other.ReceiveDigest(now, digest)
			}
		}
		return bytes
	}
	for ms := 0; ms < 5000; ms += fleetTick {
		spread += tick(at(float64(ms) / 1000))
	}
	for ms := 5000; ms < 6000; ms += fleetTick {
		idle += tick(at(float64(ms) / 1000))
	}
	return spread, idle
}

// forwardSends returns how often an instance forwards a report that it receives.
func forwardSends(coordinator bool, instance int) int {
	if coordinator && instance != 0 {
		return 0
	}
	return forwardedReportSends
}
