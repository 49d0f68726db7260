package reverseproxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// backend is a back end whose requests do what the test says.
type backend struct {
	wire.Target
	srv  *httptest.Server
	runs atomic.Int64
	seen chan *http.Request
}

func newBackend(t testing.TB, name string, h http.HandlerFunc) *backend {
	b := &backend{seen: make(chan *http.Request, 16)}
	b.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == config.IdentityPath {
			json.NewEncoder(w).Encode(config.TargetReport{Service: b.Service, Name: b.Name, Incarnation: b.Incarnation})
			return
		}
		b.runs.Add(1)
		b.seen <- r
		h(w, r)
	}))
	t.Cleanup(b.srv.Close)
	b.Target = wire.Target{Service: "s", Name: name, Incarnation: 7, Addr: b.srv.Listener.Addr().String()}
	return b
}

func respondAndClose(say string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		c, buf, _ := http.NewResponseController(w).Hijack()
		buf.WriteString(say)
		buf.Flush()
		c.Close()
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "ran %s", b)
}

// testProxy runs a forwarder whose owner gives the targets in turn, then refuses.
type testProxy struct {
	url       string
	pool      *Pool
	asked     []any
	notified  chan any
	addr      string
	client    *http.Client
	now       atomic.Int64
	forwarder *Forwarder
	service   config.Service
	route     config.Route
	timeLeft  time.Duration
	workTime  time.Duration
	mayRetry  bool
}

func newTestProxy(t testing.TB, targets ...wire.Target) *testProxy {
	f := &testProxy{pool: NewPool(), notified: make(chan any, 64), service: config.Service{BodyMax: 100 << 10, Attempts: 3}, timeLeft: 5 * time.Second}
	live := map[wire.TargetID]string{}
	for _, x := range targets {
		live[x.ID()] = x.Addr
	}
	f.pool.SetTargets(live)
	turn := make(chan bool, 1)
	c := New(Owner{Now: func() time.Duration { return time.Duration(f.now.Load()) }, Notify: func(ev statemachine.Event) { f.notified <- ev }, Ask: func(_ context.Context, id uint64, ev statemachine.Event) statemachine.Command {
		turn <- true
		defer func() { <-turn }()
		f.asked = append(f.asked, ev)
		n := 0
		for _, a := range f.asked {
			if _, ok := a.(statemachine.Admit); ok {
				n = 0
			} else {
				n++
			}
		}
		if n >= len(targets) {
			return statemachine.Reject{ID: id, Status: 503, RetryAfter: 2 * time.Second, Code: "busy", Message: "none left"}
		}
		return statemachine.Forward{ID: id, Service: "s", Target: targets[n], TimeLeft: f.timeLeft, WorkTime: f.workTime, WriteBy: tuning.ChoiceTTL, ServiceConfig: f.service, Route: f.route, MayRetry: f.mayRetry, MaxIdle: tuning.IdleConnsMax, ConnectTimeout: tuning.ConnectTimeoutMin}
	}}, f.pool)
	f.forwarder = c
	srv := httptest.NewUnstartedServer(c)
	srv.Listener, srv.Config.ConnContext, srv.Config.ConnState = c.WrapListener(srv.Listener), c.ConnContext, c.Callers.ConnState
	srv.Start()
	t.Cleanup(func() { srv.Close(); f.pool.Close() })
	f.url, f.addr = srv.URL, srv.Listener.Addr().String()
	f.client = &http.Client{Transport: &http.Transport{}}
	return f
}

