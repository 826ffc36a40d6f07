package store

import "io"

const (
	// maxNesting is how deeply the values of an answer may be nested. It is far below the 10,000
	// levels beyond which encoding/json rejects an answer as a whole.
	maxNesting = 1000
	// MaxObjectNesting is how deeply the values of one object may be nested. Together with the few
	// levels of an answer around it, it is below maxNesting.
	MaxObjectNesting = 500
	// cutValue stands for a value beyond maxNesting. It is no longer than any value that it replaces.
	cutValue = '0'
)

// nesting follows how deeply JSON values are nested, byte by byte. It does not check the syntax.
type nesting struct {
	depth             int
	inString, escaped bool
}

// step follows one more byte.
func (s *nesting) step(b byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped = b == '\\'
		s.inString = b != '"'
	case b == '"':
		s.inString = true
	case b == '[' || b == '{':
		s.depth++
	case b == ']' || b == '}':
		s.depth--
	}
}

// NestedTooDeeply reports whether the values of an object exceed MaxObjectNesting.
func NestedTooDeeply(data []byte) bool {
	var s nesting
	for _, b := range data {
		if s.step(b); s.depth > MaxObjectNesting {
			return true
		}
	}
	return false
}

// nestingLimiter reads JSON and replaces values beyond maxNesting by cutValue, so that one of
// them does not make the rest undecodable. What remains of the object around it still is
// NestedTooDeeply.
type nestingLimiter struct {
	from io.Reader
	at   nesting
}

// Read implements io.Reader.
func (l *nestingLimiter) Read(p []byte) (int, error) {
	for {
		n, err := l.from.Read(p)
		kept := l.limit(p[:n])
		if kept > 0 || err != nil || n == 0 {
			return kept, err
		}
	}
}

// limit removes from b what exceeds maxNesting, and returns how many bytes are left.
func (l *nestingLimiter) limit(b []byte) (kept int) {
	for _, c := range b {
		before := l.at.depth
		l.at.step(c)
		switch {
		case before <= maxNesting && l.at.depth <= maxNesting:
			b[kept] = c
			kept++
		case before == maxNesting:
			b[kept] = cutValue
			kept++
		}
	}
	return kept
}
