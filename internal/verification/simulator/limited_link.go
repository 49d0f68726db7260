package simulator

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// limitedLink is a link into one process that carries few bytes, also where the plan's links take no time.
type limitedLink struct {
	bytesPerSecond float64
	busyUntil      time.Duration // when all that is on it has passed
}

// limitLink has what is sent to a process pass at so many bytes a second; 0: at once again.
func (w *World) limitLink(p *Process, bytesPerSecond float64) {
	w.logf("link into %s: %.0f bytes a second", p.name, bytesPerSecond)
	delete(w.network.limited, p.name)
	if bytesPerSecond > 0 {
		w.network.limited[p.name] = &limitedLink{bytesPerSecond: bytesPerSecond}
	}
}

// transmit returns how long a message waits and takes. One that would wait for too long is dropped,
// as a shell does; ok is false then.
func (l *limitedLink) transmit(now time.Duration, bytes int) (took time.Duration, ok bool) {
	free := max(l.busyUntil, now)
	if free-now > tuning.SendQueueTTL {
		return 0, false
	}
	l.busyUntil = free + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	return l.busyUntil - now, true
}
