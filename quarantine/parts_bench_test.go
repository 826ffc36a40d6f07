package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Sizes of a series of crashes under one part of prompts.
const (
	seriesCrashes = 7
	seriesRunning = 50
	// seriesWaiting is how many of the requests that break with an endpoint had no answer yet.
	seriesWaiting = 6
	seriesParts   = 4
)

// BenchmarkKnownEverywhere measures how long it takes until all instances hold a part under which
// seven endpoints terminate within a second, each with 50 requests, and how many bytes all instances
// together send in the five seconds from the first one on.
func BenchmarkKnownEverywhere(b *testing.B) {
	for _, instances := range []int{9, 16, 63, 295, 984} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				s := newCrashSeries(instances)
				for ms := 0; ms < 5000; ms += fleetTick {
					s.tick(ms)
				}
				b.ReportMetric(float64(s.heldAtMS), "ms-to-hold")
				b.ReportMetric(float64(s.bytes), "bytes")
			}
		})
	}
}

// crashSeries is instances among which endpoints terminate under requests with one guilty part.
type crashSeries struct {
	trackers []*Tracker
	requests int
	bytes    int
	heldAtMS int
}

func newCrashSeries(instances int) *crashSeries {
	s := &crashSeries{heldAtMS: -1}
	for range instances {
		s.trackers = append(s.trackers, NewTracker(limits))
	}
	return s
}

// crash lets an endpoint terminate, whose requests came from different instances.
func (s *crashSeries) crash(now time.Time, incarnation uint64) {
	for i := range seriesRunning {
		s.requests++
		own := request(s.requests)
		tracker := s.trackers[(7*s.requests)%len(s.trackers)]
		tracker.RecordTermination(now, own, incarnation, ownReportSends)
		if i >= seriesWaiting {
			continue
		}
		for p := range seriesParts {
			shared := part("shared", 1000*s.requests+p)
			if i == 0 && p == 1 {
				shared = part("guilty", 0)
			}
			tracker.RecordSharedTermination(now, shared, incarnation, originOf(0, own), ownReportSends)
		}
	}
}

// tick lets crashes happen and packets be exchanged.
func (s *crashSeries) tick(ms int) {
	now := at(float64(ms) / 1000)
	if n := ms / fleetTick; n < seriesCrashes {
		s.crash(now, uint64(n+1))
	}
	coordinator := len(s.trackers) > maxSmallFleet
	for i, t := range s.trackers {
		reports, digest := t.PendingReports(now, fleetRoom), t.Digest(now)
		for to, other := range s.trackers {
			if to == i || coordinator && i != 0 && to != 0 {
				continue
			}
			for _, r := range reports {
				s.bytes += r.size()
				other.ReceiveReport(now, r, forwardSends(coordinator, to))
			}
			other.ReceiveDigest(now, digest)
		}
	}
	if s.heldAtMS < 0 && s.allHold(now) {
		s.heldAtMS = ms
	}
}

func (s *crashSeries) allHold(now time.Time) bool {
	guilty := part("guilty", 0)
	for _, t := range s.trackers {
		if t.SharedHold(now, guilty, 0, []Fingerprint{guilty}).Remaining == 0 {
			return false
		}
	}
	return true
}
