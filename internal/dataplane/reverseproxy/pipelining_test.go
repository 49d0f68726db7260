package reverseproxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// TestPipelinedResponsesKeepTheirOrder checks that pipelined requests are answered in the order in which they were
// sent.
func TestPipelinedResponsesKeepTheirOrder(t *testing.T) {
	a := newRawBackend(t, "a", func(connNumber, n int, r *http.Request) (string, bool) {
		return respond(200, r.URL.Path)(connNumber, n, r)
	})
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	conn := dial(t, proxy.addr)
	for i := range 5 {
		fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\nA: %d\r\n\r\n", i, i)
	}
	reader := bufio.NewReader(conn)
	for i := range 5 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != fmt.Sprintf("/%d", i) || resp.Header.Get("A") != fmt.Sprint(i) {
			t.Fatalf("response %d has body %q, header %v, want body /%[1]d and id %[1]d", i, body, resp.Header)
		}
	}
}

// TestPipelinedRequestsRunConcurrently checks that a pipelined request reaches its target while the request ahead of it
// is still running, that the responses come in order, and that none of them closes the connection while others are
// outstanding.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	first, second := make(chan bool), make(chan bool)
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/0":
			close(first)
			<-second
		case "/1":
			close(second)
		}
		w.Header().Set("P", "a")
		fmt.Fprint(w, r.URL.Path, strings.Repeat("x", 3*tuning.ResponseBufferMax))
	})
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	conn := dial(t, proxy.addr)
	fmt.Fprintf(conn, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-first
	fmt.Fprintf(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-second
	proxy.forwarder.Draining.Store(true)
	reader := bufio.NewReader(conn)
	for i := range 3 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || !bytes.HasPrefix(body, fmt.Appendf(nil, "/%dx", i)) || len(body) != 2+3*tuning.ResponseBufferMax || i < 2 && resp.Close {
			t.Fatalf("response %d: body %.100q of %d bytes, error %v, closes the connection: %v, want a complete body that starts with /%[1]dx, and none but the last response to close the connection", i, body, len(body), err, resp.Close)
		}
	}
	if n := proxy.forwarder.Counts.Pipelined.Load(); n != 2 {
		t.Fatal(n, "requests were pipelined, want 2")
	}
}

// TestClosedConnectionCancelsPipelinedRequests checks that closing a connection cancels the pipelined requests that
// were started on it.
func TestClosedConnectionCancelsPipelinedRequests(t *testing.T) {
	asked, canceled := make(chan bool, 4), make(chan bool)
	forwarder := newForwarder(t, func(ctx context.Context, id uint64, _ statemachine.Event) statemachine.Command {
		asked <- true
		if id == 2 {
			<-ctx.Done()
			close(canceled)
		}
		<-canceled
		return nil
	})
	listener := listen(t)
	server := &http.Server{Handler: forwarder, ConnContext: forwarder.ConnContext}
	go server.Serve(forwarder.WrapListener(listener))
	conn := dial(t, listener.Addr().String())
	fmt.Fprintf(conn, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-asked
	fmt.Fprintf(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-asked
	server.Close()
	<-canceled
}

// TestPipelinedRequestsMatchWhatTheServerReads checks with random requests, split at random, that the server reads the
// caller's bytes unaltered, and that each request that is started before its turn is the request that the server later
// reads at that position.
func TestPipelinedRequestsMatchWhatTheServerReads(t *testing.T) {
	forwarder := newForwarder(t, func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
		return statemachine.Reject{ID: id, Status: 503}
	})
	count := 0
	rapid.Check(t, func(t *rapid.T) {
		var all []byte
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			all = append(all, rapid.SampledFrom([]string{
				"GET /%d HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "GET /%d HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "GET /%d HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "HEAD /%d HTTP/1.1\r\nhost: h:80\r\n\r\n",
				"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 38\r\n\r\nGET /bad HTTP/1.1\r\nHost: h\r\nAbcd: b\r\n\r\n",
				"GET /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 38\r\n\r\nGET /bad HTTP/1.1\r\nHost: h\r\nAbcd: b\r\n\r\n",
				"GET /%d HTTP/1.1\nHost: h\n\n", "OPTIONS * HTTP/1.1\r\nHost: h%d\r\n\r\n", "GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
				"POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n26\r\nGET /bad HTTP/1.1\r\nHost: h\r\nAbcd: b\r\n\r\n\r\n0\r\n\r\n",
			}).Draw(t, "request")...)
			all = bytes.Replace(all, []byte("%d"), fmt.Append(nil, i), 1)
		}
		pieces := &pieceConn{}
		for rest := all; len(rest) > 0; {
			n := rapid.IntRange(1, min(len(rest), 120)).Draw(t, "piece")
			pieces.pieces, rest = append(pieces.pieces, bytes.Clone(rest[:n])), rest[n:]
		}
		conn := &callerConn{Conn: pieces, forwarder: forwarder, ctx: t.Context(), pipelined: make(chan *pipelinedRequest, tuning.PipelineMax)}
		var got []byte
		for {
			buffer := make([]byte, rapid.SampledFrom([]int{1, 7, 4096}).Draw(t, "buffer"))
			n, err := conn.Read(buffer)
			got = append(got, buffer[:n]...)
			if err != nil {
				break
			}
		}
		if !bytes.Equal(got, all) {
			t.Fatalf("the caller sent %q, the server read %q", all, got)
		}
		var requests []*http.Request
		reader := bufio.NewReader(bytes.NewReader(all))
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			io.Copy(io.Discard, r.Body)
			requests = append(requests, r)
		}
		for len(conn.pipelined) > 0 {
			started := <-conn.pipelined
			<-started.done
			count++
			if started.number > len(requests) || requests[started.number-1].RequestURI != started.request.RequestURI || requests[started.number-1].Method != started.request.Method {
				t.Fatalf("the request for %s was started as number %d of %q, where the server reads another request", started.request.RequestURI, started.number, all)
			}
		}
	})
	if count == 0 {
		t.Fatal("no request was pipelined in any run, so pipelining was not tested")
	}
}

