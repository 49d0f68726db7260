package reverseproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// TestUploads checks that bodies that are too large to be buffered are passed on unaltered, that a body that the caller
// aborts never looks complete to the target, and that a response before the end of the body ends the upload.
func TestUploads(t *testing.T) {
	big := strings.Repeat("0123456789abcdef", tuning.ReplayMax/8)
	a := newRawBackend(t, "a", respond(200, "ok"))
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	for _, r := range []io.Reader{strings.NewReader(big), io.MultiReader(strings.NewReader(big))} {
		req, _ := http.NewRequest("PUT", proxy.url+"/x", r)
		req.Header.Set("A", "1")
		resp, err := proxy.client.Do(req)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("got error %v, response %+v, want status 200", err, resp)
		}
		resp.Body.Close()
		if <-a.bodies != big {
			t.Fatal("the target received a different body")
		}
		<-proxy.notified
	}
	for _, header := range []string{"Content-Length: 999999", "Transfer-Encoding: chunked"} {
		conn := dial(t, proxy.addr)
		fmt.Fprintf(conn, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\n%s\r\n\r\n", header)
		if header[0] == 'T' {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(big), big)
		} else {
			fmt.Fprint(conn, big)
		}
		conn.(*net.TCPConn).CloseWrite()
		body, _ := io.ReadAll(conn)
		conn.Close()
		if len(body) > 0 && !bytes.HasPrefix(body, []byte("HTTP/1.1 400")) {
			t.Fatalf("%s: the caller got %q, want status 400 or no response", header, body)
		}
		if done := (<-proxy.notified).(statemachine.AttemptDone); done.Outcome != statemachine.ClientGone {
			t.Fatalf("got notification %+v, want outcome ClientGone", done)
		}
	}
	if a.runs.Load() != 2 {
		t.Fatalf("the target got %d complete requests, want 2: those with an incomplete body must not look complete", a.runs.Load())
	}
	early := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("P", "1")
		w.Header().Set("A", r.Header.Get("A"))
		w.WriteHeader(413)
	})
	otherProxy := newTestProxy(t, early.Target).withHealthCheck(config.KindOnce)
	conn := dial(t, otherProxy.addr)
	fmt.Fprintf(conn, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\nContent-Length: 999999\r\n\r\n%s", big)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 413 || !resp.Close {
		t.Fatalf("got error %v, response %+v, want status 413 that closes the connection", err, resp)
	}
}

// TestTargetLostDuringUpload checks that if the target closes its connection while the caller is still sending, the
// failure is not attributed to the caller: it gets a 502, and the attempt counts as a lost response.
func TestTargetLostDuringUpload(t *testing.T) {
	listener := listen(t)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 1))
			c.Close()
		}
	}()
	proxy := newTestProxy(t, wire.Target{Service: "s", Name: "a", Incarnation: 7, Addr: listener.Addr().String()}).withHealthCheck(config.KindOnce)
	conn := dial(t, proxy.addr)
	fmt.Fprintf(conn, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\nContent-Length: 999999\r\n\r\n%s", strings.Repeat("x", tuning.ReplayMax/2))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 502 || resp.Header.Get("R") != "unknown" {
		t.Fatalf("got error %v, response %+v, want status 502, ran (header R) \"unknown\"", err, resp)
	}
	if done := (<-proxy.notified).(statemachine.AttemptDone); done.Outcome != statemachine.ResponseLost {
		t.Fatalf("got notification %+v, want outcome ResponseLost", done)
	}
}

// TestBodyTimeout checks that a request whose body does not arrive within the caller's timeout is rejected as not run.
func TestBodyTimeout(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	for _, header := range []string{"Content-Length: 9", "Transfer-Encoding: chunked"} {
		conn := dial(t, proxy.addr)
		fmt.Fprintf(conn, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\nD: 50\r\n%s\r\n\r\n1", header)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 408 || resp.Header.Get("R") != "no" || !resp.Close {
			t.Fatalf("%s: got error %v, response %+v, want status 408, ran (header R) \"no\", that closes the connection", header, err, resp)
		}
	}
	if a.runs.Load() != 0 || len(proxy.asked) != 0 {
		t.Fatal("a request with an incomplete body reached the state machine or the target")
	}
}
