package gracefulclose

import (
	"sync/atomic"
	"time"
)

// pendingClose is the part of a graceful close that waits for the peer. It is used by one goroutine.
type pendingClose struct {
	conn           *Conn
	startedAt      time.Time
	progressAt     time.Time // time of the last acknowledgement, or startedAt
	unacknowledged int       // result of Conn.unacknowledged at the last check
}

// run closes the socket when the peer has closed the connection, when the peer has acknowledged all output and sends
// more input, or when a bound is reached.
func (p *pendingClose) run() {
	ticker := time.NewTicker(p.conn.group.bounds.Check)
	defer ticker.Stop()
	for {
		input := p.conn.peekInput()
		if input == inputClosed {
			p.conn.leave(&p.conn.group.Counts.Finished)
			return
		}
		now := time.Now()
		p.update(now)
		if input == inputUnread && p.unacknowledged == 0 {
			p.conn.leave(&p.conn.group.Counts.Refused)
			return
		}
		if bound := p.exceededBound(now); bound != nil {
			p.conn.expire(bound)
			return
		}
		<-ticker.C
	}
}

// update records whether the peer has acknowledged output since the last check.
func (p *pendingClose) update(now time.Time) {
	if unacknowledged := p.conn.unacknowledged(); unacknowledged != p.unacknowledged {
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
