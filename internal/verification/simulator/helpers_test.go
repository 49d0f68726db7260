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

// requireNoFailure ends the test if the run has violated a rule.
func requireNoFailure(t *testing.T, w *World) {
	t.Helper()
	if w.Failure != "" {
		t.Fatalf("seed %d: %s\n%s", w.Seed, w.Failure, w.Trace(60))
	}
}

// runUntil runs the world until a condition holds or the given time has passed, and reports whether the condition holds.
func (w *World) runUntil(within time.Duration, holds func() bool) bool {
	end := w.now + within
	for !holds() && w.now < end && w.Failure == "" {
		w.Run(w.now + 50*time.Millisecond)
	}
	return holds()
}

// requireWithin runs the world in steps of 2 ms until a condition holds, and returns how long that took. It ends the
// test if the condition does not hold in time or a rule is violated. what describes the condition.
func (w *World) requireWithin(t *testing.T, within time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	from := w.now
	for !holds() {
		if w.now-from > within || w.Failure != "" {
			t.Fatalf("seed %d: %s: not within %v\n%s", w.Seed, what, within, w.Trace(40))
		}
		w.Run(w.now + 2*time.Millisecond)
	}
	return w.now - from
}

// faultNamed returns the fault with a name, and ends the test if there is none.
func faultNamed(t *testing.T, name string) Fault {
	t.Helper()
	f, found := FaultByName(name)
	if !found {
		t.Fatalf("no fault is named %q", name)
	}
	return f
}

// faultsNamed returns the faults with the given names.
func faultsNamed(t *testing.T, names ...string) (faults []Fault) {
	t.Helper()
	for _, name := range names {
		faults = append(faults, faultNamed(t, name))
	}
	return faults
}

// bootstrapPlan is a fleet whose settings don't give the size of the control plane: its seed nodes bootstrap it, and the
// leader adds members and replaces lost ones.
func bootstrapPlan(controlDaemons, seedDaemons int) Plan {
	p := Small
	p.ControlDaemons, p.SeedNodes, p.Rate = controlDaemons, seedDaemons, 20
	return p
}

// followers returns the running control daemons other than the leader, including standbys.
func (w *World) followers() []*Process {
	return slices.DeleteFunc(w.daemons(wire.ControlDaemon), func(p *Process) bool { return !p.alive || p == w.Leader() })
}

// memberNames returns the names of the members in the leader's view, or nil if there is no leader.
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

// hasMembers returns the condition that the control plane has exactly count members.
func (w *World) hasMembers(count int) func() bool {
	return func() bool { return len(w.memberNames()) == count }
}

// hasLeader reports whether there is a leader.
func (w *World) hasLeader() bool { return w.Leader() != nil }

// isMember reports whether p is a member in the leader's view.
func (w *World) isMember(p *Process) bool { return slices.Contains(w.memberNames(), p.name) }

// followerMember returns a running member other than the leader, or nil if there is none.
func (w *World) followerMember() *Process {
	for _, p := range w.followerMembers(w.Leader()) {
		if p.alive {
			return p
		}
	}
	return nil
}

// followerMembers returns all members except the leader, including those that are not running.
func (w *World) followerMembers(leader *Process) (members []*Process) {
	for _, name := range w.memberNames() {
		if name != leader.name {
			members = append(members, w.process(name))
		}
	}
	return members
}

// checkMembership checks that the control plane has the given number of members, that all of them are running and that, if there
// are three or more, the loss of any one domain leaves a majority.
func (w *World) checkMembership(t *testing.T, members int) {
	t.Helper()
	names, perDomain := w.memberNames(), map[string]int{}
	for _, name := range names {
		perDomain[w.process(name).domain]++
		if !w.process(name).alive {
			t.Errorf("seed %d: member %s is not running", w.Seed, name)
		}
	}
	if len(names) != members {
		t.Fatalf("seed %d: members %v, want %d\n%s", w.Seed, names, members, w.Trace(40))
	}
	for domain, count := range perDomain {
		if members >= 3 && 2*count >= members {
			t.Errorf("seed %d: %d of %d members are in domain %s: %v", w.Seed, count, members, domain, names)
		}
	}
}

// controlPlaneView returns the state of the control plane as the leader's status shows it.
func (w *World) controlPlaneView(t *testing.T) controlplane.ControlPlaneView {
	t.Helper()
	leader := w.Leader()
	if leader == nil {
		t.Fatalf("seed %d: no leader\n%s", w.Seed, w.Trace(30))
	}
	return leader.controller.Status(leader.localTime()).ControlPlane
}

