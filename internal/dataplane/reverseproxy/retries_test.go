package reverseproxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// TestLostResponseIsRetriedOnlyIfIdempotent checks what the loss of a response means for each kind of request, and
// that nothing that may have run and must not run twice is sent again.
func TestLostResponseIsRetriedOnlyIfIdempotent(t *testing.T) {
	gone, _ := net.Listen("tcp", "127.0.0.1:0")
	dead := wire.Target{Service: "s", Name: "dead", Incarnation: 7, Addr: gone.Addr().String()}
	gone.Close()
	for _, tc := range []struct {
		name, method, say string
		dead              bool
		status            int
		ran               string
		first, second     int64
	}{
		{"POST, response lost", "POST", "", false, 502, "unknown", 1, 0},
		{"POST, garbage", "POST", "\x00\x01\r\n\r\n", false, 502, "unknown", 1, 0},
		{"GET, response lost", "GET", "", false, 200, "", 1, 1},
		{"GET, garbage", "GET", "no HTTP\r\n\r\n", false, 200, "", 1, 1},
		{"POST, nothing sent", "POST", "", true, 200, "", 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newBackend(t, "a", respondAndClose(tc.say)), newBackend(t, "b", echo)
			first := a.Target
			if tc.dead {
				first = dead
			}
			proxy := newTestProxy(t, first, b.Target)
			// A key that some libraries take as leave to send again must change nothing.
			status, header, _ := proxy.request(t, tc.method, "/x", "body", "Idempotency-Key", "k")
			if status != tc.status || header.Get(RanHeader) != tc.ran || a.runs.Load() != tc.first || b.runs.Load() != tc.second {
				t.Fatalf("status %d ran %q, runs %d and %d", status, header.Get(RanHeader), a.runs.Load(), b.runs.Load())
			}
			if status >= 500 && header.Get("Retry-After") == "" {
				t.Fatal("no Retry-After")
			}
			if tc.second > 0 {
				if r := <-b.requests; r.Header.Get("Idempotency-Key") != "k" {
					t.Fatal("the key was not passed on")
				}
			}
		})
	}
}

// TestNothingIsWrittenOnAnExpiredChoice checks that a choice of a target is short-lived: a proxy that froze
// between choosing and writing writes nothing, on a new connection or a kept one, and asks its owner again.
func TestNothingIsWrittenOnAnExpiredChoice(t *testing.T) {
	a := newBackend(t, "a", echo)
	proxy := newTestProxy(t, a.Target)
	if status, _, _ := proxy.request(t, "POST", "/x", "body"); status != 200 {
		t.Fatal(status)
	}
	<-proxy.notified
	proxy.now.Store(int64(tuning.ChoiceTTL + 1)) // the pool holds a connection by now
	for range 2 {
		status, header, _ := proxy.request(t, "POST", "/x", "body")
		if done := (<-proxy.notified).(statemachine.AttemptDone); status != 503 || header.Get(RanHeader) != "no" || done.Outcome != statemachine.ChoiceExpired {
			t.Fatalf("%d, ran %q, outcome %v", status, header.Get(RanHeader), done.Outcome)
		}
		if retry := proxy.asked[len(proxy.asked)-1].(statemachine.Retry); retry.Sent {
			t.Fatal("counted as sent")
		}
	}
	if a.runs.Load() != 1 {
		t.Fatalf("ran %d times", a.runs.Load())
	}
}

