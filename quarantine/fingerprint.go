package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"sync"
)

// FingerprintBytes is the size of a Fingerprint. Two given requests have the same one with a
// probability of 2^-128; among the 10^11 requests that a large fleet serves in a year
// (2,000 per second), the probability that any two have is 1.5 * 10^-17.
const FingerprintBytes = 16

// Fingerprint identifies a request across its attempts, independent of connection, session,
// attempt, headers and instance. It is a truncated cryptographic hash, so that no caller can
// construct a request with the fingerprint of another caller's request.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits, as logs show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintOf returns the fingerprint of a request, from its client account, method, target
// and whole body. The account is empty where callers have none. Caller addresses do not
// replace it, as the attempts of one caller may come from several addresses.
func FingerprintOf(account, method, target string, body []byte) Fingerprint {
	h := hashers.Get().(*hasher)
	defer hashers.Put(h)
	h.hash.Reset()
	h.head = h.head[:0]
	for _, part := range [...]string{account, method, target} {
		// Each part is prefixed with its length, so that different parts never concatenate to
		// the same input.
		h.head = binary.BigEndian.AppendUint64(h.head, uint64(len(part)))
		h.head = append(h.head, part...)
	}
	h.hash.Write(h.head)
	h.hash.Write(body)
	return Fingerprint(h.hash.Sum(h.sum[:0])[:FingerprintBytes])
}

// hasher is pooled between requests to avoid allocations.
type hasher struct {
	hash hash.Hash
	head []byte
	sum  [sha256.Size]byte
}

var hashers = sync.Pool{New: func() any { return &hasher{hash: sha256.New()} }}
