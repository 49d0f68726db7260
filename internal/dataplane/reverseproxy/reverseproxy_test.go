package reverseproxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// TestErrorFormatAndPassThrough checks that all errors have the same JSON format, and that bodies, headers and trailers
// are passed on unaltered.
func TestErrorFormatAndPassThrough(t *testing.T) {
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Len", fmt.Sprint(len(body)))
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(207)
		w.Write(body)
		w.Header().Set("X-Sum", "s")
	})
	proxy := newTestProxy(t, a.Target)
	for _, tc := range []struct {
		method, path, body string
		headers            []string
		status             int
		ran                config.RanStatus
	}{
		{"GET", "/a/../b", "", nil, 400, "no"},
		{"GET", "/a%2fb", "", nil, 400, "no"},
		{"GET", "/a", "", []string{DeadlineHeader, "soon"}, 400, "no"},
		{"GET", "/a", "", []string{"X-Big", strings.Repeat("x", 40<<10)}, 431, "no"},
		{"POST", "/a", strings.Repeat("x", 101<<10), nil, 413, "no"},
	} {
		status, header, b := proxy.request(t, tc.method, tc.path, tc.body, tc.headers...)
		var e struct{ Error config.ErrorBody }
		if json.Unmarshal([]byte(b), &e) != nil || status != tc.status || e.Error.Ran != tc.ran || header.Get(RanHeader) != string(tc.ran) || e.Error.Code == "" {
			t.Errorf("%s %s: got status %d, header %v, body %s, want status %d, ran %q", tc.method, tc.path, status, header, b, tc.status, tc.ran)
		}
	}
	if a.runs.Load() != 0 {
		t.Fatal("an invalid request reached the target")
	}
	body := strings.Repeat("0123456789", 9000) // too large to be buffered
	req, _ := http.NewRequest("PUT", proxy.url+"/q?a=1&a=2", io.MultiReader(strings.NewReader(body)))
	req.Header.Set("Connection", "X-Mine")
	req.Header.Set("X-Mine", "1")
	resp, err := proxy.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	r := <-a.requests
	if err != nil || string(got) != body || resp.StatusCode != 207 || resp.Header.Get("X-Hop") != "" || resp.Trailer.Get("X-Sum") != "s" || resp.Header.Get("X-Len") != fmt.Sprint(len(body)) {
		t.Fatalf("got error %v, status %d, header %v, trailer %v, body of %d bytes, want the target's response without the hop-by-hop header X-Hop", err, resp.StatusCode, resp.Header, resp.Trailer, len(got))
	}
	if r.Header.Get("X-Mine") != "" || r.Header.Get("X-Forwarded-For") == "" || r.URL.RawQuery != "a=1&a=2" || r.Host != proxy.addr || r.Header.Get(DeadlineHeader) == "" {
		t.Fatalf("the target got header %v, URL %v, host %v, want the caller's request without the hop-by-hop header X-Mine, with X-Forwarded-For and a deadline", r.Header, r.URL, r.Host)
	}
}

