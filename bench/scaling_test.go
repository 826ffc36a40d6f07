package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/placement"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// These benchmarks run one operation at several sizes and report its time, and
// for some the bytes encoded. docs/CAPACITY.md fits its slopes to the results.

// newLedger returns a ledger with 12 units on each endpoint, as for 950 models
// with 2,300 adapters and spare replicas on 720 endpoints.
func newLedger(endpoints int) *placement.Ledger {
	const unitsPerEndpoint = 12
	l := placement.NewLedger()
	l.Epoch, l.Holder = 12, "entry-000/incarnation/process"
	for e := range endpoints {
		use := &placement.EndpointRecord{Incarnation: "0a1b2c3d", CapacityMB: 81920, Units: map[string]*placement.UnitRecord{}}
		for u := range unitsPerEndpoint {
			use.Units[fmt.Sprintf("bid-summary-%04d", e*unitsPerEndpoint+u)] = &placement.UnitRecord{State: placement.Ready, MemoryMB: 18432}
		}
		l.Endpoints[fmt.Sprintf("tideline-llm-%03d", e)] = use
	}
	return l
}

func BenchmarkLedgerCommit(b *testing.B) {
	for _, n := range []int{12, 25, 50, 100} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			l := newLedger(n)
			size := 0
			for b.Loop() {
				data, err := json.Marshal(l.Clone())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func settingsText(models int) []byte {
	var b strings.Builder
	b.WriteString(`{"deployment": "d", "failureDomains": ["a"], "weightStore": {"loadsPerSecond": 1, "concurrent": 1}, "pools": {"llm": {"kind": "engine", "endpoints": 100000, "memoryMB": 81920, "concurrency": 16, "models": {`)
	for i := range models {
		fmt.Fprintf(&b, "\n\t\"model-%04d\": {\"weightsMB\": 16384, \"kvMB\": 4096, \"adapters\": {\"model-%04d-a\": {\"sizeMB\": 160}, \"model-%04d-b\": {\"sizeMB\": 192}}},", i, i, i)
	}
	b.WriteString("}}}}")
	return []byte(b.String())
}

func BenchmarkSettingsLoad(b *testing.B) {
	for _, n := range []int{26, 100, 400, 950} {
		b.Run(fmt.Sprintf("models=%d", n), func(b *testing.B) {
			text := settingsText(n)
			chunks, err := revision.Split(text)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				tree, err := settings.Load("bench", text)
				if err != nil {
					b.Fatal(err)
				}
				settings.NewCatalog(tree)
			}
			b.ReportMetric(float64(len(text)), "bytes")
			b.ReportMetric(float64(len(chunks)), "chunks")
		})
	}
}

func BenchmarkMembersListing(b *testing.B) {
	for _, n := range []int{30, 100, 400, 1110} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			listing := membership.Listing{Version: 1}
			for i := range n {
				listing.Members = append(listing.Members, membership.Member{
					Name: fmt.Sprintf("tideline-llm-%04d", i), Pool: "tideline-llm", Address: "10.100.200.30:8000",
					FailureDomain: "pnw-quincy", Incarnation: "0a1b2c3d", State: membership.Live,
				})
			}
			data, err := json.Marshal(listing)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var l membership.Listing
				if err := json.Unmarshal(data, &l); err != nil {
					b.Fatal(err)
				}
				membership.NewList().Step(time.Time{}, membership.Listed{Listing: l})
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

func BenchmarkHint(b *testing.B) {
	sealer, err := peer.NewSealer([][]byte{make([]byte, peer.KeyBytes)})
	if err != nil {
		b.Fatal(err)
	}
	h := peer.Hint{Version: peer.HintVersion, From: "entry-0123", Process: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Seq: 1 << 20, SentMS: 1 << 41, Revision: 1 << 20, StoreAgeMS: 500, List: 1 << 20}
	size := 0
	for b.Loop() {
		data, err := peer.EncodeHint(h)
		if err != nil {
			b.Fatal(err)
		}
		sealed := sealer.Seal(data)
		size = len(sealed)
		if _, err := sealer.Open(sealed); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkPickAmongReplicas(b *testing.B) {
	for _, n := range []int{2, 8, 32, 128} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			v := &routing.View{Replicas: map[string][]*routing.Endpoint{}, Instances: 1}
			for i := range n {
				v.Replicas["m"] = append(v.Replicas["m"], &routing.Endpoint{Name: fmt.Sprint(i), Concurrency: 16})
			}
			r := routing.NewRouter(routing.Policies()[routing.DefaultPolicy], func() float64 { return 0 })
			r.SetView(v)
			req := routing.Request{Unit: "m", Now: time.Unix(1, 0)}
			b.ReportAllocs()
			for b.Loop() {
				d, err := r.Pick(&req)
				if err != nil {
					b.Fatal(err)
				}
				r.Release(&d)
			}
		})
	}
}
