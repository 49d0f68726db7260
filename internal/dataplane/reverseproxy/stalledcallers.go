// This file cuts off callers that read nothing while the proxy drains.

package reverseproxy

import (
	"context"
	"net/http"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// stalledWrite is a write to a caller that has made no progress since a time.
type stalledWrite struct {
	since        time.Time
	acknowledged uint64 // bytes of the connection's output that the caller had acknowledged
}

// CutOffStalledCallers cuts off callers that acknowledge nothing of a response for the given time while it is being
// written. It returns when ctx ends. A draining proxy calls it, so that such a caller does not prolong its shutdown; at
// other times tuning.CallerAckTimeout applies.
func (f *Forwarder) CutOffStalledCallers(ctx context.Context, timeout time.Duration) {
	ticker := time.NewTicker(tuning.CloseCheckInterval)
	defer ticker.Stop()
	stalled := map[*callerConn]stalledWrite{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			stalled = f.checkStalledCallers(now, timeout, stalled)
		}
	}
}

// checkStalledCallers cuts off the callers that have exceeded the timeout. before holds the writes that had stalled at the
// last check; checkStalledCallers returns those that have now.
func (f *Forwarder) checkStalledCallers(now time.Time, timeout time.Duration, before map[*callerConn]stalledWrite) map[*callerConn]stalledWrite {
	stalled := map[*callerConn]stalledWrite{}
	f.Callers.states.Range(func(key, state any) bool {
		conn := key.(*callerConn)
		if state != http.StateActive || !conn.writing.Load() {
			return true
		}
		acknowledged, ok := bytesAcknowledged(conn.Conn)
		if !ok {
			return true
		}
		last, known := before[conn]
		if !known || last.acknowledged != acknowledged {
			last = stalledWrite{since: now, acknowledged: acknowledged}
		}
		if now.Sub(last.since) < timeout {
			stalled[conn] = last
			return true
		}
		f.Counts.StalledCallers.Add(1)
		conn.Conn.SetWriteDeadline(expiredDeadline())
		return true
	})
	return stalled
}
