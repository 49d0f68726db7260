// This file has the callers' side of the network: the listener and the connections that it accepts. What is read
// from them is in pipelining.go, how they end in draining.go.

package reverseproxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// callerConnKey is the key of a request's callerConn in its context.
type callerConnKey struct{}

// WrapListener returns a listener whose connections start pipelined requests before their turn and are known to
// Callers, which closes it when the proxy stops. It is called once, for the server that the forwarder handles.
func (f *Forwarder) WrapListener(listener net.Listener) net.Listener {
	f.Callers.listener.Store(&listener)
	return callerListener{listener, f}
}

// callerListener is a listener for callers.
type callerListener struct {
	net.Listener
	forwarder *Forwarder
}

// Accept waits for a caller's connection.
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

// ConnContext is the http.Server.ConnContext of the callers' server: it has requests know which connection they
// came on.
func (f *Forwarder) ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	if conn, ok := netConn.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
	return ctx
}

// callerConn is a caller's connection. The server reads it on one goroutine at a time and serves its requests one
// after another, but reads also while a request is being served.
type callerConn struct {
	net.Conn
	forwarder           *Forwarder
	ctx                 context.Context // of the pipelined requests; it ends with the connection
	cancel              context.CancelFunc
	openedWhileDraining bool

	// pipelined are the requests that were started before their turn, in their order: from the reading side to the
	// serving side.
	pipelined chan *pipelinedRequest
	// unanswered is how many of them are not answered yet; below 0: none is started any more.
	unanswered atomic.Int64

	// The reading side's.
	readBuffer  []byte
	unread      []byte // of readBuffer: read from the caller and not by the server yet
	header      []byte // what the server has read of a header that is not complete
	headersRead int    // how many headers the server has read
	opaque      bool   // something came that is not a plain request: nothing is interpreted any more

	// The serving side's.
	served        int // how many requests the server has come to
	nextPipelined *pipelinedRequest
	requestActive bool
}

// Close closes the connection and ends its pipelined requests.
func (c *callerConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, which is how the server ends one that its caller still writes to.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetReadDeadline sets the server's deadlines and, while a request is active, the forwarder's. The server's are
// turned into those of the configuration, which may change at any moment: that for a header, and a longer one for
// the next request on an idle connection.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if left := time.Until(deadline); !c.requestActive && !deadline.IsZero() && left > 0 {
		limits := c.forwarder.limits()
		switch {
		case left <= tuning.CallerHeader && limits.HeaderMs > 0:
			deadline = deadline.Add(time.Duration(limits.HeaderMs)*time.Millisecond - tuning.CallerHeader)
		case left > tuning.CallerHeader && limits.IdleMs > 0:
			deadline = deadline.Add(time.Duration(limits.IdleMs)*time.Millisecond + tuning.IdleSlack - tuning.CallerIdle)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}
