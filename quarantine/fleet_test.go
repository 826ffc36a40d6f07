package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A simulated fleet in virtual time: trackers that exchange reports in packets, which are lost
// and delayed and repeat reports; endpoints that run batches of requests, some of which terminate every endpoint
// that runs them; callers that repeat their requests.

// Times and sizes of the fleet, in milliseconds and bytes.
const (
	fleetTick     = 100
	fleetRoom     = 600
	inContactMS   = 3000
	restartMS     = 3000
	repeatMS      = 700
	noticeDelayMS = 60
	maxDelayMS    = 400
)

type fleetConfig struct {
	instances, endpoints, guilty, innocent int
	// loss is the share of packets that are lost.
	loss float64
	// exchangesReports is false in the variant without any exchange of reports.
	exchangesReports bool
	// coordinator is set where the first instance is the coordinator, which forwards all reports.
	coordinator bool
}

type packet struct {
	to      int
	reports []Report
	digest  uint64
	atMS    int
}

type fleet struct {
	fleetConfig
	random       *rand.Rand
	trackers     []*Tracker
	upAtMS       []int
	starts       []int
	running      [][]int
	nowMS        int
	packets      []packet
	terminations map[int][]int
	arrivals     map[int][]int
	succeeded    map[int]int
	rejected     map[int]int
	pending      []notice
}

// notice is the observation by an instance that an endpoint has terminated under a request.
type notice struct {
	atMS, instance, request int
	incarnation             uint64
}

func (f *fleet) now() time.Time { return at(float64(f.nowMS) / 1000) }

func newFleet(seed uint64, c fleetConfig) *fleet {
	f := &fleet{
		fleetConfig: c, random: rand.New(rand.NewPCG(seed, 1)), upAtMS: make([]int, c.endpoints), starts: make([]int, c.endpoints), running: make([][]int, c.endpoints),
		terminations: map[int][]int{}, arrivals: map[int][]int{}, succeeded: map[int]int{}, rejected: map[int]int{},
	}
	for range c.instances {
		f.trackers = append(f.trackers, NewTracker(limits))
	}
	return f
}

func (f *fleet) chance(share float64) bool { return f.random.Float64() < share }

