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

// TestLostResponseIsRetriedOnlyIfIdempotent checks that after a lost response only an idempotent request is sent again.
// A request that may run only once is sent again only if nothing of it was sent before.
func TestLostResponseIsRetriedOnlyIfIdempotent(t *testing.T) {
	closedListener, _ := net.Listen("tcp", "127.0.0.1:0")
	unreachable := wire.Target{Service: "s", Name: "dead", Incarnation: 7, Addr: closedListener.Addr().String()}
	closedListener.Close()
	for _, tc := range []struct {
		name, method, response string
		unreachable            bool // nothing listens at the first target's address
		status                 int
		ran                    string
		first, second          int64 // expected number of requests at each target
	}{
		{"POST, response lost", "POST", "", false, 502, "unknown", 1, 0},
		{"POST, garbage", "POST", "\x00\x01\r\n\r\n", false, 502, "unknown", 1, 0},
		{"GET, response lost", "GET", "", false, 200, "", 1, 1},
		{"GET, garbage", "GET", "no HTTP\r\n\r\n", false, 200, "", 1, 1},
		{"POST, nothing sent", "POST", "", true, 200, "", 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newBackend(t, "a", respondAndClose(tc.response)), newBackend(t, "b", echo)
			first := a.Target
			if tc.unreachable {
				first = unreachable
			}
			proxy := newTestProxy(t, first, b.Target)
			// Some libraries resend requests that have an idempotency key. Here it must make no difference.
			status, header, _ := proxy.request(t, tc.method, "/x", "body", "Idempotency-Key", "k")
			if status != tc.status || header.Get(RanHeader) != tc.ran || a.runs.Load() != tc.first || b.runs.Load() != tc.second {
				t.Fatalf("got status %d, ran %q, %d and %d requests at the targets; want status %d, ran %q, %d and %d", status, header.Get(RanHeader), a.runs.Load(), b.runs.Load(), tc.status, tc.ran, tc.first, tc.second)
			}
			if status >= 500 && header.Get("Retry-After") == "" {
				t.Fatal("the error has no Retry-After header")
			}
			if tc.second > 0 {
				if r := <-b.requests; r.Header.Get("Idempotency-Key") != "k" {
					t.Fatal("the Idempotency-Key header was not passed on")
				}
			}
		})
	}
}

// TestNothingIsSentAfterChoiceExpired checks that the choice of a target expires: a proxy process that was suspended
// between choosing the target and writing the request sends nothing, on a new or a pooled connection, and asks the
// state machine again.
func TestNothingIsSentAfterChoiceExpired(t *testing.T) {
	a := newBackend(t, "a", echo)
	proxy := newTestProxy(t, a.Target)
	if status, _, _ := proxy.request(t, "POST", "/x", "body"); status != 200 {
		t.Fatalf("got status %d before the choice expired, want 200", status)
	}
	<-proxy.notified
	proxy.now.Store(int64(tuning.ChoiceTTL + 1)) // the pool has a connection now
	for range 2 {
		status, header, _ := proxy.request(t, "POST", "/x", "body")
		if done := (<-proxy.notified).(statemachine.AttemptDone); status != 503 || header.Get(RanHeader) != "no" || done.Outcome != statemachine.ChoiceExpired {
			t.Fatalf("got status %d, ran %q, outcome %v, want status 503, ran \"no\", outcome ChoiceExpired", status, header.Get(RanHeader), done.Outcome)
		}
		if retry := proxy.asked[len(proxy.asked)-1].(statemachine.Retry); retry.Sent {
			t.Fatal("the request was reported as sent")
		}
	}
	if a.runs.Load() != 1 {
		t.Fatalf("%d requests reached the target, want 1", a.runs.Load())
	}
}

