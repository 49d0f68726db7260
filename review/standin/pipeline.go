package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// pipelineClient sends further repeatable requests before the first has been answered, and reads the answers in order. It
// keeps its connection for many requests, and opens a new one when the connection ends.
type pipelineClient struct {
	record *record
	name   string
	addrs  []string // of the proxies that the platform passes the client's connections to, see connect
	depth  int      // requests that are unanswered at a time
	ids    *atomic.Int64
	done   chan struct{}

	moved   atomic.Bool // the platform passes new connections to the second proxy
	mu      sync.Mutex
	results []pipelineResult
}

// pipelineResult is how a request of a pipelineClient ended.
type pipelineResult struct {
	id         string
	sentAt     time.Duration
	finishedAt time.Duration
	status     int  // 0: the connection ended before its answer
	announced  int  // length of the body, from the header of the answer
	received   int  // bytes of the body
	complete   bool // the whole answer came
	kept       bool // an answer had come on the connection before the request was sent
	err        error

	retryAfter time.Duration // that the answer asks for
}

// reconnectPause is how long a client waits before it opens the next connection.
const reconnectPause = 50 * time.Millisecond

// receiveBuffer is the receive buffer of a client's connection, in bytes: the platform's links have small windows.
const receiveBuffer = 64 << 10

// run sends requests until done is closed, over one connection after the other.
func (c *pipelineClient) run() {
	for !c.isDone() {
		c.connection()
		time.Sleep(reconnectPause)
	}
}

// isDone reports whether the client sends no more requests.
func (c *pipelineClient) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// connection uses one connection until it ends.
func (c *pipelineClient) connection() {
	conn, err := c.connect()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	reader := bufio.NewReader(conn)
	var waiting []pipelineResult
	kept := false
	for ended := false; !ended; {
		for len(waiting) < c.depth && !c.isDone() {
			r, err := c.request(conn)
			if err != nil {
				break
			}
			r.kept = kept
			waiting = append(waiting, r)
		}
		if len(waiting) == 0 {
			return
		}
		ended = c.answer(conn, reader, &waiting[0])
		kept = kept || waiting[0].complete
		c.finish(waiting[0])
		time.Sleep(waiting[0].retryAfter)
		waiting = waiting[1:]
	}
	for _, r := range waiting {
		r.finishedAt = c.record.now()
		c.finish(r)
	}
}

// connect opens a connection to the first proxy, or to the second one after the platform has taken the first one out.
func (c *pipelineClient) connect() (net.Conn, error) {
	addr := c.addrs[0]
	if c.moved.Load() {
		addr = c.addrs[1]
	}
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.Dial("tcp", addr)
}

// request sends one request.
func (c *pipelineClient) request(conn net.Conn) (pipelineResult, error) {
	id := fmt.Sprintf("%016x", c.ids.Add(1))
	text := fmt.Sprintf("GET %sfile HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\n\r\n",
		plainPrefix, clientHost, id, clientTimeout.Milliseconds())
	c.record.logf("client: %s sends GET %s", c.name, id)
	_, err := io.WriteString(conn, text)
	return pipelineResult{id: id, sentAt: c.record.now()}, err
}

// answer reads the answer to a request and reports whether the connection has ended.
func (c *pipelineClient) answer(conn net.Conn, reader *bufio.Reader, r *pipelineResult) (ended bool) {
	conn.SetReadDeadline(time.Now().Add(2 * clientTimeout))
	defer func() { r.finishedAt = c.record.now() }()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.err = err
		return true
	}
	r.status, r.announced = response.StatusCode, int(response.ContentLength)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = min(time.Duration(seconds*float64(time.Second)), clientTimeout/3)
	}
	body, err := io.ReadAll(response.Body)
	r.received, r.err = len(body), err
	r.complete = err == nil
	return response.Close || err != nil
}

// finish records how a request ended.
func (c *pipelineClient) finish(r pipelineResult) {
	c.record.logf("client: %s: %s: %d, %d of %d bytes, complete: %v (error: %v)", c.name, r.id, r.status, r.received, r.announced, r.complete, r.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// finished returns how the requests ended so far.
func (c *pipelineClient) finished() []pipelineResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]pipelineResult(nil), c.results...)
}
