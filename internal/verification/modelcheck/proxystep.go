// This file has the transitions and the invariants of the model of the proxy membership.

package modelcheck

import (
	"fmt"

	"myrtlefold/internal/shared/proxyquorum"
)

// proxyModel is the model of the proxy membership with a set of rules.
type proxyModel struct{ rules proxyRules }

// proxyStep is a transition and the state that it leads to.
type proxyStep struct {
	name string
	to   proxyState
}

// successors returns all transitions from a state.
func (m *proxyModel) successors(from *proxyState) (steps []proxyStep) {
	add := func(name string, change func(s *proxyState) bool) {
		to := *from
		if change(&to) && to != *from {
			steps = append(steps, proxyStep{name, to})
		}
	}
	for proxy := range modelProxies {
		named := func(name string) string { return fmt.Sprintf("%s g%d", name, proxy) }
		add(named("pull"), func(s *proxyState) bool { return s.sendPull(proxy) })
		latest := from.processes[proxy].incarnation
		add(named("leader gets pull of"), func(s *proxyState) bool { return m.deliverPull(s, proxy, latest) })
		add(named("leader gets earlier pull of"), func(s *proxyState) bool { return latest > 1 && m.deliverPull(s, proxy, latest-1) })
		add(named("leader answers"), func(s *proxyState) bool { return m.deliverPull(s, proxy, latest) && m.answer(s, proxy) })
		add(named("lease ends of"), func(s *proxyState) bool { return s.endLease(proxy) })
		add(named("stop"), func(s *proxyState) bool { return m.stop(s, proxy) })
		add(named("exit"), func(s *proxyState) bool { return s.exit(proxy) })
		add(named("crash"), func(s *proxyState) bool { return s.crash(proxy) })
		add(named("restart"), func(s *proxyState) bool { return s.restart(proxy) })
		add(named("take off silent"), func(s *proxyState) bool { return m.proposeSilent(s, proxy) })
	}
	add("propose removal of departed", m.proposeDeparted)
	add("propose newcomers", m.proposeNewcomers)
	add("commit", (*proxyState).commit)
	add("put in force", m.putInForce)
	add("elect, change kept", func(s *proxyState) bool { return s.elect(true) })
	add("elect, change lost", func(s *proxyState) bool { return s.elect(false) })
	return steps
}

// sendPull sends a pull with what the process of a proxy has.
func (s *proxyState) sendPull(proxy int) bool {
	process := &s.processes[proxy]
	if process.alive {
		s.pulls[proxy][process.incarnation%keptPulls] = modelPull{true, process.departed, process.table, process.incarnation}
	}
	return process.alive
}

// deliverPull delivers the last pull of a process to the leader.
func (m *proxyModel) deliverPull(s *proxyState, proxy int, incarnation uint8) bool {
	pull, view := s.pulls[proxy][incarnation%keptPulls], &s.views[proxy]
	if !pull.sent || pull.incarnation != incarnation || view.replaced&(1<<pull.incarnation) != 0 {
		return false
	}
	if pull.incarnation != view.incarnation {
		mayBeLeased, replaced := view.mayBeLeased, view.replaced|1<<view.incarnation
		*view = modelView{incarnation: pull.incarnation, replaced: replaced, mayBeLeased: mayBeLeased}
	}
	view.confirmed = 0
	if s.table(pull.table).term == s.term {
		view.confirmed = pull.table
	}
	view.departed = view.departed || pull.departed
	view.signedOff = view.signedOff || view.departed && (view.confirmed > 0 || m.rules.believeStaleDeparture)
	return true
}

// answer delivers the leader's answer to a pull, with its latest table and, if the proxy may have one, a lease.
func (m *proxyModel) answer(s *proxyState, proxy int) bool {
	process, view := &s.processes[proxy], &s.views[proxy]
	if !process.alive || process.incarnation != view.incarnation {
		return false
	}
	process.table = max(process.table, s.made)
	removing := s.change.removed.has(proxy) && !m.rules.leaseWhileRemoved
	if s.members.has(proxy) && !view.departed && !removing {
		view.mayBeLeased = true
		if !process.departed {
			process.leased, process.served = true, true
		}
	}
	return true
}

