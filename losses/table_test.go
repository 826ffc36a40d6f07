package losses

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const log = `  7.05 edge-1 time=2026-12-02T10:00:01.500Z level=INFO msg=settle request=a outcome=complete unit=m first_ms=30 took_ms=400
time=2026-12-02T10:00:01.900Z level=INFO msg=settle request=b outcome=complete unit=m first_ms=900 took_ms=1200
time=2026-12-02T10:00:02.100Z level=INFO msg=settle request=c outcome=not_run unit=m first_ms=0 took_ms=400 error="admit: not admitted: time_passed_in_queue\nno endpoint has room"
time=2026-12-02T10:00:03.000Z level=INFO msg=place op=load unit=m endpoint=e
time=2026-12-02T10:00:04.000Z level=INFO msg=settle request=d outcome=unknown unit=m first_ms=10 took_ms=900 error="relay: unexpected EOF"
time=2026-12-02T10:00:04.000Z level=INFO msg=settle request=e outcome=rejected unit="" first_ms=0 took_ms=0 error="resolve: nothing is named x"
time=2026-12-02T10:00:04.000Z level=INFO msg=settle request=f outcome=complete unit="" first_ms=900 took_ms=900
`

func TestTable(t *testing.T) {
	table := NewTable(Options{Target: 400 * time.Millisecond, Window: 2 * time.Second})
	require.NoError(t, table.Read(strings.NewReader(log)))
	var out strings.Builder
	require.NoError(t, table.Write(&out))
	require.Equal(t, strings.TrimLeft(`
        from  asked  endpoint-broke  late  no-room
  10:00:00.0      3               0     1        1
  10:00:02.0      2               1     0        0
`, "\n"), out.String())
}

func TestUnreadableLine(t *testing.T) {
	table := NewTable(Options{Window: time.Second})
	err := table.Read(strings.NewReader("time=2026-12-02T10:00:00Z msg=settle took_ms=long\n"))
	var line *LineError
	require.True(t, errors.As(err, &line))
	require.Equal(t, "took_ms", line.Field)
	require.NoError(t, table.Read(strings.NewReader("time=never msg=route\n")), "lines of other events are skipped")
}

func TestCauses(t *testing.T) {
	for text, want := range map[string]Cause{
		"admit: not admitted: time_passed_in_queue\nno endpoint holds the unit":             NoReplica,
		"admit: not admitted: queue_full":                                                   QueueFull,
		"admit: not admitted: turn_too_late":                                                NoRoom,
		"admit: not admitted: stopping\nno endpoint has room":                               Stopping,
		"route: no endpoint is left to try":                                                 NoneLeft,
		"dispatch: endpoint e did not start the attempt: status 421: not_executed":          NotResident,
		"dispatch: endpoint e did not start the attempt: dial: connect: connection refused": Unreached,
		"relay: context canceled":                                                           CallerLeft,
		"relay: something":                                                                  Other,
		"dispatch: read: connection reset by peer":                                          EndpointFailed,
	} {
		require.Equal(t, want, causeOf(text), text)
	}
}
