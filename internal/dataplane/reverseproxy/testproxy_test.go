package reverseproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/gracefulclose"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// backend is a target whose responses come from an http.HandlerFunc.
type backend struct {
	wire.Target
	server   *httptest.Server
	runs     atomic.Int64       // number of requests, without those for its identity
	requests chan *http.Request // the requests that it received
}

// newBackend starts a backend, which also responds to requests for its identity.
func newBackend(t testing.TB, name string, handler http.HandlerFunc) *backend {
	t.Helper()
	b := &backend{requests: make(chan *http.Request, 16)}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == config.IdentityPath {
			json.NewEncoder(w).Encode(config.TargetReport{Service: b.Service, Name: b.Name, Incarnation: b.Incarnation})
			return
		}
		b.runs.Add(1)
		b.requests <- r
		handler(w, r)
	}))
	t.Cleanup(b.server.Close)
	b.Target = wire.Target{Service: "s", Name: name, Incarnation: 7, Addr: b.server.Listener.Addr().String()}
	return b
}

// respondAndClose writes raw bytes as the response and closes the connection.
func respondAndClose(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		conn, buffered, _ := http.NewResponseController(w).Hijack()
		buffered.WriteString(response)
		buffered.Flush()
		conn.Close()
	}
}

// echo responds with "ran " and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "ran %s", body)
}

// rawResponder returns the raw response to the nth request on a connection, and whether the connection stays open.
type rawResponder func(conn, n int, r *http.Request) (response string, keepOpen bool)

// rawBackend is a target whose responses are raw bytes.
type rawBackend struct {
	wire.Target
	conns, runs atomic.Int64       // number of connections and of requests
	requests    chan *http.Request // the requests that it received
	bodies      chan string        // the bodies of those requests
}

// newRawBackend starts a rawBackend.
func newRawBackend(t testing.TB, name string, respond rawResponder) *rawBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b := &rawBackend{requests: make(chan *http.Request, 64), bodies: make(chan string, 64)}
	b.Target = wire.Target{Service: "s", Name: name, Incarnation: 7, Addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, int(b.conns.Add(1)), respond)
		}
	}()
	return b
}

// serve responds to the requests on a connection.
func (b *rawBackend) serve(conn net.Conn, connNumber int, respond rawResponder) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.runs.Add(1)
		b.requests <- r
		b.bodies <- string(body)
		response, keepOpen := respond(connNumber, n, r)
		if _, err := io.WriteString(conn, response); err != nil || !keepOpen {
			return
		}
	}
}

// respond returns a responder whose responses have the request's id and the proof header, as in testHeaders. headers
// alternates names and values.
func respond(status int, body string, headers ...string) rawResponder {
	return func(_, _ int, r *http.Request) (string, bool) {
		response := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nA: %s\r\nP: yes\r\n", status, len(body), r.Header.Get("A"))
		for i := 0; i+1 < len(headers); i += 2 {
			response += headers[i] + ": " + headers[i+1] + "\r\n"
		}
		return response + "\r\n" + body, true
	}
}

// respondOnce returns a responder that sends raw bytes and closes the connection.
func respondOnce(response string) rawResponder {
	return func(int, int, *http.Request) (string, bool) { return response, false }
}

// testProxy is a forwarder whose state machine forwards each request to the given targets in order, one per attempt,
// and then rejects it.
type testProxy struct {
	forwarder *Forwarder
	pool      *Pool
	url, addr string
	client    *http.Client

	asked    []any        // the events passed to StateMachine.Ask
	notified chan any     // the events passed to StateMachine.Notify
	now      atomic.Int64 // the time that StateMachine.Now returns

	// Fields of the state machine's Forward commands.
	service  config.Service
	route    config.Route
	timeLeft time.Duration
	workTime time.Duration
	mayRetry bool
}

// newTestProxy starts a testProxy.
func newTestProxy(t testing.TB, targets ...wire.Target) *testProxy {
	t.Helper()
	f := &testProxy{
		pool:     NewPool(),
		notified: make(chan any, 64),
		client:   &http.Client{Transport: &http.Transport{}},
		service:  config.Service{BodyMax: 100 << 10, Attempts: 3},
		timeLeft: 5 * time.Second,
	}
	f.pool.SetTargets(addressesOf(targets...))
	lock := make(chan bool, 1)
	f.forwarder = New(StateMachine{
		Now:    func() time.Duration { return time.Duration(f.now.Load()) },
		Notify: func(event statemachine.Event) { f.notified <- event },
		Ask: func(_ context.Context, id uint64, event statemachine.Event) statemachine.Command {
			lock <- true
			defer func() { <-lock }()
			f.asked = append(f.asked, event)
			return f.command(id, targets)
		},
	}, f.pool)
	server := httptest.NewUnstartedServer(f.forwarder)
	closing := gracefulclose.NewGroup(gracefulclose.DefaultBounds())
	server.Listener = f.forwarder.WrapListener(closing.Listener(server.Listener))
	server.Config.ConnContext, server.Config.ConnState = f.forwarder.ConnContext, f.forwarder.Callers.ConnState
	server.Start()
	t.Cleanup(func() { server.Close(); f.pool.Close() })
	f.url, f.addr = server.URL, server.Listener.Addr().String()
	return f
}

