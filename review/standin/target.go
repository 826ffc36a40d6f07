package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// seen is a request as a worker has read it.
type seen struct{ worker, method, target, host, body string }

// targetLog holds the requests that workers have run, by attempt.
type targetLog struct {
	mu   sync.Mutex
	runs map[string]seen
}

// echo is a worker of a plain service that records each request as it stood on the wire.
type echo struct {
	bed               *bed
	id, zone, address string
	log               *targetLog
}

func (b *bed) addEcho(id, zone string, log *targetLog) error {
	w := &echo{bed: b, id: id, zone: zone, log: log}
	var err error
	if w.address, err = b.acceptUntilEnd(w.serve); err != nil {
		return err
	}
	born, beats := time.Now().UnixMilli(), 0
	b.checkInUntilEnd(func() {
		beats++
		b.store.Put(fake.KindServers, id, map[string]any{
			"service": fake.Plain, "address": w.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldMs": 0, "seq": beats, "born": born,
		})
	})
	return nil
}

func (w *echo) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		w.log.mu.Lock()
		w.log.runs[id] = seen{w.id, req.Method, req.RequestURI, req.Host, string(body)}
		w.log.mu.Unlock()
		text := fake.PlainBody(req.Method, req.RequestURI, w.id, string(body))
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Server-Seal: %s%s\r\nX-Server-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s",
			id, w.id, fake.SealPrefix, w.id, len(text), text); err != nil {
			return
		}
	}
}

// targets are paths that clients send. Those of the first list have nothing unusual; the others begin
// with two slashes, as a client sends that joins a base address and a path, or end with an empty query.
var (
	usualTargets = []string{"/orders/1", "/a%2Fb/c", "/orders//2", "/orders/3?x=1&y=%20", "/", "/a;b=c/d"}
	otherTargets = []string{"//orders/1", "//orders/2?x=1", "//", "/orders/4?", "///orders/5"}
)

func runTarget(b *bed) (bool, error) {
	log := &targetLog{runs: map[string]seen{}}
	b.configure([]fake.Route{
		{Name: "all", Host: fake.Host, PathPrefix: "/", Kind: "unsafe", TimeoutMS: 2000, TargetLatencyMS: 300, Service: fake.Plain, MaxAttempts: 1},
		{Name: "orders", Host: fake.Host, PathPrefix: "/orders/", Kind: "unsafe", TimeoutMS: 2000, TargetLatencyMS: 300, Service: fake.Plain, MaxAttempts: 1},
	}, map[string]any{"name": fake.Plain, "maxConns": 110})
	for i := range 3 {
		if err := b.addEcho(fmt.Sprintf("i-echo-%d", i+1), fmt.Sprintf("z%d", i+1), log); err != nil {
			return false, err
		}
	}
	if err := b.addInstances(); err != nil {
		return false, err
	}
	targets := usualTargets
	if b.trouble {
		targets = append(append([]string{}, usualTargets...), otherTargets...)
	}
	changed := 0
	for i, target := range targets {
		for k, n := range b.nodes {
			id := fmt.Sprintf("t%d-%d", i, k)
			status, err := sendRaw(n.callers, "POST", target, id, "body of "+id)
			if err != nil {
				return false, err
			}
			log.mu.Lock()
			got, ran := log.runs[id]
			log.mu.Unlock()
			b.note("%s: sent POST %s Host %s, answered %s; run at %s: %s %s Host %s", id, target, fake.Host, status, got.worker, got.method, got.target, got.host)
			if ran && (got.method != "POST" || got.target != target || got.body != "body of "+id) {
				changed++
				b.note("UNASKED: %s ran with a changed target: %q in place of %q", id, got.target, target)
			}
		}
	}
	b.note("%d requests, %d ran with a changed target", len(targets)*len(b.nodes), changed)
	return changed > 0, nil
}

// sendRaw sends a request with the target as it stands, and returns the status line of the answer.
func sendRaw(address, method, target, id, body string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s",
		method, target, fake.Host, id, len(body), body); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}
