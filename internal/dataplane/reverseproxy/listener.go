// This file implements the listener for callers and the connections that it accepts. pipelining.go reads from them,
// and draining.go closes them on shutdown.

package reverseproxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// callerConnKey is the context key of the callerConn that a request arrived on.
type callerConnKey struct{}

// WrapListener returns a listener whose connections start pipelined requests early and are tracked by Callers.
// Callers.Close closes the wrapped listener. WrapListener must be called only once, for the server whose handler is
// the forwarder.
func (f *Forwarder) WrapListener(listener net.Listener) net.Listener {
	f.Callers.listener.Store(&listener)
	return callerListener{listener, f}
}

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	forwarder *Forwarder
}

// Accept waits for the next connection from a caller.
func (l callerListener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{
		Conn:                netConn,
		forwarder:           l.forwarder,
		pipelined:           make(chan *pipelinedRequest, tuning.PipelineMax),
		openedWhileDraining: l.forwarder.Draining.Load(),
	}
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	return conn, nil
}

// ConnContext is the http.Server.ConnContext hook of the callers' server. It stores the connection in the context of
// its requests.
func (f *Forwarder) ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	if conn, ok := netConn.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
	return ctx
}

// callerConnOf returns the connection that a request arrived on, or nil if the server's listener was not wrapped.
func callerConnOf(incoming *http.Request) *callerConn {
	conn, _ := incoming.Context().Value(callerConnKey{}).(*callerConn)
	return conn
}

// callerConn is a connection from a caller. The server reads it from one goroutine at a time and serves its requests
// one after another, but also reads from it while a request is being served.
type callerConn struct {
	net.Conn
	forwarder           *Forwarder
	ctx                 context.Context // context of the pipelined requests, canceled when the connection is closed
	cancel              context.CancelFunc
	openedWhileDraining bool
	writing             atomic.Bool  // a Write is in progress
	body                atomic.Int32 // bodyState of the current request
	inputClosed         atomic.Bool  // nothing more is read: the body of the last request was not read to its end
	stall               callerStall
	receiving           bodyReceipt

	// pipelined passes the requests that were started before their turn, in order, from the reading goroutine to the
	// serving goroutine.
	pipelined chan *pipelinedRequest
	// unanswered counts the pipelined requests that have not been answered. A negative value means that no more are
	// started.
	unanswered atomic.Int64

	// Used only by Read, which the server calls from one goroutine at a time.
	readBuffer  []byte
	unread      []byte // part of readBuffer that the server has not read yet
	header      []byte // part of an incomplete header that the server has read
	headersRead int    // number of complete headers that the server has read
	opaque      bool   // something other than a plain request was read; data is passed through without parsing

	// Used only by the goroutine that serves the connection's requests.
	requestsServed int               // number of requests passed to the handler, including the current one
	nextPipelined  *pipelinedRequest // received from pipelined, and its turn has not come; nil if none
	requestActive  bool              // the handler is running
}

// Write writes to the caller.
func (c *callerConn) Write(data []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	return c.Conn.Write(data)
}

// Close closes the connection and cancels its pipelined requests.
func (c *callerConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// reset closes the connection with a reset, so that the caller does not take a response for complete that ends with it.
func (c *callerConn) reset() {
	if conn, ok := c.Conn.(interface{ Reset() error }); ok {
		conn.Reset()
	}
}

// CloseWrite closes the write side of the connection. The server uses it to end a connection on which the caller may
// still be writing.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetReadDeadline is called by the server and, while a request is active, by the forwarder. It converts the server's
// fixed timeouts to the configured ones, which may change at any time. The server's timeout for reading a header
// (tuning.CallerHeaderTimeout) and its idle timeout (tuning.CallerIdleTimeout) are told apart by their length.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if left := time.Until(deadline); !c.requestActive && !deadline.IsZero() && left > 0 {
		limits := c.forwarder.limits()
		switch {
		case left <= tuning.CallerHeaderTimeout && limits.HeaderMs > 0:
			deadline = deadline.Add(time.Duration(limits.HeaderMs)*time.Millisecond - tuning.CallerHeaderTimeout)
		case left > tuning.CallerHeaderTimeout && limits.IdleMs > 0:
			deadline = deadline.Add(time.Duration(limits.IdleMs)*time.Millisecond + tuning.IdleSlack - tuning.CallerIdleTimeout)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}
