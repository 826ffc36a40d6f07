package daemon

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/standin"
	"github.com/eiderspring/eiderspring/store"
)

const testToken = "test-token"

const testSettings = `{
	"deployment": "test", "failureDomains": ["a"],
	"weightStore": {"loadsPerSecond": 100, "concurrent": 10},
	"pools": {
		"llm": {"kind": "engine", "endpoints": 1, "memoryMB": 1000, "concurrency": 8,
			"models": {"m": {"weightsMB": 100, "kvMB": 100}}},
		"desk": {"kind": "plain", "endpoints": 1, "concurrency": 8},
	},
	"services": {
		"summary": {"model": "m"},
		"confirm": {"pool": "desk", "policy": {"repeatable": false}},
	},
	"callers": {"clerk": {"tokenSHA256": ["TOKEN"], "services": ["*"]}},
}`

// fleet is one instance with an engine, a service and the platform's interfaces on loopback.
type fleet struct {
	instance *Instance
	engine   *standin.Engine
	service  *standin.Service
	objects  *standin.ObjectAPI
	// stop begins a planned stop of the instance.
	stop context.CancelFunc
}

func startFleet(t *testing.T, adjust ...func(*Config)) *fleet {
	t.Helper()
	return startFleetOn(t, nil, adjust...)
}

// startFleetOn starts a fleet whose instance accepts callers on a listener; with nil, it opens
// its own.
func startFleetOn(t *testing.T, callers net.Listener, adjust ...func(*Config)) *fleet {
	t.Helper()
	f := &fleet{objects: standin.NewObjectAPI(), service: standin.NewService(0)}
	members := standin.NewMembers(0)
	platform := http.NewServeMux()
	platform.Handle("/apis/", f.objects)
	platform.Handle("/members", members)
	platformURL := serve(t, platform)
	f.engine = standin.NewEngine(standin.EngineConfig{Name: "llm-0", MemoryMB: 1000, Concurrency: 8, MaxWaiting: 8, StepBase: time.Millisecond}, "1", map[string]int64{"m": 200})
	t.Cleanup(f.engine.Close)
	set := func(name, pool, address string) {
		members.Set(standin.Member{Name: name, Pool: pool, Address: address, FailureDomain: "a", Incarnation: "1", State: standin.MemberLive})
	}
	set("llm-0", "llm", strings.TrimPrefix(serve(t, f.engine), "http://"))
	set("desk-0", "desk", strings.TrimPrefix(serve(t, f.service), "http://"))
	set("entry-0", "instances", "127.0.0.1:1")
	publishSettings(t, platformURL)
	cfg := DefaultConfig()
	cfg.Incarnation = "1"
	cfg.Instance, cfg.FailureDomain, cfg.Callers, cfg.Operators = "entry-0", "a", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Peers = Peers{Datagrams: freeUDP(t), Streams: freeUDP(t), Keys: []string{strings.Repeat("01", 32)}}
	cfg.Platform = Platform{ObjectAPI: platformURL, Members: platformURL}
	cfg.Limits.DrainGraceMS = 1
	for _, a := range adjust {
		a(&cfg)
	}
	var err error
	f.instance, err = New(cfg, Deps{Callers: callers, Log: funcr.New(func(p, a string) { fmt.Println(time.Now().Format("05.000000"), p, a) }, funcr.Options{Verbosity: 1})})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	done := make(chan error, 1)
	go func() { done <- f.instance.Run(ctx) }()
	t.Cleanup(func() { stop(); require.NoError(t, <-done) })
	require.Eventually(t, func() bool {
		return f.instance.Ready() && len(f.instance.router.View().Replicas["m"]) == 1
	}, 20*time.Second, 5*time.Millisecond)
	return f
}

func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.URL
}

func publishSettings(t *testing.T, url string) {
	t.Helper()
	sum := sha256.Sum256([]byte(testToken))
	text := strings.Replace(testSettings, "TOKEN", hex.EncodeToString(sum[:]), 1)
	p := revision.NewPublisher(store.NewHTTPClient(store.Config{URL: url}), time.Now)
	_, err := p.Publish(context.Background(), "test", []byte(text), "test", 0)
	require.NoError(t, err)
}

func (f *fleet) post(t *testing.T, path, body string, header http.Header) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.instance.CallersAddr()+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// contents returns the tokens of an event stream and whether it was ended by
// its terminator.
func contents(t *testing.T, r io.Reader) (text string, done bool) {
	t.Helper()
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		if _, rest, found := strings.Cut(data, `"content":"`); found {
			content, _, _ := strings.Cut(rest, `"`)
			text += content
		}
	}
	return text, false
}

