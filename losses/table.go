package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Options define what counts as a loss and the resolution of the table.
type Options struct {
	// Target is the time to the first byte above which a request for a unit is late; with 0,
	// no request is late.
	Target time.Duration
	// Window is the time that one row covers. Requests are assigned to rows by arrival time.
	Window time.Duration
}

// Table counts requests and their losses by time window.
type Table struct {
	options Options
	windows map[time.Time]*window
	total   map[Cause]int
}

// window counts the requests of one row, and their losses by cause.
type window struct {
	requests int
	causes   map[Cause]int
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{options: o, windows: map[time.Time]*window{}, total: map[Cause]int{}}
}

// settledRequest is a request as its settle line describes it.
type settledRequest struct {
	at              time.Time
	outcome         string
	unit, err       string
	firstByte, took time.Duration
}

// Outcomes that are not counted as losses.
const (
	outcomeComplete = "complete"
	outcomeRejected = "rejected"
)

// Read adds the requests of a log. It skips text before a line's time field and lines of
// other events. It returns an error of the reader, or a *LineError for a settle line that
// cannot be parsed.
func (t *Table) Read(r io.Reader) error {
	d := logfmt.NewDecoder(r)
	for d.ScanRecord() {
		var s settledRequest
		settles, err := s.scan(d)
		if err != nil {
			return err
		}
		if settles {
			t.add(s)
		}
	}
	return d.Err()
}

// LineError reports a log line with a field that cannot be parsed.
type LineError struct {
	Field string
	Err   error
}

// Error returns the field and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("field %s: %v", e.Field, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// scan parses one line and reports whether it is a settle line.
func (s *settledRequest) scan(d *logfmt.Decoder) (settles bool, err error) {
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		var fieldErr error
		switch key {
		case "time":
			s.at, fieldErr = time.Parse(time.RFC3339Nano, value)
		case "msg":
			settles = value == "settle"
		case "outcome":
			s.outcome = value
		case "unit":
			s.unit = value
		case "error":
			s.err = value
		case "first_ms":
			s.firstByte, fieldErr = time.ParseDuration(value + "ms")
		case "took_ms":
			s.took, fieldErr = time.ParseDuration(value + "ms")
		}
		if fieldErr != nil && err == nil {
			err = &LineError{Field: key, Err: fieldErr}
		}
	}
	if !settles {
		return false, nil
	}
	return true, err
}

func (t *Table) add(s settledRequest) {
	if s.outcome == outcomeRejected {
		// The request itself was invalid, which is not a loss.
		return
	}
	arrived := s.at.Add(-s.took).Truncate(t.options.Window)
	w := t.windows[arrived]
	if w == nil {
		w = &window{causes: map[Cause]int{}}
		t.windows[arrived] = w
	}
	w.requests++
	cause := t.lossOf(s)
	if cause == "" {
		return
	}
	w.causes[cause]++
	t.total[cause]++
}

// lossOf returns the cause if the request is a loss, and an empty Cause if it is not.
func (t *Table) lossOf(s settledRequest) Cause {
	if s.outcome != outcomeComplete {
		return causeOf(s.err)
	}
	if t.options.Target > 0 && s.unit != "" && s.firstByte > t.options.Target {
		return Late
	}
	return ""
}

// Write writes one row for each window. The columns are the causes that occur, the most
// frequent first.
func (t *Table) Write(w io.Writer) error {
	columns := slices.SortedFunc(maps.Keys(t.total), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(t.total[b], t.total[a]), cmp.Compare(a, b))
	})
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	names := []string{"from", "asked"}
	for _, c := range columns {
		names = append(names, string(c))
	}
	fmt.Fprintln(out, strings.Join(names, "\t")+"\t")
	for _, from := range slices.SortedFunc(maps.Keys(t.windows), time.Time.Compare) {
		row := t.windows[from]
		fmt.Fprintf(out, "%s\t%d\t", from.UTC().Format("15:04:05.0"), row.requests)
		for _, c := range columns {
			fmt.Fprintf(out, "%d\t", row.causes[c])
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
