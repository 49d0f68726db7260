// This file has how a proxy that stops ends the taking of requests: it knows its callers' connections and which of
// them have a request under way, has responses close their connections, and closes the others.

package reverseproxy

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// CallerConns are the callers' connections, by what http.Server says of them. A connection is busy from the moment
// at which a request's header was read until its response was written. Any goroutine may call its methods.
type CallerConns struct {
	listener atomic.Pointer[net.Listener]
	states   sync.Map // *callerConn to http.ConnState
	open     atomic.Int64
	busy     atomic.Int64
	closed   atomic.Bool
}

// Open returns how many connections there are.
func (c *CallerConns) Open() int64 { return c.open.Load() }

// Busy returns how many of them have a request under way.
func (c *CallerConns) Busy() int64 { return c.busy.Load() }

// Closed reports whether Close was called.
func (c *CallerConns) Closed() bool { return c.closed.Load() }

// Close closes the listener and each connection without a request under way. Connections with one are closed after
// it. From then on the owner has to reject what comes: a request may just be read from a connection that is closed
// here.
func (c *CallerConns) Close() {
	c.closed.Store(true)
	if listener := c.listener.Load(); listener != nil {
		(*listener).Close()
	}
	c.states.Range(func(key, state any) bool {
		if conn := key.(*callerConn); state != http.StateActive && !conn.hasPipelined() {
			conn.Close()
		}
		return true
	})
}

// ConnState is the http.Server.ConnState of the callers' server: it takes in a connection's change of state.
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
		if c.Closed() && !conn.hasPipelined() {
			conn.Close()
		}
	}
	c.states.Store(conn, state)
}

// hasPipelined reports whether requests of the connection were started whose turn has not come.
func (c *callerConn) hasPipelined() bool { return c.unanswered.Load() > 0 }

// countDraining counts a request that came although the proxy is draining.
func (c *callerConn) countDraining() {
	switch {
	case !c.forwarder.Draining.Load():
	case c.openedWhileDraining:
		c.forwarder.Counts.DrainingNewConns.Add(1)
	default:
		c.forwarder.Counts.DrainingOldConns.Add(1)
	}
}

// closingWriter has the responses of a draining proxy close their connections, also those to requests that came
// before it began to drain. While pipelined requests are unanswered on a connection, no response closes it.
type closingWriter struct {
	http.ResponseWriter
	conn *callerConn
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the response's header.
func (w closingWriter) WriteHeader(status int) {
	if w.conn.forwarder.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if w.Header().Get("Connection") == "close" && !w.conn.endPipelining() {
		w.Header().Del("Connection")
	}
	w.ResponseWriter.WriteHeader(status)
}