// newForwarder returns a forwarder whose state machine has a constant clock and ask as its function Ask.
func newForwarder(t testing.TB, ask func(ctx context.Context, id uint64, event statemachine.Event) statemachine.Command) *Forwarder {
	t.Helper()
	pool := NewPool()
	t.Cleanup(pool.Close)
	now := func() time.Duration { return 1 }
	return New(StateMachine{Now: now, Notify: func(statemachine.Event) {}, Ask: ask}, pool)
}

// addressesOf returns the targets' addresses in the form that Pool.SetTargets takes.
func addressesOf(targets ...wire.Target) map[wire.TargetID]string {
	addresses := map[wire.TargetID]string{}
	for _, target := range targets {
		addresses[target.ID()] = target.Addr
	}
	return addresses
}

// command returns the state machine's response to the last event in asked: a Forward to the first target for an Admit
// and to the next one for each Retry after that, and a Reject if no target is left.
func (f *testProxy) command(id uint64, targets []wire.Target) statemachine.Command {
	n := 0
	for _, event := range f.asked {
		if _, ok := event.(statemachine.Admit); ok {
			n = 0
		} else {
			n++
		}
	}
	if n >= len(targets) {
		return statemachine.Reject{ID: id, Status: 503, RetryAfter: 2 * time.Second, Code: "busy", Message: "none left"}
	}
	return statemachine.Forward{
		ID:             id,
		Service:        "s",
		ServiceConfig:  f.service,
		Route:          f.route,
		Target:         targets[n],
		TimeLeft:       f.timeLeft,
		WorkTime:       f.workTime,
		WriteBy:        tuning.ChoiceTTL,
		MayRetry:       f.mayRetry,
		ConnectTimeout: tuning.ConnectTimeoutMin,
		MaxIdle:        tuning.IdleConnsMax,
	}
}

// testHeaders returns header names of one letter, such as R for Headers.Ran. They include Proof, which turns its check
// on.
func testHeaders() Headers {
	return Headers{Deadline: "D", Ran: "R", Attempt: "A", ExpectTarget: "E", NotRun: "N", Load: "L", Identity: "I", WarmupLeft: "C", Proof: "P"}
}

// withHealthCheck gives the service a health check and its route the given kind, and sets the names of testHeaders.
func (f *testProxy) withHealthCheck(kind config.RouteKind) *testProxy {
	f.service.HealthPath = "/h"
	f.route.Kind = kind
	f.forwarder.Headers = testHeaders()
	return f
}

// request sends a request and returns the response. headers alternates names and values.
func (f *testProxy) request(t *testing.T, method, path, body string, headers ...string) (status int, header http.Header, responseBody string) {
	t.Helper()
	request, _ := http.NewRequest(method, f.url+path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(read)
}

// lastRetry returns the last event passed to StateMachine.Ask, which must be a Retry.
func (f *testProxy) lastRetry() statemachine.Retry {
	return f.asked[len(f.asked)-1].(statemachine.Retry)
}

// waitFor waits until a condition holds, and fails the test if it does not within 30 s.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + description)
		}
	}
}

// dial opens a connection that is closed at the end of the test.
func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// listen returns a listener that is closed at the end of the test.
func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// dialTarget opens a connection with Dial that is closed at the end of the test.
func dialTarget(t *testing.T, addr string) *Conn {
	t.Helper()
	conn, err := Dial(t.Context(), addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

// rawCaller is a caller that reads and writes its connection directly, without an http.Client.
type rawCaller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// dialRaw opens a rawCaller's connection.
func dialRaw(t *testing.T, addr string) *rawCaller {
	t.Helper()
	conn := dial(t, addr)
	return &rawCaller{t, conn, bufio.NewReader(conn)}
}

// send sends GET requests for paths without waiting for the responses.
func (c *rawCaller) send(paths ...string) {
	c.t.Helper()
	for _, path := range paths {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
}

// expectResponse reads a response, checks its body, and reports whether the response closes the connection.
func (c *rawCaller) expectResponse(body string) (closes bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
		c.t.Fatalf("read body %q, %v, want %q", got, err, body)
	}
	return resp.Close
}

// expectEnd waits until the connection is closed and fails if data arrives before that.
func (c *rawCaller) expectEnd() {
	c.t.Helper()
	if got, err := io.ReadAll(c.reader); len(got) > 0 {
		c.t.Fatalf("read %q, %v, want the connection closed without further data", got, err)
	}
}

// partialConn writes only half of the data of the first Write, which fails. Later writes are complete.
type partialConn struct {
	net.Conn
	failed bool
}

func (c *partialConn) Write(data []byte) (int, error) {
	if c.failed {
		return c.Conn.Write(data)
	}
	c.failed = true
	n, _ := c.Conn.Write(data[:len(data)/2])
	return n, errPartialWrite
}

// errPartialWrite is the error of the first Write of a partialConn.
var errPartialWrite = errors.New("only half of the data was written")
