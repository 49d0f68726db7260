// Package gracefulclose closes accepted TCP connections without losing what was written to them.
//
// A socket that is closed while input is unread, or that receives input after it was closed, resets its connection. The
// reset discards all output that the peer has not acknowledged, such as the end of a long response. A Conn is closed in
// steps instead (after RFC 9112, section 9.6): its write side is closed, and the socket only once the peer has acknowledged
// all output and has closed its side or sent further input. Such input is not read: the reset that follows tells the peer
// that its request was not read and may be sent again, whatever it is. A Group bounds how long a close takes and for how
// many connections at a time (Bounds), so that a peer that reads nothing or never closes occupies neither a stopping
// process nor memory.
package gracefulclose

import (
	"net"
	"sync/atomic"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// Bounds limits graceful closes.
type Bounds struct {
	// Total is the longest time from the close of the write side to that of the socket.
	Total time.Duration
	// Stall is the longest time for which the peer neither closes its side nor sends input after it has acknowledged all
	// output. While the process stops (Group.Stop), it is also the longest time without an acknowledgement before that.
	Stall time.Duration
	// Check is the interval at which connections are checked.
	Check time.Duration
	// Conns is the largest number of connections that are being closed at a time. One more cuts off the oldest.
	Conns int
}

// DefaultBounds returns the bounds of package tuning.
func DefaultBounds() Bounds {
	return Bounds{
		Total: tuning.CloseTimeout,
		Stall: tuning.CloseStallTimeout,
		Check: tuning.CloseCheckInterval,
		Conns: tuning.ClosingConnsMax,
	}
}

// Counts holds a group's counters, which count from the start of the process. On /metrics each is named after its tag:
// mf_close_TAG_total. Each connection in Started is later counted in one of Finished, Refused, TimedOut, Stalled and Crowded,
// unless the process ends before.
type Counts struct {
	// Started counts the graceful closes. A connection whose peer had closed its side before is closed at once and not
	// counted.
	Started atomic.Uint64 `metric:"started"`
	// Finished counts the connections that the peer closed or reset in time.
	Finished atomic.Uint64 `metric:"finished"`
	// TimedOut counts the connections that were cut off by Bounds.Total.
	TimedOut atomic.Uint64 `metric:"timed_out"`
	// Stalled counts the connections that were cut off by Bounds.Stall.
	Stalled atomic.Uint64 `metric:"stalled"`
	// Crowded counts the connections that were cut off by Bounds.Conns.
	Crowded atomic.Uint64 `metric:"crowded"`
	// Refused counts the connections that were closed with unread input once all output was acknowledged.
	Refused atomic.Uint64 `metric:"refused"`
	// Undelivered counts the connections that were cut off before the peer had acknowledged all output.
	Undelivered atomic.Uint64 `metric:"undelivered"`
}

// Group holds the connections that are being closed. All methods are safe for concurrent use.
type Group struct {
	// Counts are the group's counters.
	Counts Counts

	bounds   Bounds
	closing  queue
	stopping atomic.Bool
}

// NewGroup returns a group without connections.
func NewGroup(bounds Bounds) *Group { return &Group{bounds: bounds} }

// Closing returns the number of connections that are being closed.
func (g *Group) Closing() int { return g.closing.len() }

// Stop applies the bounds of a process that stops to all connections from now on.
func (g *Group) Stop() { g.stopping.Store(true) }

// Listener returns a listener whose connections are closed gracefully, as members of the group.
func (g *Group) Listener(inner net.Listener) net.Listener { return listener{inner, g} }

// listener wraps each accepted TCP connection in a Conn.
type listener struct {
	net.Listener
	group *Group
}

// Accept waits for the next connection. One that is not a TCP connection is returned as it is.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		return &Conn{Conn: tcp, tcp: tcp, group: l.group}, nil
	}
	return accepted, nil
}
