package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// partFixture is a few instances in virtual time, whose requests have parts named by letters.
type partFixture struct {
	t         *testing.T
	seconds   float64
	instances []*Manager
	trials    *memoryTrials
	persisted []Report
	requests  int
	endings   int64
}

func newPartFixture(t *testing.T, instances int) *partFixture {
	f := &partFixture{t: t, trials: newMemoryTrials()}
	for range instances {
		f.instances = append(f.instances, NewManager(Config{
			Limits: limits, Now: func() time.Time { return at(f.seconds) }, Log: logr.Discard(), Trials: f.trials,
			Persist: func(r Report) { f.persisted = append(f.persisted, r) },
		}))
	}
	return f
}

// named returns the fingerprint of the part that is named by a letter.
func named(letter rune) Fingerprint { return PromptPartFingerprint([]byte(string(letter))) }

// request returns a new request of an account whose prompt has the parts named by letters.
func (f *partFixture) request(account, letters string) Request {
	f.requests++
	r := Request{Fingerprint: request(f.requests), Account: account}
	for _, letter := range letters {
		r.Parts = append(r.Parts, named(letter))
	}
	return r
}

// terminate lets an endpoint terminate under new requests of an account at an instance.
func (f *partFixture) terminate(instance, times int, account, letters string) {
	for range times {
		f.endings++
		f.instances[instance].RecordTermination(f.request(account, letters), false, "e", f.endings)
		f.seconds++
	}
}

// exchange lets all instances know what each knows.
func (f *partFixture) exchange() {
	for _, from := range f.instances {
		reports := from.PendingReports(100_000)
		for _, to := range f.instances {
			if to != from {
				to.ReceiveReports(reports, false)
			}
		}
	}
}

// held returns why a new request is held at an instance; nil if it is not. A request that is not held
// is in flight from then on.
func (f *partFixture) held(instance int, account, letters string) *HeldError {
	return f.heldRequest(instance, f.request(account, letters))
}

func (f *partFixture) heldRequest(instance int, r Request) *HeldError {
	var held *HeldError
	if err := f.instances[instance].Begin(f.t.Context(), &InFlight{}, r, func() {}); err != nil {
		require.ErrorAs(f.t, err, &held)
	}
	return held
}

func TestPartIsHeldByThreeDifferentRequests(t *testing.T) {
	f := newPartFixture(t, 2)
	f.terminate(0, 2, "", "g")
	require.Nil(t, f.held(0, "", "g"))
	waiting, other := &InFlight{}, &InFlight{}
	require.NoError(t, f.instances[1].Begin(t.Context(), waiting, f.request("", "xg"), func() {}))
	require.NoError(t, f.instances[1].Begin(t.Context(), other, f.request("", "xy"), func() {}))
	f.terminate(0, 1, "", "g")
	held := f.held(0, "", "g")
	require.NotNil(t, held)
	require.True(t, held.Part)
	require.GreaterOrEqual(t, held.Remaining, limits.Hold-time.Second)
	f.exchange()
	require.NotNil(t, f.held(1, "", "zg"), "at the other instance, in another request")
	require.NotNil(t, waiting.Held(), "also where it was sent before the hold")
	require.Nil(t, other.Held())
}

func TestAnswersThatHadBegunDoNotAccuseTheirParts(t *testing.T) {
	f := newPartFixture(t, 1)
	for i := range int64(5) {
		f.instances[0].RecordTermination(f.request("", "s"), true, "e", i)
	}
	require.Nil(t, f.held(0, "", "s"))
}

// TestRequestThatTerminatesEndpointsSparesItsParts guards against a shared document that is held as
// one of the requests about it crashes endpoints.
func TestRequestThatTerminatesEndpointsSparesItsParts(t *testing.T) {
	f := newPartFixture(t, 1)
	guilty := f.request("", "s")
	for i := range int64(6) {
		f.instances[0].RecordTermination(guilty, false, "e", i)
	}
	require.NotNil(t, f.heldRequest(0, guilty))
	require.Nil(t, f.held(0, "", "s"))
}

// TestPartsOfOtherAccountsAreNotHeld guards against an account that has the parts of another one
// held, by requests of its own that crash endpoints.
func TestPartsOfOtherAccountsAreNotHeld(t *testing.T) {
	f := newPartFixture(t, 1)
	f.terminate(0, 4, "attacker", "s")
	require.NotNil(t, f.held(0, "attacker", "s"))
	require.Nil(t, f.held(0, "victim", "s"))
	f.terminate(0, 1, "victim", "s")
	require.NotNil(t, f.held(0, "victim", "s"), "whoever sends it")
	require.NotNil(t, f.held(0, "third", "s"))
}