// send sends a request to an instance.
func (f *fleet) send(request, instance int) {
	fp := testRequest(request)
	if f.trackers[instance].HoldRemaining(f.now(), fp) > 0 {
		f.rejected[request]++
		return
	}
	up := []int{}
	for e, at := range f.upAtMS {
		if at <= f.nowMS {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[f.random.IntN(len(up))]
	f.arrivals[request] = append(f.arrivals[request], f.nowMS)
	f.running[e] = append(f.running[e], request*1000+instance)
}

// run terminates the endpoints that run a guilty request, and completes all requests of the
// other endpoints.
func (f *fleet) run() {
	for e, batch := range f.running {
		f.running[e] = nil
		terminates := false
		for _, r := range batch {
			terminates = terminates || r/1000 < f.guilty
		}
		if !terminates {
			for _, r := range batch {
				f.succeeded[r/1000]++
				f.trackers[r%1000].RecordSuccess(f.now(), testRequest(r/1000), ownReportSends)
			}
			continue
		}
		f.upAtMS[e] = f.nowMS + restartMS
		incarnation := IncarnationHash(fmt.Sprint(e), int64(f.starts[e]))
		f.starts[e]++
		for _, r := range batch {
			if r/1000 < f.guilty {
				f.terminations[r/1000] = append(f.terminations[r/1000], f.nowMS)
			}
			f.pending = append(f.pending, notice{atMS: f.nowMS + noticeDelayMS, instance: r % 1000, request: r / 1000, incarnation: incarnation})
		}
	}
}

// exchange delivers the packets that are due, and sends new ones.
func (f *fleet) exchange() {
	var due, left []packet
	for _, p := range f.packets {
		if p.atMS <= f.nowMS {
			due = append(due, p)
		} else {
			left = append(left, p)
		}
	}
	f.packets = left
	for _, p := range due {
		for _, r := range p.reports {
			sends := forwardedReportSends
			if f.coordinator && p.to != 0 {
				sends = 0
			}
			f.trackers[p.to].ReceiveReport(f.now(), r, sends)
		}
		f.trackers[p.to].ReceiveDigest(f.now(), p.digest)
	}
	if !f.exchangesReports {
		return
	}
	for i, l := range f.trackers {
		reports, digest := l.PendingReports(f.now(), fleetRoom), l.Digest(f.now())
		for to := range f.trackers {
			if to == i || f.coordinator && i != 0 && to != 0 || f.loss > 0 && f.chance(f.loss) {
				continue
			}
			delay := 1
			if f.loss > 0 {
				delay = 1 + f.random.IntN(maxDelayMS)
			}
			f.packets = append(f.packets, packet{to: to, reports: reports, digest: digest, atMS: f.nowMS + delay})
		}
	}
}

func (f *fleet) notice() {
	var left []notice
	for _, n := range f.pending {
		if n.atMS > f.nowMS {
			left = append(left, n)
			continue
		}
		f.trackers[n.instance].RecordTermination(f.now(), testRequest(n.request), n.incarnation, ownReportSends)
	}
	f.pending = left
}

func testRequest(i int) Fingerprint { return request(i) }

// play lets the given number of milliseconds pass, in which each request arrives about every
// repeatMS.
func (f *fleet) play(ms int) {
	for end := f.nowMS + ms; f.nowMS < end; f.nowMS += fleetTick {
		f.notice()
		f.run()
		f.exchange()
		for r := range f.guilty + f.innocent {
			if f.chance(fleetTick / float64(repeatMS)) {
				f.send(r, f.random.IntN(f.instances))
			}
		}
	}
}

// tooMany returns the guilty requests that arrived at more than three endpoints after the time
// in which instances in contact must know of the third termination.
func (f *fleet) tooMany() []int {
	var broken []int
	for r := range f.guilty {
		if len(f.terminations[r]) < 3 {
			continue
		}
		late := 0
		for _, at := range f.arrivals[r] {
			if at > f.terminations[r][2]+inContactMS {
				late++
			}
		}
		if late > 3 {
			broken = append(broken, r)
		}
	}
	return broken
}

// TestGuiltyRequestsEndNoMoreEndpoints simulates random fleets with lost, repeated and delayed
// reports. It guards against a guilty request that reaches more than three endpoints after all
// instances in contact must know it, and against an innocent one that does not succeed within
// the longest first hold.
func TestGuiltyRequestsEndNoMoreEndpoints(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(seed, fleetConfig{
			instances: 2 + random.IntN(8), endpoints: 4 + random.IntN(9), guilty: 1 + random.IntN(2), innocent: 1 + random.IntN(4),
			loss: 0.05, exchangesReports: true, coordinator: random.IntN(2) == 0,
		})
		f.play(30_000)
		require.Empty(t, f.tooMany(), "seed %d", seed)
		before := map[int]int{}
		for r := f.guilty; r < f.guilty+f.innocent; r++ {
			before[r] = f.succeeded[r]
		}
		// Every request that is held wrongly is admitted again after the longest first hold.
		f.nowMS += int(limits.Hold.Milliseconds() * 3 / 2)
		f.play(15_000)
		for r, n := range before {
			require.Greater(t, f.succeeded[r], n, "seed %d, innocent request %d", seed, r)
		}
	}
}

// fleetSeeds is the number of simulated fleets.
const fleetSeeds = 300

// TestFleetWithoutReportsIsDetected simulates the variant in which each instance knows only what
// it has observed. It guards against a check in the test above that never fails.
func TestFleetWithoutReportsIsDetected(t *testing.T) {
	detected := 0
	for seed := range uint64(10) {
		f := newFleet(seed, fleetConfig{instances: 9, endpoints: 12, guilty: 1, innocent: 1})
		f.play(30_000)
		detected += len(f.tooMany())
	}
	require.NotZero(t, detected)
}

// TestLateInstanceReceivesAllReports restarts an instance after all reports were sent: it must
// hold the same requests within the time in which instances in contact do.
func TestLateInstanceReceivesAllReports(t *testing.T) {
	for _, instances := range []int{6, 18, 63, 295} {
		coordinator := instances > 16
		trackers := make([]*Tracker, instances)
		for i := range trackers {
			trackers[i] = NewTracker(limits)
		}
		tick := func(now time.Time) {
			for i, l := range trackers {
				reports, digest := l.PendingReports(now, fleetRoom), l.Digest(now)
				for to, other := range trackers {
					if to == i || coordinator && i != 0 && to != 0 {
						continue
					}
					for _, r := range reports {
						other.ReceiveReport(now, r, 0)
					}
					other.ReceiveDigest(now, digest)
				}
			}
		}
		const requests = 20
		for r := range requests {
			for e := range 3 {
				trackers[1+e].RecordTermination(at(0), request(r), uint64(100*r+e), ownReportSends)
			}
		}
		for ms := 0; ms < 2000; ms += fleetTick {
			tick(at(float64(ms) / 1000))
		}
		trackers[instances-1] = NewTracker(limits)
		for ms := 2000; ms < 2000+inContactMS; ms += fleetTick {
			tick(at(float64(ms) / 1000))
		}
		for r := range requests {
			require.NotZero(t, trackers[instances-1].HoldRemaining(at(5), request(r)), "%d instances, request %d", instances, r)
		}
		for _, l := range trackers {
			require.Equal(t, trackers[0].Digest(at(5)), l.Digest(at(5)))
		}
	}
}
