package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is a server of a service. It says that it is well, reports to the control daemons and answers each request once.
type target struct {
	record  *record
	id      string
	service string
	zone    string
	addr    string
	control []string
	work    time.Duration
	number  int // of the last report
	stopped atomic.Bool
	// answerBytes is the length of the body of an answer to a request for largeFile; 0: a short text, as for all others.
	answerBytes atomic.Int64
	// breakOff is how many of 1000 answers the target breaks off midway.
	breakOff atomic.Int64

	server *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that a target ran.
type arrival struct {
	at      time.Duration // since the start of the case
	attempt string        // the request's id
	from    string        // address of the proxy
}

// largeFile is the end of the paths of requests for long answers.
const largeFile = "/file"

// Interval of the reports of a target, and the time after which it calls another daemon.
const (
	reportEvery   = 1500 * time.Millisecond
	reportSilence = time.Second
	targetSlots   = 3
)

// startTarget starts a target on an address.
func startTarget(rec *record, id, service, zone, ip string, control []string, work time.Duration) (*target, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	t := &target{record: rec, id: id, service: service, zone: zone, addr: listener.Addr().String(), control: control, work: work}
	t.server = &http.Server{Handler: t}
	go t.server.Serve(listener)
	go t.reportAlways()
	return t, nil
}

// ServeHTTP answers a request or a health check.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Target-Id", t.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Expect-Target"); expected != "" && expected != t.id {
		w.Header().Set("X-Target-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if attempt == "" {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	at := t.record.now()
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{at, attempt, r.RemoteAddr})
	t.mu.Unlock()
	t.record.logf("server: %s (%s, %s) runs %s %s %s, %d bytes, from %s", t.id, t.service, t.zone, r.Method, r.URL.Path, attempt, len(body), r.RemoteAddr)
	time.Sleep(t.work)
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Postmark", fmt.Sprintf("%s.%s", t.id, attempt))
	text := "ran " + attempt + " at " + t.id + "\n"
	if length := int(t.answerBytes.Load()); length > 0 && strings.HasSuffix(r.URL.Path, largeFile) {
		text = strings.Repeat(text, length/len(text)+1)[:length]
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(http.StatusOK)
	if rand.Int64N(1000) < t.breakOff.Load() {
		t.record.logf("server: %s breaks off its answer to %s", t.id, attempt)
		io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
}

// runs returns the requests that the target has run.
func (t *target) runs() []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]arrival(nil), t.arrivals...)
}

// reportAlways reports at regular intervals until the target is stopped.
func (t *target) reportAlways() {
	for first := 0; !t.stopped.Load(); first++ {
		t.report(first)
		time.Sleep(reportEvery)
	}
}

// report sends a report to the first daemon that takes it, beginning with the one of the given number.
func (t *target) report(first int) {
	t.number++
	body, err := json.Marshal(map[string]any{
		"service": t.service, "address": t.addr, "domain": t.zone, "revision": "v1", "slots": targetSlots,
		"state": "ready", "cold_left_ms": 0, "number": t.number,
	})
	if err != nil {
		panic(err)
	}
	for i := range t.control {
		daemon := t.control[(first+i)%len(t.control)]
		if t.sendReport(daemon, body) {
			return
		}
	}
}

// sendReport sends a report to a daemon and returns whether the daemon took it.
func (t *target) sendReport(daemon string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reportSilence)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+daemon+"/v1/targets/"+t.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// stop ends the target.
func (t *target) stop() {
	t.stopped.Store(true)
	t.server.Close()
}
