package routing

import "slices"

// Names of the policies that are kept runnable for comparison.
const (
	// PolicyRandom picks any live endpoint.
	PolicyRandom = "random"
	// PolicyReported picks the least load as reported.
	PolicyReported = "reported"
	// PolicyTwoChoices picks the better of two by report.
	PolicyTwoChoices = "two-choices"
	// PolicyEstimate picks the least load as reported and corrected by the
	// instance's own attempts, within the instance's share.
	PolicyEstimate = "estimate"
)

// PolicyTimely picks the sooner of two endpoints, among those that are expected to
// give the first token in time. All instances know much the same of all endpoints,
// a few tenths of a second late, and would together overrun the one that seems best.
const PolicyTimely = "timely"

// DefaultPolicy is the policy that instances use unless told otherwise.
const DefaultPolicy = PolicyEstimate

// Weights and bounds of the estimate policy.
const (
	estimateWeight = 1.0
	domainWeight   = 0.05
	headroomFill   = 1.0
	headroomSlack  = 2.0
)

// Weights and bounds of the timely policy.
const (
	soonestWeight    = 1.0
	nearWeight       = 0.01
	timelyFirstShare = 0.7
	timelyGapShare   = 0.5
	// With the pause bound 65 of 100 requests of a load in bursts are in time, without
	// it 60 (TestPromptsOfABurstPauseNoStreams).
	timelyPauseShare = 0.7
	timelyLateShare  = 0.75
	// plainRounds lets requests queue at plain endpoints, which serve them in turn, for two
	// rounds behind those that run.
	plainRounds = 3.0
	// plainAbove is up to how many instances know each other's requests so soon, and have so
	// large a part of all themselves, that the endpoint with the fewest is the best: six
	// instances lost 0.06 of a day's worth by sharing out.
	plainAbove = 16
)

// Policies returns the policies by name.
func Policies() map[string]Policy {
	base := []Filter{liveFilter{}, regionFilter{}, holdingFilter{}, untriedFilter{}}
	reported := []WeightedScorer{{reportedScorer{}, 1}}
	return map[string]Policy{
		PolicyRandom:     {Name: PolicyRandom, Filters: base, Picker: randomPicker{}},
		PolicyReported:   {Name: PolicyReported, Filters: base, Scorers: reported, Picker: bestPicker{}},
		PolicyTwoChoices: {Name: PolicyTwoChoices, Filters: base, Scorers: reported, Picker: twoChoicesPicker{}},
		PolicyEstimate: {
			Name:    PolicyEstimate,
			Filters: append(slices.Clip(base), headroomFilter{fill: headroomFill, slack: headroomSlack}),
			Scorers: []WeightedScorer{{estimateScorer{}, estimateWeight}, {domainScorer{}, domainWeight}},
			Picker:  bestPicker{},
		},
		PolicyTimely: {
			Name: PolicyTimely,
			Filters: append(slices.Clip(base), slotFilter{lateShare: timelyLateShare},
				timelyFilter{firstShare: timelyFirstShare, gapShare: timelyGapShare}, pauseFilter{share: timelyPauseShare}),
			Scorers:    []WeightedScorer{{soonestScorer{}, soonestWeight}, {domainScorer{}, nearWeight}},
			Picker:     twoChoicesPicker{},
			PlainAbove: plainAbove,
			Plain: &Policy{
				Name:    PolicyTimely,
				Filters: append(slices.Clip(base), queueFilter{rounds: plainRounds}),
				Scorers: []WeightedScorer{{toldScorer{}, 1}},
				Picker:  shareOutPicker{},
			},
		},
	}
}
