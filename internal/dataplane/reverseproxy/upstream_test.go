package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// TestWrongIdentityGetsNoRequest checks that a connection is used only for the identity that the table names.
func TestWrongIdentityGetsNoRequest(t *testing.T) {
	a := newBackend(t, "a", echo)
	other := a.Target
	other.Name = "moved"
	proxy := newTestProxy(t, other)
	status, header, _ := proxy.request(t, "POST", "/x", "body")
	if status != 503 || header.Get(RanHeader) != "no" || a.runs.Load() != 0 {
		t.Fatalf("status %d ran %q runs %d", status, header.Get(RanHeader), a.runs.Load())
	}
}

// TestConnectionReuse checks that a connection serves request after request, unless its target closes it, its age
// forbids it, or something came on it that was not asked for.
func TestConnectionReuse(t *testing.T) {
	for _, tc := range []struct {
		name    string
		headers []string
		tail    string
		conns   int64
	}{
		{"kept", nil, "", 1},
		{"closes", []string{"Connection", "close"}, "", 3},
		{"kept long", []string{"Keep-Alive", "timeout=60, max=9"}, "", 1},
		{"not kept", []string{"Keep-Alive", "timeout=0"}, "", 3},
		{"surplus", nil, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: 1\r\nP: 1\r\n\r\nnope", 3},
	} {
		a := newRawBackend(t, "a", func(conn, n int, r *http.Request) (string, bool) {
			response, _ := respond(200, "ok", tc.headers...)(conn, n, r)
			return response + tc.tail, true
		})
		proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
		for range 3 {
			if status, _, body := proxy.request(t, "POST", "/x", "", "A", "1"); status != 200 || body != "ok" {
				t.Fatal(tc.name, status, body)
			}
		}
		if a.conns.Load() != tc.conns {
			t.Errorf("%s: %d connections", tc.name, a.conns.Load())
		}
	}
}

// TestIdleConnectionWithInputIsNotIdle checks that a connection is no longer idle when something comes on it or
// its target closes it.
func TestIdleConnectionWithInputIsNotIdle(t *testing.T) {
	for _, surplus := range []string{"HTTP/1.1 200 OK\r\n\r\n", "x", ""} {
		listener := listen(t)
		conn := dialTarget(t, listener.Addr().String())
		target, _ := listener.Accept()
		conn.netConn.SetDeadline(time.Now().Add(time.Hour))
		if !conn.isIdle() {
			t.Fatal("not idle from the start")
		}
		if surplus == "" {
			target.Close()
		}
		io.WriteString(target, surplus)
		waitFor(t, "the connection is no longer idle", func() bool { return !conn.isIdle() })
	}
}

// TestPartlyWrittenConnectionIsNotReused checks that a connection on which a request was written in part is not
// used again, whatever its target answers: it would read the next request as the rest of this one.
func TestPartlyWrittenConnectionIsNotReused(t *testing.T) {
	listener := listen(t)
	heads := make(chan string, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					heads <- r.Header.Get("A")
					response, _ := respond(200, "early")(0, 0, r)
					io.WriteString(c, response)
					io.Copy(io.Discard, r.Body)
				}
			}()
		}
	}()
	target := wire.Target{Service: "s", Name: "a", Incarnation: 7, Addr: listener.Addr().String()}
	proxy := newTestProxy(t, target).withHealthCheck(config.KindOnce)
	conn := dialTarget(t, target.Addr)
	conn.netConn = &partialConn{Conn: conn.netConn}
	proxy.pool.put(target.ID(), conn, 1)
	proxy.request(t, "POST", "/x", strings.Repeat("b", 2000), "A", "1")
	proxy.request(t, "POST", "/x", strings.Repeat("b", 2000), "A", "2")
	if one, two := <-heads, <-heads; one != "1" || two != "2" {
		t.Fatalf("requests %q and %q", one, two)
	}
	if proxy.forwarder.Counts.ConnsOpened.Load() != 1 {
		t.Fatal(proxy.forwarder.Counts.ConnsOpened.Load(), "opened")
	}
}

// TestRequestWithoutIDGetsNewConnection checks that a request without an id, to which any response would seem to
// belong, gets a connection that has had no response.
func TestRequestWithoutIDGetsNewConnection(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	for i, id := range []string{"1", "", "2"} {
		if status, _, _ := proxy.request(t, "POST", "/x", "", "A", id); status != 200 {
			t.Fatal(i, status)
		}
	}
	if a.conns.Load() != 2 {
		t.Fatal(a.conns.Load(), "connections")
	}
}

// TestDrainingProxyWaitsForUnreachableTarget checks that a draining proxy waits for an unreachable target: another
// one may not have the time left to serve, and the request would be ended by planned work.
func TestDrainingProxyWaitsForUnreachableTarget(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	proxy := newTestProxy(t, a.Target)
	proxy.pool.SetUnreachable(map[wire.TargetID]bool{a.ID(): true})
	if !proxy.forwarder.mayAbandon(a.ID()) {
		t.Fatal("not abandoned at other times")
	}
	proxy.forwarder.Draining.Store(true)
	if proxy.forwarder.mayAbandon(a.ID()) {
		t.Fatal("abandoned while draining")
	}
}

// TestResponseOfUnreachableTargetIsTaken checks that a response that has come when its target turns out to be
// unreachable is taken, however late the proxy looks: it may have been held up, and the target has done its work.
func TestResponseOfUnreachableTargetIsTaken(t *testing.T) {
	listener := listen(t)
	conn := dialTarget(t, listener.Addr().String())
	target, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	deadline := time.Now().Add(time.Minute)
	conn.netConn.SetDeadline(deadline)
	comes := func() bool { // the response comes after the proxy has looked for it
		fmt.Fprint(target, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		conn.netConn.SetReadDeadline(deadline)
		waitFor(t, "the response is there", func() bool { return !conn.isIdle() })
		return true
	}
	if !conn.awaitResponse(t.Context(), deadline, comes) {
		t.Fatal("abandoned with its response there")
	}
	if resp, err := conn.readHeader("GET"); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
}
