package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// sequence is one request that waits for decoding or is being decoded.
type sequence struct {
	id       string
	unit     string
	prompt   string
	priority int
	arrived  time.Time
	// readyAt is when the prefill of the prompt ends.
	readyAt   time.Time
	maxTokens int
	// The fields below are guarded by the engine's mutex.

	// decoded is the number of tokens decoded.
	decoded int
	// newestReader is the number of the reader that was opened last. Earlier ones
	// must stop.
	newestReader int
	// ended is set when no further token follows.
	ended bool
	// dropped is set when the request is cancelled or abandoned by its reader.
	dropped bool
	// changed notifies the reader.
	changed chan struct{}
}

func (s *sequence) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (r completionRequest) text() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Content
	}
	return text
}

const (
	requestIDHeader  = "X-Request-Id"
	defaultMaxTokens = 16
	maxRequestBytes  = 8 << 20
)

// complete runs one completion request. A refusal carries the error code
// not_started, which guarantees that no part of the request has run.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	s, status, reason := e.enqueue(r.Header.Get(requestIDHeader), req)
	if s == nil {
		e.Counts.Refused.Add(1)
		writeError(w, status, "not_started", reason)
		return
	}
	w.Header().Set(requestIDHeader, s.id)
	if req.Stream {
		e.stream(w, r, s, 0)
		return
	}
	e.respondWhole(w, r, s)
}

// resume continues a stream after the token that Last-Event-ID names.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.mu.Lock()
	s := e.byID[r.PathValue("id")]
	e.mu.Unlock()
	if err != nil || s == nil {
		writeError(w, http.StatusNotFound, "unknown_request", "no such request")
		return
	}
	e.Counts.Resumed.Add(1)
	w.Header().Set(requestIDHeader, s.id)
	e.stream(w, r, s, last+1)
}

func (e *Engine) enqueue(id string, req completionRequest) (*sequence, int, string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.units[req.Model]
	switch {
	case e.closed:
		return nil, http.StatusServiceUnavailable, "stopping"
	case u == nil || !u.ready || u.draining:
		return nil, http.StatusNotFound, "model " + req.Model + " is not resident"
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return nil, http.StatusTooManyRequests, "queue is full"
	case e.byID[id] != nil:
		return nil, http.StatusConflict, "request id is in use"
	}
	e.countIfLate(now)
	s := &sequence{
		id: id, unit: req.Model, prompt: req.text(), priority: req.Priority,
		arrived: now, maxTokens: req.MaxTokens, changed: make(chan struct{}, 1),
	}
	u.running++
	e.byID[id] = s
	e.waiting = append(e.waiting, s)
	e.Counts.Started.Add(1)
	e.wakeDecoder()
	return s, 0, ""
}

// decodeLoop is the batching loop. Each step decodes one token for each running
// sequence whose prefill has ended.
func (e *Engine) decodeLoop() {
	for {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		e.fillBatch(time.Now())
		n := len(e.running)
		e.mu.Unlock()
		if n == 0 {
			<-e.wake
			continue
		}
		time.Sleep(e.cfg.StepBase + time.Duration(n)*e.cfg.StepPerSequence)
		e.step(time.Now())
	}
}

func (e *Engine) fillBatch(now time.Time) {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), a.arrived.Compare(b.arrived))
	})
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Concurrency {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		promptTokens := len(s.prompt) / bytesPerToken
		cached := e.prefixes.cachedTokens(s.unit, s.prompt)
		s.readyAt = now.Add(time.Duration(promptTokens-cached) * e.cfg.PrefillPerToken)
		e.running = append(e.running, s)
	}
}

func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.dropped {
			e.finish(s)
			e.Counts.Cancelled.Add(1)
			continue
		}
		if now.Before(s.readyAt) {
			remaining = append(remaining, s)
			continue
		}
		s.decoded++
		s.signal()
		if s.decoded < s.maxTokens {
			remaining = append(remaining, s)
			continue
		}
		e.finish(s)
		e.Counts.Finished.Add(1)
	}
	e.running = remaining
}

