package routing

import "slices"

// Names of the policies that are kept available for comparison.
const (
	// PolicyRandom picks any live endpoint.
	PolicyRandom = "random"
	// PolicyReported picks the endpoint with the least reported load.
	PolicyReported = "reported"
	// PolicyTwoChoices picks the endpoint with the lower reported load of two random ones.
	PolicyTwoChoices = "two-choices"
	// PolicyEstimate picks the endpoint with the least load, as reported and corrected by
	// the instance's own attempts, within the instance's share of the free capacity.
	PolicyEstimate = "estimate"
)

// PolicyTimely picks the one of two random endpoints with the shorter expected time to the
// first token, among those expected to meet the target. All instances have nearly the same
// view of all endpoints, a few tenths of a second old, and would together overload the one
// that appears best.
const PolicyTimely = "timely"

// DefaultPolicy is the policy that instances use unless configured otherwise.
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
	soonestWeight         = 1.0
	timelyDomainWeight    = 0.01
	timelyFirstTokenShare = 0.7
	timelyGapShare        = 0.5
	// timelyPauseShare leaves the rest of the longest allowed gap to the tokens between the
	// prompts.
	timelyPauseShare = 0.7
	// plainRounds is the bound of queueFilter: plain endpoints serve requests in turn, so
	// up to two rounds may queue after the running ones.
	plainRounds = 3.0
	// plainAbove is the number of instances up to which the endpoint with the fewest
	// requests is the best choice: that few instances learn of each other's requests soon
	// enough, and each has a large part of all requests itself.
	plainAbove = 16
)

// Policies returns the policies by name.
func Policies() map[string]Policy {
	base := []Filter{liveFilter{}, regionFilter{}, softwareFilter{}, residentFilter{}, untriedFilter{}}
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
			Filters: append(slices.Clip(base), slotFilter{},
				timelyFilter{firstTokenShare: timelyFirstTokenShare, gapShare: timelyGapShare}, pauseFilter{share: timelyPauseShare}),
			Scorers:    []WeightedScorer{{soonestScorer{}, soonestWeight}, {domainScorer{}, timelyDomainWeight}},
			Picker:     twoChoicesPicker{},
			PlainAbove: plainAbove,
			Plain: &Policy{
				Name:    PolicyTimely,
				Filters: append(slices.Clip(base), queueFilter{rounds: plainRounds}),
				Scorers: []WeightedScorer{{inFlightScorer{}, 1}},
				Picker:  weightedPicker{},
			},
		},
	}
}
