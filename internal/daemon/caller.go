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
	conn  net.Conn
	clock *Clock
	// knownAt is the latest time at which the caller is known not to have given up its present request, see knownBefore. It is
	// set for requests that may be changes without a base.
	knownAt     time.Duration
	respondedAt time.Duration // a time before the latest response was written, 0: there was none
}

// begin records that a request was received, before its handler runs.
func (c *caller) begin(method string) {
	c.knownAt = 0
	if method == http.MethodPost { // only then may it be a change without a base
		c.knownAt = c.knownBefore()
	}
	c.responding()
}

// responding records that a response is about to be written.
func (c *caller) responding() { c.respondedAt = c.clock.Now() }

// knownBefore returns the latest time at which the caller is known not to have given up the call that was just received, 0 if that
// is not known. It must be called before anything is sent in response, which includes an interim response.
func (c *caller) knownBefore() time.Duration {
	now := c.clock.Now()
	info, known := tcpinfo.Get(c.conn)
	switch {
	case !known:
		return 0
	case c.respondedAt == 0:
		return handshakeSentAt(now, info)
	case isAcknowledged(info):
		return c.respondedAt
	}
	return 0 // the caller has sent the call before the response to the one before has reached it
}

// handshakeSentAt returns a time at which the kernel had sent its part of the handshake that the peer has acknowledged, given
// the state of a connection on which nothing else was sent, and the time before that state was read. It returns 0 if the
// kernel doesn't tell. The connection may have waited to be accepted, and the acknowledgement may have been late.
func handshakeSentAt(now time.Duration, info *unix.TCPInfo) time.Duration {
	if info.Rtt == 0 && info.Total_retrans > 0 {
		return 0
	}
	sinceAcknowledged := time.Duration(info.Last_data_sent) * time.Millisecond // counts from the end of the handshake
	roundTrip := time.Duration(info.Rtt) * time.Microsecond
	return max(0, now-sinceAcknowledged-roundTrip-tcpinfo.Resolution)
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
	return context.WithValue(ctx, callerKey{}, &caller{conn: conn, clock: p.Clock})
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
