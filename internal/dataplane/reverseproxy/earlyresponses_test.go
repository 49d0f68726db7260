package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// earlyBody is the body of a request that is answered before it is read. Each part of it differs from the others.
var earlyBody = numberedBytes(200_000)

// numberedBytes returns a text of the given length in which no two parts are the same.
func numberedBytes(length int) string {
	var text strings.Builder
	for i := 0; text.Len() < length; i++ {
		fmt.Fprintf(&text, "%d.", i)
	}
	return text.String()[:length]
}

// responseFramings write a response with a body in each framing of HTTP/1.1.
var responseFramings = map[string]func(header, body string) string{
	"length": func(header, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	},
	"chunks": func(header, body string) string {
		text := header + "Transfer-Encoding: chunked\r\n\r\n"
		for len(body) > 0 {
			n := min(len(body), 30_000)
			text += fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		return text + "0\r\n\r\n"
	},
	"end of connection": func(header, body string) string { return header + "\r\n" + body },
}

// earlyTarget is a target that answers each request before it reads the request's body, and then reads on.
type earlyTarget struct {
	wire.Target
	response func(header string) string
	mayRead  chan bool // is closed when the target may read a body
	received chan receivedBody
}

// receivedBody is the body of a request, as far as it arrived.
type receivedBody struct {
	id, body string
	complete bool
}

// bodyWait is how long bodyOf waits at most.
const bodyWait = 20 * time.Second

// bodyOf waits until the target has read the body of the request with the given id.
func (e *earlyTarget) bodyOf(t *testing.T, id string) (body string, complete bool) {
	t.Helper()
	end := time.After(bodyWait)
	for {
		select {
		case received := <-e.received:
			if received.id == id {
				return received.body, received.complete
			}
		case <-end:
			t.Fatalf("the target still waits for the body of request %s", id)
		}
	}
}

func newEarlyTarget(t *testing.T, response func(header string) string) *earlyTarget {
	t.Helper()
	listener := listen(t)
	target := &earlyTarget{response: response, mayRead: make(chan bool, 8), received: make(chan receivedBody, 8)}
	target.Target = wire.Target{Service: "s", Name: "a", Incarnation: 7, Addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	return target
}

func (e *earlyTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := e.response(fmt.Sprintf("HTTP/1.1 200 OK\r\nA: %s\r\nP: yes\r\n", request.Header.Get("A")))
		go func() {
			io.WriteString(conn, response)
			if request.Header.Get("A") == endsConnection {
				conn.(*net.TCPConn).CloseWrite()
			}
		}()
		<-e.mayRead
		body, err := io.ReadAll(request.Body)
		e.received <- receivedBody{request.Header.Get("A"), string(body), err == nil}
		if err != nil {
			return
		}
	}
}

// endsConnection is the id of requests to which the target's response ends with its side of the connection.
const endsConnection = "ends"

// newEarlyProxy starts a proxy in front of a target that answers early.
func newEarlyProxy(t *testing.T, target *earlyTarget) *testProxy {
	t.Helper()
	proxy := newTestProxy(t, target.Target).withHealthCheck(config.KindOnce)
	proxy.service.BodyMax = 1 << 20
	return proxy
}

// bodyHeaders frame a request's body.
var bodyHeaders = map[string]string{
	"length":           fmt.Sprintf("Content-Length: %d\r\n", len(earlyBody)),
	"chunks":           "Transfer-Encoding: chunked\r\n",
	"length, expected": fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", len(earlyBody)),
	"chunks, expected": "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
}

// sendPart sends a part of the body, as a chunk if the body is chunked.
func (c *rawCaller) sendPart(framing, part string) {
	if strings.HasPrefix(framing, "chunks") {
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	io.WriteString(c, part)
}

// sendEnd ends the body.
func (c *rawCaller) sendEnd(framing string) {
	if strings.HasPrefix(framing, "chunks") {
		io.WriteString(c, "0\r\n\r\n")
	}
}

// begunBytes is the part of the body that is sent before the response has begun to arrive. It is more than the proxy keeps.
const begunBytes = 100_000

// awaitResponse waits until a response, after interim ones, begins to arrive.
func (c *rawCaller) awaitResponse() {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(bodyWait))
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	for {
		begun, err := c.reader.Peek(len("HTTP/1.1 200"))
		if err != nil {
			c.t.Fatalf("no response: %v", err)
		}
		if !strings.HasPrefix(interim, string(begun)) {
			return
		}
		c.reader.Discard(len(interim))
	}
}

// readBody reads a response, after interim ones, and its body.
func (c *rawCaller) readBody() (response *http.Response, body string) {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(bodyWait))
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			c.t.Fatal(err)
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			c.t.Fatalf("read %d bytes of the response: %v", len(body), err)
		}
		return response, string(body)
	}
}

