package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/daemon"
	"github.com/eiderspring/eiderspring/platform/fake"
)

// waitTimeout bounds the wait for expected conditions; no test asserts a shorter time.
const waitTimeout = 30 * time.Second

// program is this program as a process of its own.
type program struct {
	t   *testing.T
	cmd *exec.Cmd
	// readinessURL answers as soon as the process serves.
	readinessURL string
	exited       chan error
}

// startProgram starts the program with its log going to log.
func startProgram(t *testing.T, log *os.File, readinessURL string, args ...string) *program {
	t.Helper()
	executable, err := os.Executable()
	require.NoError(t, err)
	p := &program{t: t, readinessURL: readinessURL, exited: make(chan error, 1)}
	p.cmd = &exec.Cmd{Path: executable, Args: append([]string{"eiderspring"}, args...), Env: os.Environ(), Stdout: log, Stderr: log}
	require.NoError(t, p.cmd.Start())
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// readiness returns the status of the readiness probe; 0 for none.
func (p *program) readiness() int {
	resp, err := http.Get(p.readinessURL)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (p *program) awaitReadiness(status int) {
	p.t.Helper()
	require.Eventually(p.t, func() bool { return p.readiness() == status }, waitTimeout, 5*time.Millisecond)
}

// signal sends signals to the process, which must serve its readiness afterwards.
func (p *program) signal(signals ...syscall.Signal) {
	p.t.Helper()
	for _, s := range signals {
		require.NoError(p.t, p.cmd.Process.Signal(s))
		require.NotZero(p.t, p.readiness(), "behind %s", s)
	}
}

// awaitExit requires that the process exits by itself, with status 0.
func (p *program) awaitExit() {
	p.t.Helper()
	select {
	case err := <-p.exited:
		require.NoError(p.t, err)
	case <-time.After(waitTimeout):
		require.Fail(p.t, "the process has not exited")
	}
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// writeConfig writes a configuration file and returns its path.
func writeConfig(t *testing.T, cfg any) string {
	t.Helper()
	text, err := json.Marshal(cfg)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.jsonc")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

// nodeConfig returns the configuration of an instance before a store.
func nodeConfig(t *testing.T, objectStore string) daemon.NodeConfig {
	t.Helper()
	cfg := daemon.DefaultNodeConfig()
	cfg.Instance, cfg.FailureDomain, cfg.ObjectStore = "n1", "z1", objectStore
	cfg.Callers, cfg.Readiness, cfg.Operators = freeAddress(t), freeAddress(t), freeAddress(t)
	_, port, err := net.SplitHostPort(freeAddress(t))
	require.NoError(t, err)
	peerPort, err := strconv.Atoi(port)
	require.NoError(t, err)
	cfg.PeerPorts = []int{peerPort, peerPort}
	cfg.Limits.GraceMS = int(waitTimeout.Milliseconds())
	return cfg
}

// endpointAnswer is the body of heldEndpoint's answers.
const endpointAnswer = "the whole answer"

// heldEndpoint starts an endpoint that tells begun of a request and answers it once release is
// closed.
func heldEndpoint(t *testing.T, store *fake.Store) (begun <-chan struct{}, release func()) {
	t.Helper()
	started, released := make(chan struct{}), make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	w := fake.StartWorker(store, "w1", fake.Plain, "z1")
	t.Cleanup(w.Close)
	t.Cleanup(release)
	w.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
		close(started)
		<-released
		w.SetSeal(rw.Header())
		_, _ = io.WriteString(rw, endpointAnswer)
	})
	return started, release
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
}

// send sends a request that may run once.
func send(callers string) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		req, err := fake.Request{Address: callers, Method: http.MethodPost, Path: "/unsafe/1", Attempt: "a1", Body: "body", Timeout: waitTimeout}.HTTP(context.Background())
		if err != nil {
			answers <- answer{err: err}
			return
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		answers <- answer{status: resp.StatusCode, body: string(body), err: err}
	}()
	return answers
}

// servingNode is an instance as a process with a request in progress.
type servingNode struct {
	*program
	logReader *os.File
	answers   <-chan answer
	// release lets the endpoint answer.
	release func()
}

func startServingNode(t *testing.T) *servingNode {
	t.Helper()
	store := fake.NewStore()
	t.Cleanup(store.Close)
	routes := fake.StandardRoutes()
	for i := range routes {
		routes[i].TimeoutMS = waitTimeout.Milliseconds()
	}
	fake.Configure(store, 1, routes)
	begun, release := heldEndpoint(t, store)
	logReader, log, err := os.Pipe()
	require.NoError(t, err)
	defer log.Close()
	t.Cleanup(func() { logReader.Close() })
	cfg := nodeConfig(t, store.URL())
	n := &servingNode{logReader: logReader, release: release}
	n.program = startProgram(t, log, "http://"+cfg.Readiness+fake.ReadyPath, "node", "--config", writeConfig(t, cfg))
	n.awaitReadiness(http.StatusOK)
	n.answers = send(cfg.Callers)
	select {
	case <-begun:
	case got := <-n.answers:
		require.Fail(t, "answered without the endpoint", "%+v", got)
	}
	return n
}

// finish lets the endpoint answer and requires that the caller gets its whole answer.
func (n *servingNode) finish() {
	n.t.Helper()
	n.release()
	require.Equal(n.t, answer{status: http.StatusOK, body: endpointAnswer}, <-n.answers)
}

// TestSignalsCutNoRequestOfAStoppingNode guards against a signal that ends a process which completes
// its requests before a planned stop: all that it has in progress would be cut.
func TestSignalsCutNoRequestOfAStoppingNode(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"reload":                    {syscall.SIGHUP},
		"many reloads":              {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP},
		"second stop":               {syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM},
		"stops and reloads":         {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP},
		"a pipe without a reader":   {syscall.SIGPIPE},
		"reloads and a lost reader": {syscall.SIGHUP, syscall.SIGPIPE, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startServingNode(t)
			n.signal(syscall.SIGTERM)
			n.awaitReadiness(http.StatusServiceUnavailable)
			n.signal(signals...)
			n.finish()
			n.awaitExit()
		})
	}
}