// TestNonIdempotentRequestIsNotPipelined checks that a pipelined request that may run only once is not started before
// its turn. If the response ahead of it closes the connection, the caller assumes that the request was not read and
// sends it again.
func TestNonIdempotentRequestIsNotPipelined(t *testing.T) {
	for kind, want := range map[config.RouteKind]int64{config.KindOnce: 1, config.KindRepeatable: 2} {
		hold, second := make(chan bool), make(chan bool, 1)
		a := newRawBackend(t, "a", func(_, _ int, r *http.Request) (string, bool) {
			if r.URL.Path == "/1" {
				second <- true
				return respond(200, "ok")(0, 0, r)
			}
			<-hold
			return "HTTP/1.1 200 OK\r\nA: 0\r\nP: 1\r\nContent-Length: 99999999\r\n\r\ncut", false
		})
		proxy := newTestProxy(t, a.Target, a.Target).withHealthCheck(kind)
		conn := dial(t, proxy.addr)
		fmt.Fprint(conn, "GET /0 HTTP/1.1\r\nHost: h\r\nA: 0\r\n\r\n")
		<-a.requests
		fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: h\r\nA: 1\r\n\r\n")
		if kind == config.KindOnce {
			waitFor(t, "the second request is deferred", func() bool { return proxy.forwarder.Counts.Deferred.Load() == 1 })
		} else {
			<-second
		}
		close(hold)
		io.Copy(io.Discard, conn) // the first response is truncated, which closes the connection
		conn.Close()
		if n := a.runs.Load(); n != want {
			t.Errorf("route kind %s: %d requests reached the target, want %d", kind, n, want)
		}
	}
}

// TestDeferredRequestIsServedInItsTurn checks that a deferred pipelined request is served when its turn comes, and that
// the target chosen for it before is returned to the state machine.
func TestDeferredRequestIsServedInItsTurn(t *testing.T) {
	first := make(chan bool)
	a := newRawBackend(t, "a", func(connNumber, n int, r *http.Request) (string, bool) {
		if r.URL.Path == "/0" {
			<-first
		}
		return respond(200, r.URL.Path)(connNumber, n, r)
	})
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	conn := dial(t, proxy.addr)
	fmt.Fprint(conn, "GET /0 HTTP/1.1\r\nHost: h\r\nA: 0\r\n\r\n")
	<-a.requests
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: h\r\nA: 1\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nA: 2\r\n\r\n")
	waitFor(t, "both requests are deferred", func() bool { return proxy.forwarder.Counts.Deferred.Load() == 2 })
	for range 2 {
		if done := (<-proxy.notified).(statemachine.AttemptDone); done.Outcome != statemachine.ClientGone || !done.Last {
			t.Fatalf("got notification %+v, want outcome ClientGone and Last, which return the target", done)
		}
	}
	close(first)
	reader := bufio.NewReader(conn)
	for i := range 3 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != fmt.Sprintf("/%d", i) || resp.Header.Get("A") != fmt.Sprint(i) {
			t.Fatalf("response %d has body %q, header %v, want body /%[1]d and id %[1]d", i, body, resp.Header)
		}
	}
	if a.runs.Load() != 3 {
		t.Fatal(a.runs.Load(), "requests reached the target, want 3")
	}
}

// TestCallerDisconnectCancelsPipelinedRequests checks that the pipelined requests of a caller that disconnects are
// canceled, even while a response is being streamed.
func TestCallerDisconnectCancelsPipelinedRequests(t *testing.T) {
	canceled := make(chan bool)
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("P", "a")
		if r.URL.Path == "/0" {
			return
		}
		fmt.Fprint(w, strings.Repeat("x", 2*tuning.ResponseBufferMax))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(canceled)
	})
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	proxy.timeLeft = time.Hour
	conn := dial(t, proxy.addr)
	fmt.Fprint(conn, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.CopyN(io.Discard, resp.Body, min(tuning.ResponseBufferMax, max(0, resp.ContentLength))); err != nil {
			t.Fatal(err)
		}
	}
	if proxy.forwarder.Counts.Pipelined.Load() != 1 {
		t.Fatal("the second request was not pipelined")
	}
	conn.Close()
	<-canceled // long before the deadline
}

// pieceConn is a connection whose input arrives in the given pieces, at most one for each Read.
type pieceConn struct {
	net.Conn
	pieces [][]byte
}

func (c *pieceConn) Read(buffer []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, c.pieces[0])
	if c.pieces[0] = c.pieces[0][n:]; len(c.pieces[0]) == 0 {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

func (c *pieceConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }
