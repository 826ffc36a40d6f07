package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A fleet in virtual time: ledgers that tell each other by packets, which are lost,
// doubled and late; endpoints that run batches of requests, of which some end whatever
// runs them; callers who repeat.

// Times and sizes of the fleet, in milliseconds and bytes.
const (
	fleetTick  = 100
	fleetRoom  = 600
	inTouchMS  = 3000
	backMS     = 3000
	repeatMS   = 700
	noticeMS   = 60
	mostLateMS = 400
)

type fleetConfig struct {
	instances, endpoints, guilty, innocent int
	// loss is the share of packets that are lost.
	loss float64
	// tells is switched off in the variant in which nobody tells anybody.
	tells bool
	// hub is set where all is told by way of the first instance.
	hub bool
}

type packet struct {
	to     int
	words  []Report
	digest uint64
	atMS   int
}

type fleet struct {
	fleetConfig
	random   *rand.Rand
	ledgers  []*Tracker
	upAtMS   []int
	starts   []int
	running  [][]int
	nowMS    int
	packets  []packet
	endings  map[int][]int
	arrivals map[int][]int
	served   map[int]int
	rejected map[int]int
	pending  []notice
}

// notice is that of an instance that an endpoint has ended under a request.
type notice struct {
	atMS, instance, request int
	endpoint                uint64
}

func (f *fleet) now() time.Time { return at(float64(f.nowMS) / 1000) }

func newFleet(seed uint64, c fleetConfig) *fleet {
	f := &fleet{
		fleetConfig: c, random: rand.New(rand.NewPCG(seed, 1)), upAtMS: make([]int, c.endpoints), starts: make([]int, c.endpoints), running: make([][]int, c.endpoints),
		endings: map[int][]int{}, arrivals: map[int][]int{}, served: map[int]int{}, rejected: map[int]int{},
	}
	for range c.instances {
		f.ledgers = append(f.ledgers, NewTracker(limits))
	}
	return f
}

func (f *fleet) chance(share float64) bool { return f.random.Float64() < share }

