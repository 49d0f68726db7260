package reverseproxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"myrtlefold/internal/shared/config"
)

// TestDrainingClosesConnectionsAfterResponse checks that a request in progress when the proxy begins to drain gets its
// response, and that the response closes the caller's connection, so that the caller sends no more requests on it.
func TestDrainingClosesConnectionsAfterResponse(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		started, answer := make(chan bool), make(chan bool)
		a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-answer
			w.Header().Set("P", "a")
			fmt.Fprint(w, "complete")
		})
		proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
		conn := dial(t, proxy.addr)
		fmt.Fprintf(conn, "%s /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", method)
		<-started
		proxy.forwarder.Draining.Store(true)
		close(answer)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s: got status %d, closes its connection: %v, want 200 and true", method, resp.StatusCode, resp.Close)
		}
	}
}

// TestCloseCompletesRequestsInProgress checks that closing the callers' connections closes those without a request at
// once and prevents new ones, while requests that were read before, including pipelined ones, get complete responses.
func TestCloseCompletesRequestsInProgress(t *testing.T) {
	var started [3]chan bool
	for i := range started {
		started[i] = make(chan bool)
	}
	answer := make(chan bool)
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if n := r.URL.Path[1] - '0'; n < 3 {
			close(started[n])
			<-answer
		}
		w.Header().Set("P", "a")
		fmt.Fprint(w, r.URL.Path)
	})
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	idle, unused, busy, pipelined := dialRaw(t, proxy.addr), dialRaw(t, proxy.addr), dialRaw(t, proxy.addr), dialRaw(t, proxy.addr)
	idle.send("/9")
	idle.expectResponse("/9")
	busy.send("/0")
	<-started[0]
	pipelined.send("/1", "/2")
	<-started[1]
	<-started[2]
	waitFor(t, "all four connections are counted", func() bool { return proxy.forwarder.Callers.Open() == 4 && proxy.forwarder.Callers.Busy() == 2 })

	proxy.forwarder.Draining.Store(true)
	proxy.forwarder.Callers.Close()
	idle.expectEnd()
	unused.expectEnd()
	if c, err := net.Dial("tcp", proxy.addr); err == nil {
		c.Close()
		t.Error("a new connection was accepted after Close")
	}
	close(answer)
	if !busy.expectResponse("/0") {
		t.Error("the response to /0 does not close its connection")
	}
	if pipelined.expectResponse("/1") {
		t.Error("the response to /1 closes the connection while a pipelined request on it is unanswered")
	}
	pipelined.expectResponse("/2")
	busy.expectEnd()
	pipelined.expectEnd()
	waitFor(t, "all connections are closed", func() bool { return proxy.forwarder.Callers.Open() == 0 && proxy.forwarder.Callers.Busy() == 0 })
}