func (f *testProxy) do(t *testing.T, method, path, body string, hd ...string) (int, http.Header, string) {
	t.Helper()
	req, _ := http.NewRequest(method, f.url+path, strings.NewReader(body))
	for i := 0; i+1 < len(hd); i += 2 {
		req.Header.Set(hd[i], hd[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(b)
}

// What an answer's loss means for each kind of request, and that nothing that
// may have run is ever sent again.
func TestLostAnswers(t *testing.T) {
	gone, _ := net.Listen("tcp", "127.0.0.1:0")
	dead := wire.Target{Service: "s", Name: "dead", Incarnation: 7, Addr: gone.Addr().String()}
	gone.Close()
	for _, c := range []struct {
		name, method, say string
		dead              bool
		status            int
		ran               string
		first, second     int64
	}{
		{"POST, answer lost", "POST", "", false, 502, "unknown", 1, 0},
		{"POST, garbage", "POST", "\x00\x01\r\n\r\n", false, 502, "unknown", 1, 0},
		{"GET, answer lost", "GET", "", false, 200, "", 1, 1},
		{"GET, garbage", "GET", "no HTTP\r\n\r\n", false, 200, "", 1, 1},
		{"POST, nothing sent", "POST", "", true, 200, "", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newBackend(t, "a", respondAndClose(c.say)), newBackend(t, "b", echo)
			first := a.Target
			if c.dead {
				first = dead
			}
			f := newTestProxy(t, first, b.Target)
			// A key that some libraries take as leave to send again must change nothing.
			status, h, _ := f.do(t, c.method, "/x", "body", "Idempotency-Key", "k")
			if status != c.status || h.Get(RanHeader) != c.ran || a.runs.Load() != c.first || b.runs.Load() != c.second {
				t.Fatalf("status %d ran %q, runs %d and %d", status, h.Get(RanHeader), a.runs.Load(), b.runs.Load())
			}
			if status >= 500 && h.Get("Retry-After") == "" {
				t.Fatal("no Retry-After")
			}
			if c.second > 0 {
				if r := <-b.seen; r.Header.Get("Idempotency-Key") != "k" {
					t.Fatal("the key was not passed on")
				}
			}
		})
	}
}

// An answer that ends early must not look whole: one that is held is made up for by
// an error, one that streams cuts the caller's connection.
func TestCutAnswer(t *testing.T) {
	for _, say := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		f := newTestProxy(t, newBackend(t, "a", respondAndClose(say)).Target)
		resp, err := f.client.Get(f.url + "/x")
		if err == nil {
			var b []byte
			b, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && (resp.StatusCode != 502 || resp.Header.Get(RanHeader) != "unknown" || bytes.Contains(b, []byte("half"))) {
				t.Fatalf("read %q as a whole answer", b)
			}
		}
	}
}

// A connection is used only for the identity that the table names.
func TestIdentity(t *testing.T) {
	a := newBackend(t, "a", echo)
	other := a.Target
	other.Name = "moved"
	f := newTestProxy(t, other)
	status, h, _ := f.do(t, "POST", "/x", "body")
	if status != 503 || h.Get(RanHeader) != "no" || a.runs.Load() != 0 {
		t.Fatalf("status %d ran %q runs %d", status, h.Get(RanHeader), a.runs.Load())
	}
}

// A choice has a short life: a proxy that froze between choosing and writing
// writes nothing, on a new connection or a kept one, and asks its owner again.
func TestOldChoice(t *testing.T) {
	a := newBackend(t, "a", echo)
	f := newTestProxy(t, a.Target)
	if status, _, _ := f.do(t, "POST", "/x", "body"); status != 200 {
		t.Fatal(status)
	}
	<-f.notified
	f.now.Store(int64(tuning.ChoiceTTL + 1)) // the pool holds a connection by now
	for range 2 {
		status, h, _ := f.do(t, "POST", "/x", "body")
		if d := (<-f.notified).(statemachine.AttemptDone); status != 503 || h.Get(RanHeader) != "no" || d.Outcome != statemachine.ChoiceExpired {
			t.Fatalf("%d, ran %q, outcome %v", status, h.Get(RanHeader), d.Outcome)
		}
		if e := f.asked[len(f.asked)-1].(statemachine.Retry); e.Sent {
			t.Fatal("counted as sent")
		}
	}
	if a.runs.Load() != 1 {
		t.Fatalf("ran %d times", a.runs.Load())
	}
}

// No connection outlives its target's entry in the table.
func TestPipeLeavesWithItsTarget(t *testing.T) {
	a := newBackend(t, "a", echo)
	f := newTestProxy(t, a.Target)
	for range 3 {
		f.do(t, "GET", "/x", "")
	}
	if d := <-f.notified; d.(statemachine.AttemptDone).Outcome != statemachine.Served {
		t.Fatal(d)
	}
	take := func(p *Pool) *Conn { return p.take(a.Target.ID(), time.Hour, time.Now().Add(time.Hour)) }
	p := take(f.pool)
	if p == nil {
		t.Fatal("no pipe was kept")
	}
	f.pool.put(a.Target.ID(), p, 1)
	f.pool.SetTargets(map[wire.TargetID]string{})
	if take(f.pool) != nil || p.isIdle() {
		t.Fatal("the pipe is still open")
	}
	g := newTestProxy(t, a.Target)
	g.pool.SetTargets(map[wire.TargetID]string{}) // it left while the request was under way
	g.do(t, "GET", "/x", "")
	if take(g.pool) != nil {
		t.Fatal("a pipe came back for a target that left")
	}
}

// Errors have one shape, and bodies, headers and trailers pass as they are.
func TestShape(t *testing.T) {
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Len", fmt.Sprint(len(b)))
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(207)
		w.Write(b)
		w.Header().Set("X-Sum", "s")
	})
	f := newTestProxy(t, a.Target)
	for _, c := range []struct {
		method, path, body string
		head               []string
		status             int
		ran                string
	}{
		{"GET", "/a/../b", "", nil, 400, "no"},
		{"GET", "/a%2fb", "", nil, 400, "no"},
		{"GET", "/a", "", []string{DeadlineHeader, "soon"}, 400, "no"},
		{"GET", "/a", "", []string{"X-Big", strings.Repeat("x", 40<<10)}, 431, "no"},
		{"POST", "/a", strings.Repeat("x", 101<<10), nil, 413, "no"},
	} {
		status, h, b := f.do(t, c.method, c.path, c.body, c.head...)
		var e struct{ Error config.ErrorBody }
		if json.Unmarshal([]byte(b), &e) != nil || status != c.status || e.Error.Ran != c.ran || h.Get(RanHeader) != c.ran || e.Error.Code == "" {
			t.Errorf("%s %s: %d %s", c.method, c.path, status, b)
		}
	}
	if a.runs.Load() != 0 {
		t.Fatal("a bad request ran")
	}
	body := strings.Repeat("0123456789", 9000) // over what is kept for sending again
	req, _ := http.NewRequest("PUT", f.url+"/q?a=1&a=2", io.MultiReader(strings.NewReader(body)))
	req.Header.Set("Connection", "X-Mine")
	req.Header.Set("X-Mine", "1")
	resp, err := f.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	r := <-a.seen
	if err != nil || string(b) != body || resp.StatusCode != 207 || resp.Header.Get("X-Hop") != "" || resp.Trailer.Get("X-Sum") != "s" || resp.Header.Get("X-Len") != fmt.Sprint(len(body)) {
		t.Fatalf("%v %d %v %v, %d bytes", err, resp.StatusCode, resp.Header, resp.Trailer, len(b))
	}
	if r.Header.Get("X-Mine") != "" || r.Header.Get("X-Forwarded-For") == "" || r.URL.RawQuery != "a=1&a=2" || r.Host != f.addr || r.Header.Get(DeadlineHeader) == "" {
		t.Fatalf("%v %v %v", r.Header, r.URL, r.Host)
	}
}