// TestOutcomeOfEachResponse checks what each response means for a request that may run only once and for an
// idempotent one: only the target itself can say that a request did not run.
func TestOutcomeOfEachResponse(t *testing.T) {
	head := func(s string) rawResponder {
		return func(_, _ int, r *http.Request) (string, bool) {
			return strings.ReplaceAll(s, "ID", r.Header.Get("A")), false
		}
	}
	type end struct {
		status  int
		ran     string
		body    string // "": any
		second  int64  // runs at the second target
		outcome statemachine.Outcome
	}
	other := end{200, "", "fine", 1, 0}
	is := func(e end, o statemachine.Outcome) end { e.outcome = o; return e }
	for _, tc := range []struct {
		name         string
		say          rawResponder
		once, repeat end
	}{
		{"fine", respond(200, "mine"), end{200, "", "mine", 0, statemachine.Served}, end{200, "", "mine", 0, statemachine.Served}},
		{"rejected", respond(503, "", "N", "1"), is(other, statemachine.TargetRejected), is(other, statemachine.TargetRejected)},
		{"rejected as too many", respond(429, "x", "N", "1", "Retry-After", "0.2"), is(other, statemachine.TargetRejected), is(other, statemachine.TargetRejected)},
		{"another's address", respond(421, ""), is(other, statemachine.WrongIdentity), is(other, statemachine.WrongIdentity)},
		{"503 that says nothing", respond(503, "x"), end{502, "unknown", "", 0, statemachine.ServerError}, is(other, statemachine.ServerError)},
		{"429 that says nothing", respond(429, "x"), end{502, "unknown", "", 0, statemachine.ServerError}, end{429, "", "x", 0, statemachine.Served}},
		{"500", respond(500, "own"), end{500, "", "own", 0, statemachine.ServerError}, is(other, statemachine.ServerError)},
		{"504", respond(504, "own"), end{504, "", "own", 0, statemachine.ServerError}, end{504, "", "own", 0, statemachine.ServerError}},
		{"404", respond(404, "own"), end{404, "", "own", 0, statemachine.Served}, end{404, "", "own", 0, statemachine.Served}},
		{"no response", respondOnce(""), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"garbage", respondOnce("\x00\xff no\r\n\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"truncated", head("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nA: ID\r\nP: yes\r\n\r\nhalf"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"chunks truncated", head("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: ID\r\nP: yes\r\n\r\n4\r\nhalf\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"header truncated", head("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"response to another request", head("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: other\r\nP: yes\r\n\r\nnope"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"rejection of another request", head("HTTP/1.1 503 X\r\nContent-Length: 0\r\nA: other\r\nN: 1\r\n\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"no proof", head("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\n\r\nnope"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"success that did not run", respond(200, "x", "N", "1"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"another protocol", head("HTTP/1.1 101 X\r\nA: ID\r\nP: yes\r\n\r\n"), end{502, "unknown", "", 0, statemachine.ResponseLost}, is(other, statemachine.ResponseLost)},
		{"interim first", head("HTTP/1.1 103 X\r\nZ: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\nP: yes\r\n\r\nfine"), end{200, "", "fine", 0, statemachine.Served}, end{200, "", "fine", 0, statemachine.Served}},
	} {
		for kind, want := range map[config.RouteKind]end{config.KindOnce: tc.once, config.KindRepeatable: tc.repeat} {
			t.Run(string(kind)+"/"+tc.name, func(t *testing.T) {
				a, b := newRawBackend(t, "a", tc.say), newRawBackend(t, "b", respond(200, "fine"))
				proxy := newTestProxy(t, a.Target, b.Target).withHealthCheck(kind)
				method := map[config.RouteKind]string{config.KindOnce: "GET", config.KindRepeatable: "POST"}[kind] // the route says, not the method
				status, header, body := proxy.request(t, method, "/x", "body", "A", "1f")
				done := (<-proxy.notified).(statemachine.AttemptDone)
				if status != want.status || header.Get("R") != want.ran || want.body != "" && body != want.body || b.runs.Load() != want.second || done.Outcome != want.outcome || a.runs.Load() != 1 {
					t.Fatalf("%d ran %q %q, outcome %v, runs %d and %d", status, header.Get("R"), body, done.Outcome, a.runs.Load(), b.runs.Load())
				}
				if want.second == 1 {
					if retry := proxy.lastRetry(); !retry.Sent {
						t.Fatal("not counted as sent")
					}
					if got := <-b.bodies; got != "body" {
						t.Fatalf("sent again as %q", got)
					}
				}
			})
		}
	}
}

// TestTargetFailureIsPassedOnUnaltered checks that a target's own failure is passed on if no other target does
// better.
func TestTargetFailureIsPassedOnUnaltered(t *testing.T) {
	a, b := newRawBackend(t, "a", respond(500, "first", "Z", "1")), newRawBackend(t, "b", respondOnce(""))
	for _, targets := range [][]wire.Target{{a.Target}, {a.Target, b.Target}} {
		proxy := newTestProxy(t, targets...).withHealthCheck(config.KindRepeatable)
		if status, header, body := proxy.request(t, "GET", "/x", "", "A", "1"); status != 500 || body != "first" || header.Get("Z") != "1" || header.Get("A") != "1" {
			t.Fatal(status, header, body)
		}
	}
}

// TestErrorsSayWhetherTheRequestMayHaveRun checks that an error says "no" if no target ran the request, and
// "unknown" if one may have.
func TestErrorsSayWhetherTheRequestMayHaveRun(t *testing.T) {
	rejecting, failing := newRawBackend(t, "a", respond(503, "", "N", "1")), newRawBackend(t, "b", respondOnce(""))
	for _, tc := range []struct {
		kind    config.RouteKind
		targets []wire.Target
		status  int
		ran     string
	}{
		{config.KindOnce, []wire.Target{rejecting.Target}, 503, "no"},
		{config.KindOnce, []wire.Target{rejecting.Target, failing.Target}, 502, "unknown"},
		{config.KindRepeatable, []wire.Target{failing.Target, rejecting.Target}, 502, "unknown"},
	} {
		proxy := newTestProxy(t, tc.targets...).withHealthCheck(tc.kind)
		if status, header, _ := proxy.request(t, "POST", "/x", "", "A", "1"); status != tc.status || header.Get("R") != tc.ran {
			t.Fatal(tc, status, header)
		}
	}
}

// TestDeadlineEndsTheWait checks that the deadline ends the wait for a response, with an error that does not deny
// that the request ran.
func TestDeadlineEndsTheWait(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	for _, kind := range []config.RouteKind{config.KindOnce, config.KindRepeatable} {
		a := newRawBackend(t, "a", func(int, int, *http.Request) (string, bool) { <-hold; return "", false })
		proxy := newTestProxy(t, a.Target, a.Target).withHealthCheck(kind)
		proxy.timeLeft = 60 * time.Millisecond
		if status, header, _ := proxy.request(t, "GET", "/x", "", "A", "1"); status != 504 || header.Get("R") != "unknown" || a.runs.Load() != 1 {
			t.Fatal(kind, status, header, a.runs.Load())
		}
	}
}

// TestUnprovenNotRunStatusIsReplaced checks that a status that says that nothing ran is not passed on from a
// target that did not mark its response so, however long that is.
func TestUnprovenNotRunStatusIsReplaced(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		a := newRawBackend(t, "a", respond(status, strings.Repeat("x", tuning.ResponseBufferMax+1)))
		proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
		if got, h, _ := proxy.request(t, "POST", "/x", "", "A", "1"); got != 502 || h.Get("R") != "unknown" || h.Get("P") != "" {
			t.Errorf("%d became %d %v", status, got, h)
		}
	}
}

// TestUnreachableTargetIsAbandoned checks that an idempotent request leaves a target that nothing reaches, while
// one that may run only once, or has no attempts left, waits on.
func TestUnreachableTargetIsAbandoned(t *testing.T) {
	for _, tc := range []struct {
		kind   config.RouteKind
		more   bool
		second int64
	}{{config.KindRepeatable, true, 1}, {config.KindOnce, true, 0}, {config.KindRepeatable, false, 0}} {
		over := make(chan bool)
		a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
			<-over
			w.Header().Set("P", "a")
			fmt.Fprint(w, "late")
		})
		b := newBackend(t, "b", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("P", "b")
			fmt.Fprint(w, "fine")
		})
		proxy := newTestProxy(t, a.Target, b.Target).withHealthCheck(tc.kind)
		proxy.mayRetry = tc.more
		go func() {
			<-a.requests
			proxy.pool.SetUnreachable(map[wire.TargetID]bool{a.ID(): true})
			if tc.second == 0 {
				close(over)
			}
		}()
		status, _, body := proxy.request(t, "GET", "/", "")
		if want := map[int64]string{0: "late", 1: "fine"}[tc.second]; status != 200 || body != want || b.runs.Load() != tc.second {
			t.Errorf("%+v: %d %s, %d at the second", tc, status, body, b.runs.Load())
		}
		if tc.second > 0 {
			close(over)
		}
	}
}
