package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// A simulated fleet in virtual time whose requests share parts of their prompts: managers that
// exchange reports in packets, which are lost and delayed; endpoints that run many requests at once
// and terminate as soon as they begin to answer one with a guilty part.

// Times of the fleet of parts, in milliseconds, and its sizes.
const (
	partTick       = 20
	partExchange   = 100
	soundRunsMS    = 3000
	firstParts     = 9
	secondParts    = 30
	partFleetSeeds = 10
)

type partFleetConfig struct {
	instances, endpoints, guilty int
	// guiltyPerS is how many requests with each guilty part come in a second, soundPerS how many
	// others.
	guiltyPerS, soundPerS float64
	loss                  float64
	// lostRackAtMS is when a third of the endpoints terminates together; 0 for never.
	lostRackAtMS int
	// accounts is how many accounts the requests have; 0 for none.
	accounts int
	// guiltyFromMS is when the first request with a guilty part comes.
	guiltyFromMS int
	// isolated is set where instances exchange no reports, blamesAll where answers that had begun
	// count against parts.
	isolated, blamesAll bool
}

// partRequest is a request at an endpoint.
type partRequest struct {
	Request
	guilty           int
	instance         int
	begins, ends     int
	began, cancelled bool
	flight           *InFlight
}

type partEndpoint struct {
	upAtMS, starts int
	running        []*partRequest
}

// partNotice is the observation by an instance that an endpoint has terminated under a request.
type partNotice struct {
	atMS     int
	request  *partRequest
	endpoint string
	start    int64
}

type partPacket struct {
	atMS, to int
	reports  []Report
	digest   uint64
}

type partFleet struct {
	partFleetConfig
	t         *testing.T
	random    *rand.Rand
	nowMS     int
	managers  []*Manager
	endpoints []*partEndpoint
	notices   []partNotice
	packets   []partPacket
	trials    *memoryTrials
	sent      int
	// terminations and arrivals are times by guilty part; rejected and begun count the sound
	// requests with the first part of the guilty ones.
	terminations, arrivals map[int][]int
	rejected, begun        int
	countFromMS            int
}

// memoryTrials grants each trial once, as a store does, or each claim if grantsAll is set.
type memoryTrials struct {
	grantsAll bool
	trials    map[Fingerprint]int
}

func newMemoryTrials() *memoryTrials { return &memoryTrials{trials: map[Fingerprint]int{}} }

func (m *memoryTrials) Claim(_ context.Context, r Report) (TrialClaim, error) {
	f := Fingerprint(r.Fingerprint)
	if m.trials[f] > len(r.TrialsMS) && !m.grantsAll {
		known := r
		known.TrialsMS = slices.Repeat([]int64{0}, m.trials[f])
		return TrialClaim{Known: known}, nil
	}
	m.trials[f]++
	return TrialClaim{Granted: true}, nil
}

func newPartFleet(t *testing.T, seed uint64, c partFleetConfig) *partFleet {
	f := &partFleet{
		partFleetConfig: c, t: t, random: rand.New(rand.NewPCG(seed, 3)), trials: newMemoryTrials(),
		terminations: map[int][]int{}, arrivals: map[int][]int{}, countFromMS: -1,
	}
	for range c.instances {
		f.managers = append(f.managers, NewManager(Config{Limits: limits, Now: f.now, Log: logr.Discard(), Trials: f.trials}))
	}
	for range c.endpoints {
		f.endpoints = append(f.endpoints, &partEndpoint{})
	}
	return f
}

func (f *partFleet) now() time.Time { return at(float64(f.nowMS) / 1000) }

func part(text string, i int) Fingerprint { return PromptPartFingerprint(fmt.Append(nil, text, i)) }

// newRequest returns a request with a guilty part, or a sound one for -1. No two are alike.
func (f *partFleet) newRequest(guilty int) *partRequest {
	f.sent++
	first := f.random.IntN(firstParts)
	second := part("second", f.random.IntN(secondParts))
	if guilty >= 0 {
		first, second = 0, part("guilty", guilty)
	}
	r := &partRequest{guilty: guilty, instance: f.random.IntN(f.instances), begins: f.nowMS + 80 + f.random.IntN(200)}
	r.ends = r.begins + soundRunsMS
	r.Request = Request{Fingerprint: request(f.sent), Parts: []Fingerprint{part("first", first), second, part("own", f.sent)}}
	if f.accounts > 0 {
		r.Account = fmt.Sprint("account ", f.random.IntN(f.accounts))
	}
	return r
}

