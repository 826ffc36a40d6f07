package main

import (
	"bufio"
	"context"
	"encoding/json"
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
	// soloEngines is the number of engines, each of which holds a model of its own: as on the site, most
	// models are on a single worker.
	soloEngines = 3
	soloSlots   = 6
	workTime    = 20 * time.Millisecond
	// The site's garble: for spell at a time, one engine of the three sends the share extraShare of its
	// answers a second time.
	extraShare = 0.03
	spell      = 5 * time.Second
	pause      = 3 * time.Second
	playTime   = 60 * time.Second
	// An engine is full for fullTime in each fullPeriod, and turns requests away.
	fullTime   = 40 * time.Millisecond
	fullPeriod = 400 * time.Millisecond
	loadTime   = 1700 * time.Millisecond
)

// solo is a model worker whose memory takes one model.
type solo struct {
	bed               *bed
	id, zone, address string
	startedAtMS       int64
	phase             time.Duration
	// extra is set for a worker that sends some answers twice.
	extra bool
	log   *runLog

	mu              sync.Mutex
	model           string
	beats, accepted int64
	busy            bool
}

// runLog counts what ran, by attempt.
type runLog struct {
	mu      sync.Mutex
	runs    map[string][]string
	extras  int
	refused int
	answers int
}

func (l *runLog) ran(id, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], worker)
}

func (b *bed) addSolo(id, zone, model string, log *runLog, extra bool) error {
	w := &solo{bed: b, id: id, zone: zone, model: model, startedAtMS: time.Now().UnixMilli(), log: log, extra: extra, phase: rand.N(fullPeriod)}
	var err error
	if w.address, err = b.acceptUntilEnd(w.serve); err != nil {
		return err
	}
	b.checkInUntilEnd(w.checkIn)
	return nil
}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// held returns what the worker holds; mu must be held.
func (w *solo) held() []heldModel {
	if w.model == "" {
		return []heldModel{}
	}
	return []heldModel{{Name: w.model, Version: 1, Adapters: []string{}}}
}

func (w *solo) checkIn() {
	w.mu.Lock()
	w.beats++
	entry := map[string]any{
		"service": fake.LLM, "address": w.address, "zone": w.zone, "version": "v1", "slots": soloSlots, "state": "ready", "coldMs": 0,
		"seq": w.beats, "born": w.startedAtMS, "stage": "colocated", "models": w.held(),
	}
	w.mu.Unlock()
	w.bed.store.Put(fake.KindServers, w.id, entry)
}

// report returns the body of the worker's report on itself.
func (w *solo) report() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"stage": "colocated", "born": w.startedAtMS, "models": w.held(), "busy": w.busy, "seq": w.accepted, "waiting": 0, "running": 0,
		"kvUsed": 0, "kvTotal": 100000, "handles": 0, "coming": []string{}, "atHand": map[string]any{"inMemory": []string{}, "onDisk": []string{}},
	})
	if err != nil {
		return ""
	}
	return string(text)
}

// order takes an order and returns the status line of the answer.
func (w *solo) order(body string) string {
	var o struct {
		Operation, Model, Holder string
		ExpectedCount            *int64
	}
	err := json.Unmarshal([]byte(body), &o)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bed.note("%s: order: %s", w.id, body)
	switch {
	case err != nil || o.Holder == "":
		return "400 Bad Request"
	case w.busy || o.ExpectedCount != nil && *o.ExpectedCount != w.accepted:
		return "409 Conflict"
	}
	w.accepted++
	if o.Operation == "unload" {
		w.model = ""
		return "202 Accepted"
	}
	w.busy = true
	time.AfterFunc(loadTime, func() {
		w.mu.Lock()
		w.busy, w.model = false, o.Model
		w.mu.Unlock()
		w.checkIn()
	})
	return "202 Accepted"
}

// serve answers the requests of a channel, one at a time. An answer that is sent twice comes the second
// time in the place of the next one that is due.
func (w *solo) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var again []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if again != nil {
			if _, err := conn.Write(again); err != nil {
				return
			}
			again = nil
		}
		if strings.HasPrefix(req.URL.Path, "/eiderspring/") {
			if _, err := conn.Write(w.call(req.URL.Path, string(body))); err != nil {
				return
			}
			continue
		}
		answer, refused := w.answer(req, string(body))
		if _, err := conn.Write(answer); err != nil {
			return
		}
		w.log.mu.Lock()
		w.log.answers++
		if refused {
			w.log.refused++
		}
		if w.extra && w.bed.trouble && inSpell(time.Since(w.bed.began)) && rand.Float64() < extraShare {
			again = answer
			w.log.extras++
			w.bed.note("%s sends its answer to %s twice (a refusal: %t)", w.id, req.Header.Get("X-Attempt-Id"), refused)
		}
		w.log.mu.Unlock()
	}
}

// inSpell reports whether answers are sent twice at that time.
func inSpell(since time.Duration) bool { return since%(spell+pause) < spell }

