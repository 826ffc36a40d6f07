package engine

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// readTarget returns the target and the host that an endpoint reads of an attempt.
func readTarget(t require.TestingT, target string) (read, host string) {
	lines := make(chan string, 2)
	client := NewClient(Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer close(lines)
			defer far.Close()
			in := bufio.NewScanner(far)
			for len(lines) < cap(lines) && in.Scan() {
				lines <- in.Text()
			}
		}()
		return near, nil
	}})
	defer client.Close()
	_, err := client.Do(context.Background(), Attempt{Address: "endpoint:1", Method: http.MethodGet, Path: target, Host: "desk.example"})
	require.Error(t, err, "the endpoint closes the connection")
	read = strings.TrimSuffix(strings.TrimPrefix(<-lines, "GET "), " HTTP/1.1")
	return read, strings.TrimPrefix(<-lines, "Host: ")
}

// TestTargetReachesTheEndpointUnchanged guards against a target that is chosen a route by one path and
// reaches the endpoint as another host and path, and against an empty query that is dropped.
func TestTargetReachesTheEndpointUnchanged(t *testing.T) {
	for _, target := range []string{
		"/orders/1", "/a%2Fb/c", "/orders//2", "/orders/3?x=1&y=%20", "/", "/a;b=c/d", "/a|b", "/?", "/orders/4?", "/a?b?c", "/orders/5??",
		"//orders/1", "//orders/2?x=1", "//", "///orders/5", "//?", "//a%2Fb", "//user@host:80/x", "//a;b=c/?q=//x",
	} {
		read, host := readTarget(t, target)
		require.Equal(t, target, read)
		require.Equal(t, "desk.example", host, target)
	}
}

// TestAnyTargetIsUnchangedOrRefused guards against a target that reaches the endpoint as another one.
func TestAnyTargetIsUnchangedOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := "/" + rapid.StringMatching(`[/?a-c%2F|"@:;#.]{0,12}`).Draw(t, "target")
		if CheckTarget(target) != nil {
			require.True(t, strings.HasPrefix(target, "//"), "others can all be passed on")
			return
		}
		read, host := readTarget(t, target)
		require.Equal(t, target, read)
		require.Equal(t, "desk.example", host)
	})
}
