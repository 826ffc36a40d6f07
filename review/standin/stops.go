package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

const (
	// A stream has streamEvents events, one each eventInterval.
	streamEvents  = 20
	eventInterval = 50 * time.Millisecond
	// clientsEach is the number of clients of each instance.
	clientsEach = 6
	// hangupAfter is the time between SIGTERM and SIGHUP.
	hangupAfter = time.Second
)

// streamer is a worker of a plain service that answers with streams.
type streamer struct {
	bed               *bed
	id, zone, address string
	startedAtMS       int64
	beats             int64
}

func (b *bed) addStreamer(id, zone string) error {
	w := &streamer{bed: b, id: id, zone: zone, startedAtMS: time.Now().UnixMilli()}
	var err error
	if w.address, err = b.serve(w); err != nil {
		return err
	}
	b.checkInUntilEnd(w.checkIn)
	return nil
}

func (w *streamer) checkIn() {
	w.beats++
	w.bed.store.Put(fake.KindServers, w.id, map[string]any{
		"service": fake.Plain, "address": w.address, "zone": w.zone, "version": "v1", "slots": 24, "state": "ready", "coldMs": 0,
		"seq": w.beats, "born": w.startedAtMS,
	})
}

// ServeHTTP implements http.Handler.
func (w *streamer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Instance-Id", w.id)
	rw.Header().Set("X-Attempt-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.bed.note("%s runs %s", w.id, id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Server-Seal", fake.SealPrefix+w.id)
	for i := range streamEvents {
		_, _ = io.WriteString(rw, fake.StreamEvent("v1", id, i))
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-r.Context().Done():
			w.bed.note("%s ends %s at event %d, as its channel is closed", w.id, id, i)
			return
		case <-time.After(eventInterval):
		}
	}
}

// tally counts how requests ended.
type tally struct {
	mu                       sync.Mutex
	whole, refused, lost, no int
}

// runStops stops one instance after the other by SIGTERM, as the platform does, and tells each one by SIGHUP
// that its settings file has changed while it still answers requests. The rule: a request that an instance
// has read and passed on to a worker gets its whole answer.
func runStops(b *bed) (bool, error) {
	b.configure([]fake.Route{{
		Name: "stream", Host: fake.Host, PathPrefix: "/stream/", Kind: "streaming", TimeoutMS: 5000, TargetLatencyMS: 800, Service: fake.Plain,
		MaxAttempts: 1, TargetEventGapMS: 400,
	}}, map[string]any{"name": fake.Plain, "maxConns": 110})
	for i := range 3 {
		if err := b.addStreamer(fmt.Sprintf("i-stream-%d", i+1), fmt.Sprintf("z%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := b.addInstances(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	t := &tally{}
	for i := range clientsEach * len(b.nodes) {
		clients.Go(func() { b.readStreams(ctx, i, t) })
	}
	for _, n := range b.nodes {
		time.Sleep(5 * time.Second)
		began := time.Now()
		n.signal(syscall.SIGTERM)
		if b.trouble {
			time.Sleep(hangupAfter)
			n.signal(syscall.SIGHUP)
		}
		n.awaitEnd(began)
		if err := n.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	stop()
	clients.Wait()
	b.note("%d answers whole, %d refused, %d cut, %d without a channel or an answer", t.whole, t.refused, t.lost, t.no)
	return t.lost > 0, nil
}

// readStreams sends requests to one instance, one after the other.
func (b *bed) readStreams(ctx context.Context, client int, t *tally) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	n := b.nodes[client%len(b.nodes)]
	for i := 0; ctx.Err() == nil; i++ {
		b.readStream(transport, n, fmt.Sprintf("c%d-%d", client, i), t)
	}
}

// readStream sends a request and reads its answer. It counts as lost if the worker's answer had begun and
// the channel then ended.
func (b *bed) readStream(transport *http.Transport, n *instance, id string, t *tally) {
	var sent time.Time
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent = time.Now() }}
	req, err := fake.Request{
		Address: n.callers, Method: http.MethodPost, Path: "/stream/" + id, Attempt: id, Body: "body of " + id, Timeout: 5 * time.Second,
	}.HTTP(httptrace.WithClientTrace(context.Background(), trace))
	if err != nil {
		return
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		b.note("%s to %s: %v", id, n.name, err)
		t.mu.Lock()
		t.no++
		t.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	events := strings.Count(string(text), "\n\n")
	b.note("%s to %s, sent at %.3f: answered %d, seal %q, %d events, %v", id, n.name, sent.Sub(b.began).Seconds(), resp.StatusCode, fake.Seal(resp.Header), events, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case resp.StatusCode != http.StatusOK:
		t.refused++
	case err != nil || events != streamEvents:
		t.lost++
		b.note("LOST: %s was read and passed on, and its channel ended after %d of %d events", id, events, streamEvents)
	default:
		t.whole++
	}
}