// requireLeader runs the world for 200 ms, then ends the test unless a member leads within failoverBound. round
// appears only in the failure text.
func (w *World) requireLeader(t *testing.T, round int) {
	t.Helper()
	w.Run(w.now + 200*time.Millisecond)
	if !w.runUntil(failoverBound, w.hasLeader) {
		t.Fatalf("seed %d, round %d: no leader within %v\n%s", w.Seed, round, failoverBound, w.Trace(60))
	}
}

// requireChange sends the leader a change, and ends the test unless it is acknowledged within failoverBound.
func (w *World) requireChange(t *testing.T) {
	t.Helper()
	before := w.checks.acknowledged
	if w.Leader() == nil {
		t.Fatalf("seed %d: no leader\n%s", w.Seed, w.Trace(60))
	}
	w.putNextConfig(w.Leader())
	if !w.runUntil(failoverBound, func() bool { return w.checks.acknowledged > before }) {
		t.Fatalf("seed %d: a change was not acknowledged within %v\n%s", w.Seed, failoverBound, w.Trace(40))
	}
}

// changeTenTimesASecond sends a new configuration to a random control daemon every 100 ms, until span has passed or no
// control daemon is running.
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

// callAndWait sends a call to a daemon and waits up to 10 s for the reply. It returns the reply and the fields of its
// JSON body.
func (w *World) callAndWait(t *testing.T, p *Process, method, path, query, body, token string) (statemachine.Reply, map[string]any) {
	t.Helper()
	var reply *statemachine.Reply
	w.call(p, method, path, query, []byte(body), token, func(r statemachine.Reply) { reply = &r })
	for end := w.now + 10*time.Second; reply == nil && w.now < end && w.Failure == ""; {
		w.Run(w.now + 10*time.Millisecond)
	}
	if reply == nil {
		t.Fatalf("%s %s got no reply within 10 s %s\n%s", method, path, w.Failure, w.Trace(20))
	}
	var fields map[string]any
	if err := json.Unmarshal(reply.Body, &fields); err != nil {
		t.Fatalf("%s %s: reply %q is not a JSON object: %v", method, path, reply.Body, err)
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

// leasedProxies counts the running proxies that hold a lease from the leader.
func leasedProxies(w *World) (count int) {
	for _, p := range w.daemons(wire.ProxyDaemon) {
		if p.alive && p.proxy.State() == dataplane.Leased {
			count++
		}
	}
	return count
}

// lostLeases returns how often the running control daemons have lost their leases since they were started.
func (w *World) lostLeases() (count uint64) {
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p.alive {
			count += p.controller.Status(p.localTime()).Counts.LeasesLost
		}
	}
	return count
}

// releaseTargets drains and restarts a random share of the targets in batches, as a rolling release does: each batch
// has batchSize targets and begins one interval after the batch before it.
func (w *World) releaseTargets(share float64, batchSize int, interval time.Duration) {
	var released []*Target
	for _, t := range w.targets.all {
		if t.alive && t.state != wire.TargetLeaving {
			released = append(released, t)
		}
	}
	w.random.Shuffle(len(released), func(i, j int) { released[i], released[j] = released[j], released[i] })
	wait := time.Duration(0)
	for batch := range slices.Chunk(released[:int(share*float64(len(released)))], batchSize) {
		w.schedule(wait, func() {
			for _, t := range batch {
				w.DrainTarget(t, func() { w.restartTarget(t, w.randomMilliseconds(300, 900), 0) })
			}
		})
		wait += interval
	}
}

// tableEntry returns a target's entry in a table, or nil if there is none.
func tableEntry(table *wire.Table, name string) *wire.Target {
	for i := range table.Targets {
		if table.Targets[i].Name == name {
			return &table.Targets[i]
		}
	}
	return nil
}

// documentWithRoutes returns a configuration of the plan with the given number of generated routes instead of the plan's.
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

// editDocument returns a configuration of the plan after edit has changed it.
func (w *World) editDocument(number int, edit func(document map[string]any)) []byte {
	var document map[string]any
	if err := json.Unmarshal(w.Document(number), &document); err != nil {
		panic(err)
	}
	edit(document)
	return mustMarshal(document)
}

const (
	// testCatchUp is the minimum time between the start of a lost member's successor and the next loss that the control plane
	// must tolerate.
	testCatchUp = 4 * time.Second
	// failoverBound is the longest time from the loss of a member until a leader acknowledges changes again.
	failoverBound = 4 * time.Second
)
