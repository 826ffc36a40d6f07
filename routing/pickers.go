package routing

// bestPicker takes the highest score; ties go to a random one of the best.
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

// randomPicker takes any candidate.
type randomPicker struct{}

func (randomPicker) Name() string { return "random" }
func (randomPicker) Pick(candidates []Scored, random func() float64) Scored {
	return candidates[index(random, len(candidates))]
}

// twoChoicesPicker takes the better of two random candidates.
type twoChoicesPicker struct{}

func (twoChoicesPicker) Name() string { return "two-choices" }
func (twoChoicesPicker) Pick(candidates []Scored, random func() float64) Scored {
	a := index(random, len(candidates))
	if len(candidates) == 1 {
		return candidates[a]
	}
	b := index(random, len(candidates)-1)
	if b >= a {
		b++
	}
	if candidates[b].Score > candidates[a].Score {
		return candidates[b]
	}
	return candidates[a]
}

func index(random func() float64, n int) int { return int(random() * float64(n)) }
