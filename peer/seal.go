package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync/atomic"
)

// KeyBytes is the length of a peer key in bytes.
const KeyBytes = 32

// ErrSeal is returned for a datagram that cannot be decrypted with any known key.
var ErrSeal = errors.New("datagram cannot be decrypted with any known key")

// ParseKey parses a key in hexadecimal.
func ParseKey(text string) ([]byte, error) {
	key, err := hex.DecodeString(text)
	if err != nil || len(key) != KeyBytes {
		return nil, fmt.Errorf("peer key must be %d hex digits", 2*KeyBytes)
	}
	return key, nil
}

// Sealer encrypts datagrams with the newest key and decrypts those of any known
// key, with AES-256-GCM. Keys can be replaced at any time: a rotation first adds
// the new key after the old one at all instances, then moves it to the front, then
// removes the old one.
type Sealer struct {
	aeads atomic.Pointer[[]cipher.AEAD]
}

// NewSealer returns a Sealer with the given keys. The first one encrypts.
func NewSealer(keys [][]byte) (*Sealer, error) {
	s := &Sealer{}
	return s, s.SetKeys(keys)
}

// SetKeys replaces the keys. The first one encrypts; at least one is required.
func (s *Sealer) SetKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("at least one peer key is required")
	}
	aeads := make([]cipher.AEAD, len(keys))
	for i, key := range keys {
		aead, err := newAEAD(key)
		if err != nil {
			return err
		}
		aeads[i] = aead
	}
	s.aeads.Store(&aeads)
	return nil
}

func newAEAD(key []byte) (cipher.AEAD, error) {
	derived, err := hkdf.Key(sha256.New, key, nil, "eiderspring datagram", KeyBytes)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// Seal encrypts plain. The result is a random nonce followed by the ciphertext.
func (s *Sealer) Seal(plain []byte) []byte {
	aead := (*s.aeads.Load())[0]
	nonce := make([]byte, aead.NonceSize(), aead.NonceSize()+len(plain)+aead.Overhead())
	_, _ = rand.Read(nonce)
	return aead.Seal(nonce, nonce, plain, nil)
}

// Open decrypts a datagram, or returns ErrSeal.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	for _, aead := range *s.aeads.Load() {
		n := aead.NonceSize()
		if len(sealed) < n {
			return nil, ErrSeal
		}
		if plain, err := aead.Open(nil, sealed[:n], sealed[n:], nil); err == nil {
			return plain, nil
		}
	}
	return nil, ErrSeal
}
