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

// memberNamed is a member in the leader's view, empty if it is not there.
func memberNamed(view controlplane.ControlPlaneView, name string) controlplane.MemberView {
	for _, m := range view.Members {
		if m.Name == name {
			return m
		}
	}
	return controlplane.MemberView{}
}

// The leader shows by which majority it leads, which member is unreachable and for how long, that the next
// loss can't be borne and until when, and that it can again once a standby is a member.
func TestStatusShowsALossAndItsRepair(t *testing.T) {
	t.Parallel()
	w := Start(7, bootstrapPlan(4, 3))
	w.runUntil(10*time.Second, w.hasMembers(3))
	w.Run(w.now + 2*time.Second)
	v := w.controlPlaneView(t)
	if v.Voters != 3 || v.Majority != 2 || len(v.LeaseVoters) != 3 || !v.HoldsLease || v.LeadingMs == 0 || v.Leader != w.Leader().name {
		t.Fatalf("%+v", v)
	}
	if !v.FailureTolerance.Evaluated || !v.FailureTolerance.Tolerable || v.FailureTolerance.Machines != 1 || len(v.FailureTolerance.Blockers) > 0 || len(v.FailureTolerance.DomainsAtRisk) > 0 {
		t.Fatalf("%+v", v.FailureTolerance)
	}
	lost := w.followerMember()
	w.Kill(lost)
	w.Run(w.now + 2*time.Second)
	v = w.controlPlaneView(t)
	if m := memberNamed(v, lost.name); m.State != controlplane.MemberUnresponsive || m.NoContactMs < 1200 || m.NoContactMs > 2500 {
		t.Errorf("the silent member: %+v", m)
	}
	if len(v.LeaseVoters) != 2 || slices.Contains(v.LeaseVoters, lost.name) {
		t.Errorf("the lease stands on %v", v.LeaseVoters)
	}
	if v.FailureTolerance.Tolerable || v.FailureTolerance.Machines != 0 || len(v.FailureTolerance.DomainsAtRisk) != 2 {
		t.Errorf("%+v", v.FailureTolerance)
	}
	if len(v.FailureTolerance.Blockers) != 1 {
		t.Fatalf("%+v", v.FailureTolerance.Blockers)
	}
	o := v.FailureTolerance.Blockers[0]
	if o.Kind != controlplane.BlockerUnresponsive || o.Member != lost.name || o.Successor == "" || o.ReplaceableInMs == nil || *o.ReplaceableInMs > 10_000 {
		t.Errorf("%+v", o)
	}
	if !w.runUntil(30*time.Second, func() bool { return w.Leader() != nil && w.controlPlaneView(t).FailureTolerance.Tolerable }) {
		t.Fatalf("never bearable again: %+v", w.controlPlaneView(t))
	}
	v = w.controlPlaneView(t)
	if m := memberNamed(v, o.Successor); m.State != controlplane.MemberFollower || !m.Voter || m.Match < 1 {
		t.Errorf("%s came in for it: %+v", o.Successor, m)
	}
	if n := w.Leader().controller.Status(0).Counts.MemberChanges; n < 1 {
		t.Errorf("%d changes of members are counted", n)
	}
	requireNoFailure(t, w)
}

// A follower shows that it can't tell, and how long ago it last heard from its leader.
func TestFollowersStatusCannotTellLosses(t *testing.T) {
	t.Parallel()
	w := Start(3, bootstrapPlan(3, 3))
	w.runUntil(10*time.Second, w.hasMembers(3))
	f := w.followerMember()
	w.Run(w.now + time.Second)
	v := f.controller.Status(f.localTime()).ControlPlane
	if v.FailureTolerance.Evaluated || v.FailureTolerance.Tolerable || v.HoldsLease || v.Leader != w.Leader().name || v.LeaderLastContactMs > 1000 || len(v.Members) > 0 {
		t.Errorf("%+v", v)
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
		t.Errorf("3 s without %s: %+v", leader.name, v)
	}
}

// A leader that is left alone counts the time without a leader from the end of its own lease.
func TestStatusOfLeaderLeftAloneCountsFromItsLease(t *testing.T) {
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
		t.Errorf("%+v", v)
	}
}

// One machine alone leads, and shows that it is too few.
func TestStatusOfOnlyMemberBearsNoLoss(t *testing.T) {
	t.Parallel()
	w := Start(5, bootstrapPlan(1, 1))
	w.runUntil(10*time.Second, w.hasLeader)
	v := w.controlPlaneView(t)
	if v.FailureTolerance.Tolerable || len(v.FailureTolerance.Blockers) != 1 || v.FailureTolerance.Blockers[0].Kind != controlplane.BlockerTooFewMembers || v.FailureTolerance.Blockers[0].Successor != "" {
		t.Errorf("%+v", v.FailureTolerance)
	}
}