// ask lets a request come to an instance.
func (f *fleet) ask(request, instance int) {
	fp := testRequest(request)
	if f.ledgers[instance].Held(f.now(), fp) > 0 {
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

// run ends the endpoints that run a guilty request, and serves what else they run.
func (f *fleet) run() {
	for e, batch := range f.running {
		f.running[e] = nil
		ends := false
		for _, r := range batch {
			ends = ends || r/1000 < f.guilty
		}
		if !ends {
			for _, r := range batch {
				f.served[r/1000]++
				f.ledgers[r%1000].Served(f.now(), testRequest(r/1000), tellsOfOwn)
			}
			continue
		}
		f.upAtMS[e] = f.nowMS + backMS
		mark := IncarnationHash(fmt.Sprint(e), int64(f.starts[e]))
		f.starts[e]++
		for _, r := range batch {
			if r/1000 < f.guilty {
				f.endings[r/1000] = append(f.endings[r/1000], f.nowMS)
			}
			f.pending = append(f.pending, notice{atMS: f.nowMS + noticeMS, instance: r % 1000, request: r / 1000, endpoint: mark})
		}
	}
}

// tell sends and delivers packets.
func (f *fleet) tell() {
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
		for _, w := range p.words {
			tells := tellsOfHeard
			if f.hub && p.to != 0 {
				tells = 0
			}
			f.ledgers[p.to].Hear(f.now(), w, tells)
		}
		f.ledgers[p.to].HearDigest(f.now(), p.digest)
	}
	if !f.tells {
		return
	}
	for i, l := range f.ledgers {
		words, digest := l.Words(f.now(), fleetRoom), l.Digest(f.now())
		for to := range f.ledgers {
			if to == i || f.hub && i != 0 && to != 0 || f.loss > 0 && f.chance(f.loss) {
				continue
			}
			late := 1
			if f.loss > 0 {
				late = 1 + f.random.IntN(mostLateMS)
			}
			f.packets = append(f.packets, packet{to: to, words: words, digest: digest, atMS: f.nowMS + late})
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
		f.ledgers[n.instance].Ended(f.now(), testRequest(n.request), n.endpoint, tellsOfOwn)
	}
	f.pending = left
}

func testRequest(i int) Fingerprint { return request(i) }

// play lets so many milliseconds pass, in which each request comes every repeatMS or so.
func (f *fleet) play(ms int) {
	for end := f.nowMS + ms; f.nowMS < end; f.nowMS += fleetTick {
		f.notice()
		f.run()
		f.tell()
		for r := range f.guilty + f.innocent {
			if f.chance(fleetTick / float64(repeatMS)) {
				f.ask(r, f.random.IntN(f.instances))
			}
		}
	}
}

// tooMany returns the guilty requests that came to more than three endpoints later than
// instances in touch have to know of the third ending.
func (f *fleet) tooMany() []int {
	var broken []int
	for r := range f.guilty {
		if len(f.endings[r]) < 3 {
			continue
		}
		late := 0
		for _, at := range f.arrivals[r] {
			if at > f.endings[r][2]+inTouchMS {
				late++
			}
		}
		if late > 3 {
			broken = append(broken, r)
		}
	}
	return broken
}

// TestGuiltyRequestsEndNoMoreEndpoints plays random fleets with lost, doubled and late
// packets: a guilty request comes to no more than three endpoints once all in touch have
// had the time to know, and every innocent one is served within the longest first hold.
func TestGuiltyRequestsEndNoMoreEndpoints(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(seed, fleetConfig{
			instances: 2 + random.IntN(8), endpoints: 4 + random.IntN(9), guilty: 1 + random.IntN(2), innocent: 1 + random.IntN(4),
			loss: 0.05, tells: true, hub: random.IntN(2) == 0,
		})
		f.play(30_000)
		require.Empty(t, f.tooMany(), "seed %d", seed)
		before := map[int]int{}
		for r := f.guilty; r < f.guilty+f.innocent; r++ {
			before[r] = f.served[r]
		}
		// All that is held wrongly is let in again in the longest first hold.
		f.nowMS += int(limits.Hold.Milliseconds() * 3 / 2)
		f.play(15_000)
		for r, n := range before {
			require.Greater(t, f.served[r], n, "seed %d, innocent request %d", seed, r)
		}
	}
}

// fleetSeeds is how many fleets are played.
const fleetSeeds = 300

// TestFleetThatTellsNobodyIsCaught is the variant in which each instance knows only what
// it has seen: the check of the test above must catch it.
func TestFleetThatTellsNobodyIsCaught(t *testing.T) {
	caught := 0
	for seed := range uint64(10) {
		f := newFleet(seed, fleetConfig{instances: 9, endpoints: 12, guilty: 1, innocent: 1})
		f.play(30_000)
		caught += len(f.tooMany())
	}
	require.NotZero(t, caught)
}

// TestWhoComesLateLearnsAll starts an instance behind all news, and one that was cut off:
// they know what is held within the time that instances in touch have.
func TestWhoComesLateLearnsAll(t *testing.T) {
	for _, instances := range []int{6, 18, 63, 295} {
		hub := instances > 16
		ledgers := make([]*Tracker, instances)
		for i := range ledgers {
			ledgers[i] = NewTracker(limits)
		}
		tick := func(now time.Time) {
			for i, l := range ledgers {
				words, digest := l.Words(now, fleetRoom), l.Digest(now)
				for to, other := range ledgers {
					if to == i || hub && i != 0 && to != 0 {
						continue
					}
					for _, w := range words {
						other.Hear(now, w, 0)
					}
					other.HearDigest(now, digest)
				}
			}
		}
		const requests = 20
		for r := range requests {
			for e := range 3 {
				ledgers[1+e].Ended(at(0), request(r), uint64(100*r+e), tellsOfOwn)
			}
		}
		for ms := 0; ms < 2000; ms += fleetTick {
			tick(at(float64(ms) / 1000))
		}
		ledgers[instances-1] = NewTracker(limits)
		for ms := 2000; ms < 2000+inTouchMS; ms += fleetTick {
			tick(at(float64(ms) / 1000))
		}
		for r := range requests {
			require.NotZero(t, ledgers[instances-1].Held(at(5), request(r)), "%d instances, request %d", instances, r)
		}
		for _, l := range ledgers {
			require.Equal(t, ledgers[0].Digest(at(5)), l.Digest(at(5)))
		}
	}
}