// TestOutcomeOfEachResponse checks the effect of each kind of response from a target on a request that may run only
// once and on an idempotent request. Only a response that the target has marked counts as proof that it did not run the
// request.
func TestOutcomeOfEachResponse(t *testing.T) {
	respondRaw := func(s string) rawResponder { // replaces "ID" by the request's id and closes the connection
		return func(_, _ int, r *http.Request) (string, bool) {
			return strings.ReplaceAll(s, "ID", r.Header.Get("A")), false
		}
	}
	type expectation struct {
		status  int
		ran     string
		body    string               // "" for any
		second  int64                // number of requests at the second target
		outcome statemachine.Outcome // of the attempt at the first target
	}
	retried := expectation{200, "", "fine", 1, 0} // served by the second target
	withOutcome := func(e expectation, outcome statemachine.Outcome) expectation {
		e.outcome = outcome
		return e
	}
	for _, tc := range []struct {
		name             string
		respond          rawResponder
		once, repeatable expectation
	}{
		{"success", respond(200, "mine"), expectation{200, "", "mine", 0, statemachine.Served}, expectation{200, "", "mine", 0, statemachine.Served}},
		{"rejected with 503", respond(503, "", "N", "1"), withOutcome(retried, statemachine.TargetRejected), withOutcome(retried, statemachine.TargetRejected)},
		{"rejected with 429", respond(429, "x", "N", "1", "Retry-After", "0.2"), withOutcome(retried, statemachine.TargetRejected), withOutcome(retried, statemachine.TargetRejected)},
		{"wrong identity", respond(421, ""), withOutcome(retried, statemachine.WrongIdentity), withOutcome(retried, statemachine.WrongIdentity)},
		{"503 not marked", respond(503, "x"), expectation{502, "unknown", "", 0, statemachine.ServerError}, withOutcome(retried, statemachine.ServerError)},
		{"429 not marked", respond(429, "x"), expectation{502, "unknown", "", 0, statemachine.ServerError}, expectation{429, "", "x", 0, statemachine.Served}},
		{"500", respond(500, "own"), expectation{500, "", "own", 0, statemachine.ServerError}, withOutcome(retried, statemachine.ServerError)},
		{"504", respond(504, "own"), expectation{504, "", "own", 0, statemachine.ServerError}, expectation{504, "", "own", 0, statemachine.ServerError}},
		{"404", respond(404, "own"), expectation{404, "", "own", 0, statemachine.Served}, expectation{404, "", "own", 0, statemachine.Served}},
		{"no response", respondOnce(""), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"garbage", respondOnce("\x00\xff no\r\n\r\n"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"truncated", respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nA: ID\r\nP: yes\r\n\r\nhalf"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"chunks truncated", respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: ID\r\nP: yes\r\n\r\n4\r\nhalf\r\n"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"header truncated", respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\n"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"response to another request", respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: other\r\nP: yes\r\n\r\nnope"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"rejection of another request", respondRaw("HTTP/1.1 503 X\r\nContent-Length: 0\r\nA: other\r\nN: 1\r\n\r\n"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"no proof", respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\n\r\nnope"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"success marked as not run", respond(200, "x", "N", "1"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"switching protocols", respondRaw("HTTP/1.1 101 X\r\nA: ID\r\nP: yes\r\n\r\n"), expectation{502, "unknown", "", 0, statemachine.ResponseLost}, withOutcome(retried, statemachine.ResponseLost)},
		{"interim first", respondRaw("HTTP/1.1 103 X\r\nZ: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: ID\r\nP: yes\r\n\r\nfine"), expectation{200, "", "fine", 0, statemachine.Served}, expectation{200, "", "fine", 0, statemachine.Served}},
	} {
		for kind, want := range map[config.RouteKind]expectation{config.KindOnce: tc.once, config.KindRepeatable: tc.repeatable} {
			t.Run(string(kind)+"/"+tc.name, func(t *testing.T) {
				a, b := newRawBackend(t, "a", tc.respond), newRawBackend(t, "b", respond(200, "fine"))
				proxy := newTestProxy(t, a.Target, b.Target).withHealthCheck(kind)
				method := map[config.RouteKind]string{config.KindOnce: "GET", config.KindRepeatable: "POST"}[kind] // the route's kind decides, not the method
				status, header, body := proxy.request(t, method, "/x", "body", "A", "1f")
				done := (<-proxy.notified).(statemachine.AttemptDone)
				if status != want.status || header.Get("R") != want.ran || want.body != "" && body != want.body || b.runs.Load() != want.second || done.Outcome != want.outcome || a.runs.Load() != 1 {
					t.Fatalf("got status %d, ran %q, body %q, outcome %v, %d and %d requests at the targets; want %+v", status, header.Get("R"), body, done.Outcome, a.runs.Load(), b.runs.Load(), want)
				}
				if want.second == 1 {
					if retry := proxy.lastRetry(); !retry.Sent {
						t.Fatal("the first attempt was not reported as sent")
					}
					if got := <-b.bodies; got != "body" {
						t.Fatalf("the request was sent again with body %q, want the same body again", got)
					}
				}
			})
		}
	}
}

// TestServerErrorIsPassedOnUnaltered checks that a target's server error is passed on unaltered if no other target
// gives a response.
func TestServerErrorIsPassedOnUnaltered(t *testing.T) {
	a, b := newRawBackend(t, "a", respond(500, "first", "Z", "1")), newRawBackend(t, "b", respondOnce(""))
	for _, targets := range [][]wire.Target{{a.Target}, {a.Target, b.Target}} {
		proxy := newTestProxy(t, targets...).withHealthCheck(config.KindRepeatable)
		if status, header, body := proxy.request(t, "GET", "/x", "", "A", "1"); status != 500 || body != "first" || header.Get("Z") != "1" || header.Get("A") != "1" {
			t.Fatalf("%d targets: got status %d, header %v, body %q, want status 500 and body \"first\" with headers Z and A of the first target", len(targets), status, header, body)
		}
	}
}

// TestErrorsStateWhetherRequestMayHaveRun checks that the proxy's errors state "no" if no target ran the request, and
// "unknown" if one may have run it.
func TestErrorsStateWhetherRequestMayHaveRun(t *testing.T) {
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
			t.Fatalf("%+v: got status %d, header %v, want status %d, ran (header R) %q", tc, status, header, tc.status, tc.ran)
		}
	}
}

// TestDeadlineEndsWaitForResponse checks that the wait for a response ends at the deadline, with an error that states
// that the request may have run.
func TestDeadlineEndsWaitForResponse(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	for _, kind := range []config.RouteKind{config.KindOnce, config.KindRepeatable} {
		a := newRawBackend(t, "a", func(int, int, *http.Request) (string, bool) { <-hold; return "", false })
		proxy := newTestProxy(t, a.Target, a.Target).withHealthCheck(kind)
		proxy.timeLeft = 60 * time.Millisecond
		if status, header, _ := proxy.request(t, "GET", "/x", "", "A", "1"); status != 504 || header.Get("R") != "unknown" || a.runs.Load() != 1 {
			t.Fatalf("route kind %s: got status %d, header %v, %d requests at the target, want status 504, ran (header R) \"unknown\", 1 request", kind, status, header, a.runs.Load())
		}
	}
}

// TestUnmarkedNotRunStatusIsReplaced checks that a status that implies that the request did not run is not passed on if
// the target has not marked its response accordingly. This holds for responses that are too large to be buffered, too.
func TestUnmarkedNotRunStatusIsReplaced(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		a := newRawBackend(t, "a", respond(status, strings.Repeat("x", tuning.ResponseBufferMax+1)))
		proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindOnce)
		if got, h, _ := proxy.request(t, "POST", "/x", "", "A", "1"); got != 502 || h.Get("R") != "unknown" || h.Get("P") != "" {
			t.Errorf("target's status %d: the caller got status %d, header %v, want status 502, ran (header R) \"unknown\", no proof (header P)", status, got, h)
		}
	}
}