// call answers a call of the instance's own.
func (w *solo) call(path, body string) []byte {
	status, text := "200 OK", w.report()
	if path == "/eiderspring/order" {
		status, text = w.order(body), ""
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nX-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, w.id, len(text), text)
}

// answer runs a request or turns it away.
func (w *solo) answer(req *http.Request, _ string) (answer []byte, refused bool) {
	id := req.Header.Get("X-Attempt-Id")
	head := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n", id, w.id)
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n"), true
	}
	w.mu.Lock()
	held := w.model == req.Header.Get("X-Model")
	w.mu.Unlock()
	if !held {
		return []byte("HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n"), true
	}
	if (time.Since(w.bed.began)+w.phase)%fullPeriod < fullTime {
		return []byte("HTTP/1.1 503 Service Unavailable\r\n" + head + "X-Not-Executed: 1\r\nX-Server-Load: 6,24,6\r\nContent-Length: 0\r\n\r\n"), true
	}
	w.log.ran(id, w.id)
	w.bed.note("%s runs %s", w.id, id)
	time.Sleep(workTime)
	text := ""
	for i := range 3 {
		text += fake.StreamEvent("v1", id, i)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nX-Server-Seal: %s%s\r\nX-Server-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", head, fake.SealPrefix, w.id, len(text), text), false
}

// runRepeated sends requests that may run once to workers that are full now and then, one of which sends
// some of its answers twice. The rules: none of the requests runs twice, and none that is refused runs.
func runRepeated(b *bed) (bool, error) {
	log := &runLog{runs: map[string][]string{}}
	var models []map[string]any
	for i := range soloEngines {
		models = append(models, map[string]any{"name": soloModel(i), "weightsMb": 72700.0, "loadS": 8.6, "warmS": 0.81, "diskS": 1.7, "adapters": 0, "adapterMb": 66.0})
	}
	b.configure([]fake.Route{{
		Name: "stream", Host: fake.Host, PathPrefix: "/stream/", Kind: "streaming", TimeoutMS: 5000, TargetLatencyMS: 800, Service: fake.LLM,
		MaxAttempts: 1, TargetEventGapMS: 400,
	}}, map[string]any{"name": fake.LLM, "maxConns": 370, "engine": map[string]any{
		"slots": soloSlots, "kvCapacity": 119473, "weightsMb": 80000.0, "adapterSlots": 5, "loadsPerS": 2.1, "models": models,
	}})
	for i := range soloEngines {
		if err := b.addSolo(fmt.Sprintf("i-solo-%d", i+1), fmt.Sprintf("z%d", i+1), soloModel(i), log, i == 0); err != nil {
			return false, err
		}
	}
	if err := b.addInstances(); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), playTime)
	defer stop()
	var clients sync.WaitGroup
	answers := &answerLog{status: map[string]int{}}
	for i := range len(b.nodes) * soloEngines {
		clients.Go(func() { b.sendOnce(ctx, i, answers) })
	}
	clients.Wait()
	return judgeRuns(b, log, answers), nil
}

// answerLog holds the status of the answer to each attempt; 0 for none.
type answerLog struct {
	mu     sync.Mutex
	status map[string]int
}

func soloModel(i int) string { return fmt.Sprintf("m%d", i) }

// thinkTime is the time between two requests of a client. Those of the engine that sends answers twice are
// the ones in question.
func thinkTime(model int) time.Duration {
	if model == 0 {
		return 5 * time.Millisecond
	}
	return 150 * time.Millisecond
}

// sendOnce sends requests for one model at one instance, one after the other.
func (b *bed) sendOnce(ctx context.Context, client int, answers *answerLog) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", client, i)
		model := client / len(b.nodes)
		req, err := fake.Request{
			Address: b.nodes[client%len(b.nodes)].callers, Method: http.MethodPost, Path: "/stream/" + id, Attempt: id, Model: soloModel(model),
			PromptParts: []string{"1:300", id + ":100"}, Body: "body of " + id, Timeout: 5 * time.Second,
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
		answers.mu.Lock()
		answers.status[id] = status
		answers.mu.Unlock()
		time.Sleep(thinkTime(model))
	}
}

// judgeRuns reports whether a request ran twice, or ran although it was refused.
func judgeRuns(b *bed, log *runLog, answers *answerLog) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	twice, refused := 0, 0
	for id, workers := range log.runs {
		status := answers.status[id]
		if len(workers) > 1 {
			twice++
			b.note("TWICE: %s ran at %v, answered %d", id, workers, status)
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			refused++
			b.note("REFUSED: %s answered %d, ran at %v", id, status, workers)
		}
	}
	counts := map[int]int{}
	for _, status := range answers.status {
		counts[status]++
	}
	b.note("%d requests, by status %v; workers: %d answers, %d of them refusals, %d sent twice; ran twice: %d; refused and ran: %d",
		len(answers.status), counts, log.answers, log.refused, log.extras, twice, refused)
	return twice > 0 || refused > 0
}
