// This file searches the states of the model of the proxy membership.

package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// firstProxyState returns the state in which the first proxies are members with the first table, which is in force, and all
// leases run.
func firstProxyState(members int, budget proxyBudget) proxyState {
	s := proxyState{term: 1, inForce: 1, budget: budget}
	for proxy := range members {
		s.members = s.members.with(proxy)
	}
	s.makeTable()
	for proxy := range members {
		s.processes[proxy] = modelProcess{alive: true, leased: true, served: true, table: 1, incarnation: 1}
		s.views[proxy] = modelView{incarnation: 1, confirmed: 1, mayBeLeased: true}
	}
	return s
}

// proxyReport is the result of a search.
type proxyReport struct {
	states, inForce, changes int    // distinct states, and the largest numbers of tables in force and of changes
	violation                string // the invariant that was violated, "" for none
	path                     []string
}

func (r *proxyReport) observe(s *proxyState) {
	r.inForce, r.changes = max(r.inForce, int(s.inForce)), max(r.changes, int(s.changedIn))
}

// String returns the report with the path to the violation.
func (r *proxyReport) String() string {
	return fmt.Sprintf("%d states, %d tables in force, %d changes; %s\n%s", r.states, r.inForce, r.changes, r.violation, strings.Join(r.path, "\n"))
}

// searchProxies searches breadth first, until a state violates an invariant or the number of states is reached.
func searchProxies(model *proxyModel, first proxyState, statesMax int) *proxyReport {
	type origin struct {
		from int
		name string
	}
	states, origins := []proxyState{first}, []origin{{-1, ""}}
	seen := map[proxyState]bool{first: true}
	report := &proxyReport{}
	for at := 0; at < len(states) && len(states) < statesMax; at++ {
		from := states[at]
		for _, step := range model.successors(&from) {
			if seen[step.to] {
				continue
			}
			seen[step.to] = true
			states, origins = append(states, step.to), append(origins, origin{at, step.name})
			report.observe(&step.to)
			if report.violation = model.violation(&step.to); report.violation != "" {
				for i := len(states) - 1; i > 0; i = origins[i].from {
					report.path = append([]string{origins[i].name}, report.path...)
				}
				report.states = len(states)
				return report
			}
		}
	}
	report.states = len(states)
	return report
}

// walkProxies walks at random from the first state, until a state violates an invariant or the number of walks is reached.
func walkProxies(model *proxyModel, first proxyState, seed uint64, walks, length int) *proxyReport {
	random := rand.New(rand.NewPCG(seed, 0))
	report := &proxyReport{}
	for range walks {
		at := first
		report.path = nil
		for range length {
			steps := model.successors(&at)
			if len(steps) == 0 {
				break
			}
			step := steps[random.IntN(len(steps))]
			at = step.to
			report.states++
			report.observe(&at)
			report.path = append(report.path, step.name)
			if report.violation = model.violation(&at); report.violation != "" {
				return report
			}
		}
	}
	report.path = nil
	return report
}