// TestUnreachableTargetIsAbandoned checks that an idempotent request is sent to another target when its target becomes
// unreachable, while a request that may run only once or has no attempts left keeps waiting.
func TestUnreachableTargetIsAbandoned(t *testing.T) {
	for _, tc := range []struct {
		kind     config.RouteKind
		mayRetry bool
		second   int64 // expected number of requests at the second target
	}{{config.KindRepeatable, true, 1}, {config.KindOnce, true, 0}, {config.KindRepeatable, false, 0}} {
		mayRespond := make(chan bool)
		a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
			<-mayRespond
			w.Header().Set("P", "a")
			fmt.Fprint(w, "late")
		})
		b := newBackend(t, "b", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("P", "b")
			fmt.Fprint(w, "fine")
		})
		proxy := newTestProxy(t, a.Target, b.Target).withHealthCheck(tc.kind)
		proxy.mayRetry = tc.mayRetry
		go func() {
			<-a.requests
			proxy.pool.SetUnreachable(map[wire.TargetID]bool{a.ID(): true})
			if tc.second == 0 {
				close(mayRespond)
			}
		}()
		status, _, body := proxy.request(t, "GET", "/", "")
		if want := map[int64]string{0: "late", 1: "fine"}[tc.second]; status != 200 || body != want || b.runs.Load() != tc.second {
			t.Errorf("%+v: got status %d, body %s, %d requests at the second target, want 200, %s, %d", tc, status, body, b.runs.Load(), want, tc.second)
		}
		if tc.second > 0 {
			close(mayRespond)
		}
	}
}
