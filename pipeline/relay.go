package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/engine"
)

// relay passes the endpoint's answer on to the caller.
type relay struct {
	client  *engine.Client
	dialect Dialect
	now     func() time.Time
}

// Bounds of relaying.
const (
	// maxEventBytes bounds one line of an event stream.
	maxEventBytes = 256 << 10
	// copyBytes is the size of the buffers that answers are copied through.
	copyBytes = 32 << 10
	// maxIdleResumes bounds how often in a row a broken stream is resumed
	// without a further token.
	maxIdleResumes = 3
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, copyBytes) }}

// errTruncated is an event stream that ended without its terminator.
var errTruncated = errors.New("the stream ended without its terminator")

// errNoContinuation is an answer to a continuation that is no event stream.
var errNoContinuation = errors.New("the stream was not continued")

// Process implements Filter.
func (f relay) Process(ctx context.Context, x *Exchange) error {
	if isEventStream(x.attempt().response) {
		return f.stream(ctx, x)
	}
	if x.reached {
		// A continuation that is no stream cannot follow what was passed on.
		x.attempt().response.Body.Close()
		return f.broken(ctx, errNoContinuation)
	}
	return f.whole(ctx, x)
}

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

func isEventStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), eventStreamType)
}

// whole relays an answer that is not a stream of events.
func (f relay) whole(ctx context.Context, x *Exchange) error {
	resp := x.attempt().response
	defer resp.Body.Close()
	buf := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buf)
	// The start is read before the header goes out: an answer that breaks before
	// any of it has reached the caller may still be tried elsewhere.
	n, err := readStart(resp, buf[:])
	if err != nil && err != io.EOF {
		return f.broken(ctx, err)
	}
	x.FirstToken = f.now().Sub(x.Received)
	x.writeHeader(f.dialect, resp)
	for {
		if writeErr := x.write(buf[:n]); writeErr != nil {
			return &RelayError{CallerGone: true, Err: writeErr}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return f.broken(ctx, err)
		}
		n, err = resp.Body.Read(buf[:])
		if err != nil && err != io.EOF {
			return f.broken(ctx, err)
		}
	}
}

// readStart reads an answer whole if it is known to fit buf, and else what comes
// first. Bytes of a short answer would stay in the server's buffers until its end:
// if it broke in between, the caller would see its connection end without a byte.
func readStart(resp *http.Response, buf []byte) (int, error) {
	if length := resp.ContentLength; length > 0 && length <= int64(len(buf)) {
		return io.ReadFull(resp.Body, buf[:length])
	}
	return resp.Body.Read(buf)
}

// stream relays events one by one and resumes the stream if it breaks.
func (f relay) stream(ctx context.Context, x *Exchange) error {
	a := x.attempt()
	s := eventRelay{exchange: x, dialect: f.dialect, now: f.now}
	idle := 0
	for {
		before := x.offset
		err := s.run(a.response)
		a.response.Body.Close()
		var failure *RelayError
		if err == nil || errors.As(err, &failure) {
			return err
		}
		if x.offset > before {
			idle = 0
		}
		if ctx.Err() != nil || idle == maxIdleResumes || !f.client.Resumes() {
			return f.broken(ctx, err)
		}
		idle++
		a.Resumes++
		resp, resumeErr := f.client.Resume(ctx, a.Decision.Endpoint.Name, a.Decision.Endpoint.Address, a.ID, x.offset)
		if resumeErr != nil {
			return f.broken(ctx, errors.Join(err, resumeErr))
		}
		if !isEventStream(resp) {
			resp.Body.Close()
			return f.broken(ctx, err)
		}
		a.response = resp
	}
}

func (f relay) broken(ctx context.Context, err error) error {
	return &RelayError{
		CallerGone: errors.Is(ctx.Err(), context.Canceled),
		TimedOut:   errors.Is(ctx.Err(), context.DeadlineExceeded), Err: err,
	}
}

// eventRelay is the state of one event stream across its resumptions.
type eventRelay struct {
	exchange *Exchange
	dialect  Dialect
	now      func() time.Time
	// lastAt is when the last event was relayed; zero for none in this attempt.
	lastAt time.Time
	// pending is the event being assembled.
	pending []byte
	// next is the offset of the pending event, if it has one.
	next int64
	done bool
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	eventEnd  = []byte("\n\n")
)

