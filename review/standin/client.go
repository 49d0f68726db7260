package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests at a steady rate to one proxy, each on a connection of its own.
type clients struct {
	record *record
	addr   string
	every  time.Duration
	ids    *atomic.Int64
	done   chan struct{}
	wait   sync.WaitGroup

	served atomic.Int64
	failed atomic.Int64
}

// clientTimeout is how long a client waits for its answer.
const clientTimeout = 2500 * time.Millisecond

// startClients starts the clients of a proxy.
func startClients(rec *record, addr string, every time.Duration, ids *atomic.Int64) *clients {
	c := &clients{record: rec, addr: addr, every: every, ids: ids, done: make(chan struct{})}
	c.wait.Go(c.run)
	return c
}

// run sends requests until stop is called.
func (c *clients) run() {
	ticker := time.NewTicker(c.every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		method, prefix, body := http.MethodGet, plainPrefix, ""
		if n%3 == 2 {
			method, prefix, body = http.MethodPost, signedPrefix, "order"
		}
		c.wait.Go(func() { c.send(method, prefix, body) })
	}
}

// send sends one request and records its answer.
func (c *clients) send(method, prefix, body string) {
	id := fmt.Sprintf("%016x", c.ids.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+prefix+"item", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = clientHost
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c.record.logf("client: sends %s %s to %s", method, id, c.addr)
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.failed.Add(1)
		c.record.logf("client: %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	c.record.logf("client: %s: %d %s (error: %v)", id, response.StatusCode, firstBytes(answer), err)
	if err == nil && response.StatusCode == http.StatusOK && response.Header.Get("X-Postmark") != "" {
		c.served.Add(1)
	} else {
		c.failed.Add(1)
	}
}

// stop ends the clients and waits for their last answers.
func (c *clients) stop() {
	close(c.done)
	c.wait.Wait()
}