// TestEarlyResponses guards against bodies that lose parts on their way, and against connections that go back to the pool before the
// target has the whole body: the target answers before it has read the body and reads on, and net/http's server, as well as the
// upload, read from the caller. The next request, of another caller, became the missing end of the first body.
func TestEarlyResponses(t *testing.T) {
	for framing, write := range responseFramings {
		for bodyFraming, header := range bodyHeaders {
			for _, size := range []int{0, 300, 60_000, 120_000, 1_000_000} {
				t.Run(fmt.Sprintf("response %s %d, body %s", framing, size, bodyFraming), func(t *testing.T) {
					t.Parallel()
					sent := numberedBytes(size)
					target := newEarlyTarget(t, func(header string) string { return write(header, sent) })
					proxy := newEarlyProxy(t, target)
					caller := dialRaw(t, proxy.addr)
					id := "1"
					if framing == "end of connection" {
						id = endsConnection
					}
					fmt.Fprintf(caller, "PUT /x HTTP/1.1\r\nHost: h\r\nA: %s\r\n%s\r\n", id, header)
					caller.sendPart(bodyFraming, earlyBody[:begunBytes])
					caller.awaitResponse()
					go func() {
						for rest := earlyBody[begunBytes:]; len(rest) > 0; {
							n := min(len(rest), 9000)
							caller.sendPart(bodyFraming, rest[:n])
							rest = rest[n:]
						}
						caller.sendEnd(bodyFraming)
						close(target.mayRead)
						fmt.Fprint(caller, "GET /next HTTP/1.1\r\nHost: h\r\nA: 2\r\n\r\n")
					}()
					response, got := caller.readBody()
					if response.StatusCode != http.StatusOK || got != sent {
						t.Fatalf("status %d, %d bytes; want 200 and the %d bytes of the target", response.StatusCode, len(got), size)
					}
					if mayClose := framing == "end of connection" || strings.HasSuffix(bodyFraming, "expected"); response.Close && !mayClose {
						t.Error("the response closes the connection")
					}
					body, complete := target.bodyOf(t, id)
					switch {
					case !strings.HasPrefix(earlyBody, body):
						t.Error("the target received other bytes than the caller sent")
					case framing != "end of connection" && !response.Close && (!complete || body != earlyBody):
						t.Errorf("the target received %d bytes of %d", len(body), len(earlyBody))
					case complete && body != earlyBody:
						t.Errorf("the target took %d bytes of %d for the whole body", len(body), len(earlyBody))
					}
					<-proxy.notified
					if response.Close {
						return
					}
					if framing == "end of connection" {
						return // whether the connection of the caller is kept depends on when the target ended its own
					}
					if response, got := caller.readBody(); response.StatusCode != http.StatusOK || got != sent || response.Header.Get("A") != "2" {
						t.Errorf("the next request on the connection: status %d, %d bytes, id %q", response.StatusCode, len(got), response.Header.Get("A"))
					}
				})
			}
		}
	}
}

// TestEarlyResponseDoesNotWaitForTheBody checks that a response with a length reaches a caller that sends the rest of its body only
// after that, and that the target gets the rest.
func TestEarlyResponseDoesNotWaitForTheBody(t *testing.T) {
	for _, size := range []int{0, 300, 60_000, 120_000, 1_000_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			sent := numberedBytes(size)
			target := newEarlyTarget(t, func(header string) string { return responseFramings["length"](header, sent) })
			proxy := newEarlyProxy(t, target)
			caller, other := dialRaw(t, proxy.addr), dialRaw(t, proxy.addr)
			fmt.Fprintf(caller, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\n%s\r\n", bodyHeaders["length"])
			caller.sendPart("length", earlyBody[:begunBytes])
			if response, got := caller.readBody(); response.StatusCode != http.StatusOK || got != sent || response.Close {
				t.Fatalf("status %d, %d bytes, closes %v; want 200, %d bytes and the connection kept", response.StatusCode, len(got), response.Close, size)
			}
			close(target.mayRead)
			fmt.Fprint(other, "GET /other HTTP/1.1\r\nHost: h\r\nA: other\r\n\r\n")
			if response, got := other.readBody(); response.Header.Get("A") != "other" || got != sent {
				t.Errorf("another caller got the response to %q", response.Header.Get("A"))
			}
			if done := (<-proxy.notified).(statemachine.AttemptDone); done.ID != 2 {
				t.Errorf("attempt %d has ended, want that of the other caller: the body of the first is not sent yet", done.ID)
			}
			caller.sendPart("length", earlyBody[begunBytes:])
			if body, complete := target.bodyOf(t, "1"); body != earlyBody || !complete {
				t.Errorf("the target received %d bytes, complete %v; want all %d", len(body), complete, len(earlyBody))
			}
		})
	}
}

