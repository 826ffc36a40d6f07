package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a parsed text that keeps the line of each path.
type Document struct {
	file string
	src  []byte
	root hujson.Value
}

// Parse parses a JWCC text. file is the document's name in faults. A syntax fault is returned
// as *Error.
func Parse(file string, src []byte) (*Document, error) {
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, &Error{Faults: []Fault{{File: file, Line: syntaxLine(err), Reason: err.Error()}}}
	}
	return &Document{file: file, src: src, root: root}, nil
}

// syntaxLine extracts the line from hujson's "line N, column M" message.
func syntaxLine(err error) int {
	_, rest, found := strings.Cut(err.Error(), "line ")
	if !found {
		return 0
	}
	line := 0
	for _, c := range rest {
		if c < '0' || c > '9' {
			break
		}
		line = line*10 + int(c-'0')
	}
	return line
}

// Decode decodes the document into into, a pointer to a struct. It rejects unknown fields,
// duplicate names and wrong types, and returns all faults in one *Error.
func (d *Document) Decode(into any) error {
	w := walker{doc: d}
	w.value(d.root, reflect.TypeOf(into).Elem(), "")
	if len(w.faults) > 0 {
		return &Error{Faults: w.faults}
	}
	clone := d.root.Clone()
	clone.Standardize()
	if err := json.Unmarshal(clone.Pack(), into); err != nil {
		return &Error{Faults: []Fault{d.decodeFault(err)}}
	}
	return nil
}

func (d *Document) decodeFault(err error) Fault {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return Fault{File: d.file, Line: d.lineAt(int(te.Offset)), Path: "/" + strings.ReplaceAll(te.Field, ".", "/"), Reason: "wrong type: " + te.Value}
	}
	return Fault{File: d.file, Reason: err.Error()}
}

// Fault returns a fault at path. Its line is that of the value or, if that does not exist,
// of its nearest existing ancestor.
func (d *Document) Fault(path, reason string) Fault {
	return Fault{File: d.file, Line: d.Line(path), Path: path, Reason: reason}
}

// Line returns the 1-based line on which the value at path, or its nearest
// existing ancestor, begins.
func (d *Document) Line(path string) int {
	for {
		if v := d.root.Find(path); v != nil {
			return d.lineAt(v.StartOffset)
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

func (d *Document) lineAt(offset int) int {
	if offset > len(d.src) {
		offset = len(d.src)
	}
	return 1 + bytes.Count(d.src[:offset], []byte{'\n'})
}
