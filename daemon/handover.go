package daemon

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/handover"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/wait"
)

const (
	// maxHandedOver bounds the requests of other instances that this one serves at once.
	maxHandedOver = 256
	// handoverDialTimeout bounds connecting to another instance.
	handoverDialTimeout = 600 * time.Millisecond
	// handoverIdleTimeout is how long a stream may be open without a request.
	handoverIdleTimeout = 5 * time.Second
)

// handovers hands callers' requests over to other instances while this one reaches no endpoint,
// and serves those that others hand over to it. It implements pipeline.Handover.
type handovers struct {
	instance string
	path     *endpointPath
	// candidates returns the instances that may take requests, address where one accepts streams.
	candidates func() []handover.Candidate
	address    func(instance string) string
	// revision is that of the settings in force, stopping reports whether a planned stop has begun.
	revision func() int64
	stopping func() bool
	// serve serves a request that was handed over.
	serve func(http.ResponseWriter, *http.Request, handover.Envelope)
	vars  *expvar.Map
	log   logr.Logger
	now   func() time.Time

	// serving counts the requests of other instances in progress.
	serving atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	helpers *handover.Helpers
	// dialer and client are nil until there is a key for the streams.
	dialer *peer.RequestDialer
	client *engine.Client
	server *http.Server
}

// open starts to hand over and to serve once there are streams between the instances.
func (h *handovers) open(server *peer.StreamServer, client *peer.StreamClient) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil || server == nil {
		return
	}
	h.dialer = peer.NewRequestDialer(client)
	// A stream carries one request.
	h.client = engine.NewClient(engine.Config{Dial: h.dialer.DialContext, DialTimeout: handoverDialTimeout, IdlePerEndpoint: -1, Dialect: handoverDialect{}})
	h.server = &http.Server{Handler: http.HandlerFunc(h.receive), IdleTimeout: handoverIdleTimeout, ReadHeaderTimeout: handoverIdleTimeout}
	requests := server.Requests()
	go func() {
		if err := h.server.Serve(requests); !errors.Is(err, http.ErrServerClosed) {
			h.log.Info("requests of other instances are no longer served", "error", err.Error())
		}
	}()
}

// drain returns once no request of another instance is in progress, or with the error of ctx.
func (h *handovers) drain(ctx context.Context) error {
	for h.serving.Load() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// close ends the requests in progress.
func (h *handovers) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	_ = h.server.Close()
	h.dialer.Close()
}

// Active implements pipeline.Handover.
func (h *handovers) Active() bool { return h.path.isCutOff() }

// Doubtful implements pipeline.Handover.
func (h *handovers) Doubtful() bool { return h.path.isDoubtful() }

// Reachable implements pipeline.Handover.
func (h *handovers) Reachable(ctx context.Context) bool { return h.path.awaitKnown(ctx) }

// Send implements pipeline.Handover.
func (h *handovers) Send(ctx context.Context, a engine.Attempt, e handover.Envelope) (*http.Response, string, error) {
	h.mu.Lock()
	client := h.client
	h.mu.Unlock()
	if client == nil {
		return nil, "", pipeline.ErrNoHelper
	}
	e.From = h.instance
	began, age := h.now(), e.Age()
	var tried []string
	for len(tried) < handover.MaxTries && ctx.Err() == nil {
		instance, found := h.choose(tried)
		if !found {
			break
		}
		tried = append(tried, instance)
		a.Endpoint, a.Address = instance, h.address(instance)
		e.AgeMS = (age + h.now().Sub(began)).Milliseconds()
		a.Header = http.Header{handover.EnvelopeHeader: {handover.Encode(e)}}
		resp, err := client.Do(ctx, a)
		if err == nil {
			resp.Body = &handedOverBody{ReadCloser: resp.Body, end: func() { h.ended(instance) }}
			h.vars.Add("requests_handed_over", 1)
			return resp, instance, nil
		}
		h.ended(instance)
		if !h.notTaken(ctx, instance, err) {
			return nil, instance, err
		}
	}
	h.vars.Add("requests_without_helper", 1)
	return nil, "", pipeline.ErrNoHelper
}

