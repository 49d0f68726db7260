// This file holds callers to the bounds of the configuration, which may change at any
// moment: sizes are looked at request by request, and a connection turns the two
// deadlines that the library's server sets on it into the configured ones. What the
// configuration leaves open has the program's own bounds.

package reverseproxy

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

func (c *Forwarder) limits() config.Limits {
	if l := c.Limits.Load(); l != nil {
		return *l
	}
	return config.Limits{}
}

// maxHeaderBytes is how large a caller's header may be.
func (c *Forwarder) maxHeaderBytes() int {
	if n := c.limits().HeaderBytes; n > 0 {
		return n
	}
	return tuning.HeaderMax
}

// maxBodyBytes is how large a caller's body for a service may be. One whose targets are asked
// for their health has the configuration's bound alone, others the smaller of both.
func (c *Forwarder) maxBodyBytes(s *config.Service) int64 {
	own, all := int64(s.BodyMax), int64(c.limits().BodyBytes)
	switch {
	case s.HasHealthCheck() && all > 0:
		return all
	case s.HasHealthCheck():
		return max(own, tuning.CallerBody)
	case all > 0:
		return min(own, all)
	}
	return own
}

// SetReadDeadline is the server's and, while a request is under way, the forwarder's. The
// server sets one further away than a header's while it waits for the next request.
func (p *callerConn) SetReadDeadline(t time.Time) error {
	if left := time.Until(t); !p.requestActive && !t.IsZero() && left > 0 {
		l := p.forwarder.limits()
		switch {
		case left <= tuning.CallerHeader && l.HeaderMs > 0:
			t = t.Add(time.Duration(l.HeaderMs)*time.Millisecond - tuning.CallerHeader)
		case left > tuning.CallerHeader && l.IdleMs > 0:
			t = t.Add(time.Duration(l.IdleMs)*time.Millisecond + tuning.IdleSlack - tuning.CallerIdle)
		}
	}
	return p.Conn.SetReadDeadline(t)
}