// run relays until the terminator (nil), the caller leaves (*RelayError), or
// the stream breaks (any other error). Only whole events are passed on, so
// that a resumption continues exactly behind the last of them.
func (s *eventRelay) run(resp *http.Response) error {
	lines := lineReaders.Get().(*bufio.Reader)
	lines.Reset(resp.Body)
	defer lineReaders.Put(lines)
	s.pending, s.next = s.pending[:0], -1
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return s.ended(err)
		}
		s.pending = append(s.pending, line...)
		if len(s.pending) > maxEventBytes {
			return bufio.ErrTooLong
		}
		if err != nil {
			continue
		}
		if len(bytes.TrimSpace(line)) > 0 {
			s.field(line)
			continue
		}
		if err := s.flush(resp, eventBuffered(lines)); err != nil {
			return err
		}
		if s.done {
			return nil
		}
	}
}

// eventBuffered tells whether another whole event has arrived already.
func eventBuffered(lines *bufio.Reader) bool {
	arrived, err := lines.Peek(lines.Buffered())
	return err == nil && bytes.Contains(arrived, eventEnd)
}

// ended tells whether a stream was whole when its body ended with err.
func (s *eventRelay) ended(err error) error {
	if err != io.EOF {
		return err
	}
	if s.dialect.StreamTerminator() != nil || len(s.pending) > 0 || !s.exchange.reached {
		return errTruncated
	}
	return nil
}

func (s *eventRelay) field(line []byte) {
	if value, ok := bytes.CutPrefix(line, idField); ok {
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			s.next = n
		}
		return
	}
	if value, ok := bytes.CutPrefix(line, dataField); ok && s.dialect.StreamTerminator() != nil && bytes.Equal(bytes.TrimSpace(value), s.dialect.StreamTerminator()) {
		s.done = true
	}
}

// flush passes the pending event on. A token that was already relayed, as a
// resumption may repeat it, is dropped. With more behind it that has arrived
// already, the bytes need not go out at once.
func (s *eventRelay) flush(resp *http.Response, more bool) error {
	event, offset := s.pending, s.next
	s.pending, s.next = s.pending[:0], -1
	if offset >= 0 && offset <= s.exchange.offset {
		return nil
	}
	x := s.exchange
	if !x.reached {
		x.FirstToken = s.now().Sub(x.Received)
		x.writeHeader(s.dialect, resp)
	}
	s.noteGap()
	if err := x.write(event); err != nil {
		return &RelayError{CallerGone: true, Err: err}
	}
	if offset >= 0 {
		x.offset = offset
	}
	if more {
		return nil
	}
	return x.flush()
}

// noteGap tells the endpoint's record the time since the event before.
func (s *eventRelay) noteGap() {
	now := s.now()
	if !s.lastAt.IsZero() {
		s.exchange.attempt().Decision.Endpoint.ObserveEventGap(now, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// writeHeader passes the answer's status and end-to-end headers on.
func (x *Exchange) writeHeader(d Dialect, resp *http.Response) {
	h := x.Writer.Header()
	for name, values := range resp.Header {
		if !engine.HopByHop(name) && name != engine.RequestIDHeader {
			h[name] = values
		}
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	d.SetHeaders(h, x)
	// What has begun to be answered is not cancelled when its fingerprint is held back.
	x.flight.End()
	x.Writer.WriteHeader(resp.StatusCode)
	x.reached = true
	if x.record != nil {
		x.record.result.Status = resp.StatusCode
		x.record.result.ContentType = resp.Header.Get("Content-Type")
	}
}

// write passes bytes to the caller. The caller of a claimed request may be
// gone: its answer is still read to the end, to be recorded.
func (x *Exchange) write(b []byte) error {
	x.record.write(b)
	n, err := x.Writer.Write(b)
	x.Bytes += int64(n)
	if x.Claim != nil {
		return nil
	}
	return err
}

func (x *Exchange) flush() error {
	err := http.NewResponseController(x.Writer).Flush()
	if err != nil && x.Claim == nil && !errors.Is(err, http.ErrNotSupported) {
		return &RelayError{CallerGone: true, Err: err}
	}
	return nil
}
