package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/eiderspring/eiderspring/jsonc"
)

// Change is a field that differs between two texts. Scalars, arrays and empty objects
// are fields; adding or removing an object changes each of its fields.
type Change struct {
	// Path is the field's JSON pointer.
	Path string
	// Old and New are the values as JSON; empty if the field is absent.
	Old, New string
}

// String formats the change as PATH: OLD -> NEW.
func (c Change) String() string {
	show := func(v string) string {
		if v == "" {
			return "(absent)"
		}
		return v
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, show(c.Old), show(c.New))
}

// Diff returns the fields in which two JWCC texts differ, ordered by path.
// It ignores comments and the order of members.
func Diff(before, after []byte) ([]Change, error) {
	old, err := fieldsOf(before)
	if err != nil {
		return nil, err
	}
	next, err := fieldsOf(after)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, value := range old {
		if next[path] != value {
			changes = append(changes, Change{Path: path, Old: value, New: next[path]})
		}
	}
	for path, value := range next {
		if _, had := old[path]; !had {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes, nil
}

// emptyObject is the value of an object without members, which is a field of its own.
const emptyObject = "{}"

// fieldsOf parses a text and returns its fields by path.
func fieldsOf(text []byte) (map[string]string, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, &jsonc.Error{Faults: []jsonc.Fault{{File: "settings", Reason: err.Error()}}}
	}
	root.Minimize()
	fields := map[string]string{}
	flatten(root, "", fields)
	return fields, nil
}

func flatten(v hujson.Value, path string, fields map[string]string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		fields[path] = string(bytes.TrimSpace(v.Pack()))
		return
	}
	if len(obj.Members) == 0 && path != "" {
		fields[path] = emptyObject
	}
	for _, m := range obj.Members {
		flatten(m.Value, path+"/"+jsonc.EscapePointer(memberName(m)), fields)
	}
}

func memberName(m hujson.ObjectMember) string { return m.Name.Value.(hujson.Literal).String() }
