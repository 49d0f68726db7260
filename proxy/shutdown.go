// This file is how a proxy stops: it goes unready at once, serves on while callers move away, and
// ends when nothing is under way any more or its time is up.

package proxy

import (
	"fmt"
	"time"

	"myrtlefold/core"
	"myrtlefold/limit"
)

// stop is how long a stopping proxy serves on in any case, and at most.
func (s Settings) stop() (linger, most time.Duration) {
	if s.Grace <= 0 {
		return limit.StopLinger, limit.StopWait
	}
	return min(limit.StopLingerMost, s.Grace/2), max(s.Grace-limit.StopMargin, s.Grace/2)
}

// beginStop goes unready.
func (g *Proxy) beginStop(now time.Duration) {
	if g.stopping {
		return
	}
	g.stopping, g.stopAt = true, now
	why := fmt.Sprintf("asked to, with %d requests under way", len(g.requests))
	g.emit(core.Change{What: "stop", From: "serving", To: "stopping", Why: why})
}

// tickStop ends the process when nothing is under way after the linger, or the time is up.
func (g *Proxy) tickStop(now time.Duration) {
	if !g.stopping || g.stopped {
		return
	}
	linger, most := g.settings.stop()
	waited := now - g.stopAt
	switch {
	case waited > most && len(g.requests) > 0:
		g.endStop(fmt.Sprintf("out of time, with %d requests under way", len(g.requests)))
	case waited > linger && len(g.requests) == 0:
		g.endStop("no request is under way")
	}
}

func (g *Proxy) endStop(why string) {
	g.stopped = true
	g.emit(core.Change{What: "stop", From: "stopping", To: "stopped", Why: why})
	g.emit(core.Exit{})
}
