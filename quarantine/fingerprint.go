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

// Short returns the first digits of the fingerprint, which suffice to search logs.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:shortBytes]) }

// shortBytes is the part of a fingerprint that its short form shows.
const shortBytes = 4

// FingerprintOf returns the fingerprint of a request, from its client account, method, target
// and whole body. The account is empty where callers have none. Caller addresses do not
// replace it, as the attempts of one caller may come from several addresses.
func FingerprintOf(account, method, target string, body []byte) Fingerprint {
	h := newHasher()
	defer hashers.Put(h)
	for _, field := range [...]string{account, method, target} {
		// Each field is prefixed with its length, so that different fields never concatenate to
		// the same input.
		h.head = binary.BigEndian.AppendUint64(h.head, uint64(len(field)))
		h.head = append(h.head, field...)
	}
	return h.fingerprint(body)
}

// promptPartDomain separates the fingerprints of prompt parts from those of requests, whose input
// begins with a length far below it.
const promptPartDomain = ^uint64(0)

// PromptPartFingerprint returns the fingerprint of one part of a prompt, such as a system message
// or a shared document, from its content or its id. It does not depend on the account: a part that
// terminates endpoints does so whoever sends it.
func PromptPartFingerprint(part []byte) Fingerprint {
	h := newHasher()
	defer hashers.Put(h)
	h.head = binary.BigEndian.AppendUint64(h.head, promptPartDomain)
	return h.fingerprint(part)
}

// hasher is pooled between requests to avoid allocations.
type hasher struct {
	hash hash.Hash
	head []byte
	sum  [sha256.Size]byte
}

// newHasher returns an empty hasher, to be put back into hashers.
func newHasher() *hasher {
	h := hashers.Get().(*hasher)
	h.hash.Reset()
	h.head = h.head[:0]
	return h
}

// fingerprint hashes the head and the body.
func (h *hasher) fingerprint(body []byte) Fingerprint {
	h.hash.Write(h.head)
	h.hash.Write(body)
	return Fingerprint(h.hash.Sum(h.sum[:0])[:FingerprintBytes])
}

var hashers = sync.Pool{New: func() any { return &hasher{hash: sha256.New()} }}
