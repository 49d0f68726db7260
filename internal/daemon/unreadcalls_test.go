package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// unreadableBodies are the ways in which a call's body can't be read whole: the part of the request after its other headers.
var unreadableBodies = map[string]struct {
	text   string
	closes bool // the caller then closes its side of the connection, and still reads
	status int
}{
	"ends before its length":          {"Content-Length: 100\r\n\r\n{}", true, http.StatusBadRequest},
	"nothing of it arrives":           {"Content-Length: 100\r\n\r\n", true, http.StatusBadRequest},
	"ends within a chunk":             {"Transfer-Encoding: chunked\r\n\r\n64\r\n{}", true, http.StatusBadRequest},
	"ends behind a chunk":             {"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", true, http.StatusBadRequest},
	"ends within the last chunk":      {"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", true, http.StatusBadRequest},
	"ends within a chunk's length":    {"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n1", true, http.StatusBadRequest},
	"a chunk's length is no number":   {"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n-\r\n", false, http.StatusBadRequest},
	"a chunk's length is missing":     {"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n\r\n", false, http.StatusBadRequest},
	"a chunk's length is too large":   {"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\nfffffffffffffffff\r\n", false, http.StatusBadRequest},
	"a chunk is longer than it says":  {"Transfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n", false, http.StatusBadRequest},
	"the trailer is malformed":        {"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nno colon\r\n\r\n", false, http.StatusBadRequest},
	"does not arrive":                 {"Content-Length: 100\r\n\r\n{}", false, http.StatusRequestTimeout},
	"too large":                       {oversizedBody("Content-Length: %d\r\n\r\n%s"), false, http.StatusRequestEntityTooLarge},
	"too large in chunks":             {oversizedBody("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"), false, http.StatusRequestEntityTooLarge},
	"two lengths that differ":         {"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", false, http.StatusBadRequest},
	"a length that is no number":      {"Content-Length: two\r\n\r\n{}", false, http.StatusBadRequest},
	"an encoding that is not chunked": {"Transfer-Encoding: gzip\r\n\r\n{}", false, http.StatusNotImplemented},
}

// oversizedBody returns a body, formatted with its length and itself, that is longer than a call may have.
func oversizedBody(format string) string {
	body := strings.Repeat(" ", tuning.DocumentMax+2)
	return fmt.Sprintf(format, len(body), body)
}

// calls begin calls of each kind that changes something, with and without a body of their own.
var calls = map[string]string{
	"configuration":     "PUT /v1/config?base=3",
	"named change":      "PATCH /v1/config?base=3",
	"rollback":          "POST /v1/config/rollback?to=2",
	"policy":            "PUT /v1/policies/p",
	"policy removed":    "DELETE /v1/policies/p",
	"domain emptied":    "POST /v1/domains/z/empty",
	"domain restored":   "POST /v1/domains/z/restore",
	"proxy forgotten":   "POST /v1/gates/p/forget",
	"member added":      "POST /v1/core/c/add",
	"member removed":    "POST /v1/core/c/remove",
	"recovery":          "POST /v1/core/refound",
	"heartbeat":         "POST /v1/targets",
	"named heartbeat":   "PUT /v1/targets/t",
	"target signed off": "DELETE /v1/targets/t",
}

// apiHandlers return the handlers of the HTTP API of both kinds of daemons.
var apiHandlers = map[string]func(test *closingTest) http.Handler{
	"control daemon": func(test *closingTest) http.Handler {
		return (&controlDaemon{Process: test.process}).handler(test.Context())
	},
	"proxy": func(test *closingTest) http.Handler { return newProxyDaemon(test.process).handler() },
}

// TestUnreadCallIsNotAnsweredAsDone guards against a call whose body could not be read whole and that was answered with an
// empty 200: an operator took a configuration for accepted, and a target its leave notice for acknowledged, that nobody had
// read.
func TestUnreadCallIsNotAnsweredAsDone(t *testing.T) {
	for daemon, newHandler := range apiHandlers {
		for name, call := range calls {
			if daemon == "proxy" && !strings.Contains(call, "/v1/targets") {
				continue
			}
			for way, body := range unreadableBodies {
				t.Run(daemon+"/"+name+"/"+way, func(t *testing.T) {
					t.Parallel()
					test := newClosingTest(t)
					test.process.callBodyTimeout = time.Minute
					if body.status == http.StatusRequestTimeout {
						test.process.callBodyTimeout = 50 * time.Millisecond
					}
					conn := test.dial(test.serveAPI(newHandler(test)))
					go func() {
						io.WriteString(conn, call+" HTTP/1.1\r\nHost: h\r\n"+body.text)
						if body.closes {
							conn.(*net.TCPConn).CloseWrite()
						}
					}()
					response := test.readResponse(conn)
					if response.StatusCode != body.status || !response.Close {
						t.Errorf("status %d, closes %v; want %d and the end of the connection", response.StatusCode, response.Close, body.status)
					}
					if n := len(test.process.Loop.queue); n != 0 {
						t.Errorf("the state machine got %d events, want none", n)
					}
				})
			}
		}
	}
}

// TestUnansweredCallIsNotAnsweredAsDone guards against a call that the state machine had not answered, and that was answered
// with an empty 200: the caller had closed its side of the connection and read on, or the daemon was stopping.
func TestUnansweredCallIsNotAnsweredAsDone(t *testing.T) {
	for name, unanswered := range map[string]func(test *closingTest, conn net.Conn, received loopItem){
		"the caller closes its side": func(_ *closingTest, conn net.Conn, _ loopItem) {
			conn.(*net.TCPConn).CloseWrite()
		},
		"the caller closes its side before a check": func(_ *closingTest, conn net.Conn, received loopItem) {
			conn.(*net.TCPConn).CloseWrite()
			received.reply <- statemachine.CheckCaller{ID: received.callID}
		},
		"the daemon is stopping": func(test *closingTest, _ net.Conn, _ loopItem) {
			close(test.process.Loop.done)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test := newClosingTest(t)
			conn := test.dial(test.serveCalls())
			test.send(conn, "POST /v1/domains/z/empty?id=change-1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			unanswered(test, conn, <-test.process.Loop.queue)
			response := test.readResponse(conn)
			var body struct{ Error config.ErrorBody }
			if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusGatewayTimeout || body.Error.Ran != config.RanUnknown || body.Error.ID != "change-1" {
				t.Errorf("status %d, %+v; want 504 and an unknown outcome of change-1", response.StatusCode, body.Error)
			}
		})
	}
}

// serveAPI starts a server of the HTTP API with the given handler, and returns its address.
func (test *closingTest) serveAPI(handler http.Handler) string {
	server, listener := test.process.newAPIServer(handler), listen(test.T)
	test.process.serveOn(listener, server, nil)
	test.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// readResponse reads the response to a call.
func (test *closingTest) readResponse(conn net.Conn) *http.Response {
	test.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		test.Fatal(err)
	}
	return response
}
