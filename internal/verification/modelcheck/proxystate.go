// This file models the proxy membership: proxies that leave, return and crash, their tables and leases, and the leaders that put
// tables in force. It runs the real rules of packages proxyquorum and state; the leader and the proxies around them are a model.
// Messages may arrive late, twice or never. Leases end in any order, but never later at a proxy than the leader assumes.

package modelcheck

import (
	"fmt"
	"slices"

	"myrtlefold/internal/shared/state"
)

// Bounds of the model. Proxies, and tables from 1 on, are named by numbers; table 0 stands for none.
const (
	modelProxies   = 5
	modelTablesMax = 8
	// keptPulls is the number of processes of a proxy whose last pulls are kept: the latest and the one before.
	keptPulls = 2
)

// proxySet is a set of proxies, as bits.
type proxySet uint8

func (s proxySet) has(proxy int) bool            { return s&(1<<proxy) != 0 }
func (s proxySet) with(proxy int) proxySet       { return s | 1<<proxy }
func (s proxySet) minus(other proxySet) proxySet { return s &^ other }

// modelTable is what a table says about proxies. Its number is its version: later terms make later tables.
type modelTable struct {
	term                        uint8
	members, previous, departed proxySet
}

// modelProcess is the process of a proxy.
type modelProcess struct {
	alive, departed bool
	leased          bool  // it has a lease of a leader
	served          bool  // it has had the right to serve
	table           uint8 // number of its table
	incarnation     uint8
}

// modelPull is the last pull of a process, which the leader may get at any time, any number of times, until that process sends the
// next one.
type modelPull struct {
	sent, departed     bool
	table, incarnation uint8
}

// modelView is what the leader knows of a proxy in the present term.
type modelView struct {
	incarnation         uint8 // of its latest pull, 0 if there was none
	replaced            uint8 // incarnations that later ones replaced, as bits
	confirmed           uint8 // number of the table of the present term that it has confirmed
	departed, signedOff bool
	mayBeLeased         bool // a lease of the present or an earlier leader may not have ended
}

// modelChange is a change of the membership that is proposed and not committed.
type modelChange struct {
	proposed, retires        bool // retires: the previous membership is retired
	added, removed, departed proxySet
	base                     uint8
}

// proxyBudget counts the transitions of a kind that a path may still have.
type proxyBudget struct{ stop, restart, crash, elect, expire uint8 }

// proxyState is a state of the model. It is comparable, so that states are told apart by value.
type proxyState struct {
	processes [modelProxies]modelProcess
	pulls     [modelProxies][keptPulls]modelPull // by incarnation
	views     [modelProxies]modelView
	tables    [modelTablesMax]modelTable
	made      uint8 // number of tables made

	term                        uint8
	members, previous, departed proxySet // committed
	changedIn                   uint8    // the number of the last committed change
	change                      modelChange
	changeTable                 uint8 // the first table with the last change that is not in force yet, 0: it is in force

	inForce uint8 // number of the latest table that was in force
	budget  proxyBudget
	crashed bool // a proxy has crashed, and its table with it
}

// proxyRules are the rules of the membership. Each field set to true leaves a rule out, so that tests can show that it is needed.
type proxyRules struct {
	believeStaleDeparture  bool // a proxy is signed off without a table of the present term
	leaseWhileRemoved      bool // a new process gets a lease while the removal of its name is proposed
	departWhileServing     bool // a proxy reports its end while it still has its lease
	removeWithTable        bool // proxies are taken off though the others lack a table that they have
	removeSilentAsDeparted bool // silent proxies are taken off as if they had ended
	confirmByLessThanHalf  bool // one proxy less than half confirms a table
}

// table returns a table by its number. Table 0 is empty.
func (s *proxyState) table(number uint8) modelTable {
	if number == 0 {
		return modelTable{}
	}
	return s.tables[number-1]
}

// makeTable makes the next table, if the bound allows it.
func (s *proxyState) makeTable() bool {
	if s.made == modelTablesMax {
		return false
	}
	s.tables[s.made] = modelTable{s.term, s.members, s.previous, s.departed}
	s.made++
	return true
}

// applyChange commits the proposed change with the real state machine of the log.
func (s *proxyState) applyChange() {
	command := state.Command{Operation: state.OpChangeProxies, RemovedProxies: s.change.removed.names(), DepartedProxies: s.change.departed.names()}
	if s.change.retires {
		command = state.Command{Operation: state.OpProxiesInForce, Base: uint64(s.change.base)}
	}
	for _, name := range s.change.added.names() {
		command.Proxies = append(command.Proxies, state.ProxyEntry{Name: name})
	}
	replicated := state.New()
	replicated.ProxiesIndex = uint64(s.changedIn)
	for _, name := range s.members.names() {
		replicated.Proxies = append(replicated.Proxies, state.ProxyEntry{Name: name})
	}
	replicated.PreviousProxies, replicated.DepartedProxies = s.previous.names(), s.departed.names()
	replicated.Apply(uint64(s.changedIn+1), command)
	s.members, s.previous, s.departed = setOf(replicated.ProxyNames()), setOf(replicated.PreviousProxies), setOf(replicated.DepartedProxies)
	if !s.change.retires {
		s.changedIn++
	}
	s.change = modelChange{}
}

// names returns the names of the proxies in a set, sorted.
func (s proxySet) names() (names []string) {
	for proxy := range modelProxies {
		if s.has(proxy) {
			names = append(names, fmt.Sprintf("g%d", proxy))
		}
	}
	return names
}

// setOf returns the set of the proxies with the given names.
func setOf(names []string) (set proxySet) {
	for proxy := range modelProxies {
		if slices.Contains(names, fmt.Sprintf("g%d", proxy)) {
			set = set.with(proxy)
		}
	}
	return set
}
