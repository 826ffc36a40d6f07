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
	"github.com/eiderspring/eiderspring/quarantine"
)

// relay passes the endpoint's answer on to the caller.
type relay struct {
	client  *engine.Client
	dialect Dialect
	// versions is Config.StreamVersions.
	versions StreamVersions
	now      func() time.Time
	// quarantine is Config.Quarantine.
	quarantine *quarantine.Manager
}

// Bounds of relaying.
const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// copyBytes is the size of the buffers through which answers are copied.
	copyBytes = 32 << 10
	// maxIdleResumes bounds how often in a row a broken stream is resumed without
	// receiving another event.
	maxIdleResumes = 3
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, copyBytes) }}

// errTruncated reports an event stream that ended without its terminator.
var errTruncated = errors.New("the stream ended without its terminator")

// errNoContinuation reports an answer to a resumption that is not an event stream.
var errNoContinuation = errors.New("the stream was not continued")

// Process implements Filter.
func (f relay) Process(ctx context.Context, x *Exchange) error {
	if isEventStream(x.attempt().response) {
		return f.relayStream(ctx, x)
	}
	if x.answerStarted {
		// Only a stream can continue what was passed on.
		x.attempt().response.Body.Close()
		return f.relayError(ctx, errNoContinuation)
	}
	return f.relayBody(ctx, x)
}

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

func isEventStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), eventStreamType)
}

// relayBody relays an answer that is not an event stream.
func (f relay) relayBody(ctx context.Context, x *Exchange) error {
	resp := x.attempt().response
	defer resp.Body.Close()
	buf := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buf)
	// The start of the body is read before the header is sent: an answer that breaks
	// before any of it has reached the caller may still be retried elsewhere.
	n, err := readStart(resp, buf[:])
	if err != nil && err != io.EOF {
		return f.relayError(ctx, err)
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
			return f.relayError(ctx, err)
		}
		n, err = resp.Body.Read(buf[:])
		if err != nil && err != io.EOF {
			return f.relayError(ctx, err)
		}
	}
}

// readStart reads the whole body if it is known to fit into buf, and the first available
// part otherwise. The bytes of a short answer would stay in the server's buffers until its
// end: if the answer broke off in between, the caller would see its connection close
// without receiving a byte.
func readStart(resp *http.Response, buf []byte) (int, error) {
	if length := resp.ContentLength; length > 0 && length <= int64(len(buf)) {
		return io.ReadFull(resp.Body, buf[:length])
	}
	return resp.Body.Read(buf)
}

// relayStream relays events one by one and resumes the stream if it breaks.
func (f relay) relayStream(ctx context.Context, x *Exchange) error {
	a := x.attempt()
	s := eventRelay{exchange: x, dialect: f.dialect, versions: f.versions, now: f.now, quarantine: f.quarantine}
	idleResumes := 0
	for {
		before := x.offset
		err := s.run(a.response)
		a.response.Body.Close()
		var failure *RelayError
		if err == nil || errors.As(err, &failure) {
			return err
		}
		if x.offset > before {
			idleResumes = 0
		}
		if ctx.Err() != nil || idleResumes == maxIdleResumes || !f.client.SupportsResume() {
			return f.relayError(ctx, err)
		}
		idleResumes++
		a.Resumes++
		resp, resumeErr := f.client.Resume(ctx, a.Decision.Endpoint.Name, a.Decision.Endpoint.Address, a.ID, x.offset)
		if resumeErr != nil {
			return f.relayError(ctx, errors.Join(err, resumeErr))
		}
		if !isEventStream(resp) {
			resp.Body.Close()
			return f.relayError(ctx, err)
		}
		a.response = resp
	}
}

func (f relay) relayError(ctx context.Context, err error) error {
	return &RelayError{
		CallerGone: errors.Is(ctx.Err(), context.Canceled),
		TimedOut:   errors.Is(ctx.Err(), context.DeadlineExceeded), Err: err,
	}
}

// eventRelay is the state of one event stream across its resumptions.
type eventRelay struct {
	exchange   *Exchange
	dialect    Dialect
	versions   StreamVersions
	now        func() time.Time
	quarantine *quarantine.Manager
	// lastAt is when the last event was relayed; zero if this attempt has relayed none.
	lastAt time.Time
	// pending is the event being assembled.
	pending []byte
	// pendingOffset is the offset of the pending event; -1 if it has none.
	pendingOffset int64
	// pendingData is set if the pending event has data; others, such as comments, keep the
	// connection open.
	pendingData bool
	done        bool
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	eventEnd  = []byte("\n\n")
)

