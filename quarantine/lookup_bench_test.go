package quarantine

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// BenchmarkLookup measures the cost of a request without a record, with a body of 4 KiB.
func BenchmarkLookup(b *testing.B) {
	m := NewManager(Config{Limits: limits, Now: time.Now, Log: logr.Discard()})
	for i := range 100 {
		m.RecordTermination(Request{Fingerprint: request(i)}, false, "e", int64(i))
	}
	body := make([]byte, 4<<10)
	b.Run("identity", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			FingerprintOf("account", "POST", "/path/of/a/request", body)
		}
	})
	b.Run("identity and lookup", func(b *testing.B) {
		b.ReportAllocs()
		flight := &InFlight{}
		for b.Loop() {
			if err := m.Begin(b.Context(), flight, Request{Fingerprint: FingerprintOf("account", "POST", "/path/of/a/request", body)}, nil); err != nil {
				b.Fatal(err)
			}
			flight.End()
		}
	})
}
