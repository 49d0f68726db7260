// What a process knows of the callers of its HTTP API from their connections.

package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"myrtlefold/internal/shared/gracefulclose"
	"myrtlefold/internal/shared/tcpinfo"
)

// caller is the connection of a caller of the HTTP API. A call that arrives late looks like one that was just made: the
// network may have held it, and the end of its connection may be still further behind. What is certain is that the caller was
// there when it acknowledged something: the handshake, or a response. Only the goroutine that serves the connection uses it.
type caller struct {
	conn        net.Conn
	clock       *Clock
	handshakeAt time.Duration // when the handshake was sent that the caller has acknowledged, 0: not known
	respondedAt time.Duration // a time before the latest response was written, 0: there was none
	// knownAt is the latest time at which the caller is known not to have given up its present request, 0: not known. It is
	// set for requests that may be changes without a base.
	knownAt time.Duration
}

// newCaller returns the caller of a connection that was just accepted.
func newCaller(conn net.Conn, clock *Clock) *caller {
	c := &caller{conn: conn, clock: clock}
	now := clock.Now()
	if info, known := tcpinfo.Get(conn); known {
		c.handshakeAt = handshakeSentAt(now, info)
	}
	return c
}

// begin records that a request was received, before its handler runs.
func (c *caller) begin(method string) {
	c.knownAt = 0
	if method == http.MethodPost { // only then may it be a change without a base
		c.knownAt = c.acknowledgedAt()
	}
	c.responding()
}

// responding records that a response is about to be written.
func (c *caller) responding() { c.respondedAt = c.clock.Now() }

// acknowledgedAt returns when the latest thing was sent that the caller has acknowledged, 0 if that is not known.
func (c *caller) acknowledgedAt() time.Duration {
	if c.respondedAt == 0 {
		return c.handshakeAt
	}
	if info, known := tcpinfo.Get(c.conn); known && isAcknowledged(info) {
		return c.respondedAt
	}
	return 0 // the caller has sent the request before the response to the one before has reached it
}

// handshakeSentAt returns a time at which the kernel had sent its part of the handshake that the peer has acknowledged, given
// the state of a connection on which nothing else was sent, and the time before that state was read. It returns 0 if the
// kernel doesn't tell. The connection may have waited to be accepted, and the acknowledgement may have been late. A wait that
// the kernel's times can't tell from none counts as none.
func handshakeSentAt(now time.Duration, info *unix.TCPInfo) time.Duration {
	if info.Rtt == 0 && info.Total_retrans > 0 {
		return 0
	}
	roundTrip := time.Duration(info.Rtt) * time.Microsecond
	waited := time.Duration(info.Last_data_sent) * time.Millisecond // counts from the end of the handshake
	if waited <= tcpinfo.Resolution {                               // the ticks before and after may be those of one moment
		return max(0, now-roundTrip)
	}
	return max(0, now-waited-tcpinfo.Resolution-roundTrip)
}

// isAcknowledged reports whether the peer of a connection has acknowledged all that was written. A connection that was reset
// has nothing left to be acknowledged, so its state counts too.
func isAcknowledged(info *unix.TCPInfo) bool {
	return info.State == tcpinfo.Established && info.Unacked == 0 && info.Notsent_bytes == 0
}

// connected reports whether the connection is open at the caller's side, as far as the kernel knows. The context of a request
// may be cancelled later, or not at all if further input arrived before the end.
func (c *caller) connected() bool {
	conn, ok := c.conn.(*gracefulclose.Conn)
	return !ok || conn.PeerConnected()
}

// callerKey is the key of a caller in the contexts of its requests.
type callerKey struct{}

// withCaller returns a context that holds the caller of a connection that was just accepted.
func (p *Process) withCaller(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, newCaller(conn, p.Clock))
}

// callerOf returns the caller of a request's context.
func callerOf(ctx context.Context) *caller { return ctx.Value(callerKey{}).(*caller) }

// recordCallers returns a handler that records each request at its caller before it calls the given one.
func recordCallers(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callerOf(r.Context()).begin(r.Method)
		handler.ServeHTTP(w, r)
	})
}