// finishedRetention is how long a finished request can still be resumed.
const finishedRetention = 2 * time.Second

func (e *Engine) finish(s *sequence) {
	s.ended = true
	s.signal()
	time.AfterFunc(finishedRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.byID, s.id)
	})
	if u := e.units[s.unit]; u != nil {
		u.running--
		e.unloadIfIdle(s.unit, u)
	}
}

// waitForTokens returns the number of decoded tokens once it exceeds have, the
// sequence has ended, or ctx is done. ok is false if this reader must stop.
func (e *Engine) waitForTokens(ctx context.Context, s *sequence, reader, have int) (n int, ended, ok bool) {
	for {
		e.mu.Lock()
		n, ended, ok = s.decoded, s.ended, s.newestReader == reader
		e.mu.Unlock()
		if !ok || ended || n > have {
			return n, ended, ok
		}
		select {
		case <-ctx.Done():
			return n, ended, false
		case <-s.changed:
		}
	}
}

func (e *Engine) newReader(s *sequence) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.newestReader++
	s.signal()
	return s.newestReader
}

// resumeGrace is how long decoding continues after the stream of a request breaks.
const resumeGrace = 2 * time.Second

// dropUnlessResumed drops the sequence unless another reader takes over within
// resumeGrace.
func (e *Engine) dropUnlessResumed(s *sequence, reader int) {
	time.AfterFunc(resumeGrace, func() {
		e.mu.Lock()
		resumed := s.newestReader != reader
		e.mu.Unlock()
		if !resumed {
			e.drop(s)
		}
	})
}

func (e *Engine) drop(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.dropped = true
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.finish(s)
		e.Counts.Cancelled.Add(1)
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.byID[r.PathValue("id")]
	e.mu.Unlock()
	if s != nil {
		e.drop(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

// stream writes one server-sent event per token. The event id is the token's
// offset, so that a client can resume with Last-Event-ID.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, from int) {
	reader := e.newReader(s)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	flusher.Flush()
	sent := from
	for {
		n, ended, ok := e.waitForTokens(r.Context(), s, reader, sent)
		if !ok {
			e.dropUnlessResumed(s, reader)
			return
		}
		for ; sent < n; sent++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
				sent, s.id, s.unit, Token(s.unit, s.prompt, sent))
		}
		// Flush before a deliberate break too: an abort drops buffered data, and the
		// same event would be lost each time the stream is resumed at it.
		flusher.Flush()
		if sent > from && e.shouldBreak(s, sent) {
			e.dropUnlessResumed(s, reader)
			panic(http.ErrAbortHandler)
		}
		if ended && sent == n {
			e.endStream(w, s, sent)
			return
		}
	}
}

// shouldBreak reports whether to cut the connection here, to exercise resumption.
func (e *Engine) shouldBreak(s *sequence, sent int) bool {
	every := e.breakEvery.Load()
	return every > 0 && sent < s.maxTokens && sent%int(every) == 0
}

func (e *Engine) endStream(w http.ResponseWriter, s *sequence, sent int) {
	if sent < s.maxTokens {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n", s.id, s.unit)
}

func (e *Engine) respondWhole(w http.ResponseWriter, r *http.Request, s *sequence) {
	reader := e.newReader(s)
	have := 0
	for ended := false; !ended; {
		var ok bool
		have, ended, ok = e.waitForTokens(r.Context(), s, reader, have)
		if !ok {
			e.drop(s)
			return
		}
	}
	if have < s.maxTokens {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for i := range s.maxTokens {
		text.WriteString(Token(s.unit, s.prompt, i))
	}
	body := fmt.Sprintf(`{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"finish_reason":"length","message":{"role":"assistant","content":%s}}]}`,
		s.id, s.unit, strconv.Quote(text.String()))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
