package reverseproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A pipelined request of a route whose requests may run once only is not begun ahead:
// behind an answer that ends the connection it counts as not read, and is sent again.
func TestOnceIsNotBegunAhead(t *testing.T) {
	for kind, want := range map[config.RouteKind]int64{config.KindOnce: 1, config.KindRepeatable: 2} {
		hold, second := make(chan bool), make(chan bool, 1)
		a := newRawBackend(t, "a", func(_, _ int, r *http.Request) (string, bool) {
			if r.URL.Path == "/1" {
				second <- true
				s, on := respond(200, "ok")(0, 0, r)
				return s, on
			}
			<-hold
			return "HTTP/1.1 200 OK\r\nA: 0\r\nP: 1\r\nContent-Length: 99999999\r\n\r\ncut", false
		})
		f := newTestProxy(t, a.Target, a.Target).withHealthCheck(kind)
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET /0 HTTP/1.1\r\nHost: h\r\nA: 0\r\n\r\n")
		<-a.seen
		fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: h\r\nA: 1\r\n\r\n")
		if kind == config.KindOnce {
			waitFor(t, "the request behind is looked at", func() bool { return f.forwarder.Counts.Deferred.Load() == 1 })
		} else {
			<-second
		}
		close(hold)
		io.Copy(io.Discard, c) // the first answer is cut, and the connection with it
		c.Close()
		if n := a.runs.Load(); n != want {
			t.Errorf("%s: %d requests reached the target", kind, n)
		}
	}
}

// One that was not begun ahead is served when its turn comes, and its target is given back.
func TestDeferredIsServed(t *testing.T) {
	first := make(chan bool)
	a := newRawBackend(t, "a", func(c, n int, r *http.Request) (string, bool) {
		if r.URL.Path == "/0" {
			<-first
		}
		return respond(200, r.URL.Path)(c, n, r)
	})
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /0 HTTP/1.1\r\nHost: h\r\nA: 0\r\n\r\n")
	<-a.seen
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: h\r\nA: 1\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nA: 2\r\n\r\n")
	waitFor(t, "both are looked at", func() bool { return f.forwarder.Counts.Deferred.Load() == 2 })
	for range 2 {
		if d := (<-f.notified).(statemachine.AttemptDone); d.Outcome != statemachine.ClientGone || !d.Last {
			t.Fatal("the target was kept:", d)
		}
	}
	close(first)
	rd := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(rd, nil)
		if err != nil {
			t.Fatal(err)
		}
		if b, _ := io.ReadAll(resp.Body); string(b) != fmt.Sprintf("/%d", i) || resp.Header.Get("A") != fmt.Sprint(i) {
			t.Fatalf("%d: %q %v", i, b, resp.Header)
		}
	}
	if a.runs.Load() != 3 {
		t.Fatal(a.runs.Load(), "runs")
	}
}

// A status that promises that nothing ran is not passed on from a target that did not say
// so, however long its answer is.
func TestLargeFalsePromise(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		a := newRawBackend(t, "a", respond(status, strings.Repeat("x", tuning.ResponseBufferMax+1)))
		f := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
		if got, h, _ := f.do(t, "POST", "/x", "", "A", "1"); got != 502 || h.Get("R") != "unknown" || h.Get("P") != "" {
			t.Errorf("%d became %d %v", status, got, h)
		}
	}
}

// A proxy that is leaving waits for a silent target: nobody says that another one has
// the time left to serve, and the request would be broken off by planned work.
func TestDarkWhileLeaving(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	f := newTestProxy(t, a.Target)
	f.pool.SetUnreachable(map[wire.TargetID]bool{a.ID(): true})
	if !f.forwarder.mayAbandon(a.ID()) {
		t.Fatal("not given up at other times")
	}
	f.forwarder.Draining.Store(true)
	if f.forwarder.mayAbandon(a.ID()) {
		t.Fatal("given up while leaving")
	}
}

// An answer that has come when a target turns out to be out of reach is taken, however late the proxy looks: it
// may have been held up, and the target has done its work.
func TestAnswerOfADarkTargetIsTaken(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p, err := Dial(t.Context(), ln.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	target, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	till := time.Now().Add(time.Minute)
	p.netConn.SetDeadline(till)
	comes := func() bool { // the answer comes after the proxy has looked for it
		fmt.Fprint(target, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		p.netConn.SetReadDeadline(till)
		waitFor(t, "the answer is there", func() bool { return !p.isIdle() })
		return true
	}
	if !p.awaitResponse(t.Context(), till, comes) {
		t.Fatal("given up with its answer there")
	}
	if resp, err := p.readHeader("GET"); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
}

// A caller that goes away ends a request that was begun ahead too, also while its answer
// is on its way.
func TestPipelinedCallerLeaves(t *testing.T) {
	ended := make(chan bool)
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("P", "a")
		if r.URL.Path == "/0" {
			return
		}
		fmt.Fprint(w, strings.Repeat("x", 2*tuning.ResponseBufferMax))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	})
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	f.timeLeft = time.Hour
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	rd := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(rd, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.CopyN(io.Discard, resp.Body, min(tuning.ResponseBufferMax, max(0, resp.ContentLength))); err != nil {
			t.Fatal(err)
		}
	}
	if f.forwarder.Counts.Pipelined.Load() != 1 {
		t.Fatal("the second was not begun ahead")
	}
	c.Close()
	<-ended // long before the deadline
}

// halfWriter writes halfWriter of what it is given, once.
type halfWriter struct {
	net.Conn
	failed bool
}

func (h *halfWriter) Write(b []byte) (int, error) {
	if h.failed {
		return h.Conn.Write(b)
	}
	h.failed = true
	n, _ := h.Conn.Write(b[:len(b)/2])
	return n, errors.New("no more goes out")
}

// A connection on which a request went out in part is not used again, whatever its target
// answers: it would read the next request as the rest of this one.
func TestPartlyWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	heads := make(chan string, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				rd := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					heads <- r.Header.Get("A")
					s, _ := respond(200, "early")(0, 0, r)
					io.WriteString(c, s)
					io.Copy(io.Discard, r.Body)
				}
			}()
		}
	}()
	target := wire.Target{Service: "s", Name: "a", Incarnation: 7, Addr: ln.Addr().String()}
	f := newTestProxy(t, target).withHealthCheck(config.KindOnce)
	p, err := Dial(t.Context(), target.Addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.netConn = &halfWriter{Conn: p.netConn}
	f.pool.put(target.ID(), p, 1)
	f.do(t, "POST", "/x", strings.Repeat("b", 2000), "A", "1")
	f.do(t, "POST", "/x", strings.Repeat("b", 2000), "A", "2")
	if one, two := <-heads, <-heads; one != "1" || two != "2" {
		t.Fatalf("requests %q and %q", one, two)
	}
	if f.forwarder.Counts.ConnsOpened.Load() != 1 {
		t.Fatal(f.forwarder.Counts.ConnsOpened.Load(), "opened")
	}
}

// A request without an id, to which any answer would seem to belong, gets a connection
// on which there was none before.
func TestWithoutID(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	for i, id := range []string{"1", "", "2"} {
		if status, _, _ := f.do(t, "POST", "/x", "", "A", id); status != 200 {
			t.Fatal(i, status)
		}
	}
	if a.conns.Load() != 2 {
		t.Fatal(a.conns.Load(), "connections")
	}
}
