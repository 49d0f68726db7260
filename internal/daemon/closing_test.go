package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
	"myrtlefold/internal/verification/testnet"
)

// Lengths of responses in bytes. Both are longer than what a caller with smallWindow receives without reading, and shorter
// than what the kernel takes from the server at once. Only the shorter one is buffered by the proxy.
const (
	streamedResponse = 300_000
	bufferedResponse = 60_000
)

// smallWindow is the size of a caller's receive buffer, in bytes.
const smallWindow = 4 << 10

// furtherRequests are more bytes than a server reads ahead.
var furtherRequests = strings.Repeat("GET /further HTTP/1.1\r\nHost: h\r\n\r\n", 1000)

// closingTest is a daemon's process with a server for callers, in front of one target, and a server of the HTTP API.
type closingTest struct {
	*testing.T
	process     *Process
	forwarder   *reverseproxy.Forwarder
	api         *http.Server
	callersAddr string
	apiAddr     string
	respond     chan int  // receives the lengths of the responses of the target and of the API
	started     chan bool // a request has reached the target or the API
}

func newClosingTest(t *testing.T) *closingTest {
	t.Helper()
	test := &closingTest{T: t, respond: make(chan int), started: make(chan bool, 1)}
	target := httptest.NewServer(http.HandlerFunc(test.answerRequest))
	t.Cleanup(target.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	test.process = newProcess(wire.ProxyDaemon, Settings{Name: "p"}, log, DefaultPlatform())
	pool := reverseproxy.NewPool()
	t.Cleanup(pool.Close)
	chosen := wire.Target{Service: "s", Name: "a", Incarnation: 7, Addr: target.Listener.Addr().String()}
	pool.SetTargets(map[wire.TargetID]string{chosen.ID(): chosen.Addr})
	test.forwarder = reverseproxy.New(reverseproxy.StateMachine{
		Now:    test.process.Now,
		Notify: func(statemachine.Event) {},
		Ask: func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
			return forwardTo(chosen, id)
		},
	}, pool)
	callers, listener := newCallersServer(test.forwarder), listen(t)
	test.process.serveOn(listener, callers, test.forwarder)
	t.Cleanup(func() { callers.Close() })
	test.callersAddr = listener.Addr().String()
	test.api, listener = newServer(http.HandlerFunc(test.answerCall)), listen(t)
	test.process.serveOn(listener, test.api, nil)
	t.Cleanup(func() { test.api.Close() })
	test.apiAddr = listener.Addr().String()
	return test
}

// listen opens a listener on the loopback interface.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// forwardTo returns the command to send a request to a target.
func forwardTo(target wire.Target, id uint64) statemachine.Forward {
	return statemachine.Forward{
		ID:             id,
		Service:        target.Service,
		ServiceConfig:  config.Service{HealthPath: "/health", Attempts: 1},
		Route:          config.Route{Kind: config.KindRepeatable},
		Target:         target,
		TimeLeft:       time.Minute,
		WriteBy:        tuning.ChoiceTTL,
		ConnectTimeout: time.Minute,
		MaxIdle:        1,
	}
}

// answerRequest is the target: it answers a request without reading its body, and closes the connection.
func (test *closingTest) answerRequest(w http.ResponseWriter, _ *http.Request) {
	test.started <- true
	size := <-test.respond
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		test.Error(err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	buffered.Flush()
}

// answerCall is the HTTP API.
func (test *closingTest) answerCall(w http.ResponseWriter, _ *http.Request) {
	test.started <- true
	size := <-test.respond
	w.Header().Set("Content-Length", strconv.Itoa(size))
	io.WriteString(w, strings.Repeat("x", size))
}

// dial opens a connection with a small window.
func (test *closingTest) dial(addr string) net.Conn {
	test.Helper()
	dialer := testnet.SmallWindow(smallWindow)
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		test.Fatal(err)
	}
	test.Cleanup(func() { conn.Close() })
	return conn
}

// send writes to a connection.
func (test *closingTest) send(conn net.Conn, text string) {
	test.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		test.Fatal(err)
	}
}

// begin opens a connection to the proxy, sends the beginning of a request and waits until it has reached the target.
func (test *closingTest) begin(request string) net.Conn {
	test.Helper()
	conn := test.dial(test.callersAddr)
	test.send(conn, request)
	<-test.started
	return conn
}

// waitFor waits until a condition holds, and fails the test if it does not within 20 s.
func (test *closingTest) waitFor(description string, condition func() bool) {
	test.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			test.Fatal("timed out waiting until " + description)
		}
	}
}

