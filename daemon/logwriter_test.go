package daemon

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuckWriter blocks until it is released, like a pipe that is not read.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestLoggingNeverWaits(t *testing.T) {
	stuck := stuckWriter{release: make(chan struct{})}
	w := NewLogWriter(stuck)
	for i := range 3 * (logBurst + logQueueLines) {
		_, err := fmt.Fprintf(w, "line=%d\n", i)
		require.NoError(t, err)
	}
	require.Positive(t, w.Dropped())
	close(stuck.release)
	w.Close()
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	var out, want bytes.Buffer
	w := NewLogWriter(&out)
	for i := range 100 {
		fmt.Fprintf(w, "line=%d\n", i)
		fmt.Fprintf(&want, "line=%d\n", i)
	}
	w.Close()
	require.Equal(t, want.String(), out.String())
	require.Zero(t, w.Dropped())
}