// TestNodeOutlivesTheReaderOfItsLog guards against a log collector whose restart ends the instance by
// SIGPIPE, with all requests in progress.
func TestNodeOutlivesTheReaderOfItsLog(t *testing.T) {
	t.Parallel()
	n := startServingNode(t)
	require.NoError(t, n.logReader.Close())
	// A reload writes a line.
	n.signal(syscall.SIGHUP, syscall.SIGHUP)
	n.finish()
	n.signal(syscall.SIGTERM)
	n.awaitExit()
}

// TestServeOutlivesHangups guards against a supervisor or a terminal that ends an instance by SIGHUP, and
// against a log without a reader, as for a node.
func TestServeOutlivesHangups(t *testing.T) {
	t.Parallel()
	cfg := daemon.DefaultConfig()
	cfg.Instance, cfg.Incarnation, cfg.FailureDomain = "entry-0", "1", "z1"
	cfg.Callers, cfg.Operators = freeAddress(t), freeAddress(t)
	cfg.Platform = daemon.Platform{ObjectAPI: "http://" + freeAddress(t), Members: "http://" + freeAddress(t)}
	cfg.Peers = daemon.Peers{Datagrams: freeAddress(t), Streams: freeAddress(t), Keys: []string{"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"}}
	cfg.Limits.DrainGraceMS = 100
	logReader, log, err := os.Pipe()
	require.NoError(t, err)
	defer log.Close()
	p := startProgram(t, log, "http://"+cfg.Operators+"/readyz", "serve", "--config", writeConfig(t, cfg))
	p.awaitReadiness(http.StatusServiceUnavailable)
	require.NoError(t, logReader.Close())
	p.signal(syscall.SIGHUP, syscall.SIGHUP)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.awaitExit()
}
