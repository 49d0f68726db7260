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
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// backend is a target whose requests a handler of the test serves.
type backend struct {
	wire.Target
	server   *httptest.Server
	runs     atomic.Int64
	requests chan *http.Request // those that came
}

// newBackend starts a backend that also answers who it is.
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

// respondAndClose writes bytes in place of a response and closes the connection.
func respondAndClose(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		conn, buffered, _ := http.NewResponseController(w).Hijack()
		buffered.WriteString(response)
		buffered.Flush()
		conn.Close()
	}
}

// echo answers with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "ran %s", body)
}

// rawResponder returns the bytes that answer the nth request on a connection, and whether the connection stays open.
type rawResponder func(conn, n int, r *http.Request) (response string, stays bool)

// rawBackend is a target whose responses are bytes.
type rawBackend struct {
	wire.Target
	conns, runs atomic.Int64
	requests    chan *http.Request // those that came
	bodies      chan string        // of those requests
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

// serve answers the requests of a connection.
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
		response, stays := respond(connNumber, n, r)
		if _, err := io.WriteString(conn, response); err != nil || !stays {
			return
		}
	}
}

// respond answers with the request's id and the proof of testHeaders. headers are names and values in turn.
func respond(status int, body string, headers ...string) rawResponder {
	return func(_, _ int, r *http.Request) (string, bool) {
		response := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nA: %s\r\nP: yes\r\n", status, len(body), r.Header.Get("A"))
		for i := 0; i+1 < len(headers); i += 2 {
			response += headers[i] + ": " + headers[i+1] + "\r\n"
		}
		return response + "\r\n" + body, true
	}
}

// respondOnce answers with bytes and closes the connection.
func respondOnce(response string) rawResponder {
	return func(int, int, *http.Request) (string, bool) { return response, false }
}

// testProxy is a forwarder whose owner forwards each request to its targets in turn, and then rejects it.
type testProxy struct {
	forwarder *Forwarder
	pool      *Pool
	url, addr string
	client    *http.Client

	asked    []any        // the events that the owner was asked with
	notified chan any     // those that it was notified of
	now      atomic.Int64 // the owner's clock

	// What the owner's commands have.
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
	turn := make(chan bool, 1)
	f.forwarder = New(Owner{
		Now:    func() time.Duration { return time.Duration(f.now.Load()) },
		Notify: func(event statemachine.Event) { f.notified <- event },
		Ask: func(_ context.Context, id uint64, event statemachine.Event) statemachine.Command {
			turn <- true
			defer func() { <-turn }()
			f.asked = append(f.asked, event)
			return f.command(id, targets)
		},
	}, f.pool)
	server := httptest.NewUnstartedServer(f.forwarder)
	server.Listener = f.forwarder.WrapListener(server.Listener)
	server.Config.ConnContext, server.Config.ConnState = f.forwarder.ConnContext, f.forwarder.Callers.ConnState
	server.Start()
	t.Cleanup(func() { server.Close(); f.pool.Close() })
	f.url, f.addr = server.URL, server.Listener.Addr().String()
	return f
}

// newForwarder returns a forwarder whose owner's clock stands still and which asks with ask.
func newForwarder(t testing.TB, ask func(ctx context.Context, id uint64, event statemachine.Event) statemachine.Command) *Forwarder {
	t.Helper()
	pool := NewPool()
	t.Cleanup(pool.Close)
	now := func() time.Duration { return 1 }
	return New(Owner{Now: now, Notify: func(statemachine.Event) {}, Ask: ask}, pool)
}

// addressesOf returns what Pool.SetTargets takes.
func addressesOf(targets ...wire.Target) map[wire.TargetID]string {
	addresses := map[wire.TargetID]string{}
	for _, target := range targets {
		addresses[target.ID()] = target.Addr
	}
	return addresses
}

// command answers the last event that the owner was asked with: the nth since its request came gets the nth target.
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

// testHeaders are short names for the headers.
func testHeaders() Headers {
	return Headers{Deadline: "D", Ran: "R", Attempt: "A", ExpectTarget: "E", NotRun: "N", Load: "L", Identity: "I", WarmupLeft: "C", Proof: "P"}
}

// withHealthCheck gives the service a health check and its route a kind, and the headers the names of testHeaders.
func (f *testProxy) withHealthCheck(kind config.RouteKind) *testProxy {
	f.service.HealthPath = "/h"
	f.route.Kind = kind
	f.forwarder.Headers = testHeaders()
	return f
}

// request sends a request and returns the response. headers are names and values in turn.
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

// lastRetry returns the event that the owner was asked with last.
func (f *testProxy) lastRetry() statemachine.Retry {
	return f.asked[len(f.asked)-1].(statemachine.Retry)
}

// waitFor waits until something holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
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

// dialTarget opens a connection as the proxy does, which is closed at the end of the test.
func dialTarget(t *testing.T, addr string) *Conn {
	t.Helper()
	conn, err := Dial(t.Context(), addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

// rawCaller is a caller that writes and reads its connection itself.
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

// send sends requests for paths without waiting for their responses.
func (c *rawCaller) send(paths ...string) {
	c.t.Helper()
	for _, path := range paths {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
}

// expectResponse reads a complete response and returns whether it closes the connection.
func (c *rawCaller) expectResponse(body string) (closes bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
		c.t.Fatalf("%q, %v, expected %q", got, err, body)
	}
	return resp.Close
}

// expectEnd waits for the connection's end.
func (c *rawCaller) expectEnd() {
	c.t.Helper()
	if got, err := io.ReadAll(c.reader); len(got) > 0 {
		c.t.Fatalf("%q, %v instead of the end", got, err)
	}
}

// partialConn writes half of what it is given first, and fails; what follows it writes completely.
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

// errPartialWrite is what a partialConn fails with.
var errPartialWrite = errors.New("no more is written")
