package reverseproxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"myrtlefold/internal/shared/config"
)

// TestDrainingClosesConnectionsAfterResponse checks that a request that is being served when the proxy begins to
// drain is answered, and that the response closes its caller's connection, so that the caller sends nothing more
// on it.
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
			t.Errorf("%s: %d, closes its connection: %v", method, resp.StatusCode, resp.Close)
		}
	}
}

// TestCloseAnswersWhatWasRead checks that when the callers' connections are closed, those without a request end at
// once and no new one opens, while requests that were read before, pipelined ones among them, get complete
// responses.
func TestCloseAnswersWhatWasRead(t *testing.T) {
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
	waitFor(t, "all four are counted", func() bool { return proxy.forwarder.Callers.Open() == 4 && proxy.forwarder.Callers.Busy() == 2 })

	proxy.forwarder.Draining.Store(true)
	proxy.forwarder.Callers.Close()
	idle.expectEnd()
	unused.expectEnd()
	if c, err := net.Dial("tcp", proxy.addr); err == nil {
		c.Close()
		t.Error("a new connection opens")
	}
	close(answer)
	if !busy.expectResponse("/0") {
		t.Error("the response does not close its connection")
	}
	if pipelined.expectResponse("/1") {
		t.Error("the response closes the connection while a request is unanswer on it")
	}
	pipelined.expectResponse("/2")
	busy.expectEnd()
	pipelined.expectEnd()
	waitFor(t, "nothing is open", func() bool { return proxy.forwarder.Callers.Open() == 0 && proxy.forwarder.Callers.Busy() == 0 })
}
