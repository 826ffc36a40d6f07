package routing

// bestPicker picks the highest score; ties are broken at random.
type bestPicker struct{}

func (bestPicker) Name() string { return "best" }
func (bestPicker) Pick(candidates []Scored, random func() float64) Scored {
	best := candidates[0]
	ties := 1.0
	for _, c := range candidates[1:] {
		if c.Score > best.Score {
			best, ties = c, 1
			continue
		}
		if c.Score == best.Score {
			ties++
			if random() < 1/ties {
				best = c
			}
		}
	}
	return best
}

// randomPicker picks any candidate with equal probability.
type randomPicker struct{}

func (randomPicker) Name() string { return "random" }
func (randomPicker) Pick(candidates []Scored, random func() float64) Scored {
	return candidates[randomIndex(random, len(candidates))]
}

// twoChoicesPicker picks the better of two random candidates.
type twoChoicesPicker struct{}

func (twoChoicesPicker) Name() string { return "two-choices" }
func (twoChoicesPicker) Pick(candidates []Scored, random func() float64) Scored {
	a := randomIndex(random, len(candidates))
	if len(candidates) == 1 {
		return candidates[a]
	}
	b := randomIndex(random, len(candidates)-1)
	if b >= a {
		b++
	}
	if candidates[b].Score > candidates[a].Score {
		return candidates[b]
	}
	return candidates[a]
}

// weightedPicker picks each candidate with a probability in proportion to its score.
// Instances share nearly the same view of a few endpoints, some tenths of a second old.
// Weighted selection distributes their requests over these endpoints, where picking the best
// one would send all of them to the same endpoint.
type weightedPicker struct{}

func (weightedPicker) Name() string { return "share-out" }
func (weightedPicker) Pick(candidates []Scored, random func() float64) Scored {
	sum := 0.0
	for _, c := range candidates {
		sum += c.Score
	}
	left := random() * sum
	for _, c := range candidates {
		if left -= c.Score; left < 0 {
			return c
		}
	}
	return candidates[len(candidates)-1]
}

func randomIndex(random func() float64, n int) int { return int(random() * float64(n)) }