// Chunks of an answer go on before the next is there.
func TestStreams(t *testing.T) {
	next := make(chan bool)
	a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			fmt.Fprintf(w, "part %d\n", i)
			w.(http.Flusher).Flush()
			<-next
		}
	})
	f := newTestProxy(t, a.Target)
	resp, err := f.client.Get(f.url + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	for i := range 3 {
		l, err := r.ReadBytes('\n')
		if err != nil || !bytes.Equal(l, fmt.Appendf(nil, "part %d\n", i)) {
			t.Fatalf("%q %v", l, err)
		}
		next <- true
	}
}

// rawBackend is a target whose answers are bytes: what say returns for the nth request on
// the nth connection, after which the connection closes if it returns false.
type rawBackend struct {
	wire.Target
	conns, runs atomic.Int64
	seen        chan *http.Request
	bodies      chan string
}

func newRawBackend(t testing.TB, name string, say func(conn, n int, r *http.Request) (string, bool)) *rawBackend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	b := &rawBackend{seen: make(chan *http.Request, 64), bodies: make(chan string, 64)}
	b.Target = wire.Target{Service: "s", Name: name, Incarnation: 7, Addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conn := int(b.conns.Add(1))
			go func() {
				defer c.Close()
				rd := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					b.runs.Add(1)
					b.seen <- r
					b.bodies <- string(body)
					s, on := say(conn, n, r)
					if _, err := io.WriteString(c, s); err != nil || !on {
						return
					}
				}
			}()
		}
	}()
	return b
}

// says is an answer that echoes the request's id and bears the proof.
func respond(status int, body string, hd ...string) func(int, int, *http.Request) (string, bool) {
	return func(_, _ int, r *http.Request) (string, bool) {
		s := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nA: %s\r\nP: yes\r\n", status, len(body), r.Header.Get("A"))
		for i := 0; i+1 < len(hd); i += 2 {
			s += hd[i] + ": " + hd[i+1] + "\r\n"
		}
		return s + "\r\n" + body, true
	}
}

func respondOnce(s string) func(int, int, *http.Request) (string, bool) {
	return func(int, int, *http.Request) (string, bool) { return s, false }
}

// withHealthCheck makes the service one whose targets are withHealthCheck for their health, with names of its own.
func (f *testProxy) withHealthCheck(kind config.RouteKind) *testProxy {
	f.service.HealthPath = "/h"
	f.route.Kind = kind
	f.forwarder.Headers = Headers{Deadline: "D", Ran: "R", Attempt: "A", ExpectTarget: "E", NotRun: "N", Load: "L", Identity: "I", WarmupLeft: "C", Proof: "P"}
	return f
}

