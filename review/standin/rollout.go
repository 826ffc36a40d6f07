package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

const (
	rolloutRounds  = 4
	rolloutClients = 18
	// downTime is how long a worker is down, upTime the time until the next one ends.
	downTime = 2 * time.Second
	upTime   = 200 * time.Millisecond
	// maxMixed is how many streams may hold events of two software versions.
	maxMixed = 2
)

// runRollout shows a finding that isn't among the review's cases: workers of a plain service end one after the other and
// are back under their ids with new software. The rule, ORDER: not more than two streams hold events of two
// software versions of one service.
func runRollout(b *bed) (bool, error) {
	b.configure([]fake.Route{{
		Name: "resumable", Host: fake.Host, PathPrefix: "/resumable/", Kind: "streaming", TimeoutMS: 15000, TargetLatencyMS: 800, Service: fake.Plain,
		MaxAttempts: 2, Resumable: true, TargetEventGapMS: 400,
	}}, map[string]any{"name": fake.Plain, "maxConns": 110})
	var workers []*restartable
	for i := range 3 {
		w, err := b.addRestartable(fmt.Sprintf("i-stream-%d", i+1), fmt.Sprintf("z%d", i+1))
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := b.addInstances(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	m := &mixture{}
	for i := range rolloutClients {
		clients.Go(func() { b.readResumable(ctx, i, m) })
	}
	for round := range rolloutRounds {
		time.Sleep(6 * time.Second)
		if !b.trouble {
			continue
		}
		for _, w := range workers {
			w.end()
			time.Sleep(downTime)
			if err := w.start(fmt.Sprintf("v%d", round+2)); err != nil {
				return false, err
			}
			time.Sleep(upTime)
		}
	}
	stop()
	clients.Wait()
	b.note("%d streams, %d not whole, %d of two versions; %d allowed", m.streams, m.broken, m.mixed, maxMixed)
	return m.mixed > maxMixed, nil
}

// mixture counts streams.
type mixture struct {
	mu                     sync.Mutex
	streams, broken, mixed int
}

// readResumable sends requests for streams to one instance, one after the other.
func (b *bed) readResumable(ctx context.Context, client int, m *mixture) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	n := b.nodes[client%len(b.nodes)]
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", client, i)
		req, err := fake.Request{
			Address: n.callers, Method: http.MethodPost, Path: "/resumable/" + id, Attempt: id, Body: "body of " + id, Timeout: 15 * time.Second,
		}.HTTP(context.Background())
		if err != nil {
			return
		}
		if resp, err := transport.RoundTrip(req); err == nil {
			b.countVersions(resp, n.name, id, m)
		}
		time.Sleep(rand.N(50 * time.Millisecond))
	}
}

// countVersions reads an answer and counts it as mixed if two software versions wrote its events.
func (b *bed) countVersions(resp *http.Response, instance, id string, m *mixture) {
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	versions := map[string]bool{}
	for event := range strings.SplitSeq(string(text), "\n\n") {
		if v := fake.EventVersion(event); v != "" && resp.StatusCode == http.StatusOK {
			versions[v] = true
		}
	}
	b.note("%s to %s: answered %d, events of versions %v, %v", id, instance, resp.StatusCode, versions, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams++
	if err != nil || resp.StatusCode != http.StatusOK {
		m.broken++
	}
	if len(versions) > 1 {
		m.mixed++
		b.note("ORDER: %s at %s holds events of versions %v", id, instance, versions)
	}
}

// restartable is a worker that answers with streams and can be ended and started again under its id.
type restartable struct {
	bed               *bed
	id, zone, address string

	mu       sync.Mutex
	server   *http.Server
	version  string
	born     int64
	checkIns int64
	up       bool
}

func (b *bed) addRestartable(id, zone string) (*restartable, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	w := &restartable{bed: b, id: id, zone: zone, address: l.Addr().String()}
	w.serveOn(l, "v1")
	b.checkInUntilEnd(w.checkIn)
	b.atEnd(w.end)
	return w, nil
}

func (w *restartable) start(version string) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.serveOn(l, version)
	w.checkIn()
	return nil
}

func (w *restartable) serveOn(l net.Listener, version string) {
	server := &http.Server{Handler: w.handler(version)}
	go func() { _ = server.Serve(l) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server, w.version, w.born, w.checkIns, w.up = server, version, time.Now().UnixMilli(), 0, true
	w.bed.note("%s is up, software version %s", w.id, version)
}

// end ends the worker as a crash does: its port closes and its channels break. Its entry stays.
func (w *restartable) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	w.server.Close()
	w.bed.note("%s ends", w.id)
}

func (w *restartable) checkIn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.checkIns++
	w.bed.store.Put(fake.KindServers, w.id, map[string]any{
		"service": fake.Plain, "address": w.address, "zone": w.zone, "version": w.version, "slots": 24, "state": "ready", "coldMs": 0,
		"seq": w.checkIns, "born": w.born,
	})
}

func (w *restartable) handler(version string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
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
		after := int(fake.LastEventID(r))
		w.bed.note("%s (%s) runs %s after event %d", w.id, version, id, after)
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set("X-Server-Seal", fake.SealPrefix+w.id)
		for i := after + 1; i < streamEvents; i++ {
			_, _ = io.WriteString(rw, fake.StreamEvent(version, id, i))
			_ = http.NewResponseController(rw).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(eventInterval):
			}
		}
	})
}
