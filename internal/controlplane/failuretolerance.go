// This file is what operators may read of the core itself: who leads and by which
// majority, who is silent, who is learning and how far, and whether the next loss of
// a machine or of a failure domain can be borne now.

package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
)

// MemberState is what a core daemon is to the core, as the leader sees it.
type MemberState string

// The states of a core daemon.
const (
	MemberLeader       MemberState = "leader"
	MemberFollower     MemberState = "follower"    // answers, and lacks nothing that the leader's log does not hold
	MemberCatchingUp   MemberState = "catching_up" // a voter that answers and needs a snapshot first
	MemberUnresponsive MemberState = "silent"      // a voter that has not answered within the lease
	MemberStopping     MemberState = "stopping"    // it said that it stops, and is to come back
	MemberPlaceholder  MemberState = "place"       // a place kept for a machine that was not there at the founding
	MemberLearner      MemberState = "learning"    // it receives the log and has no vote yet
	MemberStandby      MemberState = "standby"     // it is there and may become a member
)

// MemberView is one core daemon.
type MemberView struct {
	Name   string      `json:"name"`
	Domain string      `json:"domain,omitempty"`
	State  MemberState `json:"state"`
	Voter  bool        `json:"voter"`
	// NoContactMs is how long nothing has been heard of it, as far as this lead can tell.
	NoContactMs int64 `json:"silent_ms"`
	// Match is the last log entry that it is known to hold, of CoreView.Commit.
	Match uint64 `json:"match"`
	// LearningMs is how long it has been learning, 0 if it does not.
	LearningMs int64 `json:"learning_ms,omitempty"`
}

// BlockerKind is why a member can't be counted on when another one is lost.
type BlockerKind string

// The kinds of obstacles.
const (
	BlockerUnresponsive  BlockerKind = "silent"
	BlockerStopping      BlockerKind = "stopping"
	BlockerCatchingUp    BlockerKind = "catching_up"
	BlockerPlaceholder   BlockerKind = "place"
	BlockerTooFewMembers BlockerKind = "too_few_members" // all answer, and they are one or two
)

// Blocker is one reason why the next loss can't be borne now.
type Blocker struct {
	Kind   BlockerKind `json:"kind"`
	Member string      `json:"member,omitempty"`
	// ReplaceableInMs is in how long the member may be replaced at the earliest, 0 if it may now;
	// absent where nobody is there to replace it or an operator gave the core's size.
	ReplaceableInMs *int64 `json:"replaceable_in_ms,omitempty"`
	// Successor is who would replace it: who learns, else the standby that would.
	Successor string `json:"by,omitempty"`
}

// FailureToleranceView says whether the core outlives its next loss.
type FailureToleranceView struct {
	// Evaluated is false at a member that does not lead: it can't tell.
	Evaluated bool `json:"known"`
	// Machines is how many of the machines that answer now may be lost, whichever they are.
	Machines int `json:"machines"`
	// Tolerable says that Machines is at least 1.
	Tolerable bool `json:"bearable"`
	// DomainsAtRisk are the failure domains that can't be lost as a whole now.
	DomainsAtRisk []string `json:"domains_at_risk,omitempty"`
	// Obstacles say why not, and until when, if the next loss can't be borne.
	Blockers []Blocker `json:"obstacles,omitempty"`
}

// ControlPlaneView is the core as one member sees it. Only the leader's says how the others stand.
type ControlPlaneView struct {
	Leader string `json:"leader,omitempty"`
	// Decides says that this member leads and holds the lease at this moment.
	HoldsLease bool `json:"decides"`
	// LeadingMs is for how long this member has led.
	LeadingMs int64 `json:"leads_ms,omitempty"`
	// LeaderLastContactMs is how long ago a follower last heard a leader, or was one.
	LeaderLastContactMs int64 `json:"leader_heard_ms,omitempty"`
	// Commit is the last entry that is known to be agreed, Last the last one held here.
	Commit uint64 `json:"commit"`
	Last   uint64 `json:"last"`
	// Voters is the size of the member list, Majority how many of them decide.
	Voters   int `json:"voters"`
	Majority int `json:"majority"`
	// LeaseVoters are the voters whose answers the leader's lease stands on now.
	LeaseVoters      []string             `json:"lease,omitempty"`
	Members          []MemberView         `json:"members,omitempty"`
	FailureTolerance FailureToleranceView `json:"next_loss"`
}

// controlPlaneView is this member's view of the core.
func (c *Controller) controlPlaneView(now time.Duration) ControlPlaneView {
	if c.node == nil {
		return ControlPlaneView{Leader: c.leaderHint}
	}
	v := ControlPlaneView{Leader: c.leader(now), Commit: c.node.Commit(), Last: c.node.LastIndex()}
	v.Voters = len(c.node.Members())
	v.Majority = v.Voters/2 + 1
	if c.node.Role() != consensus.Leader {
		v.LeaderLastContactMs = (now - max(c.node.LastLeaderContact(), c.leadershipSince)).Milliseconds() // leadAt: when it led last
		return v
	}
	v.LeadingMs = (now - c.node.RoleSince()).Milliseconds()
	v.HoldsLease = c.HoldsLease(now)
	progress := c.node.Progress(now)
	for _, p := range progress {
		if p.Voter && p.RecentlyActive {
			v.LeaseVoters = append(v.LeaseVoters, p.Member.Name)
		}
	}
	slices.Sort(v.LeaseVoters)
	v.Members = c.memberViews(now, progress)
	v.FailureTolerance = c.failureToleranceView(now, v)
	return v
}

