package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainSim simulates many instances that send requests to a few endpoints of a plain
// service, in virtual time. Each endpoint runs a few requests, queues some more and
// rejects the rest. Instances exchange their load every 200 ms.
type plainSim struct {
	random    *rand.Rand
	now       time.Time
	routers   []*Router
	endpoints [][]*Endpoint
	queues    [][]plainRequest
	running   [][]plainRequest
	sent      int
	inTime    int
	rejected  int
}

// plainRequest is a request at an endpoint.
type plainRequest struct {
	arrived, ends time.Time
	decision      Decision
}

const (
	plainEndpoints   = 3
	plainConcurrency = 6
	plainQueue       = 24
	plainTarget      = 300 * time.Millisecond
	plainStep        = time.Millisecond
)

func newPlainSim(seed uint64, instances int, policy Policy) *plainSim {
	w := &plainSim{random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), queues: make([][]plainRequest, plainEndpoints), running: make([][]plainRequest, plainEndpoints)}
	for range instances {
		r := NewRouter(policy, w.random.Float64)
		var own []*Endpoint
		for j := range plainEndpoints {
			own = append(own, &Endpoint{Name: string(rune('a' + j)), Pool: "plain", Concurrency: plainConcurrency})
		}
		r.SetView(&View{Pools: map[string][]*Endpoint{"plain": own}, Instances: instances})
		w.routers, w.endpoints = append(w.routers, r), append(w.endpoints, own)
	}
	return w
}

// run sends requests at the given rate, in bursts of three.
func (w *plainSim) run(perSecond float64, d time.Duration) {
	due := 0.0
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(plainStep) {
		w.serve()
		if w.now.UnixNano()%int64(200*time.Millisecond) == 0 {
			w.exchangeLoads()
		}
		const burst = 3
		for due += perSecond * plainStep.Seconds() * 2 * w.random.Float64(); due >= burst; due -= burst {
			for range burst {
				w.send(w.random.IntN(len(w.routers)))
			}
		}
	}
}

// serve completes requests that are due and starts queued ones.
func (w *plainSim) serve() {
	for j := range plainEndpoints {
		w.running[j] = slices.DeleteFunc(w.running[j], func(r plainRequest) bool {
			if r.ends.After(w.now) {
				return false
			}
			r.decision.Endpoint.ownInFlight.Add(-1)
			if w.now.Sub(r.arrived) <= plainTarget {
				w.inTime++
			}
			return true
		})
		for len(w.running[j]) < plainConcurrency && len(w.queues[j]) > 0 {
			next := w.queues[j][0]
			w.queues[j] = w.queues[j][1:]
			next.ends = w.now.Add(time.Duration((30 + 60*w.random.Float64()) * float64(time.Millisecond)))
			w.running[j] = append(w.running[j], next)
		}
	}
}

// exchangeLoads informs each instance of the other instances' load at each endpoint.
func (w *plainSim) exchangeLoads() {
	for j := range plainEndpoints {
		var sum int64
		for i := range w.endpoints {
			sum += w.endpoints[i][j].OwnInFlight()
		}
		for i := range w.endpoints {
			w.endpoints[i][j].SetPeerLoad(PeerLoad{Running: sum - w.endpoints[i][j].OwnInFlight(), At: w.now})
		}
	}
}

// send sends a request from an instance. A request that finds no capacity, or is rejected,
// is lost.
func (w *plainSim) send(i int) {
	w.sent++
	d, err := w.routers[i].Pick(&Request{Pool: "plain", Now: w.now})
	if err != nil {
		return
	}
	j := int(d.Endpoint.Name[0] - 'a')
	if len(w.queues[j]) >= plainQueue {
		w.rejected++
		d.Endpoint.ownInFlight.Add(-1)
		d.Endpoint.MarkFull(w.now)
		return
	}
	w.queues[j] = append(w.queues[j], plainRequest{arrived: w.now, decision: d})
}

// Offers nine tenths of the capacity of three plain endpoints, at up to 295 instances
// whose views are up to 200 ms old. Picking by slots that appear free sends all requests
// to the one endpoint that appears to have some, which rejects them.
func TestInstancesDoNotOverrunOnePlainEndpoint(t *testing.T) {
	for _, instances := range []int{18, 90, 295} {
		for seed := range uint64(3) {
			w := newPlainSim(seed, instances, Policies()[PolicyTimely])
			w.run(270, 20*time.Second)
			require.GreaterOrEqual(t, float64(w.inTime)/float64(w.sent), 0.9, "%d instances, seed %d: %d rejected", instances, seed, w.rejected)
		}
	}
}

// The control for the test above: without a policy for plain services the same load fails.
func TestSlotsThatSeemFreeAreOverrun(t *testing.T) {
	policy := Policies()[PolicyTimely]
	policy.Plain = nil
	w := newPlainSim(0, 90, policy)
	w.run(270, 20*time.Second)
	t.Logf("in time %.3f, rejected %.3f", float64(w.inTime)/float64(w.sent), float64(w.rejected)/float64(w.sent))
	require.Less(t, float64(w.inTime)/float64(w.sent), 0.8)
}
