package simulator

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// slowProcessorShare is the part of a processor that a machine has in the users' deployments: what a
// slowed process takes for an event is eventCost over it, times its slowdown.
const slowProcessorShare = 0.32

// slowProcess has a process take so many times as long for everything, for a while.
func (w *World) slowProcess(p *Process, times float64, span time.Duration) {
	w.logf("%s is %v times slower for %v", p.name, times, span)
	p.slowdown = times
	incarnation := p.incarnation
	w.schedule(span, func() {
		if p.incarnation == incarnation {
			p.slowdown = 0
		}
	})
}

// delayedBySlowness says whether a process still has to handle what came before; the event then waits its
// turn. Where the processors of all are limited, useProcessor counts a process's slowdown instead.
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
