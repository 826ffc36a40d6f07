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

// shareOutPicker takes each candidate as often as its score is of the sum. Instances that
// know much the same of a few endpoints, some tenths of a second late, share their requests
// out between them, where picking the better one would send all to it together.
type shareOutPicker struct{}

func (shareOutPicker) Name() string { return "share-out" }
func (shareOutPicker) Pick(candidates []Scored, random func() float64) Scored {
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

func index(random func() float64, n int) int { return int(random() * float64(n)) }
