package pipeline

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/outlook"
	"github.com/eiderspring/eiderspring/routing"
)

// queueOfOne is an instance before one full endpoint of unit m.
type queueOfOne struct {
	admit
	endpoint *routing.Endpoint
	// admitted receives the names of admitted requests.
	admitted chan string
}

func newQueueOfOne() *queueOfOne {
	e := fullEndpoint()
	router := routing.NewRouter(routing.Policies()[routing.PolicyTimely], func() float64 { return 0 })
	router.SetView(&routing.View{Replicas: map[string][]*routing.Endpoint{"m": {e}}, Pools: map[string][]*routing.Endpoint{"p": {e}}, Instances: 20})
	return &queueOfOne{
		admit: admit{
			cutOff: func(*Exchange) bool { return false }, refuses: func(*Exchange) bool { return false }, gates: NewGates(admission.Limits{MaxWaiters: 10, MaxBytes: 1000}, time.Now),
			router: router, onNoReplica: func() {}, promises: &Promises{}, log: logr.Discard(), now: time.Now,
		},
		endpoint: e, admitted: make(chan string, 10),
	}
}

// request sends an attempt of the named request and returns once it is refused or waits.
func (q *queueOfOne) request(t *testing.T, name string) {
	x := engineExchange()
	x.ID, x.Received, x.Target.Pool = name, time.Now(), "p"
	x.Call.RequestHash = RequestHash(name)
	go func() {
		if q.Process(t.Context(), x) == nil {
			q.admitted <- name
		}
	}()
	synctest.Wait()
}

// free frees one place and returns who gets it.
func (q *queueOfOne) free() string {
	q.endpoint.SetPeerLoad(routing.PeerLoad{Running: int64(q.endpoint.Concurrency) - 1 - q.endpoint.OwnInFlight()})
	q.gates.Wake()
	synctest.Wait()
	select {
	case name := <-q.admitted:
		return name
	default:
		return ""
	}
}

// TestRepeatsAndFirstTriesAreAlike guards against a caller that comes first and waits in line, and
// is overtaken by one with as much time left that was refused before and did not wait as told.
func TestRepeatsAndFirstTriesAreAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueueOfOne()
		q.request(t, "repeat")
		time.Sleep(2100 * time.Millisecond)
		q.request(t, "first")
		time.Sleep(10 * time.Millisecond)
		q.request(t, "repeat")
		require.Equal(t, "first", q.free(), "it has waited longer")
		require.Equal(t, "repeat", q.free())
	})
}

// TestPoliteCallerGoesFirst guards against callers that gain by coming back before their time: of
// two that joined the queue together and have as much time left, the one that waits as told goes
// first.
func TestPoliteCallerGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueueOfOne()
		joined, at := time.Now(), time.Now().Add(600*time.Millisecond)
		for _, name := range []string{"polite", "impolite"} {
			q.promises.Record(joined, outlook.Caller{Request: RequestHash(name), Since: joined}, at)
		}
		time.Sleep(250 * time.Millisecond)
		q.request(t, "impolite")
		time.Sleep(time.Until(at))
		q.request(t, "polite")
		require.Equal(t, "polite", q.free())
		require.Equal(t, "impolite", q.free())
	})
}
