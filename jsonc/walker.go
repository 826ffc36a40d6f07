package jsonc

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// walker checks a parsed value against the Go type that it is to be decoded into.
type walker struct {
	doc    *Document
	faults []Fault
}

func (w *walker) fault(v hujson.Value, path, format string, args ...any) {
	w.faults = append(w.faults, Fault{
		File: w.doc.file, Line: w.doc.lineAt(v.StartOffset), Path: path, Reason: fmt.Sprintf(format, args...),
	})
}

func (w *walker) value(v hujson.Value, t reflect.Type, path string) {
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
		return
	}
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		w.structure(v, t, path)
	case reflect.Map:
		w.mapping(v, t, path)
	case reflect.Slice:
		w.slice(v, t, path)
	default:
		w.scalar(v, t, path)
	}
}

func (w *walker) structure(v hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.fault(v, path, "wrong type: want an object")
		return
	}
	fields := fieldTypes(t)
	w.members(obj, path, func(name string) (reflect.Type, bool) {
		ft, known := fields[name]
		return ft, known
	})
}

func (w *walker) mapping(v hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.fault(v, path, "wrong type: want an object")
		return
	}
	w.members(obj, path, func(string) (reflect.Type, bool) { return t.Elem(), true })
}

func (w *walker) members(obj *hujson.Object, path string, typeOf func(name string) (reflect.Type, bool)) {
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := path + "/" + EscapePointer(name)
		if seen[name] {
			w.fault(m.Name, at, "duplicate name")
			continue
		}
		seen[name] = true
		t, known := typeOf(name)
		if !known {
			w.fault(m.Name, at, "unknown field")
			continue
		}
		w.value(m.Value, t, at)
	}
}

func (w *walker) slice(v hujson.Value, t reflect.Type, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		w.fault(v, path, "wrong type: want an array")
		return
	}
	for i, e := range arr.Elements {
		w.value(e, t.Elem(), path+"/"+strconv.Itoa(i))
	}
}

func (w *walker) scalar(v hujson.Value, t reflect.Type, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		w.fault(v, path, "wrong type: want a %s", scalarName(t))
		return
	}
	if !scalarFits(lit, t) {
		w.fault(v, path, "wrong type: %s is no %s", string(lit), scalarName(t))
	}
}

func scalarFits(lit hujson.Literal, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String:
		return lit.Kind() == '"'
	case reflect.Bool:
		return lit.Kind() == 't' || lit.Kind() == 'f'
	case reflect.Float64:
		return lit.Kind() == '0'
	default:
		_, err := strconv.ParseInt(string(lit), 10, t.Bits())
		return lit.Kind() == '0' && err == nil
	}
}

func scalarName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String, reflect.Bool:
		return t.Kind().String()
	case reflect.Float64:
		return "number"
	default:
		return "integer"
	}
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Type
	}
	return fields
}

// EscapePointer escapes one reference token of a JSON pointer.
func EscapePointer(token string) string { return pointerEscaper.Replace(token) }

// UnescapePointer is the inverse of EscapePointer.
func UnescapePointer(token string) string { return pointerUnescaper.Replace(token) }

// Replacers are built once because their construction builds tables.
var (
	pointerEscaper   = strings.NewReplacer("~", "~0", "/", "~1")
	pointerUnescaper = strings.NewReplacer("~1", "/", "~0", "~")
)