// send sends a request to its instance, which sends it to an endpoint.
func (f *partFleet) send(r *partRequest) {
	counts := f.countFromMS >= 0 && f.nowMS >= f.countFromMS && r.guilty < 0 && r.Parts[0] == part("first", 0)
	r.flight = &InFlight{}
	if f.managers[r.instance].Begin(f.t.Context(), r.flight, r.Request, func() { r.cancelled = true }) != nil {
		if counts {
			f.rejected++
		}
		return
	}
	if counts {
		f.begun++
	}
	var up []*partEndpoint
	for _, e := range f.endpoints {
		if e.upAtMS <= f.nowMS {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		r.flight.End()
		return
	}
	e := up[f.random.IntN(len(up))]
	e.running = append(e.running, r)
	if r.guilty >= 0 {
		f.arrivals[r.guilty] = append(f.arrivals[r.guilty], f.nowMS)
	}
}

// run lets the endpoints begin and complete answers.
func (f *partFleet) run() {
	for i, e := range f.endpoints {
		e.running = slices.DeleteFunc(e.running, func(r *partRequest) bool { return r.cancelled })
		rack := f.lostRackAtMS > 0 && f.nowMS == f.lostRackAtMS && i%3 == 0
		guilty := slices.IndexFunc(e.running, func(r *partRequest) bool { return r.guilty >= 0 && r.begins <= f.nowMS })
		if guilty >= 0 {
			g := e.running[guilty].guilty
			f.terminations[g] = append(f.terminations[g], f.nowMS)
		}
		if rack || guilty >= 0 {
			f.terminate(i, e)
			continue
		}
		e.running = slices.DeleteFunc(e.running, f.progress)
	}
}

// progress begins or completes the answer to a request, and reports whether it is complete.
func (f *partFleet) progress(r *partRequest) bool {
	m := f.managers[r.instance]
	if !r.began && r.begins <= f.nowMS {
		r.began = true
		r.flight.End()
		m.RecordAnswer(r.Request)
	}
	if r.ends <= f.nowMS {
		m.RecordSuccess(r.Request)
	}
	return r.ends <= f.nowMS
}

func (f *partFleet) terminate(i int, e *partEndpoint) {
	for _, r := range e.running {
		f.notices = append(f.notices, partNotice{atMS: f.nowMS + 55 + f.random.IntN(60), request: r, endpoint: fmt.Sprint(i), start: int64(e.starts)})
	}
	e.running, e.upAtMS = nil, f.nowMS+4000+f.random.IntN(6000)
	e.starts++
}

func (f *partFleet) observe() {
	f.notices = slices.DeleteFunc(f.notices, func(n partNotice) bool {
		if n.atMS > f.nowMS {
			return false
		}
		f.managers[n.request.instance].RecordTermination(n.request.Request, n.request.began && !f.blamesAll, n.endpoint, n.start)
		n.request.flight.End()
		return true
	})
}

func (f *partFleet) exchange() {
	f.packets = slices.DeleteFunc(f.packets, func(p partPacket) bool {
		if p.atMS > f.nowMS {
			return false
		}
		f.managers[p.to].ReceiveReports(p.reports, true)
		f.managers[p.to].ReceiveDigest(p.digest)
		return true
	})
	if f.nowMS%partExchange != 0 || f.isolated {
		return
	}
	for i, m := range f.managers {
		reports, digest := m.PendingReports(fleetRoom), m.Digest()
		for to := range f.managers {
			if to != i && f.random.Float64() >= f.loss {
				f.packets = append(f.packets, partPacket{atMS: f.nowMS + 1 + f.random.IntN(100), to: to, reports: reports, digest: digest})
			}
		}
	}
}

// play lets the given number of milliseconds pass.
func (f *partFleet) play(ms int) {
	for end := f.nowMS + ms; f.nowMS < end; f.nowMS += partTick {
		f.observe()
		f.run()
		f.exchange()
		for g := -1; g < f.guilty; g++ {
			rate := f.guiltyPerS
			if g < 0 {
				rate = f.soundPerS
			} else if f.nowMS < f.guiltyFromMS {
				continue
			}
			for expected := rate * partTick / 1000; f.random.Float64() < expected; expected-- {
				f.send(f.newRequest(g))
			}
		}
	}
}

// lateArrivals returns how many requests with a guilty part reached endpoints once all instances in
// contact must know of the fifth termination.
func (f *partFleet) lateArrivals(guilty int) int {
	times := f.terminations[guilty]
	if len(times) < 5 {
		return 0
	}
	late := 0
	for _, at := range f.arrivals[guilty] {
		if at > times[4]+inContactMS {
			late++
		}
	}
	return late
}

// heldSoundParts returns how many parts are held at any instance that are not guilty.
func (f *partFleet) heldSoundParts() int {
	held := map[Fingerprint]bool{}
	for _, m := range f.managers {
		for _, r := range m.HeldReports() {
			if r.Shared {
				held[Fingerprint(r.Fingerprint)] = true
			}
		}
	}
	for g := range f.guilty {
		delete(held, part("guilty", g))
	}
	return len(held)
}

// partFleetOf returns a random fleet.
func partFleetOf(t *testing.T, seed uint64) *partFleet {
	random := rand.New(rand.NewPCG(seed, 4))
	c := partFleetConfig{
		instances: 3 + random.IntN(8), endpoints: 12 + random.IntN(13), guilty: 1 + random.IntN(2),
		guiltyPerS: []float64{0.4, 1, 3, 10}[random.IntN(4)], soundPerS: 30 + 30*random.Float64(), loss: 0.05, accounts: []int{0, 0, 1, 3}[random.IntN(4)],
	}
	if c.guilty > 1 || random.IntN(4) > 0 {
		c.guiltyFromMS = 3000
	}
	if random.IntN(2) == 0 {
		c.lostRackAtMS = 5000 + partTick*random.IntN(200)
	}
	return newPartFleet(t, seed, c)
}

// playHolds plays the times at which a hold may end, and the part may be tried again.
func (f *partFleet) playHolds() {
	for hold := limits.Hold * 3 / 2; hold < limits.Retention()/2; hold <<= trialDoublings {
		f.nowMS += int(hold.Milliseconds()) / partExchange * partExchange
		f.play(5_000)
	}
}

// TestGuiltyPartsEndNoMoreEndpoints simulates random fleets. It guards against requests with a guilty
// part that reach more than three endpoints once all instances know of the fifth, trials included;
// and against a hold of the sound first part, or of another sound part, beside them.
func TestGuiltyPartsEndNoMoreEndpoints(t *testing.T) {
	for seed := range uint64(partFleetSeeds) {
		f := partFleetOf(t, seed)
		f.play(15_000)
		f.countFromMS = f.nowMS
		f.play(10_000)
		require.Greater(t, f.begun, f.rejected, "seed %d: sound requests with the same first part", seed)
		require.Zero(t, f.heldSoundParts(), "seed %d", seed)
		f.playHolds()
		for g := range f.guilty {
			require.LessOrEqual(t, f.lateArrivals(g), 3, "seed %d, guilty part %d: %v %v", seed, g, f.terminations[g], f.arrivals[g])
		}
	}
}

// TestPartsOfBrokenFleetsAreDetected simulates fleets that break one rule each. It guards against
// checks in the test above that never fail.
func TestPartsOfBrokenFleetsAreDetected(t *testing.T) {
	fleet := partFleetConfig{instances: 9, endpoints: 18, guilty: 1, guiltyPerS: 3, soundPerS: 60, guiltyFromMS: 3000}
	t.Run("without reports", func(t *testing.T) {
		c := fleet
		c.isolated = true
		f := newPartFleet(t, 1, c)
		f.play(25_000)
		require.Greater(t, f.lateArrivals(0), 3)
	})
	t.Run("with blame for answers that had begun", func(t *testing.T) {
		held := 0
		for seed := range uint64(10) {
			c := fleet
			c.blamesAll, c.guiltyPerS, c.soundPerS = true, 10, 120
			f := newPartFleet(t, seed, c)
			f.play(6_000)
			held += f.heldSoundParts()
		}
		require.NotZero(t, held)
	})
}
