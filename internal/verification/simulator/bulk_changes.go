package simulator

import (
	"net/http"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Parameters of bulk changes: many in a row, many at once, and many that are sent again because their replies are lost.
const (
	// successiveChangeInterval is the time between two changes of the fault "many successive changes".
	successiveChangeInterval = 100 * time.Millisecond
	// concurrentChanges is the number of changes sent at once, and concurrentDocuments the number of different
	// documents among them.
	concurrentChanges   = 8
	concurrentDocuments = 3
	// replyLossShare is the fraction of replies lost during the fault "replies to changes lost".
	replyLossShare = 0.7
	// lostReplyInterval is the time between two changes during that fault.
	lostReplyInterval = 400 * time.Millisecond
	// maxRepetitions is the maximum number of times that one change is sent again.
	maxRepetitions = 8
	// maxBulkChanges is the maximum number of bulk changes in one run, which keeps the check of the run's history fast.
	maxBulkChanges = 200
)

// operatorChange is the call of an operator's change, which may be sent repeatedly with the same token.
type operatorChange struct {
	method, path, query string
	body                []byte
	token               string
	repetitions         int // number of times it was sent again
}

// sendRepeatedly sends a change. If the reply is lost, it sends the change again to another member until a reply arrives.
func (w *World) sendRepeatedly(p *Process, c *operatorChange, onReply func(statemachine.Reply)) {
	pending := w.call(p, c.method, c.path, c.query, c.body, c.token, onReply)
	deliverReply := pending.onReply
	pending.onReply = func(r statemachine.Reply) {
		if !w.losesReply(c) {
			deliverReply(r)
			return
		}
		w.Stats.LostReplies++
		w.logf("reply with status %d to change %s is lost", r.Status, c.token)
		w.schedule(w.randomMilliseconds(20, 300), func() { w.repeatChange(p, c, onReply) })
	}
}

// leavesOpen reports whether a rejection leaves the outcome of a change unknown. With status 503 a member can't decide now,
// so an earlier copy whose reply was lost may have been accepted. Any other rejection is final.
func (c *operatorChange) leavesOpen(r statemachine.Reply) bool {
	return c.repetitions > 0 && r.Status == http.StatusServiceUnavailable
}

// losesReply randomly decides whether a reply is lost. Only replies to configuration changes are lost here. Changes of domains are
// given up and repeated by sendImpatiently.
func (w *World) losesReply(c *operatorChange) bool {
	return w.now < w.operators.repliesLostUntil && c.repetitions < maxRepetitions &&
		changesConfiguration(c.method, c.path) && w.random.Float64() < replyLossShare
}

// repeatChange sends a change again to another running member, or to the same one if there is no other.
func (w *World) repeatChange(before *Process, c *operatorChange, onReply func(statemachine.Reply)) {
	c.repetitions++
	w.sendRepeatedly(w.otherMember(before), c, onReply)
}

// otherMember returns a random control daemon that is running, other than the given one if there is one.
func (w *World) otherMember(before *Process) *Process {
	others := slices.DeleteFunc(w.daemons(wire.ControlDaemon), func(p *Process) bool { return !p.alive || p == before })
	if len(others) == 0 {
		return before
	}
	return others[w.random.IntN(len(others))]
}

// reserveBulkChanges reports whether the run's maximum allows that many more bulk changes, and if so counts them.
func (w *World) reserveBulkChanges(changes int) bool {
	if w.operators.bulkChanges+changes > maxBulkChanges {
		return false
	}
	w.operators.bulkChanges += changes
	return true
}

// changeRepeatedly sends a configuration change to a random member at each interval for the given time span.
func (w *World) changeRepeatedly(interval, span time.Duration) {
	for at := time.Duration(0); at < span; at += interval {
		w.schedule(at, func() {
			if p := w.pickProcess(wire.ControlDaemon, true); p != nil && w.reserveBulkChanges(1) {
				w.putNextConfig(p)
			}
		})
	}
}

// loseReplies loses most replies to configuration changes for a while, and sends changes during that time.
func (w *World) loseReplies(span time.Duration) {
	w.logf("replies to configuration changes are lost for %v", span)
	w.operators.repliesLostUntil = max(w.operators.repliesLostUntil, w.now+span)
	w.changeRepeatedly(lostReplyInterval, span)
}

// changeConcurrently sends several changes on the same base at once to random members. Some have the same document under
// different tokens, others have different documents.
func (w *World) changeConcurrently() {
	if !w.reserveBulkChanges(concurrentChanges) {
		return
	}
	base, number := w.Revision(), w.nextDocumentNumber()
	for i := range concurrentChanges {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			w.PutConfig(p, base, number+i%concurrentDocuments)
		}
	}
}