// A member that stops gracefully is distinguished from one that crashed.
func TestStatusShowsAStoppingMember(t *testing.T) {
	t.Parallel()
	w := Start(9, bootstrapPlan(3, 3))
	w.runUntil(10*time.Second, w.hasMembers(3))
	f := w.followerMember()
	w.stopProcess(f)
	w.Run(w.now + 2*time.Second)
	v := w.controlPlaneView(t)
	if m := memberNamed(v, f.name); m.State != controlplane.MemberStopping {
		t.Errorf("%+v", m)
	}
	if len(v.FailureTolerance.Blockers) != 1 || v.FailureTolerance.Blockers[0].Kind != controlplane.BlockerStopping || v.FailureTolerance.Blockers[0].ReplaceableInMs != nil {
		t.Errorf("%+v", v.FailureTolerance.Blockers)
	}
	w.Restart(f)
	if !w.runUntil(5*time.Second, func() bool { return w.Leader() != nil && w.controlPlaneView(t).FailureTolerance.Tolerable }) {
		t.Errorf("back, and the next loss can't be borne: %+v", w.controlPlaneView(t).FailureTolerance)
	}
}

// Each counter grows when what it counts happens: a lost lease, a snapshot, a repeated
// change, a reply that can't be given, another version, a wrong document.
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
	on := "base=" + strconv.FormatUint(base, 10)
	if s := put(on, doc, "once"); s != 200 {
		t.Fatal(s)
	}
	for _, x := range []struct {
		query, body string
		want        int
	}{{on, doc, 200}, {on, `{"services":{}}`, 412}, {on, "{", 400}} {
		if s := put(x.query, x.body, ""); s != x.want {
			t.Fatalf("%s: %d, want %d", x.body[:1], s, x.want)
		}
	}
	n := l.controller.Status(0).Counts
	if n.RepeatsAnswered != 1 || n.RejectedVersion != 1 || n.RejectedInvalid != 1 || n.AnsweredUnknown != 0 {
		t.Errorf("%+v", n)
	}
	f := w.followerMember()
	w.isolate([]string{l.name}, 4*time.Second, true, true)
	unknown := 0
	w.call(l, "PUT", "/v1/config", "base="+strconv.FormatUint(w.Revision(), 10), w.Document(5), "", func(r statemachine.Reply) { unknown = r.Status })
	w.Run(w.now + 2*time.Second)
	if unknown != 504 {
		t.Errorf("a change put to a leader that is cut off is answered %d", unknown)
	}
	if r, _ := w.callAndWait(t, l, "GET", "/v1/config", "", "", ""); r.Status != 503 {
		t.Errorf("a leader cut off answers %d", r.Status)
	}
	n = l.controller.Status(0).Counts
	if n.LeasesLost != 1 || n.AnsweredUnavailable != 1 || n.AnsweredUnknown != 1 {
		t.Errorf("%+v", n)
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
		t.Error("no snapshot is counted")
	}
}

// failoverWithin is how soon somebody decides after a loss that was said to be bearable: an
// election after the longest lease, a second one, and the wait for proxies' tables.
const failoverWithin = 5 * time.Second

// noticedWithin is how soon the status shows a loss: it counts a voter until that has not
// answered for a lease.
const noticedWithin = tuning.LeaderLease + 2*tuning.HeartbeatEvery

// controlPlaneSize is a control plane of so many machines.
type controlPlaneSize struct{ cores, seeds int }

// What the status says can be borne is borne: whichever voter is lost, and however many as
// it says, there is a leader again; and so with each domain that is not at risk.
func TestBearableLossesAreBorne(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		size := []controlPlaneSize{{3, 3}, {4, 3}, {5, 3}, {7, 3}, {11, 3}}[seed%5]
		t.Run(fmt.Sprintf("%d machines, seed %d", size.cores, seed), func(t *testing.T) {
			t.Parallel()
			w := Start(seed, bootstrapPlan(size.cores, size.seeds))
			w.runUntil(10*time.Second, w.hasMembers(min(size.cores, 7)))
			for round := range 8 {
				if !w.runUntil(90*time.Second, func() bool { return w.Leader() != nil && w.controlPlaneView(t).FailureTolerance.Tolerable }) {
					t.Fatalf("round %d: never bearable: %+v\n%s", round, w.controlPlaneView(t), w.Trace(20))
				}
				v := w.controlPlaneView(t)
				lost := w.chooseLoss(v, round)
				for _, name := range lost {
					w.Kill(w.process(name))
				}
				if !w.runUntil(failoverWithin, w.hasLeader) {
					t.Fatalf("round %d: nobody decides %v after the loss of %v, which was said to be bearable: %+v\n%s", round, failoverWithin, lost, v, w.Trace(40))
				}
				w.schedule(w.randomMilliseconds(0, 12000), func() { // often after the next loss
					for _, name := range lost {
						w.Restart(w.process(name))
					}
				})
				w.Run(w.now + noticedWithin)
				requireNoFailure(t, w)
			}
		})
	}
}

// chooseLoss draws as many voters as may be lost, or a whole domain that is not at risk; the
// leader is among them in every other round.
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
