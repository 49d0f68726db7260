package simulator

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// memberNamed returns a member from the leader's view, or the zero value if the view does not contain it.
func memberNamed(view controlplane.ControlPlaneView, name string) controlplane.MemberView {
	for _, m := range view.Members {
		if m.Name == name {
			return m
		}
	}
	return controlplane.MemberView{}
}

// The leader's status lists the voters behind its lease. After a member is lost, it shows that member as unresponsive and
// since when, that the next loss is not tolerable, and when the member can be replaced. Once a standby has become a
// member, the next loss is tolerable again.
func TestStatusShowsALossAndItsRepair(t *testing.T) {
	t.Parallel()
	w := Start(7, bootstrapPlan(4, 3))
	w.runUntil(10*time.Second, w.hasMembers(3))
	w.Run(w.now + 2*time.Second)
	v := w.controlPlaneView(t)
	if v.Voters != 3 || v.Majority != 2 || len(v.LeaseVoters) != 3 || !v.HoldsLease || v.LeadingMs == 0 || v.Leader != w.Leader().name {
		t.Fatalf("before the loss, want three voters and a lease held by %s: %+v", w.Leader().name, v)
	}
	if !v.FailureTolerance.Evaluated || !v.FailureTolerance.Tolerable || v.FailureTolerance.Machines != 1 || len(v.FailureTolerance.Blockers) > 0 || len(v.FailureTolerance.DomainsAtRisk) > 0 {
		t.Fatalf("before the loss, want one tolerable loss: %+v", v.FailureTolerance)
	}
	lost := w.followerMember()
	w.Kill(lost)
	w.Run(w.now + 2*time.Second)
	v = w.controlPlaneView(t)
	if m := memberNamed(v, lost.name); m.State != controlplane.MemberUnresponsive || m.NoContactMs < 1200 || m.NoContactMs > 2500 {
		t.Errorf("the lost member, want it unresponsive for 1.2 s to 2.5 s: %+v", m)
	}
	if len(v.LeaseVoters) != 2 || slices.Contains(v.LeaseVoters, lost.name) {
		t.Errorf("voters of the lease: %v, want two without %s", v.LeaseVoters, lost.name)
	}
	if v.FailureTolerance.Tolerable || v.FailureTolerance.Machines != 0 || len(v.FailureTolerance.DomainsAtRisk) != 2 {
		t.Errorf("after the loss, want no tolerable loss and two domains at risk: %+v", v.FailureTolerance)
	}
	if len(v.FailureTolerance.Blockers) != 1 {
		t.Fatalf("blockers, want one: %+v", v.FailureTolerance.Blockers)
	}
	blocker := v.FailureTolerance.Blockers[0]
	if blocker.Kind != controlplane.BlockerUnresponsive || blocker.Member != lost.name || blocker.Successor == "" || blocker.ReplaceableInMs == nil || *blocker.ReplaceableInMs > 10_000 {
		t.Errorf("blocker, want %s unresponsive, with a successor within 10 s: %+v", lost.name, blocker)
	}
	if !w.runUntil(30*time.Second, func() bool { return w.Leader() != nil && w.controlPlaneView(t).FailureTolerance.Tolerable }) {
		t.Fatalf("no loss is tolerable 30 s after the last one: %+v", w.controlPlaneView(t))
	}
	v = w.controlPlaneView(t)
	if m := memberNamed(v, blocker.Successor); m.State != controlplane.MemberFollower || !m.Voter || m.Match < 1 {
		t.Errorf("the successor %s, want a voting follower: %+v", blocker.Successor, m)
	}
	if n := w.Leader().controller.Status(0).Counts.MemberChanges; n < 1 {
		t.Errorf("%d member changes are counted, want at least 1", n)
	}
	requireNoFailure(t, w)
}

// A follower's status says that it has not evaluated the failure tolerance, and shows the time since the last message
// from its leader.
func TestFollowerStatusDoesNotEvaluateFailureTolerance(t *testing.T) {
	t.Parallel()
	w := Start(3, bootstrapPlan(3, 3))
	w.runUntil(10*time.Second, w.hasMembers(3))
	f := w.followerMember()
	w.Run(w.now + time.Second)
	v := f.controller.Status(f.localTime()).ControlPlane
	if v.FailureTolerance.Evaluated || v.FailureTolerance.Tolerable || v.HoldsLease || v.Leader != w.Leader().name || v.LeaderLastContactMs > 1000 || len(v.Members) > 0 {
		t.Errorf("status of follower %s, want only the leader and a recent contact: %+v", f.name, v)
	}
	leader := w.Leader()
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p != f {
			w.Kill(p)
		}
	}
	w.Run(w.now + 3*time.Second)
	v = f.controller.Status(f.localTime()).ControlPlane
	if v.HoldsLease || v.LeaderLastContactMs < 2000 {
		t.Errorf("status of follower %s 3 s after %s was killed, want a last contact at least 2 s ago: %+v", f.name, leader.name, v)
	}
}