// run relays until the terminator (nil), a failed write to the caller (*RelayError), or a
// break of the stream (any other error). Only complete events are passed on, so a
// resumption continues exactly after the last of them.
func (s *eventRelay) run(resp *http.Response) error {
	lines := lineReaders.Get().(*bufio.Reader)
	lines.Reset(resp.Body)
	defer lineReaders.Put(lines)
	s.reset()
	for {
		line, err := lines.ReadSlice('\n')
		// At the end of the body these are the bytes of a line without its end.
		s.pending = append(s.pending, line...)
		if len(s.pending) > maxEventBytes {
			return bufio.ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return s.bodyEnded(resp, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			s.parseField(line)
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

// reset begins a new event.
func (s *eventRelay) reset() {
	s.pending, s.pendingOffset, s.pendingData = s.pending[:0], -1, false
}

// eventBuffered reports whether another complete event has already been received.
func eventBuffered(lines *bufio.Reader) bool {
	arrived, err := lines.Peek(lines.Buffered())
	return err == nil && bytes.Contains(arrived, eventEnd)
}

// bodyEnded returns nil if the stream was complete when its body ended with err. A body that only
// the close frames shows that it began by its first event.
func (s *eventRelay) bodyEnded(resp *http.Response, err error) error {
	s.exchange.unfinished = len(s.pending)
	if err != io.EOF {
		return err
	}
	empty := s.exchange.attempt().events == 0 && framingOf(resp) == framedByClose
	if s.dialect.StreamTerminator() != nil || len(s.pending) > 0 || !s.exchange.answerStarted || empty {
		return errTruncated
	}
	return nil
}

func (s *eventRelay) parseField(line []byte) {
	if value, ok := bytes.CutPrefix(line, idField); ok {
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			s.pendingOffset = n
		}
		return
	}
	value, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return
	}
	s.pendingData = true
	if s.dialect.StreamTerminator() != nil && bytes.Equal(bytes.TrimSpace(value), s.dialect.StreamTerminator()) {
		s.done = true
	}
}

// flush passes the pending event on. An event that was already relayed is dropped, as a
// resumption may repeat it. If more events have already been received, the bytes are not
// flushed to the network yet.
func (s *eventRelay) flush(resp *http.Response, more bool) error {
	event, offset := s.pending, s.pendingOffset
	if s.pendingData {
		s.recordAnswer()
	}
	s.reset()
	if offset >= 0 && offset <= s.exchange.offset {
		return nil
	}
	x := s.exchange
	if !x.answerStarted {
		x.FirstToken = s.now().Sub(x.Received)
		s.begin()
		x.writeHeader(s.dialect, resp)
	}
	s.observeGap()
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

// begin binds the rest of the stream to the software version of the endpoint that begins it, and
// keeps that before the caller gets the first event. Of a request that was handed over the other
// instance knows the endpoint.
func (s *eventRelay) begin() {
	x := s.exchange
	if x.handedTo != "" {
		return
	}
	if !x.bound {
		x.bind(x.attempt().Decision.Endpoint.SoftwareVersion)
	}
	x.keepBeginning(s.versions)
}

// recordAnswer records by the first event of an attempt that the endpoint has begun to answer.
func (s *eventRelay) recordAnswer() {
	a := s.exchange.attempt()
	if a.answerBegan {
		return
	}
	a.answerBegan = true
	s.quarantine.RecordAnswer(s.exchange.suspects())
}

// observeGap records the time since the previous event at the endpoint.
func (s *eventRelay) observeGap() {
	now := s.now()
	if !s.lastAt.IsZero() {
		s.exchange.attempt().Decision.Endpoint.ObserveEventGap(now, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.exchange.attempt().countEvent(now)
}

// writeHeader passes on the status and the end-to-end headers of the answer.
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
	// An answer that has begun is not cancelled when its fingerprint is quarantined.
	x.flight.End()
	x.Writer.WriteHeader(resp.StatusCode)
	x.answerStarted = true
	if x.recorder != nil {
		x.recorder.result.Status = resp.StatusCode
		x.recorder.result.ContentType = resp.Header.Get("Content-Type")
	}
}

// write passes bytes to the caller. If the caller of a claimed request is gone, its answer
// is still read to the end and recorded.
func (x *Exchange) write(b []byte) error {
	x.recorder.write(b)
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
