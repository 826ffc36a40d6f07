package pipeline

import "github.com/eiderspring/eiderspring/allowance"

// accountHash returns a short hash of the client account; 0 for none.
func (x *Exchange) accountHash() uint32 {
	return allowance.ShortHash(x.Caller.Name)
}

// hundredths is the factor between a weight in the settings and one among the instances.
const hundredths = 100

// accountWeight returns the weight of the client account in hundredths.
func (x *Exchange) accountWeight() int64 {
	if x.Caller.Weight <= 0 {
		return hundredths
	}
	return max(int64(x.Caller.Weight*hundredths), 1)
}
