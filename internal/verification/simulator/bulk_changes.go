package simulator

import (
	"net/http"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Changes in bulk: many in a row, many at once, and many whose replies are lost, so that they are sent again.
const (
	// stormInterval is the time between two changes of a storm.
	stormInterval = 100 * time.Millisecond
	// concurrentChanges is how many changes are under way together, and concurrentDocuments how many
	// different documents they carry.
	concurrentChanges   = 8
	concurrentDocuments = 3
	// replyLossShare is the part of replies that is lost while replies are lost in bulk.
	replyLossShare = 0.7
	// lostReplyInterval is the time between two changes that meet the loss of replies.
	lostReplyInterval = 400 * time.Millisecond
	// maxRepetitions bounds how often one change is sent again.
	maxRepetitions = 8
	// maxBulkChanges bounds the changes in bulk of one day, so that the check of its history
	// stays fast.
	maxBulkChanges = 200
)

// operatorChange is one change as an operator sends it, as often as need be under one token.
type operatorChange struct {
	method, path, query string
	body                []byte
	token               string
	repetitions         int // how often it was sent again
}

// sendRepeatedly sends a change. While replies are lost in bulk it is sent again, to another
// member, until one reply gets through.
func (w *World) sendRepeatedly(p *Process, c *operatorChange, onReply func(statemachine.Reply)) {
	pending := w.call(p, c.method, c.path, c.query, c.body, c.token, onReply)
	arrives := pending.onReply
	pending.onReply = func(r statemachine.Reply) {
		if !w.losesReply(c) {
			arrives(r)
			return
		}
		w.Stats.LostReplies++
		w.logf("answer %d to %s is lost", r.Status, c.token)
		w.schedule(w.randomMilliseconds(20, 300), func() { w.repeatChange(p, c, onReply) })
	}
}

// leavesOpen says whether a rejection leaves a change's fate open: a member that can't decide
// now (503) says nothing of an earlier copy whose reply was lost. Any other rejection does.
func (c *operatorChange) leavesOpen(r statemachine.Reply) bool {
	return c.repetitions > 0 && r.Status == http.StatusServiceUnavailable
}

// losesReply draws whether a reply is lost. Only changes of the configuration lose theirs:
// a change of a domain that took no effect must not come after a later one for it.
func (w *World) losesReply(c *operatorChange) bool {
	return w.now < w.operators.repliesLostUntil && c.repetitions < maxRepetitions &&
		changesConfiguration(c.method, c.path) && w.random.Float64() < replyLossShare
}

// repeatChange sends a change again to another living member, or to the same one if there is
// no other.
func (w *World) repeatChange(before *Process, c *operatorChange, onReply func(statemachine.Reply)) {
	others := slices.DeleteFunc(w.daemons(wire.ControlDaemon), func(p *Process) bool { return !p.alive || p == before })
	to := before
	if len(others) > 0 {
		to = others[w.random.IntN(len(others))]
	}
	c.repetitions++
	w.sendRepeatedly(to, c, onReply)
}

// mayChangeInBulk counts changes in bulk; it says whether the day's bound allows so many more.
func (w *World) mayChangeInBulk(changes int) bool {
	if w.operators.bulkChanges+changes > maxBulkChanges {
		return false
	}
	w.operators.bulkChanges += changes
	return true
}

// changeRepeatedly sends a change of the configuration to any member again and again, for a while.
func (w *World) changeRepeatedly(interval, span time.Duration) {
	for at := time.Duration(0); at < span; at += interval {
		w.schedule(at, func() {
			if p := w.pickProcess(wire.ControlDaemon, true); p != nil && w.mayChangeInBulk(1) {
				w.putNextConfig(p)
			}
		})
	}
}

// loseReplies loses most replies to operators' changes for a while, and has some changes sent.
func (w *World) loseReplies(span time.Duration) {
	w.logf("answers to orders are lost for %v", span)
	w.operators.repliesLostUntil = max(w.operators.repliesLostUntil, w.now+span)
	w.changeRepeatedly(lostReplyInterval, span)
}

// changeConcurrently sends changes on one base at once, to any members: some the same document
// under different tokens, some another one.
func (w *World) changeConcurrently() {
	if !w.mayChangeInBulk(concurrentChanges) {
		return
	}
	base, number := w.Revision(), w.nextDocumentNumber()
	for i := range concurrentChanges {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
			w.PutConfig(p, base, number+i%concurrentDocuments)
		}
	}
}