// What each answer means for a request that may run once and for one that may be
// repeated: only a target's own word makes it one that did not run.
func TestOutcomes(t *testing.T) {
	head := func(s string) func(int, int, *http.Request) (string, bool) {
		return func(_, _ int, r *http.Request) (string, bool) {
			return strings.ReplaceAll(s, "ID", r.Header.Get("A")), false
		}
	}
	type end struct {
		status  int
		ran     string
		body    string // "": any
		second  int64  // runs at the second target
		outcome statemachine.Outcome
	}
	other := end{200, "", "fine", 1, 0}
	is := func(e end, o statemachine.Outcome) end { e.outcome = o; return e }
	for _, c := range []struct {
		name         string
		say          func(int, int, *http.Request) (string, bool)
		once, repeat end
	}{
		{"fine", respond(200, "mine"), end{200, "", "mine", 0, statemachine.Served}, end{200, "", "mine", 0, statemachine.Served}},
		{"turned away", respond(503, "", "N", "1"), is(other, statemachine.TargetRejected), is(other, statemachine.TargetRejected)},
		{"turned away as too many", respond(429, "x", "N", "1", "Retry-After", "0.2"), is(other, statemachine.TargetRejected), is(other, statemachine.TargetRejected)},
		{"another's address", respond(421, ""), is(other, statemachine.WrongIdentity), is(other, statemachine.WrongIdentity)},
		{"503 that says nothing", respond(503, "x"), end{502, "unknown", "", 0, statemachine.ServerError}, is(other, statemachine.ServerError)},
		{"429 that says nothing", respond(429, "x"), end{502, "unknown", "", 0, statemachine.ServerError}, end{429, "", "x", 0, statemachine.Served}},
		{"500", respond(500, "own"), end{500, "", "own", 0, statemachine.ServerError}, is(other, statemachine.ServerError)},
		{"504", respond(504, "own"), end{504, "", "own", 0, statemachine.ServerError}, end{504, "", "own", 0, statemachine.ServerError}},
		{"404", respond(404, "own"), end{404, "", "own", 0, statemachine.Served}, end{404, "", "own", 0, statemachine.Served}},
		{"silence", respondOnce(""), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"garbage", respondOnce("\x00\xff no\r\n\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"cut", head("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nA: ID\r\nP: yes\r\n\r\nhalf"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"chunks cut", head("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: ID\r\nP: yes\r\n\r\n4\r\nhalf\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"head cut", head("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"another exchange's", head("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: other\r\nP: yes\r\n\r\nnope"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"another exchange was turned away", head("HTTP/1.1 503 X\r\nContent-Length: 0\r\nA: other\r\nN: 1\r\n\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"no proof", head("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\n\r\nnope"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"success that did not run", respond(200, "x", "N", "1"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"another protocol", head("HTTP/1.1 101 X\r\nA: ID\r\nP: yes\r\n\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"interim first", head("HTTP/1.1 103 X\r\nZ: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\nP: yes\r\n\r\nfine"), end{200, "", "fine", 0, statemachine.Served}, end{200, "", "fine", 0, statemachine.Served}},
	} {
		for kind, want := range map[config.RouteKind]end{config.KindOnce: c.once, config.KindRepeatable: c.repeat} {
			t.Run(string(kind)+"/"+c.name, func(t *testing.T) {
				a, b := newRawBackend(t, "a", c.say), newRawBackend(t, "b", respond(200, "fine"))
				f := newTestProxy(t, a.Target, b.Target).withHealthCheck(kind)
				method := map[config.RouteKind]string{config.KindOnce: "GET", config.KindRepeatable: "POST"}[kind] // the route says, not the method
				status, h, body := f.do(t, method, "/x", "body", "A", "1f")
				d := (<-f.notified).(statemachine.AttemptDone)
				if status != want.status || h.Get("R") != want.ran || want.body != "" && body != want.body || b.runs.Load() != want.second || d.Outcome != want.outcome || a.runs.Load() != 1 {
					t.Fatalf("%d ran %q %q, outcome %v, runs %d and %d", status, h.Get("R"), body, d.Outcome, a.runs.Load(), b.runs.Load())
				}
				if want.second == 1 {
					if e := f.lastRetry(); !e.Sent {
						t.Fatal("not counted as sent")
					}
					if got := <-b.bodies; got != "body" {
						t.Fatalf("sent again as %q", got)
					}
				}
			})
		}
	}
}

func (f *testProxy) lastRetry() statemachine.Retry {
	return f.asked[len(f.asked)-1].(statemachine.Retry)
}

// A target's own failure is passed on unchanged if no other target does better.
func TestFailurePassedOn(t *testing.T) {
	a, b := newRawBackend(t, "a", respond(500, "first", "Z", "1")), newRawBackend(t, "b", respondOnce(""))
	for _, targets := range [][]wire.Target{{a.Target}, {a.Target, b.Target}} {
		f := newTestProxy(t, targets...).withHealthCheck(config.KindRepeatable)
		if status, h, body := f.do(t, "GET", "/x", "", "A", "1"); status != 500 || body != "first" || h.Get("Z") != "1" || h.Get("A") != "1" {
			t.Fatal(status, h, body)
		}
	}
}

// If nobody ran it, the refusal keeps its promise; if somebody may have, it makes none.
func TestPromise(t *testing.T) {
	away, silent := newRawBackend(t, "a", respond(503, "", "N", "1")), newRawBackend(t, "b", respondOnce(""))
	for _, c := range []struct {
		kind    config.RouteKind
		targets []wire.Target
		status  int
		ran     string
	}{
		{config.KindOnce, []wire.Target{away.Target}, 503, "no"},
		{config.KindOnce, []wire.Target{away.Target, silent.Target}, 502, "unknown"},
		{config.KindRepeatable, []wire.Target{silent.Target, away.Target}, 502, "unknown"},
	} {
		f := newTestProxy(t, c.targets...).withHealthCheck(c.kind)
		if status, h, _ := f.do(t, "POST", "/x", "", "A", "1"); status != c.status || h.Get("R") != c.ran {
			t.Fatal(c, status, h)
		}
	}
}

// What goes out to a target that is asked for its health: who is expected, what is
// left of the time, the request as it came, and nothing else.
func TestAskedExchange(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok", "L", "3, 1,4"))
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /a%41/b?x=%2f&&y HTTP/1.1\r\nHost: h.example\r\nA: 77\r\nD: 900\r\nE: another\r\nTransfer-Encoding: chunked\r\nConnection: Mine\r\nMine: 1\r\nKept: v\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 || resp.Header.Get("A") != "77" || resp.Header.Get("Date") != "" || resp.Header.Get("Content-Type") != "" || resp.ContentLength != 2 {
		t.Fatal(err, resp)
	}
	r := <-a.seen
	if r.RequestURI != "/a%41/b?x=%2f&&y" || r.Host != "h.example" || r.Method != "POST" || <-a.bodies != "abcde" || r.ContentLength != 5 {
		t.Fatal(r.RequestURI, r.Host, r.ContentLength)
	}
	var left int
	fmt.Sscan(r.Header.Get("D"), &left)
	if left < 1 || left > int((f.timeLeft-tuning.NetHop).Milliseconds()) {
		t.Fatal("left", left)
	}
	r.Header.Del("D")
	if got, want := fmt.Sprint(r.Header), fmt.Sprint(http.Header{"A": {"77"}, "E": {"a"}, "Kept": {"v"}, "Content-Length": {"5"}}); got != want {
		t.Fatal(got)
	}
	if d := (<-f.notified).(statemachine.AttemptDone); d.Load == nil || *d.Load != (statemachine.TargetLoad{Running: 3, Waiting: 1, Slots: 4}) {
		t.Fatal(d.Load)
	}
	if ad := f.asked[0].(statemachine.Admit); ad.Timeout <= 0 || ad.Timeout > 900*time.Millisecond {
		t.Fatal(ad.Timeout)
	}
	if a.conns.Load() != 1 || a.runs.Load() != 1 {
		t.Fatal("asked for its identity")
	}
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// One connection serves request after request, unless its target, its age or what came on
// it speaks against it.
func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name  string
		hd    []string
		tail  string
		conns int64
	}{
		{"kept", nil, "", 1},
		{"closes", []string{"Connection", "close"}, "", 3},
		{"kept long", []string{"Keep-Alive", "timeout=60, max=9"}, "", 1},
		{"not kept", []string{"Keep-Alive", "timeout=0"}, "", 3},
		{"surplus", nil, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: 1\r\nP: 1\r\n\r\nnope", 3},
	} {
		a := newRawBackend(t, "a", func(conn, n int, r *http.Request) (string, bool) {
			s, _ := respond(200, "ok", c.hd...)(conn, n, r)
			return s + c.tail, true
		})
		f := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
		for range 3 {
			if status, _, body := f.do(t, "POST", "/x", "", "A", "1"); status != 200 || body != "ok" {
				t.Fatal(c.name, status, body)
			}
		}
		if a.conns.Load() != c.conns {
			t.Errorf("%s: %d pipes", c.name, a.conns.Load())
		}
	}
}

// What comes on an idle connection ends it, and so does its close.
func TestIdlePipe(t *testing.T) {
	for _, surplus := range []string{"HTTP/1.1 200 OK\r\n\r\n", "x", ""} {
		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		defer ln.Close()
		p, err := Dial(t.Context(), ln.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		c, _ := ln.Accept()
		p.netConn.SetDeadline(time.Now().Add(time.Hour))
		if !p.isIdle() {
			t.Fatal("not quiet from the start")
		}
		if surplus == "" {
			c.Close()
		}
		io.WriteString(c, surplus)
		waitFor(t, "the pipe is seen as used up", func() bool { return !p.isIdle() })
	}
}

// A request that must not run twice takes only a connection that was just used; one that
// may be repeated takes any that its target still keeps.
func TestAges(t *testing.T) {
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	defer ln.Close()
	s := &targetConns{}
	open := func(ago time.Duration) *Conn {
		p, err := Dial(t.Context(), ln.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		s.put(p, tuning.IdleConnsMax)
		p.lastUsed.Add(-int64(ago))
		return p
	}
	till := time.Now().Add(time.Hour)
	old, mid := open(tuning.ConnIdle), open(2*tuning.NonIdempotentIdleMax)
	if s.take(tuning.NonIdempotentIdleMax, till) != nil {
		t.Fatal("too old for once")
	}
	young := open(0)
	if s.take(tuning.NonIdempotentIdleMax, till) != young || s.take(tuning.ConnIdle, till) != mid || s.take(tuning.ConnIdle, till) != nil {
		t.Fatal("not the last used first")
	}
	s.closeExpired(time.Now())
	if old.isIdle() {
		t.Fatal("never closed")
	}
	p := open(0)
	for v, want := range map[string][2]bool{"": {false, false}, "timeout=1": {false, true}, "max=3, Timeout=2": {false, false}, "timeout=x": {false, false}} {
		p.noteKeepAlive(&http.Response{Header: http.Header{"Keep-Alive": {v}}})
		now := time.Now()
		if got := [2]bool{p.isExpired(now.Add(tuning.IdleTimeoutMargin / 2)), p.isExpired(now.Add(tuning.IdleTimeoutMargin + time.Millisecond))}; got != want {
			t.Errorf("%q: %v", v, got)
		}
	}
	for range tuning.IdleConnsMax + 3 {
		open(0)
	}
	n := 0
	for s.take(tuning.ConnIdle, till) != nil {
		n++
	}
	if n != tuning.IdleConnsMax {
		t.Fatal(n, "kept")
	}
}

// A deadline ends the wait with an answer that promises nothing.
func TestLate(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	for _, kind := range []config.RouteKind{config.KindOnce, config.KindRepeatable} {
		a := newRawBackend(t, "a", func(int, int, *http.Request) (string, bool) { <-hold; return "", false })
		f := newTestProxy(t, a.Target, a.Target).withHealthCheck(kind)
		f.timeLeft = 60 * time.Millisecond
		if status, h, _ := f.do(t, "GET", "/x", "", "A", "1"); status != 504 || h.Get("R") != "unknown" || a.runs.Load() != 1 {
			t.Fatal(kind, status, h, a.runs.Load())
		}
	}
}

// A caller that leaves gets nothing that looks like an answer, and its target learns of it.
func TestCallerLeaves(t *testing.T) {
	left := make(chan bool)
	a := newBackend(t, "a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(left) })
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	<-a.seen
	c.(*net.TCPConn).CloseWrite()
	<-left
	if b, _ := io.ReadAll(c); len(b) > 0 {
		t.Fatalf("%q", b)
	}
	if d := (<-f.notified).(statemachine.AttemptDone); d.Outcome != statemachine.ClientGone || !d.Last {
		t.Fatal(d)
	}
}

// Bodies over what is kept go on as they come; one that its caller breaks off never
// looks whole to its target, and an answer that comes before the body's end ends it.
func TestUploads(t *testing.T) {
	big := strings.Repeat("0123456789abcdef", tuning.ReplayMax/8)
	a := newRawBackend(t, "a", respond(200, "ok"))
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	for _, r := range []io.Reader{strings.NewReader(big), io.MultiReader(strings.NewReader(big))} {
		req, _ := http.NewRequest("PUT", f.url+"/x", r)
		req.Header.Set("A", "1")
		resp, err := f.client.Do(req)
		if err != nil || resp.StatusCode != 200 {
			t.Fatal(err, resp)
		}
		resp.Body.Close()
		if <-a.bodies != big {
			t.Fatal("another body")
		}
		<-f.notified
	}
	for _, head := range []string{"Content-Length: 999999", "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\n%s\r\n\r\n", head)
		if head[0] == 'T' {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(big), big)
		} else {
			fmt.Fprint(c, big)
		}
		c.(*net.TCPConn).CloseWrite()
		b, _ := io.ReadAll(c)
		c.Close()
		if len(b) > 0 && !bytes.HasPrefix(b, []byte("HTTP/1.1 400")) {
			t.Fatalf("%q", b)
		}
		if d := (<-f.notified).(statemachine.AttemptDone); d.Outcome != statemachine.ClientGone {
			t.Fatal(d)
		}
	}
	if a.runs.Load() != 2 {
		t.Fatal("a broken body ran")
	}
	early := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("P", "1")
		w.Header().Set("A", r.Header.Get("A"))
		w.WriteHeader(413)
	})
	g := newTestProxy(t, early.Target).withHealthCheck(config.KindOnce)
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\nContent-Length: 999999\r\n\r\n%s", big)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 413 || !resp.Close {
		t.Fatal(err, resp)
	}
}

// A target that goes while its caller is still sending is no fault of the caller's.
func TestUploadLost(t *testing.T) {
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 1))
			c.Close()
		}
	}()
	f := newTestProxy(t, wire.Target{Service: "s", Name: "a", Incarnation: 7, Addr: ln.Addr().String()}).withHealthCheck(config.KindOnce)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\nContent-Length: 999999\r\n\r\n%s", strings.Repeat("x", tuning.ReplayMax/2))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 502 || resp.Header.Get("R") != "unknown" {
		t.Fatal(err, resp)
	}
	if d := (<-f.notified).(statemachine.AttemptDone); d.Outcome != statemachine.ResponseLost {
		t.Fatal(d)
	}
}

