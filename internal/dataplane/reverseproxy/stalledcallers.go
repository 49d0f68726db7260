// This file cuts off callers that read nothing while the proxy drains.

package reverseproxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"myrtlefold/internal/shared/tcpinfo"
	"myrtlefold/internal/shared/tuning"
)

// callerStall records since when a caller has acknowledged nothing of a response that is being written.
type callerStall struct {
	since        atomic.Pointer[time.Time] // with a monotonic clock reading, nil if the caller has not stalled
	acknowledged uint64                    // bytes of the connection's output; used only by the goroutine of CutOffStalledCallers
}

// duration returns for how long the caller has stalled.
func (s *callerStall) duration(now time.Time) time.Duration {
	since := s.since.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// update is called regularly while a response is being written to conn.
func (s *callerStall) update(now time.Time, conn net.Conn) {
	info, known := tcpinfo.Get(conn)
	switch {
	case !known:
		s.since.Store(nil)
	case s.since.Load() == nil || s.acknowledged != info.Bytes_acked:
		s.since.Store(&now)
		s.acknowledged = info.Bytes_acked
	}
}

// CutOffStalledCallers cuts off callers that acknowledge nothing of a response for the given time while it is being
// written. It returns when ctx ends. A draining proxy calls it, so that such a caller does not prolong its shutdown; at
// other times tuning.CallerAckTimeout applies.
func (f *Forwarder) CutOffStalledCallers(ctx context.Context, timeout time.Duration) {
	ticker := time.NewTicker(tuning.CloseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.Callers.updateStalls(now)
			f.cutOffStalled(now, timeout)
		}
	}
}

// cutOffStalled breaks off the responses of callers that have stalled for at least the given time.
func (f *Forwarder) cutOffStalled(now time.Time, timeout time.Duration) {
	f.Callers.states.Range(func(key, _ any) bool {
		conn := key.(*callerConn)
		if conn.stall.duration(now) >= timeout {
			conn.stall.since.Store(nil)
			f.Counts.StalledCallers.Add(1)
			conn.Conn.SetWriteDeadline(expiredDeadline())
		}
		return true
	})
}

// Stalled returns the number of busy connections whose callers have stalled for at least the given time. They are known
// only while CutOffStalledCallers runs.
func (c *CallerConns) Stalled(atLeast time.Duration) (n int64) {
	now := time.Now()
	c.states.Range(func(key, state any) bool {
		if conn := key.(*callerConn); state == http.StateActive && conn.stall.duration(now) >= atLeast {
			n++
		}
		return true
	})
	return n
}

// updateStalls records which callers have stalled.
func (c *CallerConns) updateStalls(now time.Time) {
	c.states.Range(func(key, state any) bool {
		conn := key.(*callerConn)
		if state == http.StateActive && conn.writing.Load() {
			conn.stall.update(now, conn.Conn)
		} else {
			conn.stall.since.Store(nil)
		}
		return true
	})
}
