package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// What several tests of a world need.

// requireNoFailure ends the test if a rule was broken.
func requireNoFailure(t *testing.T, w *World) {
	t.Helper()
	if w.Failure != "" {
		t.Fatalf("seed %d: %s\n%s", w.Seed, w.Failure, w.Trace(60))
	}
}

// runUntil runs the world until a condition holds, for that time at most, and says whether it does.
func (w *World) runUntil(within time.Duration, holds func() bool) bool {
	end := w.now + within
	for !holds() && w.now < end && w.Failure == "" {
		w.Run(w.now + 50*time.Millisecond)
	}
	return holds()
}

// requireWithin runs in small steps until a condition holds, and returns how long that took.
func (w *World) requireWithin(t *testing.T, within time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	from := w.now
	for !holds() {
		if w.now-from > within || w.Failure != "" {
			t.Fatalf("seed %d: %s not in %v\n%s", w.Seed, what, within, w.Trace(40))
		}
		w.Run(w.now + 2*time.Millisecond)
	}
	return w.now - from
}

// faultNamed finds a fault.
func faultNamed(t *testing.T, name string) Fault {
	t.Helper()
	f, found := FaultByName(name)
	if !found {
		t.Fatalf("no fault %q", name)
	}
	return f
}

// faultsNamed finds several faults.
func faultsNamed(t *testing.T, names ...string) (faults []Fault) {
	t.Helper()
	for _, name := range names {
		faults = append(faults, faultNamed(t, name))
	}
	return faults
}

// bootstrapPlan is a fleet whose control plane's size is not given: seeds bootstrap it, and the leader grows and
// repairs it.
func bootstrapPlan(controlDaemons, seeds int) Plan {
	p := Small
	p.ControlDaemons, p.Seeds, p.Rate = controlDaemons, seeds, 20
	return p
}

// followers are the living control daemons that do not lead.
func (w *World) followers() []*Process {
	return slices.DeleteFunc(w.daemons(wire.ControlDaemon), func(p *Process) bool { return !p.alive || p == w.Leader() })
}

// memberNames are the members as the leader counts them, none without a leader.
func (w *World) memberNames() (names []string) {
	leader := w.Leader()
	if leader == nil {
		return nil
	}
	for _, m := range leader.controller.Status(0).Members {
		names = append(names, m.Name)
	}
	return names
}

// hasMembers is the condition that the control plane has so many members.
func (w *World) hasMembers(count int) func() bool {
	return func() bool { return len(w.memberNames()) == count }
}

// hasLeader is the condition that there is a leader.
func (w *World) hasLeader() bool { return w.Leader() != nil }

func (w *World) isListed(p *Process) bool { return slices.Contains(w.memberNames(), p.name) }

// followerMember is a living member that does not lead.
func (w *World) followerMember() *Process {
	for _, p := range w.followerMembers(w.Leader()) {
		if p.alive {
			return p
		}
	}
	return nil
}

// followerMembers are all members but the leader.
func (w *World) followerMembers(leader *Process) (members []*Process) {
	for _, name := range w.memberNames() {
		if name != leader.name {
			members = append(members, w.process(name))
		}
	}
	return members
}

// checkMembership checks that all members live, and that the control plane outlives the loss of any one
// machine and any one domain.
func (w *World) checkMembership(t *testing.T, members int) {
	t.Helper()
	names, perDomain := w.memberNames(), map[string]int{}
	for _, name := range names {
		perDomain[w.process(name).domain]++
		if !w.process(name).alive {
			t.Errorf("seed %d: %s is a member and dead", w.Seed, name)
		}
	}
	if len(names) != members {
		t.Fatalf("seed %d: members %v, wanted %d\n%s", w.Seed, names, members, w.Trace(40))
	}
	for domain, count := range perDomain {
		if members >= 3 && 2*count >= members {
			t.Errorf("seed %d: %d of %d members are in %s: %v", w.Seed, count, members, domain, names)
		}
	}
}

// controlPlaneView is the leader's own view of the control plane.
func (w *World) controlPlaneView(t *testing.T) controlplane.ControlPlaneView {
	t.Helper()
	leader := w.Leader()
	if leader == nil {
		t.Fatalf("seed %d: no leader\n%s", w.Seed, w.Trace(30))
	}
	return leader.controller.Status(leader.localTime()).ControlPlane
}

// requireLeader wants a leader that decides within the time that a leader's loss may cost.
func (w *World) requireLeader(t *testing.T, round int) {
	t.Helper()
	w.Run(w.now + 200*time.Millisecond)
	if !w.runUntil(failoverBound, w.hasLeader) {
		t.Fatalf("seed %d, round %d: nobody leads\n%s", w.Seed, round, w.Trace(60))
	}
}