// A body that does not come in its caller's time is refused with a promise.
func TestSlowBody(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	for _, head := range []string{"Content-Length: 9", "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\nD: 50\r\n%s\r\n\r\n1", head)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 408 || resp.Header.Get("R") != "no" || !resp.Close {
			t.Fatal(err, resp)
		}
	}
	if a.runs.Load() != 0 || len(f.asked) != 0 {
		t.Fatal("passed on")
	}
}

// As many unused connections are kept as the owner says, those that were used last.
func TestIdleConnectionsKept(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	f := newTestProxy(t, a.Target)
	keep := func(conn *Conn, maxIdle int) {
		target := statemachine.Forward{Target: a.Target, MaxIdle: maxIdle}
		(&attempt{request: &request{forwarder: f.forwarder}, target: target, conn: conn}).keepConn()
	}
	var opened []*Conn
	for range 5 {
		p, err := Dial(t.Context(), a.Addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		opened = append(opened, p)
		keep(p, 2)
	}
	take := func() *Conn { return f.pool.take(a.Target.ID(), time.Hour, time.Now().Add(time.Hour)) }
	for _, want := range []*Conn{opened[4], opened[3], nil} {
		if got := take(); got != want {
			t.Fatalf("got %p of %p", got, opened)
		}
	}
	for _, p := range opened[:3] {
		if p.netConn.SetDeadline(time.Now().Add(time.Hour)) == nil {
			t.Error("one that is not kept is still open")
		}
	}
	p, err := Dial(t.Context(), a.Addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	if keep(p, 0); take() != nil {
		t.Fatal("one is kept where none may be")
	}
}

// Requests sent before the first is answered are answered in their order.
func TestPipelined(t *testing.T) {
	a := newRawBackend(t, "a", func(c, n int, r *http.Request) (string, bool) { return respond(200, r.URL.Path)(c, n, r) })
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i := range 5 {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\nA: %d\r\n\r\n", i, i)
	}
	rd := bufio.NewReader(c)
	for i := range 5 {
		resp, err := http.ReadResponse(rd, nil)
		if err != nil {
			t.Fatal(err)
		}
		if b, _ := io.ReadAll(resp.Body); string(b) != fmt.Sprintf("/%d", i) || resp.Header.Get("A") != fmt.Sprint(i) {
			t.Fatalf("%d: %q", i, b)
		}
	}
}

// Many at once, over few connections that come and go: each caller gets its own answer.
func TestManyAtOnce(t *testing.T) {
	a := newRawBackend(t, "a", func(c, n int, r *http.Request) (string, bool) {
		s, _ := respond(200, r.URL.Path)(c, n, r)
		return s, n%7 != 0 // it closes a connection now and then
	})
	go func() {
		for range a.seen {
			<-a.bodies
		}
	}()
	pool := NewPool()
	defer pool.Close()
	pool.SetTargets(map[wire.TargetID]string{a.ID(): a.Addr})
	car := New(Owner{Now: func() time.Duration { return 1 }, Notify: func(statemachine.Event) {}, Ask: func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
		return statemachine.Forward{ID: id, Service: "s", Target: a.Target, TimeLeft: time.Minute, WriteBy: time.Hour, ServiceConfig: config.Service{BodyMax: 1 << 20, HealthPath: "/h"}, Route: config.Route{Kind: config.KindRepeatable}, MaxIdle: tuning.IdleConnsMax, ConnectTimeout: tuning.ConnectTimeoutMin}
	}}, pool)
	car.Headers.Attempt = "A"
	srv := httptest.NewServer(car)
	defer srv.Close()
	stop, swept := make(chan bool), make(chan bool)
	go func() {
		defer close(swept)
		for {
			select {
			case <-stop:
				return
			default:
				for _, s := range *pool.targets.Load() {
					s.closeExpired(time.Now())
				}
				pool.SetTargets(map[wire.TargetID]string{a.ID(): a.Addr})
				runtime.Gosched()
			}
		}
	}()
	ends := make(chan error, 8)
	for k := range 8 {
		go func() {
			for i := range 100 {
				req, _ := http.NewRequest("GET", fmt.Sprintf("%s/%d/%d", srv.URL, k, i), nil)
				req.Header.Set("A", fmt.Sprintf("%d-%d", k, i))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					ends <- err
					return
				}
				b, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 || string(b) != req.URL.Path || resp.Header.Get("A") != req.Header.Get("A") {
					ends <- fmt.Errorf("%s got %d %q", req.URL.Path, resp.StatusCode, b)
					return
				}
			}
			ends <- nil
		}()
	}
	for range 8 {
		if err := <-ends; err != nil {
			t.Error(err)
		}
	}
	close(stop)
	<-swept
}

