package gracefulclose

import (
	"sync/atomic"
	"time"
)

// discardBytes is the size of the buffer for input that is discarded.
const discardBytes = 1 << 10

// pendingClose is the part of a graceful close that waits for the peer. It is used by one goroutine.
type pendingClose struct {
	conn           *Conn
	startedAt      time.Time
	progressAt     time.Time // time of the last progress, or startedAt
	unacknowledged int       // result of Conn.unacknowledged at the last check
	discarding     bool      // input has arrived
}

// run discards input until the peer closes the connection or a bound is reached, and closes the socket.
func (p *pendingClose) run() {
	buffer := make([]byte, discardBytes)
	for {
		p.conn.Conn.SetReadDeadline(time.Now().Add(p.conn.group.bounds.Check))
		n, err := p.conn.Conn.Read(buffer)
		if err != nil && !isTimeout(err) {
			p.conn.finish()
			return
		}
		now := time.Now()
		p.update(now, n > 0)
		if bound := p.exceededBound(now); bound != nil {
			p.conn.expire(bound)
			return
		}
	}
}

// update records the connection's progress. received means that input has arrived since the last update.
func (p *pendingClose) update(now time.Time, received bool) {
	group := p.conn.group
	if received && !p.discarding {
		p.discarding = true
		group.Counts.Discarding.Add(1)
	}
	unacknowledged := p.conn.unacknowledged()
	if unacknowledged != p.unacknowledged || received && !group.stopping.Load() {
		p.unacknowledged, p.progressAt = unacknowledged, now
	}
}

// exceededBound returns the counter of the bound that the connection exceeds, or nil. While output is unacknowledged, only
// a process that stops applies Bounds.Stall: a peer that reads slowly may pause for longer.
func (p *pendingClose) exceededBound(now time.Time) *atomic.Uint64 {
	group := p.conn.group
	stalled := now.Sub(p.progressAt) >= group.bounds.Stall
	switch {
	case stalled && (p.unacknowledged == 0 || group.stopping.Load()):
		return &group.Counts.Stalled
	case now.Sub(p.startedAt) >= group.bounds.Total:
		return &group.Counts.TimedOut
	}
	return nil
}
