package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
	"myrtlefold/internal/verification/requestlog"
	"myrtlefold/internal/verification/testbackend"
)

// startBackend starts a back end with one slot in service s, and returns it and its URL.
func startBackend(t *testing.T, o options) (b *backend, url string) {
	t.Helper()
	log, err := requestlog.Create(o.requestLog)
	if err != nil {
		t.Fatal(err)
	}
	o.service, o.name, o.slots = "s", "b", 1
	b = newBackend(o, log)
	server := httptest.NewServer(b.handler())
	t.Cleanup(server.Close)
	return b, server.URL
}

// send sends a request and returns the response and its body.
func send(t *testing.T, method, url string, header http.Header, body []byte) (*http.Response, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, got
}

// A request that ran is logged with the service that its caller intended, and its response repeats the ids of the
// request and has the checksum of its body.
func TestRequestIsLoggedAndGetsResponse(t *testing.T) {
	dir := t.TempDir()
	b, url := startBackend(t, options{requestLog: filepath.Join(dir, "b.ledger")})
	header := http.Header{}
	header.Set(testbackend.RequestIDHeader, "7")
	header.Set(testbackend.IntendedServiceHeader, "other")
	header.Set(testbackend.PaddingHeader, "5")
	header.Set(headers.Attempt, "a7")
	response, body := send(t, http.MethodPost, url+"/x", header, []byte("text"))
	var got testbackend.Response
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	want := testbackend.Response{ID: "7", Incarnation: b.incarnation, Name: "b", Padding: "xxxxx", Service: "s", Sum: testbackend.Sum([]byte("text"))}
	if got != want || response.Header.Get(headers.Attempt) != "a7" {
		t.Errorf("response %+v with header %v, want %+v with attempt id a7", got, response.Header, want)
	}
	if err := b.log.Close(); err != nil {
		t.Fatal(err)
	}
	var entries []requestlog.Entry
	if err := requestlog.ReadAll(dir, func(entry requestlog.Entry) { entries = append(entries, entry) }); err != nil {
		t.Fatal(err)
	}
	if len(entries) != 1 || entries[0].ID != "7" || entries[0].IntendedService != "other" || entries[0].State != wire.TargetReady || entries[0].RequestsInFlight != 1 {
		t.Errorf("request log has %+v, want one entry for request 7, intended for another service", entries)
	}
}

// A request for another target and a request that gets no slot before its deadline are rejected as not run. A request
// that exceeds its deadline while it runs gets status 504 and is not marked as not run, and the fault fail gives
// status 500.
func TestRejectedAndFailedRequests(t *testing.T) {
	b, url := startBackend(t, options{checkPath: "/health"})
	expectOther := http.Header{}
	expectOther.Set(headers.ExpectTarget, "c")
	if response, _ := send(t, http.MethodGet, url, expectOther, nil); response.StatusCode != http.StatusMisdirectedRequest || response.Header.Get(headers.NotRun) == "" {
		t.Errorf("request for another target: status %s, header %v; want 421 with header %s", response.Status, response.Header, headers.NotRun)
	}
	b.occupiedSlots <- struct{}{}
	brief := http.Header{}
	brief.Set(headers.Deadline, "10")
	if response, _ := send(t, http.MethodGet, url, brief, nil); response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(headers.NotRun) == "" {
		t.Errorf("request without a free slot: status %s, header %v; want 503 with header %s", response.Status, response.Header, headers.NotRun)
	}
	b.releaseSlot()
	late := http.Header{}
	late.Set(headers.Deadline, "10")
	late.Set(testbackend.ProcessingTimeHeader, "1000")
	if response, _ := send(t, http.MethodGet, url, late, nil); response.StatusCode != http.StatusGatewayTimeout || response.Header.Get(headers.NotRun) != "" {
		t.Errorf("request that exceeds its deadline: status %s, header %v; want 504 without header %s", response.Status, response.Header, headers.NotRun)
	}
	send(t, http.MethodPost, url+testbackend.FaultPath+"?"+testbackend.FaultParameter+"=fail", nil, nil)
	if response, _ := send(t, http.MethodGet, url, nil, nil); response.StatusCode != http.StatusInternalServerError {
		t.Errorf("request with fault fail: status %s, want 500", response.Status)
	}
}

// Faults are parsed as MODE or MODE:DURATION; an invalid duration counts as 0.
func TestParseFault(t *testing.T) {
	for text, want := range map[string]fault{
		"ok":           {mode: noFault},
		"slow:250ms":   {mode: faultSlow, delay: 250 * time.Millisecond},
		"surplus":      {mode: faultSurplus},
		"surplus:soon": {mode: faultSurplus},
	} {
		if got := *parseFault(text); got != want {
			t.Errorf("parseFault(%q) is %+v, want %+v", text, got, want)
		}
	}
}

// The health check reports whether the back end is ready, and its identity, load and warm-up time.
func TestHealthCheck(t *testing.T) {
	b, url := startBackend(t, options{checkPath: "/health", warmupRateTime: time.Hour})
	response, body := send(t, http.MethodGet, url+"/health", nil, nil)
	if response.StatusCode != http.StatusOK || string(bytes.TrimSpace(body)) != `{"state":"ready"}` || response.Header.Get(headers.Identity) != "b" ||
		response.Header.Get(headers.Load) != "0,0,1" || response.Header.Get(headers.WarmupLeft) == "" {
		t.Errorf("ready back end: status %s, body %s, header %v; want 200 with state ready, identity b, load 0,0,1 and the rest of the warm-up time", response.Status, body, response.Header)
	}
	b.state.Store(wire.TargetLeaving)
	if response, body := send(t, http.MethodGet, url+"/health", nil, nil); response.StatusCode != http.StatusServiceUnavailable || string(bytes.TrimSpace(body)) != `{"error":"leaving"}` {
		t.Errorf("leaving back end: status %s, body %s; want 503 with error leaving", response.Status, body)
	}
}