// TestPartThatWasAnsweredElsewhereIsTrusted guards against a part that is held where it ran beside
// three crashes, though another instance has had it answered all the time.
func TestPartThatWasAnsweredElsewhereIsTrusted(t *testing.T) {
	f := newPartFixture(t, 2)
	f.instances[1].RecordAnswer(f.request("", "s"))
	f.seconds++
	f.terminate(0, 3, "", "s")
	require.NotNil(t, f.held(0, "", "s"))
	f.exchange()
	f.exchange()
	require.Nil(t, f.held(0, "", "s"))
	f.terminate(0, 1, "", "s")
	require.NotNil(t, f.held(0, "", "s"), "it may have become deadly")
}

// TestLostRackDoesNotHoldATrustedPart guards against endpoints that terminate together and are taken
// for several proofs.
func TestLostRackDoesNotHoldATrustedPart(t *testing.T) {
	f := newPartFixture(t, 1)
	f.instances[0].RecordAnswer(f.request("", "s"))
	f.seconds++
	for i := range int64(6) {
		f.instances[0].RecordTermination(f.request("", "s"), false, "e", i)
	}
	require.Nil(t, f.held(0, "", "s"))
}

func TestHeldPartSparesThePartsBesideIt(t *testing.T) {
	f := newPartFixture(t, 1)
	f.terminate(0, 3, "", "g")
	f.terminate(0, 3, "", "gs")
	require.Nil(t, f.held(0, "", "s"))
}

// TestPartsThatAlwaysCameTogetherAreToldApart guards against a sound part that is held with the
// guilty one as nothing has been answered yet.
func TestPartsThatAlwaysCameTogetherAreToldApart(t *testing.T) {
	f := newPartFixture(t, 1)
	f.terminate(0, 3, "", "fg")
	require.NotNil(t, f.held(0, "", "fg"))
	sound := f.request("", "fs")
	require.Nil(t, f.heldRequest(0, sound))
	f.instances[0].RecordAnswer(sound)
	require.Nil(t, f.held(0, "", "f"))
	require.NotNil(t, f.held(0, "", "g"), "now it is the only explanation")

	f = newPartFixture(t, 1)
	f.terminate(0, 3, "", "gf")
	f.terminate(0, 1, "", "gs")
	require.NotNil(t, f.held(0, "", "g"), "the part that was in all of them")
	require.Nil(t, f.held(0, "", "f"))
}

// holdOver lets the time of a part's hold pass.
func (f *partFixture) holdOver(letters string) {
	held := f.held(0, "", letters)
	require.NotNil(f.t, held)
	f.seconds += held.Remaining.Seconds() + 0.001
}

// TestOneInstanceTriesAHeldPart guards against a trial by each instance, here of five that have lost
// each other. The variant whose store grants each claim shows that the check can fail.
func TestOneInstanceTriesAHeldPart(t *testing.T) {
	for _, grantsAll := range []bool{false, true} {
		f := newPartFixture(t, 5)
		f.trials.grantsAll = grantsAll
		f.terminate(0, 3, "", "g")
		f.exchange()
		f.holdOver("g")
		tries := 0
		for range 3 {
			for i := range f.instances {
				if f.held(i, "", "g") == nil {
					tries++
				}
			}
		}
		if grantsAll {
			require.Equal(t, 5, tries)
			continue
		}
		require.Equal(t, 1, tries)
	}
}

// TestTrialsAreFew guards against a part that is tried for ever: after the second trial it is held
// until its terminations no longer count.
func TestTrialsAreFew(t *testing.T) {
	f := newPartFixture(t, 2)
	f.terminate(0, 3, "", "g")
	for range maxTrials {
		f.exchange()
		f.holdOver("g")
		require.Nil(t, f.held(1, "", "g"))
		require.NotNil(t, f.held(1, "", "g"), "one at a time")
		f.terminate(1, 1, "", "g")
	}
	f.exchange()
	held := f.held(0, "", "g")
	require.NotNil(t, held)
	require.Greater(t, held.Remaining, limits.Retention()-10*time.Second)
	f.seconds += held.Remaining.Seconds() + 1
	require.Nil(t, f.held(0, "", "g"), "the reported time is right")
}