// TestRequestToTargetWithHealthCheck checks that a target with a health check is sent its name, the time left and the
// caller's request unaltered, and nothing else.
func TestRequestToTargetWithHealthCheck(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok", "L", "3, 1,4"))
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
	conn := dial(t, proxy.addr)
	fmt.Fprint(conn, "POST /a%41/b?x=%2f&&y HTTP/1.1\r\nHost: h.example\r\nA: 77\r\nD: 900\r\nE: another\r\nTransfer-Encoding: chunked\r\nConnection: Mine\r\nMine: 1\r\nKept: v\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 200 || resp.Header.Get("A") != "77" || resp.Header.Get("Date") != "" || resp.Header.Get("Content-Type") != "" || resp.ContentLength != 2 {
		t.Fatalf("got error %v, response %+v, want status 200, id 77, 2 bytes, no Date or Content-Type", err, resp)
	}
	r := <-a.requests
	if r.RequestURI != "/a%41/b?x=%2f&&y" || r.Host != "h.example" || r.Method != "POST" || <-a.bodies != "abcde" || r.ContentLength != 5 {
		t.Fatalf("the target got %s %s, host %s, %d bytes, want the caller's POST with 5 bytes, \"abcde\"", r.Method, r.RequestURI, r.Host, r.ContentLength)
	}
	var left int
	fmt.Sscan(r.Header.Get("D"), &left)
	if left < 1 || left > int((proxy.timeLeft-tuning.NetHop).Milliseconds()) {
		t.Fatalf("the target is sent a deadline of %d ms, want 1 to %d", left, (proxy.timeLeft - tuning.NetHop).Milliseconds())
	}
	r.Header.Del("D")
	if got, want := fmt.Sprint(r.Header), fmt.Sprint(http.Header{"A": {"77"}, "E": {"a"}, "Kept": {"v"}, "Content-Length": {"5"}}); got != want {
		t.Fatalf("the target is sent header %s, want %s", got, want)
	}
	if done := (<-proxy.notified).(statemachine.AttemptDone); done.Load == nil || *done.Load != (statemachine.TargetLoad{Running: 3, Waiting: 1, Slots: 4}) {
		t.Fatalf("the state machine is notified of load %+v, want 3 running, 1 waiting, 4 slots", done.Load)
	}
	if admit := proxy.asked[0].(statemachine.Admit); admit.Timeout <= 0 || admit.Timeout > 900*time.Millisecond {
		t.Fatalf("the state machine is asked with timeout %v, want more than 0 and at most 900 ms", admit.Timeout)
	}
	if a.conns.Load() != 1 || a.runs.Load() != 1 {
		t.Fatal("the target was sent more than one request, or on more than one connection")
	}
}

// TestConcurrentRequestsGetTheirOwnResponses checks that each of many concurrent requests gets its own response while
// connections to the target are reused, expire and are closed.
func TestConcurrentRequestsGetTheirOwnResponses(t *testing.T) {
	a := newRawBackend(t, "a", func(connNumber, n int, r *http.Request) (string, bool) {
		response, _ := respond(200, r.URL.Path)(connNumber, n, r)
		return response, n%7 != 0 // closes the connection after every seventh request
	})
	go func() {
		for range a.requests {
			<-a.bodies
		}
	}()
	forwarder := newForwarder(t, func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
		return statemachine.Forward{ID: id, Service: "s", Target: a.Target, TimeLeft: time.Minute, WriteBy: time.Hour, ServiceConfig: config.Service{BodyMax: 1 << 20, HealthPath: "/h"}, Route: config.Route{Kind: config.KindRepeatable}, MaxIdle: tuning.IdleConnsMax, ConnectTimeout: tuning.ConnectTimeoutMin}
	})
	forwarder.pool.SetTargets(addressesOf(a.Target))
	forwarder.Headers.Attempt = "A"
	server := httptest.NewServer(forwarder)
	defer server.Close()
	stop, stopped := make(chan bool), make(chan bool)
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				for _, conns := range *forwarder.pool.targets.Load() {
					conns.closeExpired(time.Now())
				}
				forwarder.pool.SetTargets(addressesOf(a.Target))
				runtime.Gosched()
			}
		}
	}()
	results := make(chan error, 8)
	for k := range 8 {
		go func() {
			for i := range 100 {
				req, _ := http.NewRequest("GET", fmt.Sprintf("%s/%d/%d", server.URL, k, i), nil)
				req.Header.Set("A", fmt.Sprintf("%d-%d", k, i))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					results <- err
					return
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 || string(body) != req.URL.Path || resp.Header.Get("A") != req.Header.Get("A") {
					results <- fmt.Errorf("request for %s got status %d, body %q, want status 200 and its own path and id", req.URL.Path, resp.StatusCode, body)
					return
				}
			}
			results <- nil
		}()
	}
	for range 8 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	close(stop)
	<-stopped
}

