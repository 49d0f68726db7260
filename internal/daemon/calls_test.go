package daemon

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// serveCalls starts a server of the HTTP API whose calls are passed to the process, and returns its address.
func (test *closingTest) serveCalls() string {
	return test.serveAPI(test.process.CallHandler(firstCallID))
}

// TestCallWhoseBodyDoesNotArriveEnds guards against a caller that stops in the middle of the body of a call and occupies its
// connection and memory for as long as the daemon runs.
func TestCallWhoseBodyDoesNotArriveEnds(t *testing.T) {
	test := newClosingTest(t)
	test.process.callBodyTimeout = 50 * time.Millisecond
	conn := test.dial(test.serveCalls())
	test.send(conn, "PUT /v1/config HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n{")
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestTimeout || !response.Close {
		t.Errorf("status %d, closes %v; want 408 and the end of the connection", response.StatusCode, response.Close)
	}
	if rest, err := io.ReadAll(reader); err != nil {
		t.Errorf("read %q, %v; want the end of the connection", rest, err)
	}
	if n := test.process.callCounts.BodyTimeouts.Load(); n != 1 {
		t.Errorf("BodyTimeouts: %d, want 1", n)
	}
}

// deadlineRecorder is a response writer that records the deadlines for reading the request.
type deadlineRecorder struct {
	http.ResponseWriter
	deadlines []time.Time
}

// SetReadDeadline records a deadline.
func (r *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	r.deadlines = append(r.deadlines, deadline)
	return nil
}

// TestCallMayTakeLongerThanItsBody checks that the limit for the body of a call ends once the body has been read. It would
// cancel a call that waits for its reply.
func TestCallMayTakeLongerThanItsBody(t *testing.T) {
	recorder := &deadlineRecorder{ResponseWriter: httptest.NewRecorder()}
	body, err := readCall(recorder, httptest.NewRequest(http.MethodPut, "/v1/config", strings.NewReader("{}")), time.Minute)
	if string(body) != "{}" || err != nil {
		t.Fatalf("read %q, %v", body, err)
	}
	if n := len(recorder.deadlines); n != 2 || recorder.deadlines[0].IsZero() || !recorder.deadlines[n-1].IsZero() {
		t.Errorf("deadlines %v; want one for the body, then none", recorder.deadlines)
	}
}

// TestCallerIsCheckedWhenAsked guards against a call that is executed although its caller has given it up: a daemon that stood
// still reads it from a connection that the caller closed long before, with or without further input in between.
func TestCallerIsCheckedWhenAsked(t *testing.T) {
	const call = "POST /v1/domains/z/restore HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		sent      string
		closes    bool
		connected bool
	}{
		"connected":               {call, false, true},
		"closed":                  {call, true, false},
		"closed behind more sent": {call + furtherRequests, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test := newClosingTest(t)
			conn := test.dial(test.serveCalls())
			test.send(conn, c.sent)
			received := <-test.process.Loop.queue
			if c.closes {
				conn.Close()
			}
			received.reply <- statemachine.CheckCaller{ID: received.callID}
			item := <-test.process.Loop.queue
			want := statemachine.CallerChecked{ID: received.callID, Connected: c.connected}
			if item.event != want {
				t.Errorf("the state machine gets %+v, want %+v", item.event, want)
			}
		})
	}
}