// Answers without a body keep their length, and trailers of held ones come through.
func TestBodiless(t *testing.T) {
	for _, c := range []struct {
		method, say string
		status      int
		length      string
		trailer     string
		body        string
	}{
		{"HEAD", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nContent-Length: 77\r\n\r\n", 200, "77", "", ""},
		{"GET", "HTTP/1.1 304 N\r\nA: 1\r\nP: 1\r\nEtag: x\r\n\r\n", 304, "", "", ""},
		{"GET", "HTTP/1.1 204 N\r\nA: 1\r\nP: 1\r\n\r\n", 204, "", "", ""},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nContent-Length: 0\r\n\r\n", 200, "0", "", ""},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "3", "", "abc"},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n", 200, "", "v", "abc"},
	} {
		a := newRawBackend(t, "a", func(int, int, *http.Request) (string, bool) { return c.say, true })
		f := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
		for range 2 {
			req, _ := http.NewRequest(c.method, f.url+"/x", nil)
			req.Header.Set("A", "1")
			resp, err := f.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || resp.StatusCode != c.status || resp.Header.Get("Content-Length") != c.length || resp.Trailer.Get("T") != c.trailer || string(b) != c.body {
				t.Fatalf("%q: %v %d %v %v %q", c.say, err, resp.StatusCode, resp.Header, resp.Trailer, b)
			}
		}
		if a.conns.Load() != 1 {
			t.Errorf("%q: %d pipes", c.say, a.conns.Load())
		}
	}
}

