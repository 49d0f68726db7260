package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
)

// rawCaller is a caller that writes and reads its connection itself.
type rawCaller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dialRaw(t *testing.T, addr string) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &rawCaller{t, c, bufio.NewReader(c)}
}

func (c *rawCaller) send(paths ...string) {
	for _, path := range paths {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
}

// expectResponse reads one whole expectResponse and says whether it ends the connection.
func (c *rawCaller) expectResponse(want string) (closes bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != want {
		c.t.Fatalf("%q, %v, expected %q", b, err, want)
	}
	return resp.Close
}

// expectEnd waits for the connection's end.
func (c *rawCaller) expectEnd() {
	c.t.Helper()
	if b, err := io.ReadAll(c.reader); len(b) > 0 {
		c.t.Fatalf("%q, %v instead of the end", b, err)
	}
}

// A request that is under way when the proxy begins to stop is answered, and the answer ends its
// caller's connection, so that the caller sends nothing more on it.
func TestAnswerBegunBeforeTheStopEndsItsConnection(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		begun, answered := make(chan bool), make(chan bool)
		a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			<-answered
			w.Header().Set("P", "a")
			fmt.Fprint(w, "whole")
		})
		f := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "%s /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", method)
		<-begun
		f.forwarder.Draining.Store(true)
		close(answered)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s: %d, closes its connection: %v", method, resp.StatusCode, resp.Close)
		}
	}
}

// When the intake closes, connections without a request end at once and no new one opens; requests that
// were taken before, also those begun ahead of their turn, are answered whole.
func TestClosedIntake(t *testing.T) {
	var begun [3]chan bool
	for i := range begun {
		begun[i] = make(chan bool)
	}
	answered := make(chan bool)
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if n := r.URL.Path[1] - '0'; n < 3 {
			close(begun[n])
			<-answered
		}
		w.Header().Set("P", "a")
		fmt.Fprint(w, r.URL.Path)
	})
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	rests, silent, busy, pipelined := dialRaw(t, f.addr), dialRaw(t, f.addr), dialRaw(t, f.addr), dialRaw(t, f.addr)
	rests.send("/9")
	rests.expectResponse("/9")
	busy.send("/0")
	<-begun[0]
	pipelined.send("/1", "/2")
	<-begun[1]
	<-begun[2]
	waitFor(t, "all four are known", func() bool { return f.forwarder.Callers.Open() == 4 && f.forwarder.Callers.Busy() == 2 })

	f.forwarder.Draining.Store(true)
	f.forwarder.Callers.Close()
	rests.expectEnd()
	silent.expectEnd()
	if c, err := net.Dial("tcp", f.addr); err == nil {
		c.Close()
		t.Error("a new connection opens")
	}
	close(answered)
	if !busy.expectResponse("/0") {
		t.Error("the answer does not end its connection")
	}
	if pipelined.expectResponse("/1") {
		t.Error("the connection is said to end while a request is ahead on it")
	}
	pipelined.expectResponse("/2")
	busy.expectEnd()
	pipelined.expectEnd()
	waitFor(t, "nothing is open", func() bool { return f.forwarder.Callers.Open() == 0 && f.forwarder.Callers.Busy() == 0 })
}

// A target is told how long it may work, which in a stopping proxy is less than its caller still gives.
func TestWorkTimeIsToldToTheTarget(t *testing.T) {
	told := make(chan string, 1)
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("D")
		w.Header().Set("P", "a")
	})
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	f.timeLeft = time.Minute
	for _, work := range []time.Duration{0, 2 * time.Second} {
		f.workTime = work
		if status, _, _ := f.do(t, "GET", "/x", "", "D", "60000"); status != http.StatusOK {
			t.Fatal(status)
		}
		ms, err := strconv.Atoi(<-told)
		if most := f.timeLeft; err != nil || work == 0 && ms > int(most.Milliseconds()) || work > 0 && ms > int(work.Milliseconds()) {
			t.Errorf("of %v, at work for at most %v, the target is told %d ms, %v", f.timeLeft, work, ms, err)
		}
	}
}
