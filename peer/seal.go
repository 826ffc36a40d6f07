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

// KeyBytes is the length of a peer key.
const KeyBytes = 32

// ErrSeal is a datagram that no known key opens.
var ErrSeal = errors.New("datagram is not sealed with a known key")

// ParseKey reads a key from hex.
func ParseKey(text string) ([]byte, error) {
	key, err := hex.DecodeString(text)
	if err != nil || len(key) != KeyBytes {
		return nil, fmt.Errorf("a peer key is %d hex digits", 2*KeyBytes)
	}
	return key, nil
}

// Sealer seals datagrams with the newest key and opens those of any key. Keys
// can be replaced at any time: a rotation first adds the new key everywhere
// behind the old one, then puts it in front, then drops the old one.
type Sealer struct {
	aeads atomic.Pointer[[]cipher.AEAD]
}

// NewSealer returns a sealer with the given keys, the one to seal with first.
func NewSealer(keys [][]byte) (*Sealer, error) {
	s := &Sealer{}
	return s, s.SetKeys(keys)
}

// SetKeys replaces the keys.
func (s *Sealer) SetKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("at least one peer key is needed")
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

// Seal returns the sealed form of plain: a random nonce and the ciphertext.
func (s *Sealer) Seal(plain []byte) []byte {
	aead := (*s.aeads.Load())[0]
	nonce := make([]byte, aead.NonceSize(), aead.NonceSize()+len(plain)+aead.Overhead())
	_, _ = rand.Read(nonce)
	return aead.Seal(nonce, nonce, plain, nil)
}

// Open returns the plain form, or ErrSeal.
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
