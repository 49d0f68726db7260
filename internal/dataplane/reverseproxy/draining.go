// This file implements connection draining. While a proxy shuts down, responses close their caller's connection, and
// connections without a request in progress are closed directly.

package reverseproxy

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// CallerConns tracks the callers' connections by the states that http.Server reports. A connection is busy from the
// time a request's header has been read until its response has been written. All methods are safe for concurrent use.
type CallerConns struct {
	listener atomic.Pointer[net.Listener]
	states   sync.Map     // *callerConn to http.ConnState
	open     atomic.Int64 // connections that are open
	busy     atomic.Int64 // connections in http.StateActive
	closed   atomic.Bool  // Close was called
}

// Open returns the number of open connections.
func (c *CallerConns) Open() int64 { return c.open.Load() }

// Busy returns the number of connections with a request in progress.
func (c *CallerConns) Busy() int64 { return c.busy.Load() }

// Closed reports whether Close was called.
func (c *CallerConns) Closed() bool { return c.closed.Load() }

// Close closes the listener and each connection without a request in progress. The other connections are closed once
// their requests have been answered. A request whose body is still being received is answered at once. After Close the
// state machine must reject new requests, since one may still be read from a connection while Close closes it.
func (c *CallerConns) Close() {
	c.closed.Store(true)
	if listener := c.listener.Load(); listener != nil {
		(*listener).Close()
	}
	c.states.Range(func(key, state any) bool {
		conn := key.(*callerConn)
		switch {
		case state != http.StateActive && !conn.hasPipelined():
			conn.Close()
		default:
			conn.receiving.stop(conn)
		}
		return true
	})
}

// ConnState is the http.Server.ConnState hook of the callers' server. It records a connection's change of state.
func (c *CallerConns) ConnState(netConn net.Conn, state http.ConnState) {
	conn, ok := netConn.(*callerConn)
	if !ok {
		return
	}
	if before, known := c.states.Load(conn); known && before == http.StateActive {
		c.busy.Add(-1)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		c.states.Delete(conn)
		c.open.Add(-1)
		return
	case http.StateNew:
		c.open.Add(1)
	case http.StateActive:
		c.busy.Add(1)
	case http.StateIdle:
		if c.Closed() && !conn.hasPipelined() || conn.inputClosed.Load() {
			conn.Close()
		}
	}
	c.states.Store(conn, state)
}

// hasPipelined reports whether the connection has pipelined requests that were started and are not answered yet.
func (c *callerConn) hasPipelined() bool { return c.unanswered.Load() > 0 }

// bodyReceipt tells whether a request's body is being read before the state machine is asked for a target. The mutex
// orders this with the read deadline that ends it. The zero value means that none is being read.
type bodyReceipt struct {
	mutex      sync.Mutex
	inProgress bool
}

// begin is called before a body is read from conn, after its read deadline has been set. If callers' connections were
// closed, reading times out at once.
func (b *bodyReceipt) begin(conn *callerConn) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inProgress = true
	if conn.forwarder.Callers.Closed() {
		conn.Conn.SetReadDeadline(expiredDeadline())
	}
}

// end is called when reading has ended, before the read deadline is removed.
func (b *bodyReceipt) end() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inProgress = false
}

// stop makes the reading of a body from conn time out, if it is in progress.
func (b *bodyReceipt) stop(conn *callerConn) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.inProgress {
		conn.Conn.SetReadDeadline(expiredDeadline())
	}
}

// countIfDraining counts a request that arrives while the proxy is draining.
func (c *callerConn) countIfDraining() {
	switch {
	case !c.forwarder.Draining.Load():
	case c.openedWhileDraining:
		c.forwarder.Counts.DrainingNewConns.Add(1)
	default:
		c.forwarder.Counts.DrainingOldConns.Add(1)
	}
}

// closingWriter makes the responses of a draining proxy close their connections, including those to requests that
// were read before draining began, and responses to requests whose bodies will not be read to their ends. No response closes a connection that still has unanswered pipelined requests.
type closingWriter struct {
	http.ResponseWriter
	conn *callerConn
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sets or removes "Connection: close" as needed and writes the response's header.
func (w closingWriter) WriteHeader(status int) {
	if w.conn.forwarder.Draining.Load() || bodyState(w.conn.body.Load()) == bodyUnread {
		w.Header().Set("Connection", "close")
	}
	if w.Header().Get("Connection") == "close" && !w.conn.endPipelining() {
		w.Header().Del("Connection")
	}
	w.ResponseWriter.WriteHeader(status)
}
