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
	s := &plainSim{random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), queues: make([][]plainRequest, plainEndpoints), running: make([][]plainRequest, plainEndpoints)}
	for range instances {
		r := NewRouter(policy, s.random.Float64)
		var own []*Endpoint
		for j := range plainEndpoints {
			own = append(own, &Endpoint{Name: string(rune('a' + j)), Pool: "plain", Concurrency: plainConcurrency})
		}
		r.SetView(&View{Pools: map[string][]*Endpoint{"plain": own}, Instances: instances})
		s.routers, s.endpoints = append(s.routers, r), append(s.endpoints, own)
	}
	return s
}

// run sends requests at the given rate, in bursts of three.
func (s *plainSim) run(perSecond float64, d time.Duration) {
	due := 0.0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(plainStep) {
		s.serve()
		if s.now.UnixNano()%int64(200*time.Millisecond) == 0 {
			s.exchangeLoads()
		}
		const burst = 3
		for due += perSecond * plainStep.Seconds() * 2 * s.random.Float64(); due >= burst; due -= burst {
			for range burst {
				s.send(s.random.IntN(len(s.routers)))
			}
		}
	}
}

// serve completes requests that are due and starts queued ones.
func (s *plainSim) serve() {
	for j := range plainEndpoints {
		s.running[j] = slices.DeleteFunc(s.running[j], func(r plainRequest) bool {
			if r.ends.After(s.now) {
				return false
			}
			r.decision.Endpoint.ownInFlight.Add(-1)
			if s.now.Sub(r.arrived) <= plainTarget {
				s.inTime++
			}
			return true
		})
		for len(s.running[j]) < plainConcurrency && len(s.queues[j]) > 0 {
			next := s.queues[j][0]
			s.queues[j] = s.queues[j][1:]
			next.ends = s.now.Add(time.Duration((30 + 60*s.random.Float64()) * float64(time.Millisecond)))
			s.running[j] = append(s.running[j], next)
		}
	}
}

// exchangeLoads informs each instance of the other instances' load at each endpoint.
func (s *plainSim) exchangeLoads() {
	for j := range plainEndpoints {
		var sum int64
		for i := range s.endpoints {
			sum += s.endpoints[i][j].OwnInFlight()
		}
		for i := range s.endpoints {
			s.endpoints[i][j].SetPeerLoad(PeerLoad{Running: sum - s.endpoints[i][j].OwnInFlight(), At: s.now})
		}
	}
}

// send sends a request from an instance. A request that finds no capacity, or is rejected,
// is lost.
func (s *plainSim) send(i int) {
	s.sent++
	d, err := s.routers[i].Pick(&Request{Pool: "plain", Now: s.now})
	if err != nil {
		return
	}
	j := int(d.Endpoint.Name[0] - 'a')
	if len(s.queues[j]) >= plainQueue {
		s.rejected++
		d.Endpoint.ownInFlight.Add(-1)
		d.Endpoint.MarkFull(s.now)
		return
	}
	s.queues[j] = append(s.queues[j], plainRequest{arrived: s.now, decision: d})
}

// Offers nine tenths of the capacity of three plain endpoints, at up to 295 instances
// whose views are up to 200 ms old. Picking by slots that appear free sends all requests
// to the one endpoint that appears to have some, which rejects them.
func TestInstancesDoNotOverrunOnePlainEndpoint(t *testing.T) {
	for _, instances := range []int{18, 90, 295} {
		for seed := range uint64(3) {
			s := newPlainSim(seed, instances, Policies()[PolicyTimely])
			s.run(270, 20*time.Second)
			require.GreaterOrEqual(t, float64(s.inTime)/float64(s.sent), 0.9, "%d instances, seed %d: %d rejected", instances, seed, s.rejected)
		}
	}
}

// The control for the test above: without a policy for plain services the same load fails.
func TestPlainEndpointIsOverrunWithoutPlainPolicy(t *testing.T) {
	policy := Policies()[PolicyTimely]
	policy.Plain = nil
	s := newPlainSim(0, 90, policy)
	s.run(270, 20*time.Second)
	t.Logf("in time %.3f, rejected %.3f", float64(s.inTime)/float64(s.sent), float64(s.rejected)/float64(s.sent))
	require.Less(t, float64(s.inTime)/float64(s.sent), 0.8)
}
