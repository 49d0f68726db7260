package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator calls the control daemons. It moves on to the next daemon after a failure, a 5xx, a 408 or 429 or a second of
// silence, with a pause that grows, and ends a call at a definite answer.
type operator struct {
	record  *record
	daemons []string // addresses, in the order in which they are called
}

// Silence after which a caller moves on, and its first pause.
const (
	operatorSilence = time.Second
	operatorPause   = 50 * time.Millisecond
)

// call makes a call and returns the status of its answer, and its body. limit bounds how long the call is sent again.
func (o *operator) call(method, path, base string, body []byte, limit time.Duration) (status int, answer []byte) {
	giveUp := time.Now().Add(limit)
	pause := operatorPause
	for next := 0; ; next++ {
		daemon := o.daemons[next%len(o.daemons)]
		status, answer, err := o.send(daemon, method, path, base, body)
		o.record.logf("operator: %s %s to %s: %d %s (error: %v)", method, path, daemon, status, firstBytes(answer), err)
		definite := err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
		if definite {
			return status, answer
		}
		if time.Now().After(giveUp) {
			return 0, nil
		}
		time.Sleep(pause)
		pause *= 2
	}
}

// send sends a call to one daemon, on a connection of its own, which it closes.
func (o *operator) send(daemon, method, path, base string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorSilence)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if base != "" {
		request.Header.Set("If-Match", base)
	}
	o.record.logf("operator: sends %s %s to %s", method, path, daemon)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// firstBytes returns the beginning of a text, for the record.
func firstBytes(text []byte) string {
	const limit = 120
	text = bytes.TrimSpace(text)
	if len(text) > limit {
		text = text[:limit]
	}
	return string(text)
}

// configuration returns a configuration with two services and a route to each: "plain" to the first one, whose requests may
// run more than once, and "signed" to the second one, whose requests may not.
func configuration(revision int, timeout time.Duration) []byte {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"host": clientHost, "prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "aim_ms": 600,
			"priority": 1, "service": service, "attempts": 2,
		}
	}
	service := map[string]any{
		"health_path": "/health", "conn_cap": 130, "proto": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 4.4,
	}
	text, err := json.Marshal(map[string]any{
		"revision": revision,
		"routes": map[string]any{
			"r-plain":  route(plainPrefix, "repeatable", plainService),
			"r-signed": route(signedPrefix, "once", signedService),
		},
		"services": map[string]any{plainService: service, signedService: service},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 67108864, "header_ms": 3000, "idle_ms": 15000},
	})
	if err != nil {
		panic(fmt.Sprintf("encode the configuration: %v", err))
	}
	return text
}

// Names of the configuration.
const (
	clientHost    = "ficu95.example"
	plainPrefix   = "/lohu930/"
	signedPrefix  = "/pufi791/"
	plainService  = "huvo11a"
	signedService = "wuno96b"
)
