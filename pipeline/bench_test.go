package pipeline

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

const benchSettings = `{
	"deployment": "b", "failureDomains": ["a"], "weightStore": {"loadsPerSecond": 1, "concurrent": 1},
	"pools": {
		"llm": {"kind": "engine", "endpoints": 1, "memoryMB": 100, "concurrency": 64, "models": {"m": {"weightsMB": 10, "kvMB": 1}}},
		"web": {"kind": "plain", "endpoints": 1, "concurrency": 64},
	},
	"services": {"ping": {"pool": "web"}},
	"callers": {"c": {"tokenSHA256": ["3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"], "services": ["*"]}},
}`

// cannedServer answers every request on every connection with the same bytes, at
// negligible cost.
func cannedServer(b *testing.B, answer string) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				lines := bufio.NewReader(conn)
				for {
					// The body is JSON without a line end, after the blank line.
					line, err := lines.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) > 2 {
						continue
					}
					_, _ = lines.Discard(lines.Buffered())
					if _, err := io.WriteString(conn, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newTestPipeline(b testing.TB, address string) *Pipeline {
	b.Helper()
	return newTestPipelineWith(b, address, func(*Config) {})
}

// newTestPipelineWith returns a pipeline whose configuration change may modify.
func newTestPipelineWith(b testing.TB, address string, change func(*Config)) *Pipeline {
	b.Helper()
	tree, err := settings.Load("bench", []byte(benchSettings))
	if err != nil {
		b.Fatal(err)
	}
	catalog := settings.NewCatalog(tree)
	e := &routing.Endpoint{Name: "e", Address: address, Concurrency: 64}
	router := routing.NewRouter(routing.Policies()[routing.DefaultPolicy], func() float64 { return 0 })
	router.SetView(&routing.View{
		Replicas: map[string][]*routing.Endpoint{"m": {e}}, Pools: map[string][]*routing.Endpoint{"web": {e}}, Instances: 1,
	})
	cfg := Config{
		Dialect: NewOpenAI(func() *settings.Catalog { return catalog }, 1<<20),
		Catalog: func() *settings.Catalog { return catalog }, Router: router, Engine: engine.NewClient(engine.Config{}),
		Gates:   NewGates(admission.Limits{MaxWaiters: 10, MaxBytes: 1 << 20}, time.Now),
		Metrics: NewMetrics(new(expvar.Map).Init()), Log: logr.Discard(), Now: time.Now,
	}
	change(&cfg)
	return New(cfg)
}

// BenchmarkRequest measures one request through all filters, without the server side of
// net/http.
func BenchmarkRequest(b *testing.B) {
	event := "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"token \"}}]}\n\n"
	stream := strings.Repeat(event, 64) + "data: [DONE]\n\n"
	for _, bc := range []struct{ name, path, body, answer string }{
		{"plain", "/services/ping/x", `{}`, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nok"},
		{"stream of 64 tokens", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("x", 800) + `"}]}`,
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(stream)},
	} {
		b.Run(bc.name, func(b *testing.B) {
			p := newTestPipeline(b, cannedServer(b, bc.answer))
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, bc.path, strings.NewReader(bc.body))
				r.Header.Set("Authorization", "Bearer token")
				w := httptest.NewRecorder()
				p.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Code, w.Body.String())
				}
			}
		})
	}
}

// chunked encodes the text as a chunked body of one chunk.
func chunked(s string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(s), s) }
