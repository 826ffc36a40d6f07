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

// Options say what counts as a loss and how fine the table is.
type Options struct {
	// Target is the time to the first byte above which a request for a unit is late;
	// 0 counts none as late.
	Target time.Duration
	// Window is the length of a row, by the arrival of requests.
	Window time.Duration
}

// Table counts the requests of each window of time.
type Table struct {
	options Options
	windows map[time.Time]*window
	total   map[Cause]int
}

type window struct {
	asked  int
	causes map[Cause]int
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{options: o, windows: map[time.Time]*window{}, total: map[Cause]int{}}
}

// settled is what a line tells of a request that has ended.
type settled struct {
	at          time.Time
	outcome     string
	unit, err   string
	first, took time.Duration
}

// Outcomes that are no loss.
const (
	outcomeComplete = "complete"
	outcomeRejected = "rejected"
)

// Read takes the lines of a log; whatever stands before a line's time is passed over,
// and so are lines of other events. It fails with an error of the reader, or with a
// *LineError for a line that ends a request and cannot be read.
func (t *Table) Read(r io.Reader) error {
	d := logfmt.NewDecoder(r)
	for d.ScanRecord() {
		var s settled
		ends, err := s.scan(d)
		if err != nil {
			return err
		}
		if ends {
			t.add(s)
		}
	}
	return d.Err()
}

// LineError is a line of which a field cannot be read.
type LineError struct {
	Field string
	Err   error
}

// Error names the field.
func (e *LineError) Error() string { return fmt.Sprintf("field %s: %v", e.Field, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// scan reads one line and tells whether it ends a request.
func (s *settled) scan(d *logfmt.Decoder) (ends bool, err error) {
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		var fieldErr error
		switch key {
		case "time":
			s.at, fieldErr = time.Parse(time.RFC3339Nano, value)
		case "msg":
			ends = value == "settle"
		case "outcome":
			s.outcome = value
		case "unit":
			s.unit = value
		case "error":
			s.err = value
		case "first_ms":
			s.first, fieldErr = time.ParseDuration(value + "ms")
		case "took_ms":
			s.took, fieldErr = time.ParseDuration(value + "ms")
		}
		if fieldErr != nil && err == nil {
			err = &LineError{Field: key, Err: fieldErr}
		}
	}
	if !ends {
		return false, nil
	}
	return true, err
}

func (t *Table) add(s settled) {
	if s.outcome == outcomeRejected {
		// Such a request was at fault itself.
		return
	}
	arrived := s.at.Add(-s.took).Truncate(t.options.Window)
	w := t.windows[arrived]
	if w == nil {
		w = &window{causes: map[Cause]int{}}
		t.windows[arrived] = w
	}
	w.asked++
	cause := t.lost(s)
	if cause == "" {
		return
	}
	w.causes[cause]++
	t.total[cause]++
}

// lost is the cause of a loss, empty for none.
func (t *Table) lost(s settled) Cause {
	if s.outcome != outcomeComplete {
		return causeOf(s.err)
	}
	if t.options.Target > 0 && s.unit != "" && s.first > t.options.Target {
		return Late
	}
	return ""
}

// Write writes a row for each window, the columns being the causes that occur, the
// most frequent first.
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
		fmt.Fprintf(out, "%s\t%d\t", from.UTC().Format("15:04:05.0"), row.asked)
		for _, c := range columns {
			fmt.Fprintf(out, "%d\t", row.causes[c])
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
