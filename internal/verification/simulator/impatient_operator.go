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

// sendImpatiently sends a change that names no base. If no reply arrives in time, it gives the call up and sends it again, as a
// new call, to another member.
func (w *World) sendImpatiently(process *Process, change *operatorChange, onReply func(statemachine.Reply)) {
	answered := false
	token := fmt.Sprintf("%s-%d", change.token, change.repetitions)
	pending := w.call(process, change.method, change.path, change.query, change.body, token, func(r statemachine.Reply) {
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