// Large answers stream, and one that is cut cuts its caller's connection.
func TestLargeAnswers(t *testing.T) {
	big := strings.Repeat("z", tuning.ResponseBufferMax+1)
	for _, cut := range []bool{false, true} {
		for _, chunks := range []bool{false, true} {
			a := newRawBackend(t, "a", func(_, _ int, _ *http.Request) (string, bool) {
				s := "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\n"
				if chunks {
					s += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(big), big)
				} else {
					s += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(big), big)
				}
				if cut {
					return s[:len(s)-5], false
				}
				return s, true
			})
			f := newTestProxy(t, a.Target, a.Target).withHealthCheck(config.KindDownload)
			req, _ := http.NewRequest("GET", f.url+"/x", nil)
			req.Header.Set("A", "1")
			resp, err := f.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if cut != (err != nil) || !cut && string(b) != big || a.runs.Load() != 1 {
				t.Fatal(cut, chunks, err, len(b), a.runs.Load())
			}
		}
	}
}

// Whatever bytes come back from a target, its caller gets a success only with the
// body that those bytes frame.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: 1\r\n\r\nfine",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: 1\r\n\r\nfi",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\nA: 1\r\n\r\nfines",
		"HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n4\r\nfine\r\n0\r\nT: 1\r\n\r\nmore",
		"HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n",
		"HTTP/1.0 200 OK\r\nA: 1\r\n\r\nuntil close",
		"HTTP/1.1 204 No\r\nA: 1\r\n\r\nsurplus",
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: 1\r\n\r\n",
		"HTTP/1.1 000 X\r\nA: 1\r\n\r\n", "HTTP/2.0 200 OK\r\nA: 1\r\n\r\n", "HTTP/1.1 999 X\r\nA: 1\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 1\r\nBad\x00Name: 1\r\nConnection: A\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 1\r\nBadConnection: A\r\n\r\n\n",
		"\x16\x03\x01", "", "HTTP/1.1 200", "HTTP/1.1 503 X\r\nA: 1\r\nN: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	var say atomic.Pointer[string]
	a := newRawBackend(f, "a", func(int, int, *http.Request) (string, bool) { return *say.Load(), false })
	fr := newTestProxy(f, a.Target).withHealthCheck(config.KindOnce)
	fr.forwarder.Headers.Proof = ""
	fr.client.Transport = &http.Transport{DisableCompression: true}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := string(b)
		say.Store(&s)
		fr.asked = fr.asked[:0]
		req, _ := http.NewRequest("GET", fr.url+"/x", nil)
		req.Header.Set("A", "1")
		resp, err := fr.client.Do(req)
		for len(fr.notified) > 0 {
			<-fr.notified
		}
		for len(a.seen) > 0 { // none if the machine has no port left, which is an error of ours
			<-a.seen
			<-a.bodies
		}
		if err != nil {
			return
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode >= 300 {
			return
		}
		rd := bufio.NewReader(strings.NewReader(s))
		for {
			want, err := http.ReadResponse(rd, nil)
			if err != nil {
				t.Fatalf("a success from %q: %v", s, err)
			}
			if want.StatusCode < 200 {
				continue
			}
			body, err := io.ReadAll(want.Body)
			if err != nil || want.StatusCode != resp.StatusCode || want.Header.Get("A") != "1" || !bytes.Equal(body, got) {
				t.Fatalf("%q became %d %q: %v", s, resp.StatusCode, got, err)
			}
			return
		}
	})
}