// A former leader whose followers are all lost counts the time without a leader from the end of its own lease.
func TestStatusOfFormerLeaderCountsFromEndOfItsLease(t *testing.T) {
	t.Parallel()
	w := Start(3, bootstrapPlan(3, 3))
	w.runUntil(10*time.Second, w.hasMembers(3))
	w.Run(w.now + 10*time.Second)
	leader := w.Leader()
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p != leader {
			w.Kill(p)
		}
	}
	w.Run(w.now + 3*time.Second)
	if v := leader.controller.Status(leader.localTime()).ControlPlane; v.HoldsLease || v.LeaderLastContactMs < 1500 || v.LeaderLastContactMs > 3500 {
		t.Errorf("3 s after all followers were killed, want no lease and a last contact 1.5 s to 3.5 s ago: %+v", v)
	}
}

// The only member of a control plane leads, and its status says that too few members make any loss intolerable.
func TestStatusOfSingleMemberToleratesNoLoss(t *testing.T) {
	t.Parallel()
	w := Start(5, bootstrapPlan(1, 1))
	w.runUntil(10*time.Second, w.hasLeader)
	v := w.controlPlaneView(t)
	if v.FailureTolerance.Tolerable || len(v.FailureTolerance.Blockers) != 1 || v.FailureTolerance.Blockers[0].Kind != controlplane.BlockerTooFewMembers || v.FailureTolerance.Blockers[0].Successor != "" {
		t.Errorf("failure tolerance of a single member, want too few members as the only blocker: %+v", v.FailureTolerance)
	}
}

// The status distinguishes a member that stops gracefully from one that crashed.
func TestStatusShowsAStoppingMember(t *testing.T) {
	t.Parallel()
	w := Start(9, bootstrapPlan(3, 3))
	w.runUntil(10*time.Second, w.hasMembers(3))
	f := w.followerMember()
	w.stopProcess(f)
	w.Run(w.now + 2*time.Second)
	v := w.controlPlaneView(t)
	if m := memberNamed(v, f.name); m.State != controlplane.MemberStopping {
		t.Errorf("%s got the stop signal, want it shown as stopping: %+v", f.name, m)
	}
	if len(v.FailureTolerance.Blockers) != 1 || v.FailureTolerance.Blockers[0].Kind != controlplane.BlockerStopping || v.FailureTolerance.Blockers[0].ReplaceableInMs != nil {
		t.Errorf("blockers, want only the stopping member, without a time of replacement: %+v", v.FailureTolerance.Blockers)
	}
	w.Restart(f)
	if !w.runUntil(5*time.Second, func() bool { return w.Leader() != nil && w.controlPlaneView(t).FailureTolerance.Tolerable }) {
		t.Errorf("no loss is tolerable 5 s after %s restarted: %+v", f.name, w.controlPlaneView(t).FailureTolerance)
	}
}

