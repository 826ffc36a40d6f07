package settings

import (
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/eiderspring/eiderspring/jsonc"
)

// Conflict is a field that two edits of the same base set to different values.
type Conflict struct {
	Path               string
	Base, Mine, Theirs string
}

// ConflictError is returned for a merge that failed; nothing was changed.
type ConflictError struct{ Conflicts []Conflict }

// Error names each field and both values.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = fmt.Sprintf("conflict at %s: you set %s, another edit set %s (it was %s)",
			c.Path, orAbsent(c.Mine), orAbsent(c.Theirs), orAbsent(c.Base))
	}
	return strings.Join(lines, "\n")
}

func orAbsent(v string) string {
	if v == "" {
		return "(absent)"
	}
	return v
}

// Merge is a three-way merge: it applies the changes from base to mine to theirs,
// field by field. Edits of different fields are both kept; a field that both set
// to different values is a conflict, returned in a *ConflictError. The comments in
// theirs are kept, and nodes that mine adds are copied with their comments.
func Merge(base, mine, theirs []byte) ([]byte, error) {
	mineChanges, err := Diff(base, mine)
	if err != nil {
		return nil, err
	}
	theirChanges, err := Diff(base, theirs)
	if err != nil {
		return nil, err
	}
	if conflicts := findConflicts(mineChanges, theirChanges); len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	source, err := hujson.Parse(mine)
	if err != nil {
		return nil, err
	}
	target, err := hujson.Parse(theirs)
	if err != nil {
		return nil, err
	}
	changed := make(map[string]bool, len(mineChanges))
	for _, c := range mineChanges {
		changed[c.Path] = true
	}
	for _, c := range mineChanges {
		path := strings.Split(c.Path, "/")[1:]
		if c.New == "" {
			remove(&target, &source, path)
		} else {
			set(&target, &source, path, "", changed)
		}
	}
	return target.Pack(), nil
}

// findConflicts returns the fields that both sides changed to different values. It
// treats a field below another changed field as the same field: one side replaced
// by a scalar what is an object on the other side.
func findConflicts(mine, theirs []Change) []Conflict {
	var conflicts []Conflict
	for _, m := range mine {
		for _, t := range theirs {
			if m.Path == t.Path && m.New == t.New {
				continue
			}
			if m.Path == t.Path || replaces(m, t) || replaces(t, m) {
				conflicts = append(conflicts, Conflict{Path: m.Path, Base: m.Old, Mine: m.New, Theirs: t.New})
			}
		}
	}
	return conflicts
}

// replaces reports whether a sets a value at a path below which b sets a field.
func replaces(a, b Change) bool {
	return strings.HasPrefix(b.Path, a.Path+"/") && a.New != "" && b.New != "" && a.New != emptyObject
}

// set copies the value at path, relative to the object at prefix, from source into
// target. If target lacks a parent, the parent is copied with its comments and with
// those of its fields that were changed: the others are missing in target because
// the other side has removed them.
func set(target, source *hujson.Value, path []string, prefix string, changed map[string]bool) {
	from, ok := member(source, path[0])
	if !ok {
		return
	}
	into, exists := member(target, path[0])
	obj, isObject := target.Value.(*hujson.Object)
	if !isObject {
		return
	}
	prefix += "/" + path[0]
	if !exists {
		added := *from
		added.Value.Value = from.Value.Clone().Value
		prune(&added.Value, prefix, changed)
		obj.Members = append(obj.Members, added)
		return
	}
	_, both := from.Value.Value.(*hujson.Object)
	if _, intoObject := into.Value.Value.(*hujson.Object); len(path) > 1 && both && intoObject {
		set(&into.Value, &from.Value, path[1:], prefix, changed)
		return
	}
	into.Value.Value = from.Value.Value
}

// prune removes all unchanged fields from the object at prefix.
func prune(v *hujson.Value, prefix string, changed map[string]bool) {
	obj, isObject := v.Value.(*hujson.Object)
	if !isObject || changed[prefix] {
		return
	}
	kept := obj.Members[:0]
	for _, m := range obj.Members {
		path := prefix + "/" + jsonc.EscapePointer(memberName(m))
		prune(&m.Value, path, changed)
		if below, nested := m.Value.Value.(*hujson.Object); changed[path] || nested && len(below.Members) > 0 {
			kept = append(kept, m)
		}
	}
	obj.Members = kept
}

// remove deletes the field at path from target, and any parent that is empty
// afterwards and does not exist in source either.
func remove(target, source *hujson.Value, path []string) {
	obj, isObject := target.Value.(*hujson.Object)
	into, exists := member(target, path[0])
	if !isObject || !exists {
		return
	}
	from, kept := member(source, path[0])
	if len(path) > 1 {
		var below *hujson.Value
		if kept {
			below = &from.Value
		}
		remove(&into.Value, below, path[1:])
		child, isObject := into.Value.Value.(*hujson.Object)
		if kept || !isObject || len(child.Members) > 0 {
			return
		}
	}
	for i := range obj.Members {
		if memberName(obj.Members[i]) == jsonc.UnescapePointer(path[0]) {
			obj.Members = append(obj.Members[:i], obj.Members[i+1:]...)
			return
		}
	}
}

func member(v *hujson.Value, token string) (*hujson.ObjectMember, bool) {
	if v == nil {
		return nil, false
	}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil, false
	}
	for i := range obj.Members {
		if memberName(obj.Members[i]) == jsonc.UnescapePointer(token) {
			return &obj.Members[i], true
		}
	}
	return nil, false
}
