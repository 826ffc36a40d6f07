package jsonc

import (
	"fmt"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	// File is the name of the document, as given by the user.
	File string
	// Line is 1-based; 0 if unknown.
	Line int
	// Path is the JSON pointer (RFC 6901) of the invalid value.
	Path string
	// Reason describes the error, in a form that completes "PATH: ...".
	Reason string
}

// String formats the fault as FILE:LINE: PATH: REASON.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, path, f.Reason)
}

// Error is returned for an invalid document and holds all faults found in it.
type Error struct {
	Faults []Fault
}

// Error lists the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