// Counters of the control plane increase with the events that they count: a lost lease, a snapshot sent, a repeated
// change, a reply of unknown outcome or of unavailability, a change on another version, and an invalid document.
func TestControlPlaneCountsItsEvents(t *testing.T) {
	t.Parallel()
	w := Start(11, Small)
	w.AwaitServing(10 * time.Second)
	l := w.Leader()
	base := w.Revision()
	put := func(query, body, token string) int {
		r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/config", query, body, token)
		return r.Status
	}
	doc := string(w.Document(4))
	query := "base=" + strconv.FormatUint(base, 10)
	if s := put(query, doc, "once"); s != 200 {
		t.Fatalf("PUT /v1/config: %d, want 200", s)
	}
	for _, x := range []struct {
		query, body string
		want        int
	}{{query, doc, 200}, {query, `{"services":{}}`, 412}, {query, "{", 400}} {
		if s := put(x.query, x.body, ""); s != x.want {
			t.Fatalf("PUT /v1/config of %.20s: %d, want %d", x.body, s, x.want)
		}
	}
	n := l.controller.Status(0).Counts
	if n.RepeatsAnswered != 1 || n.RejectedVersion != 1 || n.RejectedInvalid != 1 || n.AnsweredUnknown != 0 {
		t.Errorf("counters after the changes, want one repeated, one stale and one invalid change and no unknown reply: %+v", n)
	}
	f := w.followerMember()
	w.isolate([]string{l.name}, 4*time.Second, true, true)
	unknown := 0
	w.call(l, "PUT", "/v1/config", "base="+strconv.FormatUint(w.Revision(), 10), w.Document(5), "", func(r statemachine.Reply) { unknown = r.Status })
	w.Run(w.now + 2*time.Second)
	if unknown != 504 {
		t.Errorf("a change at an isolated leader got status %d, want 504", unknown)
	}
	if r, _ := w.callAndWait(t, l, "GET", "/v1/config", "", "", ""); r.Status != 503 {
		t.Errorf("a read at an isolated leader got status %d, want 503", r.Status)
	}
	n = l.controller.Status(0).Counts
	if n.LeasesLost != 1 || n.AnsweredUnavailable != 1 || n.AnsweredUnknown != 1 {
		t.Errorf("counters after the isolation, want one lost lease, one unavailable and one unknown reply: %+v", n)
	}
	w.Run(w.now + 5*time.Second)
	w.Kill(f)
	w.WipeDisk(f)
	for i := range 300 {
		w.PutConfig(w.Leader(), w.Revision(), i%7)
		w.Run(w.now + 50*time.Millisecond)
	}
	w.Restart(f)
	w.Run(w.now + 5*time.Second)
	sent := uint64(0)
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p.alive {
			sent += p.controller.Status(0).Counts.SnapshotsSent
		}
	}
	if sent < 1 {
		t.Error("no sent snapshot is counted although a member restarted with an empty disk")
	}
}

// failoverWithin bounds the time from a loss that the status called tolerable until there is a leader again. It covers an
// election after the longest lease, a second election, and the wait for the proxies' tables.
const failoverWithin = 5 * time.Second

// detectionDelay is the time until the status shows a loss: a voter counts as responsive until it has not replied for the
// length of a lease.
const detectionDelay = tuning.LeaderLease + 2*tuning.HeartbeatEvery

// controlPlaneSize is the number of control daemons and of the seed nodes among them.
type controlPlaneSize struct{ controlDaemons, seedDaemons int }

// There is a leader again after every loss that the status calls tolerable: any voters, as many as it says, and any domain
// that it does not list as at risk.
func TestControlPlaneSurvivesTolerableLosses(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		size := []controlPlaneSize{{3, 3}, {4, 3}, {5, 3}, {7, 3}, {11, 3}}[seed%5]
		t.Run(fmt.Sprintf("%d machines, seed %d", size.controlDaemons, seed), func(t *testing.T) {
			t.Parallel()
			w := Start(seed, bootstrapPlan(size.controlDaemons, size.seedDaemons))
			w.runUntil(10*time.Second, w.hasMembers(min(size.controlDaemons, 7)))
			for round := range 8 {
				if !w.runUntil(90*time.Second, func() bool { return w.Leader() != nil && w.controlPlaneView(t).FailureTolerance.Tolerable }) {
					t.Fatalf("round %d: no loss is tolerable within 90 s: %+v\n%s", round, w.controlPlaneView(t), w.Trace(20))
				}
				v := w.controlPlaneView(t)
				lost := w.chooseLoss(v, round)
				for _, name := range lost {
					w.Kill(w.process(name))
				}
				if !w.runUntil(failoverWithin, w.hasLeader) {
					t.Fatalf("round %d: no leader %v after the loss of %v, which the status called tolerable: %+v\n%s", round, failoverWithin, lost, v, w.Trace(40))
				}
				w.schedule(w.randomMilliseconds(0, 12000), func() { // often not before the next loss
					for _, name := range lost {
						w.Restart(w.process(name))
					}
				})
				w.Run(w.now + detectionDelay)
				requireNoFailure(t, w)
			}
		})
	}
}

// chooseLoss returns as many running voters, chosen at random, as may be lost, including the leader in even rounds. In every
// third round it returns all voters of the leader's domain instead, unless that domain is at risk.
func (w *World) chooseLoss(v controlplane.ControlPlaneView, round int) (names []string) {
	var voters []string
	for _, m := range v.Members {
		if m.Voter && w.process(m.Name) != nil && w.process(m.Name).alive {
			voters = append(voters, m.Name)
		}
	}
	if round%3 == 2 {
		domain := w.Leader().domain
		if !slices.Contains(v.FailureTolerance.DomainsAtRisk, domain) {
			return slices.DeleteFunc(voters, func(n string) bool { return w.process(n).domain != domain })
		}
	}
	w.random.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	if i := slices.Index(voters, w.Leader().name); round%2 == 0 && i > 0 {
		voters[0], voters[i] = voters[i], voters[0]
	}
	return voters[:v.FailureTolerance.Machines]
}
