package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is what one client attempt got.
type attempt struct {
	ID, Node  string
	Status    int
	Sealed    bool
	Retry     string
	Body      string
	Err       error
	Sent, End time.Time
}

// call is a client request.
type call struct {
	method, path string
	header       map[string]string
	body         string
	timeout      time.Duration
}

const host = "scores.example"

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// do makes one client attempt on a new channel. Events of a stream are passed to onEvent as they arrive.
func do(n *node, c call, onEvent func(event string)) attempt {
	a := attempt{ID: newID(), Node: n.name, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		panic(err)
	}
	req.Host, req.GetBody = host, nil
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.Err, a.End = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Sealed, a.Retry = resp.StatusCode, resp.Header.Get("X-Server-Seal") != "", resp.Header.Get("Retry-After")
	if onEvent == nil || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(resp.Body)
		a.Body, a.Err, a.End = string(body), err, time.Now()
		return a
	}
	a.Err = readEvents(resp.Body, onEvent)
	a.End = time.Now()
	return a
}

// readEvents passes on the whole events of a stream; nil means that it ended as complete.
func readEvents(body io.Reader, onEvent func(string)) error {
	lines, event := bufio.NewReader(body), bytes.Buffer{}
	for {
		line, err := lines.ReadString('\n')
		event.WriteString(line)
		if line == "\n" {
			onEvent(event.String())
			event.Reset()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
