package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongestPrefixWins(t *testing.T) {
	table := NewRouteTable([]Route{
		{Name: "root", Host: "a", PathPrefix: "/"}, {Name: "deep", Host: "a", PathPrefix: "/x/y/"},
		{Name: "mid", Host: "a", PathPrefix: "/x/"}, {Name: "other", Host: "b", PathPrefix: "/x/"},
	})
	for path, want := range map[string]string{"/": "root", "/x": "root", "/x/": "mid", "/x/y": "mid", "/x/y/z": "deep"} {
		require.Equal(t, want, table.Find("a", path).Name, path)
	}
	require.Equal(t, "other", table.Find("b", "/x/1").Name)
	require.Nil(t, table.Find("b", "/y"))
	require.Nil(t, table.Find("c", "/"))
	require.Nil(t, RouteTable{}.Find("a", "/"))
}

func TestSharesFollowWeights(t *testing.T) {
	r := Route{Shares: []RouteShare{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}}}
	require.Equal(t, "p", r.Pick(0))
	require.Equal(t, "p", r.Pick(0.899))
	require.Equal(t, "q", r.Pick(0.901))
	require.Equal(t, "q", r.Pick(0.999999))
	require.Empty(t, (&Route{}).Pick(0.5))
}