func TestTrialThatIsAnsweredReleasesThePart(t *testing.T) {
	f := newPartFixture(t, 2)
	f.terminate(0, 3, "", "g")
	f.exchange()
	f.holdOver("g")
	trial := f.request("", "g")
	require.Nil(t, f.heldRequest(1, trial))
	f.seconds++
	f.instances[1].RecordAnswer(trial)
	f.exchange()
	for i := range f.instances {
		require.Nil(t, f.held(i, "", "g"))
	}
	require.Empty(t, f.persisted[len(f.persisted)-1].Incarnations, "the stored hold is removed")
}

// TestTrialThatReachedNoEndpointIsMadeAgain guards against a sound part that is held for hours as its
// trials were refused in a queue.
func TestTrialThatReachedNoEndpointIsMadeAgain(t *testing.T) {
	f := newPartFixture(t, 1)
	f.terminate(0, 3, "", "g")
	f.holdOver("g")
	for range 5 {
		flight := &InFlight{}
		require.NoError(t, f.instances[0].Begin(t.Context(), flight, f.request("", "g"), func() {}))
		require.NotNil(t, f.held(0, "", "g"))
		flight.ReturnTrials()
		flight.End()
	}
	require.Nil(t, f.held(0, "", "g"))
	require.NotNil(t, f.held(0, "", "g"), "this one was sent")
}

// TestTrialNeedsTheStore guards against a trial by each instance while the store is out of reach.
func TestTrialNeedsTheStore(t *testing.T) {
	f := newPartFixture(t, 1)
	f.instances[0].trials = TrialsFunc(func(context.Context, Report) (TrialClaim, error) { return TrialClaim{}, errors.New("no store") })
	f.terminate(0, 3, "", "g")
	f.holdOver("g")
	require.Equal(t, trialRetryAfter, f.held(0, "", "g").Remaining)
}

// TestHoldThatNobodyHasObservedAloneIsPersisted guards against a hold that a restart of all instances
// ends, as each had observed one termination only.
func TestHoldThatNobodyHasObservedAloneIsPersisted(t *testing.T) {
	f := newPartFixture(t, 4)
	for i := range 3 {
		f.terminate(i, 1, "", "g")
	}
	require.Empty(t, f.persisted)
	f.exchange()
	require.NotEmpty(t, f.persisted)
	for _, r := range f.persisted {
		require.Len(t, r.Incarnations, 3)
	}
	require.LessOrEqual(t, len(f.persisted), 2*3, "the part and no instance that has observed nothing")
}

// TestReportOfANeighbouringRelease guards against a part that is not held as a release without parts
// has forwarded its reports.
func TestReportOfANeighbouringRelease(t *testing.T) {
	f := newPartFixture(t, 2)
	f.terminate(0, 3, "", "g")
	reports := f.instances[0].PendingReports(100_000)
	for i := range reports {
		reports[i].Shared, reports[i].Origins, reports[i].TrialsMS = false, nil, nil
	}
	f.instances[1].ReceiveReports(reports, false)
	require.Nil(t, f.held(1, "", "g"), "of unknown requests")
	f.terminate(1, 1, "", "g")
	require.NotNil(t, f.held(1, "", "g"))
}

func TestReportSizeIsAnUpperBound(t *testing.T) {
	f := newPartFixture(t, 1)
	for i := range maxTerminations {
		f.terminate(0, 1, fmt.Sprint(i), "g")
		f.seconds += 1000
	}
	tracker := f.instances[0].tracker
	for i := range maxTrials {
		tracker.RecordTrial(at(f.seconds), named('g'), i, 1)
	}
	f.seconds += 100
	for _, r := range append(tracker.PendingReports(at(f.seconds), 100_000), tracker.Report(at(f.seconds), named('g'))) {
		data, err := cbor.Marshal(r)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), r.size())
	}
}

// TestReportWithTooManyTrialsIsMerged guards against a panic by the hold object of a later release, which
// may grant more trials.
func TestReportWithTooManyTrialsIsMerged(t *testing.T) {
	f := named('g')
	later := Report{Fingerprint: f[:], Shared: true, Incarnations: []uint64{1}, AgesMS: []int64{5}, TrialsMS: []int64{4, 3, 2, 1}}
	merged := MergeReports(Report{Fingerprint: f[:]}, later)
	require.Len(t, merged.TrialsMS, maxTrials)
	require.Equal(t, later.Incarnations, merged.Incarnations)
}