func wantText(unit, prompt string, n int) string {
	text := ""
	for i := range n {
		text += standin.Token(unit, prompt, i)
	}
	return text
}

func TestStreamComesBackWhole(t *testing.T) {
	f := startFleet(t)
	resp := f.post(t, "/v1/chat/completions", `{"model":"summary","stream":true,"max_tokens":20,"messages":[{"content":"hello"}]}`, nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	text, done := contents(t, resp.Body)
	require.True(t, done)
	require.Equal(t, wantText("m", "hello", 20), text)
}

func TestBrokenStreamIsResumed(t *testing.T) {
	f := startFleet(t)
	f.engine.BreakStreams(7)
	resp := f.post(t, "/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":20,"messages":[{"content":"hello"}]}`, nil)
	text, done := contents(t, resp.Body)
	require.True(t, done)
	require.Equal(t, wantText("m", "hello", 20), text)
	require.EqualValues(t, 1, f.engine.Counts.Started.Load())
	require.Positive(t, f.engine.Counts.Resumed.Load())
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	f := startFleet(t)
	key := http.Header{"Idempotency-Key": {"k1"}}
	first := f.post(t, "/services/confirm/offers", `{"mw":5}`, key)
	want, err := io.ReadAll(first.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.StatusCode)
	second := f.post(t, "/services/confirm/offers", `{"mw":5}`, key)
	got, err := io.ReadAll(second.Body)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	require.Equal(t, "true", second.Header.Get("Eiderspring-Replayed"))
	require.Equal(t, map[string]int{"k1": 1}, f.service.Runs())
	other := f.post(t, "/services/confirm/offers", `{"mw":6}`, key)
	require.Equal(t, http.StatusBadRequest, other.StatusCode)
}

func TestKeyedRequestIsUnknownWhileStoreIsDown(t *testing.T) {
	f := startFleet(t)
	f.objects.SetMode(standin.StoreDown)
	resp := f.post(t, "/services/confirm/offers", `{"mw":5}`, http.Header{"Idempotency-Key": {"k1"}})
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, "unknown", resp.Header.Get("Eiderspring-Outcome"))
	require.Empty(t, f.service.Runs())
}

func TestBadRequestsAreRefusedBeforeDispatch(t *testing.T) {
	f := startFleet(t)
	for _, tc := range []struct {
		name, path, body, token string
		status                  int
		field                   string
	}{
		{"no model", "/v1/chat/completions", `{}`, testToken, 400, "model"},
		{"no JSON", "/v1/chat/completions", `{`, testToken, 400, "body"},
		{"unknown model", "/v1/chat/completions", `{"model":"x"}`, testToken, 404, "model"},
		{"unknown token", "/v1/chat/completions", `{"model":"m"}`, "other", 401, "Authorization"},
		{"engine as service", "/services/m/x", `{}`, testToken, 404, "model"},
		{"too large", "/services/confirm/x", strings.Repeat("x", 5<<20), testToken, 413, "body"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp := f.post(t, tc.path, tc.body, http.Header{"Authorization": {"Bearer " + tc.token}})
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode)
			require.Contains(t, string(body), fmt.Sprintf(`"field":%q`, tc.field))
		})
	}
	require.Zero(t, f.engine.Counts.Started.Load())
	require.Zero(t, f.service.Started.Load())
}

func TestCallerThatLeavesCancelsAtEngine(t *testing.T) {
	f := startFleet(t)
	resp := f.post(t, "/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":100000,"messages":[{"content":"hello"}]}`, nil)
	_, err := io.ReadFull(resp.Body, make([]byte, 100))
	require.NoError(t, err)
	resp.Body.Close()
	require.Eventually(t, func() bool { return f.engine.Counts.Cancelled.Load() == 1 }, 20*time.Second, 5*time.Millisecond)
}

func TestLongStreamOutlivesReadTimeout(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Limits.ReadMS = 50 })
	resp := f.post(t, "/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":200,"messages":[{"content":"hello"}]}`, nil)
	text, done := contents(t, resp.Body)
	require.True(t, done)
	require.Equal(t, wantText("m", "hello", 200), text)
}

func TestPlannedStopFinishesStreams(t *testing.T) {
	f := startFleet(t)
	resp := f.post(t, "/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":100,"messages":[{"content":"hello"}]}`, nil)
	drained := make(chan error, 1)
	go func() { drained <- f.instance.drain() }()
	text, done := contents(t, resp.Body)
	require.True(t, done)
	require.Equal(t, wantText("m", "hello", 100), text)
	require.NoError(t, <-drained)
	require.False(t, f.instance.Ready())
	_, err := net.Dial("tcp", f.instance.CallersAddr())
	require.Error(t, err)
}
