package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/verification/requestlog"
	"myrtlefold/internal/verification/testbackend"
)

// sendTo sends a request to a proxy that is simulated by handler, and returns its outcome.
func sendTo(t *testing.T, handler http.HandlerFunc) outcome {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	g := newGenerator(options{proxies: []string{strings.TrimPrefix(server.URL, "http://")}, processingMs: -1})
	g.proxies.refresh(t.Context())
	kind := &requestKind{Name: "k", Service: "s", Method: http.MethodPost, Path: "/x", BodySize: 3, ResponseSize: 2}
	return g.send(plannedRequest{kind: kind, id: "7", due: time.Now()})
}

// respond returns a handler that writes a back end's response.
func respond(response testbackend.Response) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(response) }
}

// reject returns a handler that writes an error response of a proxy.
func reject(status int, ran string, body config.ErrorBody) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(reverseproxy.RanHeader, ran)
		w.WriteHeader(status)
		w.Write(body.JSON())
	}
}

// Each kind of response is counted under the right class.
func TestOutcomeClasses(t *testing.T) {
	sum := testbackend.Sum([]byte("aaa"))
	for name, c := range map[string]struct {
		handler    http.HandlerFunc
		class      outcomeClass
		mismatched bool
	}{
		"served":                           {respond(testbackend.Response{ID: "7", Service: "s", Sum: sum, Padding: "xx"}), classServed, false},
		"response to another request":      {respond(testbackend.Response{ID: "8", Service: "s", Sum: sum, Padding: "xx"}), classWrong, true},
		"response of another service":      {respond(testbackend.Response{ID: "7", Service: "t", Sum: sum, Padding: "xx"}), classWrong, false},
		"checksum of another request body": {respond(testbackend.Response{ID: "7", Service: "s", Sum: "0", Padding: "xx"}), classWrong, false},
		"too little padding":               {respond(testbackend.Response{ID: "7", Service: "s", Sum: sum, Padding: "x"}), classWrong, false},
		"rejected":                         {reject(503, "no", config.ErrorBody{Code: "full", Ran: "no"}), classRejected, false},
		"unknown":                          {reject(504, "unknown", config.ErrorBody{Code: "lost", Ran: "unknown"}), classUnknown, false},
		"header contradicts body":          {reject(503, "no", config.ErrorBody{Code: "lost", Ran: "unknown"}), classWrong, false},
		"error of a back end":              {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, classUnknown, false},
		"no response":                      {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, classUnanswered, false},
		"truncated response": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			w.Write([]byte("x"))
		}, classUnanswered, false},
	} {
		t.Run(name, func(t *testing.T) {
			got := sendTo(t, c.handler)
			if got.class() != c.class || got.mismatched != c.mismatched {
				t.Errorf("class %s, mismatched %v; want %s, %v: %+v", got.class(), got.mismatched, c.class, c.mismatched, got)
			}
		})
	}
}

// Violations in the request logs fail the run that sent the requests. Entries of other runs are ignored.
func TestRequestLogsAreChecked(t *testing.T) {
	dir := t.TempDir()
	writer, err := requestlog.Create(filepath.Join(dir, "b.ledger"))
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range []requestlog.Entry{
		{ID: "r-1"}, {ID: "r-1"}, // not idempotent, ran twice
		{ID: "r-2"}, {ID: "r-2"}, // idempotent
		{ID: "r-3"}, // rejected
		{ID: "r-4", IntendedService: "t"},
		{ID: "r-5", LeavingForMs: leaveGraceMs},
		{ID: "r-6", LeavingForMs: leaveGraceMs + 1},
		{ID: "q-1"}, {ID: "q-1"}, {ID: "q-2", IntendedService: "t"},
	} {
		writer.Write(entry)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	c := newCollector()
	post, get := &requestKind{Method: http.MethodPost}, &requestKind{Method: http.MethodGet}
	c.add(outcome{plannedRequest: plannedRequest{kind: post, id: "r-1"}, status: 200})
	c.add(outcome{plannedRequest: plannedRequest{kind: get, id: "r-2"}, status: 200})
	c.add(outcome{plannedRequest: plannedRequest{kind: get, id: "r-3"}, status: 503, ran: ranNo, retryAfter: "1"})
	if c.report.failed() {
		t.Fatalf("the run failed before the request logs were checked: %+v", c.report)
	}
	if err := c.checkRequestLogs(dir, "r-"); err != nil {
		t.Fatal(err)
	}
	r := c.finish(options{duration: time.Second})
	if r.RanTwice != 1 || r.RanThoughRejected != 1 || r.Misrouted != 1 || r.PastLeaveGrace != 1 || r.MaxLeavingForMs != leaveGraceMs+1 || !r.failed() {
		t.Errorf("report %+v; want a failed run with one violation of each kind and %d ms as the longest time from a target's announcement that it is leaving to the start of a request", r, leaveGraceMs+1)
	}
}

// The text report has a fixed format. In it, polite clients do not retry, and at_once clients retry
// immediately after an error response of a proxy.
func TestPrintedReport(t *testing.T) {
	c := newCollector()
	kind := &requestKind{Name: "fare", Method: http.MethodGet}
	c.add(outcome{plannedRequest: plannedRequest{kind: kind, id: "1", due: c.begin}, status: 200, seconds: 0.01})
	c.add(outcome{plannedRequest: plannedRequest{kind: kind, id: "2", due: c.begin, retriesAtOnce: true}, status: 503, ran: ranNo, code: "full", retryAfter: "1", seconds: 0.002})
	c.report.Seconds = 1
	var printed bytes.Buffer
	c.finish(options{duration: time.Second, perSecond: true}).print(&printed)
	want := `offered 2, served 1 (1/s), rejected 1, unknown 0, unanswered 0 in 1.0 s
latency in ms from the scheduled start: p50 10.0 p90 10.0 p99 10.0 max 10.0; of rejections: p50 2.0
  fare              1  p50 10.0 p99 10.0
  polite            1 clients sent 1 requests, 1 were served  p50 10.0 p99 10.0
  at_once           1 clients sent 1 requests, 0 were served  p50 0.0 p99 0.0
ran twice 0, ran although rejected 0, wrong responses 0, ran at the wrong service 0, started over 2 s after the target announced that it is leaving 0 (maximum 0 ms), rejected without Retry-After 0
{"offered":2,"refused":1,"served":1}
  example: fare 2: 503 full
`
	if printed.String() != want {
		t.Errorf("got:\n%s\nwant:\n%s", printed.String(), want)
	}
}

// Kinds of requests are drawn with frequencies proportional to their weights. The weights of the built-in mix kelani add up to 1.
func TestDrawKind(t *testing.T) {
	drawn := map[string]int{}
	random := rand.New(rand.NewPCG(1, 1))
	mix := mixes["kelani"]
	for range 10000 {
		drawn[drawKind(mix, random).Name]++
	}
	for _, kind := range mix {
		if part := float64(drawn[kind.Name]) / 10000; part < kind.Weight-0.02 || part > kind.Weight+0.02 {
			t.Errorf("frequency of kind %s is %g, want %g", kind.Name, part, kind.Weight)
		}
	}
}
