package quarantine

import (
	"testing"
)

// BenchmarkHearDigest is what each packet of another instance costs, by how many requests
// are known.
func BenchmarkHearDigest(b *testing.B) {
	for _, bc := range []struct {
		name  string
		known int
	}{{"0", 0}, {"100", 100}, {"1000", 1000}, {"4000", 4000}} {
		b.Run(bc.name, func(b *testing.B) {
			l := NewTracker(limits)
			for i := range bc.known {
				l.Ended(at(0), request(i), uint64(i), 0)
			}
			same := l.Digest(at(1))
			for b.Loop() {
				l.HearDigest(at(1), same)
			}
		})
	}
}
