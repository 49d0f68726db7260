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

// TestWrongIdentityGetsNoRequest checks that a request is not sent on a connection to a target whose identity differs
// from the one in the table.
func TestWrongIdentityGetsNoRequest(t *testing.T) {
	a := newBackend(t, "a", echo)
	other := a.Target
	other.Name = "moved"
	proxy := newTestProxy(t, other)
	status, header, _ := proxy.request(t, "POST", "/x", "body")
	if status != 503 || header.Get(RanHeader) != "no" || a.runs.Load() != 0 {
		t.Fatalf("got status %d, ran %q, %d requests at the target, want status 503, ran \"no\", 0 requests", status, header.Get(RanHeader), a.runs.Load())
	}
}

// TestConnectionReuse checks that a connection is reused for further requests unless the target closes it, its
// announced idle timeout is over, or unsolicited data has arrived on it.
func TestConnectionReuse(t *testing.T) {
	for _, tc := range []struct {
		name    string
		headers []string
		surplus string // sent after each response
		conns   int64  // expected number of connections for three requests
	}{
		{"kept", nil, "", 1},
		{"closes", []string{"Connection", "close"}, "", 3},
		{"kept long", []string{"Keep-Alive", "timeout=60, max=9"}, "", 1},
		{"not kept", []string{"Keep-Alive", "timeout=0"}, "", 3},
		{"surplus", nil, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: 1\r\nP: 1\r\n\r\nnope", 3},
	} {
		a := newRawBackend(t, "a", func(conn, n int, r *http.Request) (string, bool) {
			response, _ := respond(200, "ok", tc.headers...)(conn, n, r)
			return response + tc.surplus, true
		})
		proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
		for range 3 {
			if status, _, body := proxy.request(t, "POST", "/x", "", "A", "1"); status != 200 || body != "ok" {
				t.Fatalf("%s: got status %d, body %q, want 200 and \"ok\"", tc.name, status, body)
			}
		}
		if a.conns.Load() != tc.conns {
			t.Errorf("%s: %d connections were opened, want %d", tc.name, a.conns.Load(), tc.conns)
		}
	}
}

// TestConnectionWithInputIsNotIdle checks that a connection is no longer idle once data has arrived on it or the target
// has closed it.
func TestConnectionWithInputIsNotIdle(t *testing.T) {
	for _, surplus := range []string{"HTTP/1.1 200 OK\r\n\r\n", "x", ""} {
		listener := listen(t)
		conn := dialTarget(t, listener.Addr().String())
		target, _ := listener.Accept()
		conn.netConn.SetDeadline(time.Now().Add(time.Hour))
		if !conn.isIdle() {
			t.Fatal("a new connection is not idle")
		}
		if surplus == "" {
			target.Close()
		}
		io.WriteString(target, surplus)
		waitFor(t, "the connection is no longer idle", func() bool { return !conn.isIdle() })
	}
}

// TestPartlyWrittenConnectionIsNotReused checks that a connection on which a request was written only in part is not
// reused, whatever the target responds: the target would read the next request as the rest of this one.
func TestPartlyWrittenConnectionIsNotReused(t *testing.T) {
	listener := listen(t)
	ids := make(chan string, 16)
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
					ids <- r.Header.Get("A")
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
	if first, second := <-ids, <-ids; first != "1" || second != "2" {
		t.Fatalf("the target received requests %q and %q, want 1 and 2", first, second)
	}
	if proxy.forwarder.Counts.ConnsOpened.Load() != 1 {
		t.Fatal(proxy.forwarder.Counts.ConnsOpened.Load(), "connections were opened, want 1")
	}
}

// TestRequestWithoutIDGetsNewConnection checks that a request without an id is sent on a new connection. On a used one,
// a surplus response to an earlier request could not be told apart from the response to this request.
func TestRequestWithoutIDGetsNewConnection(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	for i, id := range []string{"1", "", "2"} {
		if status, _, _ := proxy.request(t, "POST", "/x", "", "A", id); status != 200 {
			t.Fatalf("request %d: got status %d, want 200", i, status)
		}
	}
	if a.conns.Load() != 2 {
		t.Fatal(a.conns.Load(), "connections were opened, want 2")
	}
}

// TestDrainingProxyWaitsForUnreachableTarget checks that a draining proxy keeps waiting for an unreachable target. The
// time left may be too short for another target to serve the request, which would then fail because of a planned
// shutdown.
func TestDrainingProxyWaitsForUnreachableTarget(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	proxy := newTestProxy(t, a.Target)
	proxy.pool.SetUnreachable(map[wire.TargetID]bool{a.ID(): true})
	if !proxy.forwarder.mayAbandon(a.ID()) {
		t.Fatal("the target may not be abandoned although the proxy is not draining")
	}
	proxy.forwarder.Draining.Store(true)
	if proxy.forwarder.mayAbandon(a.ID()) {
		t.Fatal("the target may be abandoned while the proxy is draining")
	}
}

// TestResponseOfUnreachableTargetIsUsed checks that a response is used if it has already arrived when the proxy learns
// that the target is unreachable. This happens if the proxy was suspended: the target has served the request.
func TestResponseOfUnreachableTargetIsUsed(t *testing.T) {
	listener := listen(t)
	conn := dialTarget(t, listener.Addr().String())
	target, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	deadline := time.Now().Add(time.Minute)
	conn.netConn.SetDeadline(deadline)
	// isUnreachable sends the response after awaitResponse's read has timed out.
	isUnreachable := func() bool {
		fmt.Fprint(target, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		conn.netConn.SetReadDeadline(deadline)
		waitFor(t, "the response has arrived", func() bool { return !conn.isIdle() })
		return true
	}
	if !conn.awaitResponse(t.Context(), deadline, isUnreachable) {
		t.Fatal("the attempt was abandoned although its response had arrived")
	}
	if resp, err := conn.readHeader("GET"); err != nil || resp.StatusCode != 200 {
		t.Fatalf("got response %+v, error %v, want status 200", resp, err)
	}
}
