// This file has processes take time for what they handle, and links for what goes
// over them.

package sim

import (
	"io"
	"time"

	"myrtlefold/core"
	"myrtlefold/limit"
	"myrtlefold/wire"
)

// Scarce has processes take time for what they handle, and links for what goes over them.
type Scarce struct {
	CoreShare, GateShare float64 // of a processor
	GateLink             float64 // bytes a second, each way
}

// What a process that has a processor of its own takes for one message or event, and for a
// byte: system calls, reading and writing, and the owner's step.
const (
	costEvent = 60 * time.Microsecond
	costByte  = 10 * time.Nanosecond
)

// share is the part of a processor that a process has.
func (s *Scarce) share(p *Proc) float64 {
	if p.kind == "core" {
		return s.CoreShare
	}
	return s.GateShare
}

// weigh is how many bytes a message takes on a connection.
func weigh(m *wire.Msg) int {
	n, err := wire.NewWriter(io.Discard).Put(m)
	if err != nil {
		panic(err)
	}
	return n
}

// work has a process spend time on something, after all that it has to do before; what it
// gives is when that is done.
func (w *World) work(p *Proc, bytes int) time.Duration {
	d := float64(costEvent+time.Duration(bytes)*costByte) / w.Plan.Scarce.share(p) * max(1, p.slow)
	p.busy = max(p.busy, w.now) + time.Duration(d)
	return p.busy
}

// pass is when so many bytes that are ready at a moment have gone over a proxy's link.
func (w *World) pass(at time.Duration, link *time.Duration, bytes int) time.Duration {
	*link = max(*link, at) + time.Duration(float64(bytes)*float64(time.Second)/w.Plan.Scarce.GateLink)
	return *link
}

// scarce carries a message where that takes time; what a full link would hold up for too
// long is dropped, as a shell does.
func (w *World) scarce(p, to *Proc, m *wire.Msg, d time.Duration) {
	n := weigh(m)
	at := w.work(p, n)
	if p.kind == "gate" {
		if p.out-w.now > limit.SendLate {
			return
		}
		at = w.pass(at, &p.out, n)
	}
	at += d
	if to.kind == "gate" {
		if to.in-w.now > limit.SendLate {
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
		w.at(w.work(to, n)-w.now, func() {
			if to.gen == gen && w.reach(p.name, to.name) && sent >= w.resets[k].at {
				w.deliver(to, core.Recv{M: m})
			}
		})
	})
}