// waitForClose waits until the server has closed all connections of callers.
func (test *closingTest) waitForClose() {
	test.Helper()
	test.waitFor("the proxy has closed the connection", func() bool { return test.forwarder.Callers.Open() == 0 })
}

// expectResponse reads a response of the given size and the end of the connection.
func (test *closingTest) expectResponse(conn net.Conn, size int) {
	test.Helper()
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		test.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if len(body) != size || err != nil {
		test.Fatalf("read %d bytes of the body, %v; want all %d", len(body), err, size)
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		test.Errorf("after the response: %v, want the end of the connection", err)
	}
}

// TestClosedConnectionsDeliverResponses guards against responses that are cut off by a reset: a server closes a connection
// after it has written a response, while further input is unread or before further input arrives. The caller reads only
// after that, and must get the whole response.
func TestClosedConnectionsDeliverResponses(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, run := range map[string]func(test *closingTest){
		"draining, requests unread": func(test *closingTest) {
			conn := test.begin(request)
			test.forwarder.Draining.Store(true)
			test.send(conn, furtherRequests)
			test.respond <- streamedResponse
			test.waitForClose()
			test.expectResponse(conn, streamedResponse)
		},
		"draining, requests later": func(test *closingTest) {
			conn := test.begin(request)
			test.forwarder.Draining.Store(true)
			test.respond <- streamedResponse
			test.waitForClose()
			test.send(conn, furtherRequests)
			test.expectResponse(conn, streamedResponse)
		},
		"the caller asks to close and sends more": func(test *closingTest) {
			conn := test.begin("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			test.send(conn, furtherRequests)
			test.respond <- streamedResponse
			test.waitForClose()
			test.expectResponse(conn, streamedResponse)
		},
		"idle connection of a stopping proxy": func(test *closingTest) {
			conn := test.begin(request)
			test.respond <- streamedResponse
			test.waitFor("the response is written", func() bool { return test.forwarder.Callers.Busy() == 0 })
			test.forwarder.Callers.Close()
			test.waitForClose()
			test.send(conn, furtherRequests)
			test.expectResponse(conn, streamedResponse)
		},
		"upload that is answered early": func(test *closingTest) {
			conn := test.begin("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
			test.respond <- bufferedResponse
			test.waitForClose()
			test.send(conn, furtherRequests)
			test.expectResponse(conn, bufferedResponse)
		},
		"call of the HTTP API while it shuts down": func(test *closingTest) {
			conn := test.dial(test.apiAddr)
			test.send(conn, request)
			<-test.started
			test.send(conn, furtherRequests)
			down := make(chan error)
			go func() { down <- test.api.Shutdown(context.Background()) }()
			test.waitFor("the API accepts no more connections", func() bool {
				unwanted, err := net.Dial("tcp", test.apiAddr)
				if err == nil {
					unwanted.Close()
				}
				return err != nil
			})
			test.respond <- streamedResponse
			if err := <-down; err != nil {
				test.Fatal(err)
			}
			test.expectResponse(conn, streamedResponse)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(newClosingTest(t))
		})
	}
}

// TestCallersDoNotHoldUpAStop guards against a stop that waits for callers until its grace period ends: one that never
// closes its connection, one that does not read its response, and one that never stops sending.
func TestCallersDoNotHoldUpAStop(t *testing.T) {
	test := newClosingTest(t)
	counts := &test.process.closing.Counts
	silent, sending := test.dial(test.callersAddr), test.dial(test.callersAddr)
	test.begin("GET / HTTP/1.1\r\nHost: h\r\n\r\n") // its response is not read
	test.respond <- streamedResponse
	test.waitFor("all connections are known and the response is written", func() bool {
		return test.forwarder.Callers.Open() == 3 && test.forwarder.Callers.Busy() == 0
	})
	test.process.closing.Stop()
	test.forwarder.Callers.Close()
	go func() {
		for {
			if _, err := io.WriteString(sending, "more"); err != nil {
				return
			}
		}
	}()
	if !test.process.awaitClosed(test.process.Now() + time.Hour) {
		t.Error("connections of callers are still closing after an hour")
	}
	test.waitFor("two connections are counted as stalled", func() bool { return counts.Stalled.Load() == 2 })
	test.waitFor("further input is refused", func() bool { return counts.Refused.Load() == 1 })
	if n := counts.Undelivered.Load(); n != 1 {
		t.Errorf("Undelivered: %d, want 1", n)
	}
	if got, err := io.ReadAll(silent); len(got) > 0 || err != nil {
		t.Errorf("the silent caller read %q, %v; want the end of the connection", got, err)
	}
}
