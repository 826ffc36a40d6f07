package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
)

// HashToken returns the hash of a caller's token as stored in Caller.TokenSHA256. Settings,
// memory and logs contain only hashes, never tokens.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

var errKeyLength = errors.New("not a SHA-256 hash: wrong length")

// parseKey parses an entry of Caller.TokenSHA256.
func parseKey(text string) (key [sha256.Size]byte, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return key, err
	}
	if len(raw) != len(key) {
		return key, errKeyLength
	}
	return [sha256.Size]byte(raw), nil
}

// sharedKeys returns the token hashes that more than one caller has.
func sharedKeys(t *Tree) [][sha256.Size]byte {
	owner := map[[sha256.Size]byte]string{}
	var shared [][sha256.Size]byte
	for _, name := range slices.Sorted(maps.Keys(t.Callers)) {
		for _, text := range t.Callers[name].TokenSHA256 {
			key, err := parseKey(text)
			if err != nil {
				continue
			}
			if first, taken := owner[key]; taken && first != name {
				shared = append(shared, key)
			}
			owner[key] = name
		}
	}
	return shared
}