// choose returns the instance to ask next.
func (h *handovers) choose(tried []string) (string, bool) {
	candidates := h.candidates()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.helpers.Choose(h.now(), candidates, tried)
}

func (h *handovers) ended(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helpers.Ended(instance)
}

// notTaken records a failed try, and reports whether the request has not run for certain, so that
// another instance may be asked.
func (h *handovers) notTaken(ctx context.Context, instance string, err error) bool {
	var notStarted *engine.NotStartedError
	unsent := errors.As(err, &notStarted)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case unsent && notStarted.Header != nil:
		reason := handover.Reason(notStarted.Header.Get(handover.RefusedHeader))
		h.helpers.Refused(h.now(), instance, reason)
		h.vars.Add("handovers_refused_"+string(reason), 1)
	case ctx.Err() == nil:
		h.helpers.Lost(h.now(), instance)
		h.vars.Add("handovers_lost", 1)
	}
	h.log.Info("request not taken over", "by", instance, "sent", !unsent, "error", err.Error())
	return unsent
}

// receive serves a request that another instance has handed over.
func (h *handovers) receive(w http.ResponseWriter, r *http.Request) {
	e, err := handover.DecodeEnvelope(r.Header)
	if err != nil {
		h.log.Info("invalid request of another instance", "from", r.RemoteAddr, "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	serving := h.serving.Add(1)
	defer h.serving.Add(-1)
	if reason := h.refusal(e, serving); reason != "" {
		h.vars.Add("handovers_refused_to_others", 1)
		handover.Refuse(w, reason)
		return
	}
	h.vars.Add("requests_taken_over", 1)
	h.serve(w, r, e)
}

// refusal returns why a request is not taken; empty if it is.
func (h *handovers) refusal(e handover.Envelope, serving int64) handover.Reason {
	switch {
	case h.path.isCutOff():
		return handover.CutOff
	case h.stopping():
		return handover.Stopping
	case h.revision() < e.Revision || h.revision() == 0:
		return handover.Outdated
	case serving > maxHandedOver:
		return handover.Busy
	default:
		return ""
	}
}

// handoverStats is what operators see of the requests that instances hand over to each other.
type handoverStats struct {
	// Candidates is the number of instances that may take requests of this one, Connections the
	// number of those that it is connected to, Serving the requests of others that it serves.
	Candidates  int   `json:"candidates"`
	Connections int   `json:"connections"`
	Serving     int64 `json:"serving"`
}

func (h *handovers) stats() handoverStats {
	s := handoverStats{Serving: h.serving.Load()}
	h.mu.Lock()
	dialer := h.dialer
	h.mu.Unlock()
	if dialer != nil {
		s.Candidates, s.Connections = len(h.candidates()), dialer.Connections()
	}
	return s
}

// handedOverBody is the body of an answer that ends the count of its request when it is closed.
type handedOverBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (b *handedOverBody) Close() error {
	b.once.Do(b.end)
	return b.ReadCloser.Close()
}

// handoverDialect implements engine.Dialect for other instances.
type handoverDialect struct{ engine.OpenAI }

var handoverHeaders = engine.Headers{Control: map[string]bool{
	handover.EnvelopeHeader: true, handover.RefusedHeader: true, handover.FailureHeader: true,
}}

// Headers implements engine.Dialect.
func (handoverDialect) Headers() engine.Headers { return handoverHeaders }

// Encode implements engine.Dialect.
func (handoverDialect) Encode(*http.Request, engine.Attempt) {}

// Check implements engine.Dialect.
func (handoverDialect) Check(resp *http.Response, _ engine.Attempt, _ bool) error {
	reason := resp.Header.Get(handover.RefusedHeader)
	if reason == "" {
		return nil
	}
	return &engine.RefusedError{RefusalError: engine.RefusalError{Status: resp.StatusCode, Code: reason}}
}