// TestCallerDisconnectCancelsRequest checks that the request of a caller that disconnects is canceled at the target,
// and that nothing is written to the caller's connection that could be taken for a response.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	canceled := make(chan bool)
	a := newBackend(t, "a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(canceled) })
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	conn := dial(t, proxy.addr)
	fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	<-a.requests
	conn.(*net.TCPConn).CloseWrite()
	<-canceled
	if body, _ := io.ReadAll(conn); len(body) > 0 {
		t.Fatalf("the caller's connection got %q, want nothing", body)
	}
	if done := (<-proxy.notified).(statemachine.AttemptDone); done.Outcome != statemachine.ClientGone || !done.Last {
		t.Fatalf("got notification %+v, want outcome ClientGone and Last", done)
	}
}

// BenchmarkRequest measures a small request from end to end over loopback, including the caller and the target.
func BenchmarkRequest(b *testing.B) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 600\r\nMyrtlefold-Attempt: 1f\r\nDate: Mon, 01 Jan 2024 00:00:00 GMT\r\nContent-Type: text/plain\r\n\r\n"
	listener := listen(b)
	target := wire.Target{Service: "s", Name: "a", Incarnation: 7, Addr: listener.Addr().String()}
	id, _ := json.Marshal(config.TargetReport{Service: "s", Name: "a", Incarnation: 7})
	out := []byte(response + strings.Repeat("x", 600))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := make([]byte, 8<<10)
				for {
					n, err := c.Read(reader)
					if err != nil {
						return
					}
					response := out
					if bytes.HasPrefix(reader[:n], []byte("GET "+config.IdentityPath)) {
						response = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
					}
					c.Write(response)
				}
			}()
		}
	}()
	forwarder := newForwarder(b, func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
		return statemachine.Forward{ID: id, Service: "s", Target: target, TimeLeft: 5 * time.Second, WriteBy: time.Hour, ServiceConfig: config.Service{BodyMax: 1 << 20}, MaxIdle: tuning.IdleConnsMax, ConnectTimeout: tuning.ConnectTimeoutMin}
	})
	forwarder.pool.SetTargets(addressesOf(target))
	server := httptest.NewServer(forwarder)
	defer server.Close()
	conn := dial(b, server.Listener.Addr().String())
	reader := bufio.NewReader(conn)
	req := []byte("GET /lep/2f HTTP/1.1\r\nHost: h.example\r\nMyrtlefold-Attempt: 1f\r\nMyrtlefold-Deadline-Ms: 2000\r\nUser-Agent: b\r\nAccept: */*\r\n\r\n")
	roundTrip := func() {
		conn.Write(req)
		for n := 0; ; {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				b.Fatal(err)
			}
			if bytes.HasPrefix(line, []byte("Content-Length: ")) {
				n = 600
			}
			if len(line) == 2 {
				reader.Discard(n)
				return
			}
		}
	}
	roundTrip()
	b.ReportAllocs()
	for b.Loop() {
		roundTrip()
	}
}

// TestWorkTimeLimitsTheDeadlineHeader checks that the deadline sent to a target is limited by the time that it may work
// on the request. In a draining proxy that is less than the time until the request's deadline.
func TestWorkTimeLimitsTheDeadlineHeader(t *testing.T) {
	deadlines := make(chan string, 1)
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		deadlines <- r.Header.Get("D")
		w.Header().Set("P", "a")
	})
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	proxy.timeLeft = time.Minute
	for _, workTime := range []time.Duration{0, 2 * time.Second} {
		proxy.workTime = workTime
		if status, _, _ := proxy.request(t, "GET", "/x", "", "D", "60000"); status != http.StatusOK {
			t.Fatalf("got status %d, want 200", status)
		}
		ms, err := strconv.Atoi(<-deadlines)
		if most := proxy.timeLeft; err != nil || workTime == 0 && ms > int(most.Milliseconds()) || workTime > 0 && ms > int(workTime.Milliseconds()) {
			t.Errorf("with %v left and a work time of %v, the target is sent a deadline of %d ms, error %v, want at most the shorter of the two (0 is no work time)", proxy.timeLeft, workTime, ms, err)
		}
	}
}
