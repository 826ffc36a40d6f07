package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/authority"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/store"
)

// benchMesh returns an instance of a large fleet that receives the packets of all others.
func benchMesh(isHolder bool, instances, endpoints int) *mesh {
	router := routing.NewRouter(routing.Policies()[routing.PolicyTimely], func() float64 { return 0 })
	v := &routing.View{Pools: map[string][]*routing.Endpoint{}, ByName: map[string]*routing.Endpoint{}}
	for i := range endpoints {
		e := &routing.Endpoint{Name: fmt.Sprintf("i-%010x", i)}
		v.Pools["p"], v.ByName[e.Name] = append(v.Pools["p"], e), e
	}
	router.SetView(v)
	holder := func() bool { return isHolder }
	a := newAllowances(AllowanceConfig{WindowS: 8, OverFraction: 0.1}, "p", holder, func() int { return instances }, time.Now)
	a.setLimits(limitedTree())
	m := &mesh{
		instance: "coordinator", process: "coordinator", now: time.Now, listed: map[string]presence{}, onInstanceCount: func(int) {}, router: router,
		isHolder: holder, allowances: a, keyAuthority: &keyAuthority{responds: holder, tracker: authority.NewTracker(time.Second), now: time.Now, exactNow: time.Now, log: logr.Discard(), revision: func() int64 { return 1 }}, eras: &store.Eras{}, log: logr.Discard(),
		quarantine: quarantine.NewManager(quarantine.Config{Now: time.Now, Log: logr.Discard(), Wake: func() {}, Persist: func(quarantine.Report) {}}),
		revision:   func() int64 { return 1 }, fleetView: peer.NewFleetView(), inputs: ring.New[receivedPacket](meshInputCapacity, ring.DropOldest),
		onDemand: func(map[string]peer.Demand) {}, onPartition: func(bool) {}, onSuspects: func([]string) {},
	}
	m.permits = newPermits("coordinator", router, logr.Discard(), time.Now)
	for i := range instances {
		m.updateInstance(fmt.Sprintf("edge-%03d", i), &presence{Datagrams: fmt.Sprintf("10.0.%d.%d:7380", i/250, i%250)})
	}
	return m
}

// summaryOf returns the summary of a busy instance.
func summaryOf(i, endpoints int, seq uint64) peer.Packet {
	name := fmt.Sprintf("edge-%03d", i)
	p := peer.Packet{Version: peer.PacketVersion, From: name, Process: "4KXDQ7A2Z3LRWV6YBTGM5NPHCE", Address: "10.0.0.1:7380", Seq: seq, Revision: 1}
	for k := range maxLoads {
		p.Loads = append(p.Loads, peer.EndpointLoad{Endpoint: fmt.Sprintf("i-%010x", (i*7+k)%endpoints), Running: 3, PrefillMicros: 90_000})
	}
	for k := range maxDemands {
		p.Demands = append(p.Demands, peer.UnitDemand{Unit: fmt.Sprintf("unit%02d", (i+k)%99), Work: float64(seq) * 1000, Waiting: 1})
	}
	return p
}

// BenchmarkCoordinatorReceive measures the cost to the coordinator of one packet of another
// instance, from the sealed bytes on; ten per second arrive from each instance.
func BenchmarkCoordinatorReceive(b *testing.B) {
	for _, size := range []struct{ instances, endpoints int }{{90, 140}, {390, 720}, {301, 3000}} {
		b.Run(fmt.Sprintf("%d instances, %d endpoints", size.instances, size.endpoints), func(b *testing.B) {
			m := benchMesh(true, size.instances, size.endpoints)
			key := make([]byte, peer.KeyBytes)
			sealer, _ := peer.NewSealer([][]byte{key})
			opener, _ := peer.NewSealer([][]byte{key})
			m.opener.Store(opener)
			seq := uint64(0)
			for b.Loop() {
				i := int(seq) % size.instances
				seq++
				b.StopTimer()
				data, _ := peer.EncodePacket(summaryOf(i, size.endpoints, seq))
				sealed := sealer.Seal(data)
				b.StartTimer()
				m.receive(sealed)
				received, _ := m.inputs.Take(b.Context())
				p := received.Packet
				if !m.permits.receive(p) && !m.keyAuthority.receive(p, m.process) && m.fleetView.Receive(m.now(), p) {
					m.allowances.receive(p)
					m.applyPacket(received)
				}
			}
		})
	}
}

// BenchmarkTick measures the cost of an instance's own tick, as the coordinator and as
// another.
func BenchmarkTick(b *testing.B) {
	for _, isHolder := range []bool{true, false} {
		for _, size := range []struct{ instances, endpoints int }{{90, 140}, {390, 720}, {301, 3000}} {
			b.Run(fmt.Sprintf("coordinator %v, %d instances, %d endpoints", isHolder, size.instances, size.endpoints), func(b *testing.B) {
				m := benchMesh(isHolder, size.instances, size.endpoints)
				for i := range size.instances {
					if isHolder {
						m.fleetView.Receive(m.now(), summaryOf(i, size.endpoints, 1))
					}
				}
				var totals []peer.EndpointLoad
				for i := range size.endpoints {
					totals = append(totals, peer.EndpointLoad{Endpoint: fmt.Sprintf("i-%010x", i), Running: 3, PrefillMicros: 90_000})
				}
				for b.Loop() {
					if !isHolder {
						m.totals.receive(m.now(), m.now(), peer.Packet{Address: "coordinator", Instances: size.instances, StoreCurrent: true, Totals: totals})
					}
					m.publish()
				}
			})
		}
	}
}
