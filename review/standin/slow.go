package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

const (
	slowClients  = 24
	quickClients = 6
	// largeBytes is more than the system's buffers of a connection on loopback take.
	largeBytes = 8 << 20
	// unreadTime is how long an answer may rest unread until a worker cuts it off.
	unreadTime = 3 * time.Second
	// routeTimeout is the route's timeoutMs, answerSlack the time after it in which a final answer is due.
	routeTimeout = 2 * time.Second
	answerSlack  = 500 * time.Millisecond
	// maxUnanswered is how many requests may have none then, at least.
	maxUnanswered = 7
)

// runSlow lets clients read a large answer slowly. The rule, CONFIG:
// of the requests that outlast their route's timeoutMs not eight or more, and not over a quarter, have no final
// answer 0.5 s after it.
func runSlow(b *bed) (bool, error) {
	b.configure([]fake.Route{{
		Name: "unsafe", Host: fake.Host, PathPrefix: "/unsafe/", Kind: "unsafe", TimeoutMS: routeTimeout.Milliseconds(), TargetLatencyMS: 300, Service: fake.Plain, MaxAttempts: 1,
	}}, map[string]any{"name": fake.Plain, "maxConns": 110})
	for i := range 3 {
		if err := b.addLarge(fmt.Sprintf("i-large-%d", i+1), fmt.Sprintf("z%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := b.addInstances(); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	var clients sync.WaitGroup
	quick := &periods{counts: map[int]map[int]int{}}
	for i := range quickClients {
		clients.Go(func() { b.readQuickly(ctx, i, quick) })
	}
	time.Sleep(8 * time.Second)
	var mu sync.Mutex
	late := 0
	for i := range slowClients {
		clients.Go(func() {
			if !b.readSlowly(ctx, i) {
				mu.Lock()
				late++
				mu.Unlock()
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	for at := range len(quick.counts) {
		b.note("requests of the other clients in the 5 s from %d s, by status: %v", at*periodSeconds, quick.counts[at])
	}
	b.note("%d of %d requests had no final answer %s after their route's timeout; 7, or a quarter, allowed", late, slowClients, answerSlack)
	return late > maxUnanswered && late*4 > slowClients, nil
}

const periodSeconds = 5

// periods counts answers by status, in periods of 5 s.
type periods struct {
	mu     sync.Mutex
	counts map[int]map[int]int
}

// readQuickly sends requests with small answers, one after the other.
func (b *bed) readQuickly(ctx context.Context, client int, p *periods) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", client, i)
		req, err := fake.Request{
			Address: b.nodes[client%len(b.nodes)].callers, Method: http.MethodPost, Path: "/unsafe/" + id, Attempt: id, Body: "body of " + id, Timeout: 2 * time.Second,
		}.HTTP(context.Background())
		if err != nil {
			return
		}
		status := 0
		if resp, err := transport.RoundTrip(req); err == nil {
			status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		b.note("%s to %s: answered %d", id, b.nodes[client%len(b.nodes)].name, status)
		p.mu.Lock()
		at := int(time.Since(b.began).Seconds()) / periodSeconds
		if p.counts[at] == nil {
			p.counts[at] = map[int]int{}
		}
		p.counts[at][status]++
		p.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// readSlowly sends a request with a large answer, and reads it slowly unless the trouble is left out. It reports
// whether the answer ended in time, in whichever way.
func (b *bed) readSlowly(ctx context.Context, client int) bool {
	conn, err := net.DialTimeout("tcp", b.nodes[client%len(b.nodes)].callers, time.Second)
	if err != nil {
		return true
	}
	defer conn.Close()
	if b.trouble {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	id := fmt.Sprintf("large-%d", client)
	b.note("%s to %s: sent", id, b.nodes[client%len(b.nodes)].name)
	if _, err := fmt.Fprintf(conn, "POST /unsafe/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id, fake.Host, id); err != nil {
		return true
	}
	due := time.Now().Add(routeTimeout + answerSlack)
	buf, read := make([]byte, 256<<10), 0
	for ctx.Err() == nil {
		part := buf
		if b.trouble {
			part = buf[:256]
			time.Sleep(250 * time.Millisecond)
		}
		n, err := conn.Read(part)
		read += n
		if err != nil {
			b.note("%s: ended after %d bytes, %d ms after it was due: %v", id, read, time.Since(due).Milliseconds(), err)
			return time.Now().Before(due)
		}
	}
	b.note("%s: not ended after %d bytes, %d ms after it was due", id, read, time.Since(due).Milliseconds())
	return false
}

// large is a worker of a plain service whose answers to some requests are large. It cuts an answer off that rests
// unread.
type large struct {
	bed               *bed
	id, zone, address string
	startedAtMS       int64
	beats             int64
}

func (b *bed) addLarge(id, zone string) error {
	w := &large{bed: b, id: id, zone: zone, startedAtMS: time.Now().UnixMilli()}
	var err error
	if w.address, err = b.serve(w); err != nil {
		return err
	}
	b.checkInUntilEnd(w.checkIn)
	return nil
}

func (w *large) checkIn() {
	w.beats++
	w.bed.store.Put(fake.KindServers, w.id, map[string]any{
		"service": fake.Plain, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready", "coldMs": 0,
		"seq": w.beats, "born": w.startedAtMS,
	})
}

// ServeHTTP implements http.Handler.
func (w *large) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Instance-Id", w.id)
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Server-Seal", fake.SealPrefix+w.id)
	if !strings.HasPrefix(id, "large-") {
		w.bed.note("%s runs %s", w.id, id)
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(rw, "small")
		return
	}
	w.bed.note("%s runs %s", w.id, id)
	part := strings.Repeat("x", 64<<10)
	for range largeBytes / len(part) {
		_ = http.NewResponseController(rw).SetWriteDeadline(time.Now().Add(unreadTime))
		if _, err := io.WriteString(rw, part); err != nil {
			w.bed.note("%s cuts %s off, which rests unread", w.id, id)
			panic(http.ErrAbortHandler)
		}
	}
}
