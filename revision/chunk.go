package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/tailscale/hujson"
)

// Chunk is a part of the settings' text, named by its hash.
type Chunk struct {
	Hash string
	Text []byte
}

// Bounds of chunks. A chunk ends after a member whose name's hash is divisible by
// meanChunkMembers, so that an edit changes only the chunk in which it falls, wherever members
// are inserted.
const (
	meanChunkMembers = 32
	maxChunkBytes    = 256 << 10
)

// wildcard in a split path matches every member.
const wildcard = "*"

// splitPaths are the objects that grow with the deployment and are moved from the skeleton into
// chunks. In their place the skeleton has an array with the hashes of the chunks.
var splitPaths = [][]string{{"pools", wildcard, "models"}, {"services"}, {"callers"}}

// Split splits a JWCC text into chunks. The first chunk is the skeleton.
func Split(text []byte) ([]Chunk, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, &TextError{Err: err}
	}
	var chunks []Chunk
	for _, path := range splitPaths {
		err := visit(&root, path, func(v *hujson.Value) error {
			obj, ok := v.Value.(*hujson.Object)
			if !ok {
				return nil
			}
			parts := splitObject(obj)
			chunks = append(chunks, parts...)
			v.Value = hashArray(parts)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return append([]Chunk{newChunk(root.Pack())}, chunks...), nil
}

func newChunk(text []byte) Chunk {
	sum := sha256.Sum256(text)
	return Chunk{Hash: hex.EncodeToString(sum[:]), Text: text}
}

func splitObject(obj *hujson.Object) []Chunk {
	var chunks []Chunk
	part := &hujson.Object{}
	size := 0
	for _, m := range obj.Members {
		part.Members = append(part.Members, m)
		size += len(m.Name.Pack()) + len(m.Value.Pack())
		name := m.Name.Value.(hujson.Literal).String()
		if xxhash.Sum64String(name)%meanChunkMembers == 0 || size > maxChunkBytes {
			chunks = append(chunks, packObject(part))
			part, size = &hujson.Object{}, 0
		}
	}
	part.AfterExtra = obj.AfterExtra
	if len(part.Members) > 0 || len(part.AfterExtra) > 0 {
		chunks = append(chunks, packObject(part))
	}
	return chunks
}

func packObject(obj *hujson.Object) Chunk {
	v := hujson.Value{Value: obj}
	return newChunk(v.Pack())
}

func hashArray(chunks []Chunk) *hujson.Array {
	arr := &hujson.Array{}
	for _, c := range chunks {
		arr.Elements = append(arr.Elements, hujson.Value{Value: hujson.String(c.Hash)})
	}
	return arr
}

// Join restores a text from its skeleton. get returns a chunk's text.
func Join(skeleton []byte, get func(hash string) ([]byte, error)) ([]byte, error) {
	root, err := hujson.Parse(skeleton)
	if err != nil {
		return nil, &TextError{Err: err}
	}
	for _, path := range splitPaths {
		err := visit(&root, path, func(v *hujson.Value) error {
			arr, ok := v.Value.(*hujson.Array)
			if !ok {
				return nil
			}
			obj, err := joinObject(arr, get)
			v.Value = obj
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return root.Pack(), nil
}

func joinObject(arr *hujson.Array, get func(string) ([]byte, error)) (*hujson.Object, error) {
	whole := &hujson.Object{}
	for _, e := range arr.Elements {
		lit, ok := e.Value.(hujson.Literal)
		if !ok {
			return nil, &TextError{Err: fmt.Errorf("chunk reference is not a literal: %s", e.Pack())}
		}
		text, err := get(lit.String())
		if err != nil {
			return nil, err
		}
		part, err := hujson.Parse(text)
		if err != nil {
			return nil, &TextError{Err: err}
		}
		obj, ok := part.Value.(*hujson.Object)
		if !ok {
			return nil, &TextError{Err: fmt.Errorf("chunk %s is not an object", lit.String())}
		}
		whole.Members = append(whole.Members, obj.Members...)
		whole.AfterExtra = obj.AfterExtra
	}
	return whole, nil
}

// visit calls f for each value at path; a missing path is skipped.
func visit(v *hujson.Value, path []string, f func(*hujson.Value) error) error {
	if len(path) == 0 {
		return f(v)
	}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := range obj.Members {
		name := obj.Members[i].Name.Value.(hujson.Literal).String()
		if path[0] != wildcard && path[0] != name {
			continue
		}
		if err := visit(&obj.Members[i].Value, path[1:], f); err != nil {
			return err
		}
	}
	return nil
}

// TextError reports a settings text or chunk that cannot be parsed.
type TextError struct{ Err error }

// Error gives the cause.
func (e *TextError) Error() string { return "settings text: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TextError) Unwrap() error { return e.Err }