// requireChange wants a change to be acknowledged within the time that a leader's loss may cost.
func (w *World) requireChange(t *testing.T) {
	t.Helper()
	before := w.checks.acknowledged
	if w.Leader() == nil {
		t.Fatalf("seed %d: nobody leads\n%s", w.Seed, w.Trace(60))
	}
	w.putNextConfig(w.Leader())
	if !w.runUntil(failoverBound, func() bool { return w.checks.acknowledged > before }) {
		t.Fatalf("seed %d: a change was not acknowledged in %v\n%s", w.Seed, failoverBound, w.Trace(40))
	}
}

// changeTenTimesASecond has an operator change the configuration for a while.
func (w *World) changeTenTimesASecond(span time.Duration) {
	end := w.now + span
	var next func()
	next = func() {
		if p := w.pickProcess(wire.ControlDaemon, true); p != nil && w.now < end {
			w.putNextConfig(p)
			w.schedule(100*time.Millisecond, next)
		}
	}
	next()
}

// callAndWait makes a call at a daemon and waits for its reply.
func (w *World) callAndWait(t *testing.T, p *Process, method, path, query, body, token string) (statemachine.Reply, map[string]any) {
	t.Helper()
	var reply *statemachine.Reply
	w.call(p, method, path, query, []byte(body), token, func(r statemachine.Reply) { reply = &r })
	for end := w.now + 10*time.Second; reply == nil && w.now < end && w.Failure == ""; {
		w.Run(w.now + 10*time.Millisecond)
	}
	if reply == nil {
		t.Fatalf("%s %s got no answer %s\n%s", method, path, w.Failure, w.Trace(20))
	}
	var fields map[string]any
	if err := json.Unmarshal(reply.Body, &fields); err != nil {
		t.Fatalf("%s: %v", reply.Body, err)
	}
	return *reply, fields
}

func (w *World) killAll() {
	for _, p := range w.fleet() {
		w.Kill(p)
	}
}

func (w *World) restartAll() {
	for _, p := range w.fleet() {
		w.Restart(p)
	}
}

// leasedProxies counts the proxies that hold a lease of the leader.
func leasedProxies(w *World) (count int) {
	for _, p := range w.daemons(wire.ProxyDaemon) {
		if p.alive && p.proxy.State() == dataplane.Leased {
			count++
		}
	}
	return count
}

// lostLeases is how often a control daemon that runs has lost the leader's lease.
func (w *World) lostLeases() (count uint64) {
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p.alive {
			count += p.controller.Status(p.localTime()).Counts.LeasesLost
		}
	}
	return count
}

// releaseTargets replaces a part of all targets by later starts of them, so many at once and so far apart.
func (w *World) releaseTargets(part float64, atOnce int, interval time.Duration) {
	var released []*Target
	for _, t := range w.targets.all {
		if t.alive && t.state != wire.TargetLeaving {
			released = append(released, t)
		}
	}
	w.random.Shuffle(len(released), func(i, j int) { released[i], released[j] = released[j], released[i] })
	wait := time.Duration(0)
	for batch := range slices.Chunk(released[:int(part*float64(len(released)))], atOnce) {
		w.schedule(wait, func() {
			for _, t := range batch {
				w.DrainTarget(t, func() { w.restartTarget(t, w.randomMilliseconds(300, 900), 0) })
			}
		})
		wait += interval
	}
}

// tableEntry is a target in a table, nil if it is not there.
func tableEntry(table *wire.Table, name string) *wire.Target {
	for i := range table.Targets {
		if table.Targets[i].Name == name {
			return &table.Targets[i]
		}
	}
	return nil
}

// documentWithRoutes is a configuration with many routes besides those of the plan.
func (w *World) documentWithRoutes(number, routes int) []byte {
	return w.editDocument(number, func(document map[string]any) {
		services := w.services()
		all := map[string]config.Route{}
		for i := range routes {
			x := uint64(i) * 0x9e3779b97f4a7c15
			all[fmt.Sprintf("r-%07x", x>>36)] = config.Route{Host: fmt.Sprintf("%05x.example", x>>44), Prefix: fmt.Sprintf("/%07x/%04x/", x>>36, i), Kind: config.KindRepeatable,
				TimeoutMs: 2000, LatencyTargetMs: 300, Priority: 2, Attempts: 2, Service: services[i%len(services)]}
		}
		document["routes"] = all
	})
}

// editDocument is a configuration of the plan, changed.
func (w *World) editDocument(number int, edit func(document map[string]any)) []byte {
	var document map[string]any
	if err := json.Unmarshal(w.Document(number), &document); err != nil {
		panic(err)
	}
	edit(document)
	return mustMarshal(document)
}

const (
	// testCatchUp is the platform's shortest bound from a successor's start to the next loss.
	testCatchUp = 4 * time.Second
	// failoverBound is how long after a loss a leader may take to decide again.
	failoverBound = 4 * time.Second
)
