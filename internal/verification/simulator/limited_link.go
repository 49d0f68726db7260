package simulator

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// limitedLink is a link to one process with limited bandwidth. It doesn't depend on Plan.Resources.
type limitedLink struct {
	bytesPerSecond float64
	busyUntil      time.Duration // when the last message has been transmitted
}

// limitLink limits the bandwidth of the link to a process. 0 removes the limit.
func (w *World) limitLink(p *Process, bytesPerSecond float64) {
	w.logf("link to %s limited to %.0f bytes/s (0: unlimited)", p.name, bytesPerSecond)
	delete(w.network.limited, p.name)
	if bytesPerSecond > 0 {
		w.network.limited[p.name] = &limitedLink{bytesPerSecond: bytesPerSecond}
	}
}

// transmit returns the time that a message takes, including the wait for earlier messages. If it would wait longer than
// tuning.SendQueueTTL, it is dropped, as by daemon.Transport, and ok is false.
func (l *limitedLink) transmit(now time.Duration, bytes int) (took time.Duration, ok bool) {
	free := max(l.busyUntil, now)
	if free-now > tuning.SendQueueTTL {
		return 0, false
	}
	l.busyUntil = free + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	return l.busyUntil - now, true
}
