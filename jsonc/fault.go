package jsonc

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// File names the document, as the user gave it.
	File string
	// Line is 1-based; 0 when the place is not known.
	Line int
	// Path is the JSON pointer of the value at fault.
	Path string
	// Reason says what is wrong, in a form that completes "PATH: ...".
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

// Error is a document refused, with all faults found in it.
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
