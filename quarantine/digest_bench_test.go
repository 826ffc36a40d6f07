package quarantine

import (
	"testing"
)

// BenchmarkReceiveDigest measures the cost of comparing the digest in each packet of another
// instance, by the number of records.
func BenchmarkReceiveDigest(b *testing.B) {
	for _, bc := range []struct {
		name  string
		known int
	}{{"0", 0}, {"100", 100}, {"1000", 1000}, {"4000", 4000}} {
		b.Run(bc.name, func(b *testing.B) {
			l := NewTracker(limits)
			for i := range bc.known {
				l.RecordTermination(at(0), request(i), uint64(i), 0)
			}
			same := l.Digest(at(1))
			for b.Loop() {
				l.ReceiveDigest(at(1), same)
			}
		})
	}
}