// One small request from end to end over loopback, caller and target included.
func BenchmarkExchange(b *testing.B) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 600\r\nMyrtlefold-Attempt: 1f\r\nDate: Mon, 01 Jan 2024 00:00:00 GMT\r\nContent-Type: text/plain\r\n\r\n"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	tg := wire.Target{Service: "s", Name: "a", Incarnation: 7, Addr: ln.Addr().String()}
	id, _ := json.Marshal(config.TargetReport{Service: "s", Name: "a", Incarnation: 7})
	out := []byte(answer + strings.Repeat("x", 600))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				rd := make([]byte, 8<<10)
				for {
					n, err := c.Read(rd)
					if err != nil {
						return
					}
					say := out
					if bytes.HasPrefix(rd[:n], []byte("GET "+config.IdentityPath)) {
						say = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
					}
					c.Write(say)
				}
			}()
		}
	}()
	pool := NewPool()
	defer pool.Close()
	pool.SetTargets(map[wire.TargetID]string{tg.ID(): tg.Addr})
	car := New(Owner{Now: func() time.Duration { return 1 }, Notify: func(statemachine.Event) {}, Ask: func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
		return statemachine.Forward{ID: id, Service: "s", Target: tg, TimeLeft: 5 * time.Second, WriteBy: time.Hour, ServiceConfig: config.Service{BodyMax: 1 << 20}, MaxIdle: tuning.IdleConnsMax, ConnectTimeout: tuning.ConnectTimeoutMin}
	}}, pool)
	srv := httptest.NewServer(car)
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	rd := bufio.NewReader(c)
	req := []byte("GET /lep/2f HTTP/1.1\r\nHost: h.example\r\nMyrtlefold-Attempt: 1f\r\nMyrtlefold-Deadline-Ms: 2000\r\nUser-Agent: b\r\nAccept: */*\r\n\r\n")
	one := func() {
		c.Write(req)
		for n := 0; ; {
			l, err := rd.ReadSlice('\n')
			if err != nil {
				b.Fatal(err)
			}
			if bytes.HasPrefix(l, []byte("Content-Length: ")) {
				n = 600
			}
			if len(l) == 2 {
				rd.Discard(n)
				return
			}
		}
	}
	one()
	b.ReportAllocs()
	for b.Loop() {
		one()
	}
}
