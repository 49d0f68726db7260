// This file holds operators' orders in bulk: many in a row, many at once, and many whose
// answers are lost, so that they are sent again.

package simulator

import (
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"net/http"
	"slices"
	"time"
)

const (
	// stormEvery is the time between two changes of a storm.
	stormEvery = 100 * time.Millisecond
	// ordersAtOnce is how many orders are under way together, and documentsAtOnce how many
	// different documents they carry.
	ordersAtOnce    = 8
	documentsAtOnce = 3
	// answerLoss is the part of answers that is lost while answers are lost in bulk.
	answerLoss = 0.7
	// lostOrderEvery is the time between two changes that meet the loss of answers.
	lostOrderEvery = 400 * time.Millisecond
	// mostRepetitions bounds how often one order is sent again.
	mostRepetitions = 8
	// mostBulkOrders bounds the orders in bulk of one day, so that the check of its history
	// stays fast.
	mostBulkOrders = 200
)

// operatorOrder is one change as an operator sends it, as often as need be under one token.
type operatorOrder struct {
	method, path, query string
	body                []byte
	token               string
	repetitions         int // how often it was sent again
}

// sendOrder sends an order. While answers are lost in bulk it is sent again, to another
// member, until one gets through.
func (w *World) sendOrder(p *Process, order *operatorOrder, answered func(statemachine.Reply)) {
	sent := w.call(p, order.method, order.path, order.query, order.body, order.token, answered)
	arrives := sent.fn
	sent.fn = func(r statemachine.Reply) {
		if !w.losesAnswer(order) {
			arrives(r)
			return
		}
		w.Stats.LostReplies++
		w.log("answer %d to %s is lost", r.Status, order.token)
		w.at(w.ms(20, 300), func() { w.repeatOrder(p, order, answered) })
	}
}

// leavesOpen says whether a refusal leaves an order's fate open: a member that can't decide
// now (503) says nothing of an earlier copy whose answer was lost. Any other refusal does.
func (order *operatorOrder) leavesOpen(r statemachine.Reply) bool {
	return order.repetitions > 0 && r.Status == http.StatusServiceUnavailable
}

// losesAnswer draws whether an answer is lost. Only changes of the configuration lose theirs:
// an order for a domain that took no effect must not come after a later one for it.
func (w *World) losesAnswer(order *operatorOrder) bool {
	return w.now < w.answersLostUntil && order.repetitions < mostRepetitions &&
		changesConfiguration(order.method, order.path) && w.rnd.Float64() < answerLoss
}

// repeatOrder sends an order again to another living member, or to the same one if there is
// no other.
func (w *World) repeatOrder(before *Process, order *operatorOrder, answered func(statemachine.Reply)) {
	others := slices.DeleteFunc(w.all(wire.ControlDaemon), func(n string) bool { return !w.procs[n].alive || n == before.name })
	to := before
	if len(others) > 0 {
		to = w.procs[others[w.rnd.IntN(len(others))]]
	}
	order.repetitions++
	w.sendOrder(to, order, answered)
}

// mayOrder counts orders in bulk; it says whether the day's bound allows so many more.
func (w *World) mayOrder(orders int) bool {
	if w.bulkOrders+orders > mostBulkOrders {
		return false
	}
	w.bulkOrders += orders
	return true
}

// ordersInARow sends a change of the configuration to any member again and again, for a while.
func (w *World) ordersInARow(every, d time.Duration) {
	for at := time.Duration(0); at < d; at += every {
		w.at(at, func() {
			if p := w.pick(wire.ControlDaemon, true); p != nil && w.mayOrder(1) {
				w.PutConfig(p, w.Revision(), w.docNumber())
			}
		})
	}
}

// loseAnswers loses most answers to operators' changes for a while, and has some changes sent.
func (w *World) loseAnswers(d time.Duration) {
	w.log("answers to orders are lost for %v", d)
	w.answersLostUntil = max(w.answersLostUntil, w.now+d)
	w.ordersInARow(lostOrderEvery, d)
}

// ordersTogether sends orders on one base at once, to any members: some the same document
// under different tokens, some another one.
func (w *World) ordersTogether() {
	if !w.mayOrder(ordersAtOnce) {
		return
	}
	base, number := w.Revision(), w.docNumber()
	for i := range ordersAtOnce {
		if p := w.pick(wire.ControlDaemon, true); p != nil {
			w.PutConfig(p, base, number+i%documentsAtOnce)
		}
	}
}
