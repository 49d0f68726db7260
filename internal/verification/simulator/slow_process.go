package simulator

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// slowProcessorShare is the fraction of a processor that a machine has in the users' deployments. A slow process takes
// eventCost / slowProcessorShare, times its slowdown, for an event.
const slowProcessorShare = 0.32

// slowProcess makes everything that a process does take factor times as long for a while.
func (w *World) slowProcess(p *Process, factor float64, span time.Duration) {
	w.logf("%s is %v times slower for %v", p.name, factor, span)
	p.slowdown = factor
	incarnation := p.incarnation
	w.schedule(span, func() {
		if p.incarnation == incarnation {
			p.slowdown = 0
		}
	})
}

// delayedBySlowness schedules an event behind the backlog of a slow process and reports whether it did. It does nothing if the
// process has neither a slowdown nor a backlog, or if the plan limits processors: useProcessor applies the slowdown then.
func (w *World) delayedBySlowness(p *Process, event statemachine.Event) bool {
	if w.Plan.Resources != nil || p.slowdown == 0 && p.backlogUntil <= w.now {
		return false
	}
	p.backlogUntil = max(p.backlogUntil, w.now) + time.Duration(float64(eventCost)/slowProcessorShare*max(1, p.slowdown))
	incarnation := p.incarnation
	w.schedule(p.backlogUntil-w.now, func() {
		if p.incarnation == incarnation {
			w.step(p, event)
		}
	})
	return true
}
