package simulator

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// An operator gives a call up after callerPatience without a reply, closes its connection and sends the call again
// elsewhere, at most maxResends times.
const (
	callerPatience = time.Second
	maxResends     = 3
)

// While the network holds calls, it holds each with heldCallShare, for minCallHold to maxCallHold, and the end of its connection
// up to maxEndHold longer.
const (
	heldCallShare = 0.5
	minCallHold   = time.Second
	maxCallHold   = 6 * time.Second
	maxEndHold    = 300 * time.Millisecond
)

// drawHold returns how long the network holds the next call of an impatient operator.
func (w *World) drawHold() networkHold {
	if w.now >= w.operators.callsHeldUntil || w.random.Float64() >= heldCallShare {
		return networkHold{}
	}
	w.Stats.HeldCalls++
	return networkHold{
		call: minCallHold + time.Duration(w.random.Int64N(int64(maxCallHold-minCallHold))),
		end:  time.Duration(w.random.Int64N(int64(maxEndHold))),
	}
}

// sendImpatiently sends a change that names no base. If no reply arrives in time, it gives the call up and sends it again, as a
// new call, to another member.
func (w *World) sendImpatiently(process *Process, change *operatorChange, onReply func(statemachine.Reply)) {
	answered := false
	token := fmt.Sprintf("%s-%d", change.token, change.repetitions)
	pending := w.callHeld(w.drawHold(), process, change.method, change.path, change.query, change.body, token, func(r statemachine.Reply) {
		answered = true
		onReply(r)
	})
	w.schedule(callerPatience, func() {
		if answered || change.repetitions >= maxResends {
			return
		}
		pending.abandon(w.now)
		w.Stats.AbandonedCalls++
		change.repetitions++
		w.sendImpatiently(w.otherMember(process), change, onReply)
	})
}
