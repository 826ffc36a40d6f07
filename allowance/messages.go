package allowance

import "github.com/cespare/xxhash/v2"

// AccountHash identifies an account in messages between instances. With 1,000 accounts, two of
// them have the same hash in fewer than 1 of 10^13 deployments.
type AccountHash uint64

// HashAccount returns the hash of an account name.
func HashAccount(account string) AccountHash { return AccountHash(xxhash.Sum64String(account)) }

// ShortHash returns half of the hash of an account name; 0 for the empty name, which stands for none.
func ShortHash(account string) uint32 {
	if account == "" {
		return 0
	}
	return uint32(HashAccount(account))
}

// AggregatorID identifies an aggregating process among all that ever run.
type AggregatorID uint64

// standInBit is set in the IDs of processes that stand in for a lease holder. Of two
// aggregators all instances follow the one with the smaller ID, and so that of the holder.
const standInBit = 1 << 63

// HolderAggregatorID returns the ID of a process that holds the lease.
func HolderAggregatorID(process string) AggregatorID {
	return AggregatorID(xxhash.Sum64String(process) &^ standInBit)
}

// StandInAggregatorID returns the ID of a process that stands in while there is no holder.
func StandInAggregatorID(process string) AggregatorID {
	return HolderAggregatorID(process) | standInBit
}

// Usage is what an account has requested from one process and what the process has admitted,
// in the unit of the account's allowance, since the process first received from the current
// aggregator. What was admitted and has not run is subtracted again.
type Usage struct {
	_                 struct{} `cbor:",toarray"`
	Account           AccountHash
	Offered, Admitted int64
}

// UsageBytes is an upper bound of the encoded size of a Usage.
const UsageBytes = 1 + 3*9

// Share announces which share of an account's requests can be admitted.
type Share struct {
	_       struct{} `cbor:",toarray"`
	Account AccountHash
	// Permille is the share in thousandths, 1000 for all requests.
	Permille int64
	// Level is what the account may use at once, Rate what is admitted of it per second.
	Level, Rate int64
}

// ShareBytes is an upper bound of the encoded size of a Share.
const ShareBytes = 1 + 4*9

// wholeShare is the Permille of an account below its limit.
const wholeShare = 1000