// endLease ends the lease of a proxy, and then the leader's time to wait for it.
func (s *proxyState) endLease(proxy int) bool {
	s.processes[proxy].leased, s.views[proxy].mayBeLeased = false, false
	return true
}

// stop ends the service of a proxy as planned.
func (m *proxyModel) stop(s *proxyState, proxy int) bool {
	process := &s.processes[proxy]
	if !process.alive || process.departed || s.budget.stop == 0 {
		return false
	}
	s.budget.stop--
	process.departed = true
	process.leased = process.leased && m.rules.departWhileServing
	return true
}

// exit ends the process of a proxy that has ended and whose table does not list it.
func (s *proxyState) exit(proxy int) bool {
	process := &s.processes[proxy]
	if !process.alive || !process.departed || s.table(process.table).members.has(proxy) {
		return false
	}
	*process = modelProcess{incarnation: process.incarnation}
	return true
}

// crash ends the process of a proxy at any time.
func (s *proxyState) crash(proxy int) bool {
	process := &s.processes[proxy]
	if !process.alive || s.budget.crash == 0 {
		return false
	}
	s.budget.crash--
	s.crashed = true
	*process = modelProcess{incarnation: process.incarnation}
	return true
}

// restart starts a new process of a proxy.
func (s *proxyState) restart(proxy int) bool {
	process := &s.processes[proxy]
	if process.alive || s.budget.restart == 0 {
		return false
	}
	s.budget.restart--
	*process = modelProcess{alive: true, incarnation: process.incarnation + 1}
	return true
}

// proposeDeparted proposes to take off the proxies that have signed off.
func (m *proxyModel) proposeDeparted(s *proxyState) bool {
	departed, latest := proxySet(0), uint8(0)
	for proxy := range modelProxies {
		if s.members.has(proxy) && s.views[proxy].signedOff {
			departed, latest = departed.with(proxy), max(latest, s.views[proxy].confirmed)
		}
	}
	count := s.count(s.members, latest)
	if departed == 0 || s.change.proposed || !count.IsQuorumOfRunning() && !m.rules.removeWithTable {
		return false
	}
	s.change = modelChange{proposed: true, removed: departed, departed: departed}
	return true
}

// proposeNewcomers proposes to add all proxies that pull and are no members.
func (m *proxyModel) proposeNewcomers(s *proxyState) bool {
	added := proxySet(0)
	for proxy := range modelProxies {
		if view := &s.views[proxy]; view.incarnation > 0 && !view.departed && !s.members.has(proxy) {
			added = added.with(proxy)
		}
	}
	if added == 0 || s.change.proposed || s.changeTable > 0 {
		return false
	}
	s.change = modelChange{proposed: true, added: added}
	return true
}

// proposeSilent proposes to take off a proxy that the leader has not heard of for long, whether or not it is alive.
func (m *proxyModel) proposeSilent(s *proxyState, proxy int) bool {
	if view := &s.views[proxy]; s.budget.expire == 0 || !s.members.has(proxy) || view.mayBeLeased || view.confirmed > 0 || s.change.proposed || s.changeTable > 0 {
		return false
	}
	s.budget.expire--
	s.change = modelChange{proposed: true, removed: proxySet(0).with(proxy)}
	if m.rules.removeSilentAsDeparted {
		s.change.departed = s.change.removed
	}
	return true
}

// commit commits the proposed change and makes a table with it.
func (s *proxyState) commit() bool {
	if !s.change.proposed {
		return false
	}
	retires := s.change.retires
	s.applyChange()
	if !s.makeTable() {
		return false
	}
	if !retires {
		s.changeTable = s.made
	}
	return true
}

