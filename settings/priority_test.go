package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallersPriorityGoesFirst orders the requests of routes with three priorities and of
// callers with two priorities and with none.
func TestCallersPriorityGoesFirst(t *testing.T) {
	route := func(priority int) Route { return Route{Policy: Effective{Priority: priority}} }
	c := NewCatalog(&Tree{
		Edge:    &Edge{Routes: []Route{route(9), route(8), route(7)}},
		Callers: map[string]*Caller{"desk": {Priority: new(9)}, "audit": {Priority: new(8)}, "guest": {}},
	})
	in := []int{
		c.Priority(new(9), 9), c.Priority(new(9), 8), c.Priority(new(9), 7),
		c.Priority(new(8), 9), c.Priority(new(8), 8), c.Priority(new(8), 7),
		c.Priority(nil, 7),
	}
	for i := 1; i < len(in); i++ {
		require.Greater(t, in[i-1], in[i], "%v", in)
	}
	require.Equal(t, c.Priority(new(9), 9), c.Priority(nil, 9))
	require.Positive(t, in[len(in)-1], "the lowest priority is reserved for late requests")
}

func TestWithoutCallersPriorityARequestKeepsItsOwn(t *testing.T) {
	c := NewCatalog(&Tree{Edge: &Edge{Routes: []Route{{Policy: Effective{Priority: 5}}}}, Callers: map[string]*Caller{"desk": {}}})
	require.Equal(t, 5, c.Priority(nil, 5))
	require.Equal(t, 3, NewCatalog(&Tree{}).Priority(new(3), 5))
}
