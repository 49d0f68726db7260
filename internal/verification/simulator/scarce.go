// This file has processes take time for what they handle, and links for what goes
// over them.

package simulator

import (
	"io"
	"myrtlefold/internal/shared/statemachine"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// LimitedResources has processes take time for what they handle, and links for what goes over them.
type LimitedResources struct {
	ControlShare, ProxyShare float64 // of a processor
	ProxyLink                float64 // bytes a second, each way
}

// What a process that has a processor of its own takes for one message or event, and for a
// byte: system calls, reading and writing, and the owner's step.
const (
	costEvent = 60 * time.Microsecond
	costByte  = 10 * time.Nanosecond
	// costCall is an HTTP call of a target or an operator, with its answer; costDial a new connection
	// to a target, with its end.
	costCall = 3 * costEvent
	costDial = 3 * costEvent
)

// share is the part of a processor that a process has.
func (s *LimitedResources) share(p *Process) float64 {
	if p.kind == wire.ControlDaemon {
		return s.ControlShare
	}
	return s.ProxyShare
}

// weigh is how many bytes a message takes on a connection.
func weigh(m *wire.Message) int {
	n, err := wire.NewWriter(io.Discard).Put(m)
	if err != nil {
		panic(err)
	}
	return n
}

// work has a process spend processor time on something, after all that it has to do before; what
// it gives is when that is done. The time is accounted for by what it was spent on.
func (w *World) work(p *Process, on string, cost time.Duration) time.Duration {
	d := time.Duration(float64(cost) / w.Plan.Resources.share(p) * max(1, p.slow))
	if p.spent == nil {
		p.spent = map[string]time.Duration{}
	}
	p.spent[on] += cost
	p.busy = max(p.busy, w.now) + d
	return p.busy
}

// probeCost is what a probe takes: the question and the answer, and a new connection unless there is one.
func (w *World) probeCost(p *Process, c statemachine.Probe) time.Duration {
	if p.probed == nil {
		p.probed = map[wire.TargetID]bool{}
	}
	t := w.listen[c.Addr]
	answers := t != nil && !t.hang && !t.deaf && t.inc == c.ID.Incarnation
	kept := p.probed[c.ID]
	p.probed[c.ID] = answers
	if kept && answers {
		return 2 * costEvent
	}
	return 2*costEvent + costDial
}

// messageCost is what sending or receiving so many bytes takes.
func messageCost(bytes int) time.Duration { return costEvent + time.Duration(bytes)*costByte }

// workOnMessage is what the time for a message is accounted under.
func workOnMessage(m *wire.Message, way string) string { return way + " " + m.Kind.String() }

// pass is when so many bytes that are ready at a moment have gone over a proxy's link.
func (w *World) pass(at time.Duration, link *time.Duration, bytes int) time.Duration {
	*link = max(*link, at) + time.Duration(float64(bytes)*float64(time.Second)/w.Plan.Resources.ProxyLink)
	return *link
}

// scarce carries a message where that takes time; what a full link would hold up for too
// long is dropped, as a shell does.
func (w *World) scarce(p, to *Process, m *wire.Message, d time.Duration) {
	n := weigh(m)
	at := w.work(p, workOnMessage(m, "send"), messageCost(n))
	if p.kind == wire.ProxyDaemon {
		if p.out-w.now > tuning.SendQueueTTL {
			return
		}
		at = w.pass(at, &p.out, n)
	}
	at += d
	if to.kind == wire.ProxyDaemon {
		if to.in-w.now > tuning.SendQueueTTL {
			return
		}
		at = w.pass(at, &to.in, n)
	}
	gen, sent, k := to.gen, w.now, [2]string{p.name, to.name}
	at = max(at, w.resets[k].until)
	w.at(at-w.now, func() {
		if to.gen != gen || !to.alive {
			return
		}
		w.at(w.work(to, workOnMessage(m, "receive"), messageCost(n))-w.now, func() {
			if to.gen == gen && w.reach(p.name, to.name) && sent >= w.resets[k].at {
				w.deliver(to, statemachine.Receive{Message: m})
			}
		})
	})
}