// memberViews are the members, those that learn, and the standbys, in this order.
func (c *Controller) memberViews(now time.Duration, progress []consensus.ReplicaProgress) []MemberView {
	var l []MemberView
	listed := map[string]bool{}
	for _, m := range c.node.Members() {
		i := slices.IndexFunc(progress, func(p consensus.ReplicaProgress) bool { return p.Member == m })
		p := consensus.ReplicaProgress{Member: m, Voter: true}
		if i >= 0 {
			p = progress[i]
		}
		l = append(l, c.voterView(now, p))
		listed[m.Name] = true
	}
	for _, p := range progress {
		if !p.Voter && !listed[p.Member.Name] {
			v := MemberView{Name: p.Member.Name, Domain: c.domainOf(p.Member.Name), State: MemberLearner, Match: p.Match,
				NoContactMs: c.noContactFor(now, p).Milliseconds()}
			if l, ok := c.learners[p.Member.Name]; ok {
				v.LearningMs = (now - l.since).Milliseconds()
			}
			l = append(l, v)
			listed[v.Name] = true
		}
	}
	for _, d := range c.controlDaemons(now, true) {
		if !listed[d.Name] && d.Disk != 0 && d.State != stoppingState && c.state.RemovedMembers[d.Name] == 0 {
			l = append(l, MemberView{Name: d.Name, Domain: d.Domain, State: MemberStandby, NoContactMs: c.sinceLastContact(now, d.Name).Milliseconds()})
		}
	}
	return l
}

// voterView is one place of the member list.
func (c *Controller) voterView(now time.Duration, p consensus.ReplicaProgress) MemberView {
	name := p.Member.Name
	v := MemberView{Name: name, Domain: c.domainOf(name), Voter: true, Match: p.Match}
	switch {
	case p.Member.Disk == 0:
		v.State, v.Domain = MemberPlaceholder, ""
	case name == c.settings.Self.Name:
		v.State = MemberLeader
	case c.peerContacts[name].stopping:
		v.State = MemberStopping
	case !p.RecentlyActive:
		v.State = MemberUnresponsive
	case p.NeedsSnapshot:
		v.State = MemberCatchingUp
	default:
		v.State = MemberFollower
	}
	if v.State == MemberUnresponsive || v.State == MemberStopping {
		v.NoContactMs = c.noContactFor(now, p).Milliseconds()
	}
	return v
}

// noContactFor is how long a daemon has neither answered the log nor said hello, as far
// as this process and this lead have listened.
func (c *Controller) noContactFor(now time.Duration, p consensus.ReplicaProgress) time.Duration {
	return now - max(c.peerContacts[p.Member.Name].lastAt, p.AckedAt, c.startedAt)
}

// countsTowardsQuorum says that a voter would be part of the next majority: it answers, is not
// about to stop, and needs no snapshot first.
func (v MemberView) countsTowardsQuorum() bool {
	return v.Voter && (v.State == MemberLeader || v.State == MemberFollower)
}

// failureToleranceView is the leader's: what may be lost now, and what stands against it.
func (c *Controller) failureToleranceView(now time.Duration, v ControlPlaneView) FailureToleranceView {
	l := FailureToleranceView{Evaluated: true}
	there, byDomain := 0, map[string]int{}
	for _, m := range v.Members {
		if m.countsTowardsQuorum() {
			there++
			byDomain[m.Domain]++
		}
	}
	l.Machines = max(0, there-v.Majority)
	l.Tolerable = l.Machines >= 1
	for _, d := range slices.Sorted(maps.Keys(byDomain)) {
		if there-byDomain[d] < v.Majority {
			l.DomainsAtRisk = append(l.DomainsAtRisk, d)
		}
	}
	if l.Tolerable {
		return l
	}
	for _, m := range v.Members {
		if m.Voter && !m.countsTowardsQuorum() {
			l.Blockers = append(l.Blockers, c.blockerFor(now, m, v.Members))
		}
	}
	if len(l.Blockers) == 0 {
		l.Blockers = []Blocker{{Kind: BlockerTooFewMembers, Successor: successor(v.Members)}}
	}
	return l
}

// blockerFor says why a voter can't be counted on, and when it may be replaced and by whom.
func (c *Controller) blockerFor(now time.Duration, m MemberView, all []MemberView) Blocker {
	o := Blocker{Member: m.Name, Kind: map[MemberState]BlockerKind{
		MemberUnresponsive: BlockerUnresponsive, MemberStopping: BlockerStopping, MemberCatchingUp: BlockerCatchingUp, MemberPlaceholder: BlockerPlaceholder}[m.State]}
	o.Successor = successor(all)
	if o.Successor == "" || c.settings.BootstrapSize != 0 || o.Kind == BlockerCatchingUp {
		return o
	}
	left := time.Duration(0)
	if m.State == MemberUnresponsive {
		listening := tuning.NewLeaderGrace - (now - c.node.RoleSince())
		left = max(0, listening, c.memberReplaceAfter()-time.Duration(m.NoContactMs)*time.Millisecond)
	}
	ms := left.Milliseconds()
	o.ReplaceableInMs = &ms
	return o
}

// successor is who becomes a member next: who learns and is furthest, else the first
// standby; "" if there is neither.
func successor(all []MemberView) string {
	var l []MemberView
	for _, m := range all {
		if m.State == MemberLearner || m.State == MemberStandby {
			l = append(l, m)
		}
	}
	if len(l) == 0 {
		return ""
	}
	return slices.MinFunc(l, func(a, b MemberView) int {
		return cmp.Or(-cmp.Compare(a.Match, b.Match), cmp.Compare(a.Name, b.Name))
	}).Name
}
