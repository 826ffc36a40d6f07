package settings

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkCallerByToken measures the lookup of a caller among thousands of tokens.
func BenchmarkCallerByToken(b *testing.B) {
	t := &Tree{Callers: map[string]*Caller{}}
	for i := range 2000 {
		name := strconv.Itoa(i)
		t.Callers[name] = &Caller{TokenSHA256: []string{HashToken("first" + name), HashToken("second" + name)}}
	}
	c := NewCatalog(t)
	b.ReportAllocs()
	for b.Loop() {
		if _, known := c.CallerByToken("second1234"); !known {
			b.Fatal("unknown")
		}
	}
}

func TestCallerIsFoundByItsToken(t *testing.T) {
	c := NewCatalog(&Tree{Callers: map[string]*Caller{"desk": {TokenSHA256: []string{HashToken("a"), HashToken("b")}}, "none": {}}})
	for _, token := range []string{"a", "b"} {
		who, known := c.CallerByToken(token)
		require.True(t, known)
		require.Equal(t, "desk", who.Name)
	}
	_, known := c.CallerByToken("c")
	require.False(t, known)
	_, known = c.CallerByToken("")
	require.False(t, known)
}