// elect begins the next term. The proposed change is committed by the new leader, or was lost with the old one.
func (s *proxyState) elect(kept bool) bool {
	if s.budget.elect == 0 || kept && !s.change.proposed {
		return false
	}
	s.budget.elect--
	if kept {
		s.applyChange()
	}
	s.change = modelChange{}
	s.term++
	for proxy := range modelProxies {
		s.views[proxy] = modelView{mayBeLeased: s.members.has(proxy) || s.previous.has(proxy)}
	}
	if !s.makeTable() {
		return false
	}
	s.changeTable = 0
	if s.previous != 0 {
		s.changeTable = s.made
	}
	return true
}

// count counts the confirmations of a table in a membership.
func (s *proxyState) count(members proxySet, table uint8) (count proxyquorum.Count) {
	for proxy := range modelProxies {
		if members.has(proxy) {
			view := &s.views[proxy]
			count.Add(view.confirmed > 0 && view.confirmed >= table, view.signedOff)
		}
	}
	return count
}

// putInForce puts the latest table in force, if it is, and then proposes to retire the previous membership.
func (m *proxyModel) putInForce(s *proxyState) bool {
	current, previous := s.count(s.members, s.made), s.count(s.previous.minus(s.departed), s.made)
	if !m.isQuorum(&current) || !m.isQuorum(&previous) {
		return false
	}
	for proxy := range modelProxies {
		view := &s.views[proxy]
		listed := s.members.has(proxy) || s.previous.has(proxy)
		if listed && view.mayBeLeased && !view.signedOff && view.confirmed < s.made {
			return false
		}
	}
	s.inForce = s.made
	if s.changeTable > 0 && !s.change.proposed {
		s.changeTable = 0
		if s.previous != 0 {
			s.change = modelChange{proposed: true, retires: true, base: s.changedIn}
		}
	}
	return true
}

func (m *proxyModel) isQuorum(count *proxyquorum.Count) bool {
	if m.rules.confirmByLessThanHalf && count.Members() > 0 {
		count.Add(true, false)
	}
	return count.IsQuorum()
}

// violation returns which invariant a state violates, "" for none.
func (m *proxyModel) violation(s *proxyState) string {
	for proxy := range modelProxies {
		if process := &s.processes[proxy]; process.alive && process.table > 0 && process.table < s.inForce && (process.leased || s.mayServeOnPeerLeases(proxy)) {
			return fmt.Sprintf("g%d may serve by table %d, and table %d is in force", proxy, process.table, s.inForce)
		}
	}
	hadProxies := s.table(s.inForce).members != 0 // else there was nobody to have the table
	if hadProxies && !s.crashed && s.mayGatherWithout(s.inForce) {
		return fmt.Sprintf("a new leader may gather tables and miss table %d, which is in force", s.inForce)
	}
	return ""
}

// mayServeOnPeerLeases reports whether a proxy could get peer leases from enough proxies for its table.
func (s *proxyState) mayServeOnPeerLeases(proxy int) bool {
	self := &s.processes[proxy]
	if self.departed {
		return false
	}
	table := s.table(self.table)
	grants := func(peer int) bool {
		process := &s.processes[peer]
		return process.alive && !process.departed && process.served && process.table > 0 && process.table <= self.table
	}
	var current, previous proxyquorum.Count
	for peer := range modelProxies {
		if table.members.has(peer) {
			current.Add(grants(peer), false)
		}
		if table.previous.minus(table.departed).has(peer) {
			previous.Add(grants(peer), false)
		}
	}
	return current.IsMajority() && (previous.Members() == 0 || previous.IsMajority())
}

// mayGatherWithout reports whether a new leader may hear enough proxies of which none has a table, or a later one.
func (s *proxyState) mayGatherWithout(table uint8) bool {
	lacks := func(proxy int) bool { return s.processes[proxy].alive && s.processes[proxy].table < table }
	var current, previous proxyquorum.Count
	for proxy := range modelProxies {
		if s.members.has(proxy) {
			current.Add(lacks(proxy), false)
		}
		if s.previous.minus(s.departed).has(proxy) {
			previous.Add(lacks(proxy), false)
		}
	}
	return current.IsMajority() && (previous.Members() == 0 || previous.IsMajority())
}