// TestUploadBehindAnEarlyResponseEnds checks how the connections end if the rest of a body does not arrive or is not read: the
// caller has the whole response, what it sends later is never taken for a request, and the target's connection is not used again.
func TestUploadBehindAnEarlyResponseEnds(t *testing.T) {
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: h\r\nA: 3\r\n\r\n"
	for name, end := range map[string]func(caller *rawCaller, proxy *testProxy){
		"the caller goes":            func(caller *rawCaller, _ *testProxy) { caller.Close() },
		"the caller sends no more":   func(*rawCaller, *testProxy) {},
		"a chunk is malformed":       func(caller *rawCaller, _ *testProxy) { io.WriteString(caller, "zz\r\n"+smuggled) },
		"the caller closes its side": func(caller *rawCaller, _ *testProxy) { caller.Conn.(*net.TCPConn).CloseWrite() },
		"the body is too large": func(caller *rawCaller, _ *testProxy) {
			caller.sendPart("chunks", strings.Repeat(smuggled, 50_000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := numberedBytes(120_000)
			target := newEarlyTarget(t, func(header string) string { return responseFramings["length"](header, sent) })
			proxy := newEarlyProxy(t, target)
			proxy.timeLeft = time.Second
			caller := dialRaw(t, proxy.addr)
			fmt.Fprintf(caller, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\n%s\r\n", bodyHeaders["chunks"])
			caller.sendPart("chunks", earlyBody[:begunBytes])
			if response, got := caller.readBody(); response.StatusCode != http.StatusOK || got != sent {
				t.Fatalf("status %d, %d bytes; want 200 and %d", response.StatusCode, len(got), len(sent))
			}
			close(target.mayRead)
			end(caller, proxy)
			body, complete := target.bodyOf(t, "1")
			if complete || !strings.HasPrefix(body, earlyBody[:begunBytes]) && !strings.HasPrefix(earlyBody, body) {
				t.Errorf("the target received %d bytes, complete %v; want a body that ends early", len(body), complete)
			}
			if done := (<-proxy.notified).(statemachine.AttemptDone); done.Outcome != statemachine.Served {
				t.Errorf("outcome %v, want Served: the caller has the whole response", done.Outcome)
			}
			if name != "the caller goes" {
				caller.expectEnd()
			}
			if n := len(proxy.asked); n != 1 {
				t.Errorf("%d requests reached the state machine, want 1", n)
			}
		})
	}
}

// TestEarlyRejectionDoesNotWaitForTheBody guards against a request that its target rejects before it has read the body, and whose
// caller gets the rejection only once the whole body is sent.
func TestEarlyRejectionDoesNotWaitForTheBody(t *testing.T) {
	for name, notRun := range map[string]string{"marked as not run": "N: 1\r\n", "not marked": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newEarlyTarget(t, func(string) string {
				return "HTTP/1.1 503 X\r\nA: 1\r\nP: yes\r\n" + notRun + "Content-Length: 0\r\n\r\n"
			})
			proxy := newEarlyProxy(t, target)
			proxy.timeLeft = 2 * bodyWait // beyond the deadline of the caller's reads
			caller := dialRaw(t, proxy.addr)
			fmt.Fprintf(caller, "PUT /x HTTP/1.1\r\nHost: h\r\nA: 1\r\n%s\r\n", bodyHeaders["length"])
			caller.sendPart("length", earlyBody[:begunBytes])
			if response, _ := caller.readBody(); response.StatusCode < http.StatusInternalServerError || !response.Close {
				t.Errorf("status %d, closes %v; want an error that closes the connection", response.StatusCode, response.Close)
			}
			close(target.mayRead)
		})
	}
}
