package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainWorld is many instances before a few endpoints of a plain service, in virtual time.
// Each endpoint runs a few requests, queues some more, and rejects the rest. Instances are
// told what the others have there every 200 ms.
type plainWorld struct {
	random    *rand.Rand
	now       time.Time
	routers   []*Router
	endpoints [][]*Endpoint
	queues    [][]plainRequest
	running   [][]plainRequest
	asked     int
	inTime    int
	rejected  int
}

// plainRequest is one at an endpoint.
type plainRequest struct {
	arrived, ends time.Time
	decision      Decision
}

const (
	plainEndpoints = 3
	plainPlaces    = 6
	plainQueue     = 24
	plainAim       = 300 * time.Millisecond
	plainStep      = time.Millisecond
)

func newPlainWorld(seed uint64, instances int, policy Policy) *plainWorld {
	w := &plainWorld{random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), queues: make([][]plainRequest, plainEndpoints), running: make([][]plainRequest, plainEndpoints)}
	for range instances {
		r := NewRouter(policy, w.random.Float64)
		var own []*Endpoint
		for j := range plainEndpoints {
			own = append(own, &Endpoint{Name: string(rune('a' + j)), Pool: "plain", Concurrency: plainPlaces})
		}
		r.SetView(&View{Pools: map[string][]*Endpoint{"plain": own}, Instances: instances})
		w.routers, w.endpoints = append(w.routers, r), append(w.endpoints, own)
	}
	return w
}

// run sends requests at a rate, in clumps, for so long.
func (w *plainWorld) run(perSecond float64, d time.Duration) {
	due := 0.0
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(plainStep) {
		w.serve()
		if w.now.UnixNano()%int64(200*time.Millisecond) == 0 {
			w.tell()
		}
		const clump = 3
		for due += perSecond * plainStep.Seconds() * 2 * w.random.Float64(); due >= clump; due -= clump {
			for range clump {
				w.ask(w.random.IntN(len(w.routers)))
			}
		}
	}
}

// serve ends what has run and begins what waits.
func (w *plainWorld) serve() {
	for j := range plainEndpoints {
		w.running[j] = slices.DeleteFunc(w.running[j], func(r plainRequest) bool {
			if r.ends.After(w.now) {
				return false
			}
			r.decision.Endpoint.own.Add(-1)
			if w.now.Sub(r.arrived) <= plainAim {
				w.inTime++
			}
			return true
		})
		for len(w.running[j]) < plainPlaces && len(w.queues[j]) > 0 {
			next := w.queues[j][0]
			w.queues[j] = w.queues[j][1:]
			next.ends = w.now.Add(time.Duration((30 + 60*w.random.Float64()) * float64(time.Millisecond)))
			w.running[j] = append(w.running[j], next)
		}
	}
}

// tell tells each instance what the others have at each endpoint.
func (w *plainWorld) tell() {
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

// ask sends a request from an instance. One that finds no room, or is rejected, is lost.
func (w *plainWorld) ask(i int) {
	w.asked++
	d, err := w.routers[i].Pick(&Request{Pool: "plain", Now: w.now})
	if err != nil {
		return
	}
	j := int(d.Endpoint.Name[0] - 'a')
	if len(w.queues[j]) >= plainQueue {
		w.rejected++
		d.Endpoint.own.Add(-1)
		d.Endpoint.MarkFull(w.now)
		return
	}
	w.queues[j] = append(w.queues[j], plainRequest{arrived: w.now, decision: d})
}

// TestInstancesDoNotRunToOnePlainEndpoint asks for nine tenths of what three endpoints of a
// plain service can do, at 90 instances whose views are up to 200 ms old. Picking by places
// that seem free sends all to the one endpoint that seems to have some, which rejects them.
func TestInstancesDoNotRunToOnePlainEndpoint(t *testing.T) {
	for _, instances := range []int{18, 90, 295} {
		for seed := range uint64(3) {
			w := newPlainWorld(seed, instances, Policies()[PolicyTimely])
			w.run(270, 20*time.Second)
			require.GreaterOrEqual(t, float64(w.inTime)/float64(w.asked), 0.9, "%d instances, seed %d: %d rejected", instances, seed, w.rejected)
		}
	}
}

// TestPlacesThatSeemFreeAreOverrun is the way before: it fails at the same load.
func TestPlacesThatSeemFreeAreOverrun(t *testing.T) {
	policy := Policies()[PolicyTimely]
	policy.Plain = nil
	w := newPlainWorld(0, 90, policy)
	w.run(270, 20*time.Second)
	t.Logf("in time %.3f, rejected %.3f", float64(w.inTime)/float64(w.asked), float64(w.rejected)/float64(w.asked))
	require.Less(t, float64(w.inTime)/float64(w.asked), 0.8)
}
