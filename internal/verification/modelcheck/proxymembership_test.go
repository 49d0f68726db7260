package modelcheck

import (
	"slices"
	"testing"
)

// Bounds of the exploration of the proxy membership in tests.
const (
	proxyStatesInTests = 20_000
	proxyWalksInTests  = 300
	proxyWalkLength    = 100
)

// proxyScenes are the first states of the exploration of the proxy membership.
var proxyScenes = map[string]proxyState{
	"two leave and return":         firstProxyState(4, proxyBudget{stop: 2, restart: 1, elect: 1, crash: 1}),
	"all but one leave":            firstProxyState(4, proxyBudget{stop: 3, elect: 1}),
	"leave, crash, silent, return": firstProxyState(4, proxyBudget{stop: 2, restart: 2, crash: 2, elect: 2, expire: 1}),
	"five":                         firstProxyState(5, proxyBudget{stop: 4, restart: 2, elect: 2, expire: 1}),
	"two":                          firstProxyState(2, proxyBudget{stop: 2, restart: 3, crash: 2, elect: 2, expire: 1}),
}

// TestMembershipSearchFindsNoViolation searches the scenes breadth first and by random walks: no proxy can serve by an earlier table
// than is in force, and no new leader can miss one.
func TestMembershipSearchFindsNoViolation(t *testing.T) {
	for name, first := range proxyScenes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			model := &proxyModel{}
			inForce := 0
			for _, report := range []*proxyReport{
				searchProxies(model, first, proxyStatesInTests),
				walkProxies(model, first, 1, proxyWalksInTests, proxyWalkLength),
			} {
				t.Logf("%d states, %d tables in force, %d changes", report.states, report.inForce, report.changes)
				if report.violation != "" {
					t.Error(report)
				}
				inForce = max(inForce, report.inForce)
			}
			if inForce < 3 {
				t.Errorf("the latest table in force is %d; want at least 3, since otherwise nothing could be violated", inForce)
			}
		})
	}
}

// membershipMutations leave out one rule each. The path then leads to a violation.
var membershipMutations = map[string]struct {
	rules proxyRules
	first proxyState
	path  []string
}{
	"the end is believed without a table of the present term": {
		rules: proxyRules{believeStaleDeparture: true},
		first: firstProxyState(3, proxyBudget{stop: 1, restart: 1, elect: 1, crash: 1}),
		path:  []string{"stop g1", "pull g1", "crash g1", "restart g1", "pull g1", "leader answers g1", "elect, change lost", "leader gets earlier pull of g1", "pull g0", "leader answers g0", "pull g0", "leader gets pull of g0", "propose removal of departed", "commit", "leader answers g0", "pull g0", "leader gets pull of g0", "lease ends of g2", "put in force"},
	},
	"a new process is leased while its removal is proposed": {
		rules: proxyRules{leaseWhileRemoved: true},
		first: firstProxyState(2, proxyBudget{stop: 1, restart: 1, elect: 1, crash: 1, expire: 1}),
		path:  []string{"pull g1", "stop g0", "elect, change lost", "pull g0", "lease ends of g1", "take off silent g1", "leader answers g1", "leader answers g0", "commit", "pull g0", "leader gets pull of g0", "propose removal of departed", "commit", "leader answers g1", "pull g1", "leader answers g1", "put in force", "commit", "put in force"},
	},
	"a proxy signs off while it serves": {
		rules: proxyRules{departWhileServing: true},
		first: firstProxyState(3, proxyBudget{stop: 2, restart: 1, elect: 2}),
		path:  []string{"lease ends of g0", "stop g2", "pull g2", "leader answers g2", "propose removal of departed", "commit", "pull g1", "leader answers g1", "pull g1", "leader gets pull of g1", "put in force"},
	},
	"proxies are taken off with a table that the others lack": {
		rules: proxyRules{removeWithTable: true},
		first: firstProxyState(4, proxyBudget{stop: 2, restart: 1, elect: 1}),
		path:  []string{"elect, change lost", "pull g0", "lease ends of g2", "leader answers g0", "lease ends of g1", "pull g0", "stop g0", "pull g3", "leader answers g0", "leader answers g3", "pull g3", "pull g0", "leader answers g3", "put in force", "leader gets pull of g0", "propose removal of departed", "commit"},
	},
	"silent proxies are taken off as if they had ended": {
		rules: proxyRules{removeSilentAsDeparted: true},
		first: firstProxyState(2, proxyBudget{stop: 1, restart: 1, elect: 1, crash: 1, expire: 1}),
		path:  []string{"stop g0", "pull g1", "pull g0", "leader gets pull of g0", "propose removal of departed", "commit", "leader answers g1", "pull g1", "leader gets pull of g1", "put in force", "elect, change kept", "lease ends of g1", "take off silent g1", "commit", "put in force"},
	},
	"less than half of the proxies confirm a table": {
		rules: proxyRules{confirmByLessThanHalf: true},
		first: firstProxyState(3, proxyBudget{stop: 2, restart: 2, elect: 1}),
		path:  []string{"elect, change lost", "lease ends of g1", "pull g0", "lease ends of g2", "leader answers g0", "pull g0", "leader answers g0", "put in force"},
	},
}

// TestMembershipMutations leaves out each rule of the membership, which must violate an invariant: a check that can't fail tests
// nothing. With all rules, the same path is not possible or violates none.
func TestMembershipMutations(t *testing.T) {
	for name, mutation := range membershipMutations {
		t.Run(name, func(t *testing.T) {
			if violation := replayProxies(&proxyModel{mutation.rules}, mutation.first, mutation.path); violation == "" {
				t.Error("no invariant is violated without the rule")
			}
			if violation := replayProxies(&proxyModel{}, mutation.first, mutation.path); violation != "" {
				t.Errorf("with the rule: %s", violation)
			}
		})
	}
}

// replayProxies takes the transitions of a path and returns which invariant that violates. It stops at the first transition that is
// not possible.
func replayProxies(model *proxyModel, at proxyState, path []string) (violation string) {
	for _, name := range path {
		steps := model.successors(&at)
		i := slices.IndexFunc(steps, func(step proxyStep) bool { return step.name == name })
		if i < 0 {
			return ""
		}
		at = steps[i].to
		if violation := model.violation(&at); violation != "" {
			return violation
		}
	}
	return ""
}
