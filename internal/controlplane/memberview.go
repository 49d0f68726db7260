// This file is what operators read of the control plane itself: who leads and by which majority, which members are
// unresponsive, and how far learners are. Whether the next failure is tolerated is in failuretolerance.go.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// MemberState is what a control daemon is to the control plane, as the leader sees it.
type MemberState string

// The states of a control daemon.
const (
	MemberLeader       MemberState = "leader"
	MemberFollower     MemberState = "follower"    // a voter that answers and needs no entry that the leader's log lacks
	MemberCatchingUp   MemberState = "catching_up" // a voter that answers and needs a snapshot first
	MemberUnresponsive MemberState = "silent"      // a voter that has not answered within the lease
	MemberStopping     MemberState = "stopping"    // said that it stops; it is to come back
	MemberPlaceholder  MemberState = "place"       // a vote kept for a machine that was not there at the bootstrap
	MemberLearner      MemberState = "learning"    // receives the log and has no vote yet
	MemberStandby      MemberState = "standby"     // is there and may become a member
)

// MemberView is one control daemon.
type MemberView struct {
	Name   string      `json:"name"`
	Domain string      `json:"domain,omitempty"`
	State  MemberState `json:"state"`
	Voter  bool        `json:"voter"`
	// NoContactMs is how long nothing has come from it, as far as this leader can know.
	NoContactMs int64 `json:"silent_ms"`
	// Match is the index of the last log entry that it is known to have, up to ControlPlaneView.Commit and beyond.
	Match uint64 `json:"match"`
	// LearningMs is how long it has been a learner, 0 if it is none.
	LearningMs int64 `json:"learning_ms,omitempty"`
}

// ControlPlaneView is the control plane as one member sees it. Only the leader's has the other members.
type ControlPlaneView struct {
	Leader string `json:"leader,omitempty"`
	// HoldsLease says that this member leads and has the lease at this moment.
	HoldsLease bool `json:"decides"`
	// LeadingMs is for how long this member has led.
	LeadingMs int64 `json:"leads_ms,omitempty"`
	// LeaderLastContactMs is how long ago a member that doesn't lead last had contact with a leader, or was the leader.
	LeaderLastContactMs int64 `json:"leader_heard_ms,omitempty"`
	// Commit is the index of the last entry known to be committed, Last that of the last one in this member's log.
	Commit uint64 `json:"commit"`
	Last   uint64 `json:"last"`
	// Voters is the number of members, Majority how many of them commit an entry.
	Voters   int `json:"voters"`
	Majority int `json:"majority"`
	// LeaseVoters are the voters by whose answers the leader has its lease now.
	LeaseVoters      []string             `json:"lease,omitempty"`
	Members          []MemberView         `json:"members,omitempty"`
	FailureTolerance FailureToleranceView `json:"next_loss"`
}

// controlPlaneView returns this member's view of the control plane.
func (c *Controller) controlPlaneView(now time.Duration) ControlPlaneView {
	if c.node == nil {
		return ControlPlaneView{Leader: c.leaderHint}
	}
	voters := len(c.node.Members())
	view := ControlPlaneView{Leader: c.leader(now), Commit: c.node.Commit(), Last: c.node.LastIndex(), Voters: voters, Majority: voters/2 + 1}
	if c.node.Role() != consensus.Leader {
		// If this member led last, it stopped to at leadershipSince.
		view.LeaderLastContactMs = (now - max(c.node.LastLeaderContact(), c.leadershipSince)).Milliseconds()
		return view
	}
	view.LeadingMs = (now - c.node.RoleSince()).Milliseconds()
	view.HoldsLease = c.HoldsLease(now)
	progress := c.node.Progress(now)
	for _, p := range progress {
		if p.Voter && p.RecentlyActive {
			view.LeaseVoters = append(view.LeaseVoters, p.Member.Name)
		}
	}
	slices.Sort(view.LeaseVoters)
	view.Members = c.memberViews(now, progress)
	view.FailureTolerance = c.failureToleranceView(now, view)
	return view
}

// memberViews returns the members, the learners and the standbys, in this order.
func (c *Controller) memberViews(now time.Duration, progress []consensus.ReplicaProgress) []MemberView {
	var views []MemberView
	listed := map[string]bool{}
	list := func(view MemberView) {
		views = append(views, view)
		listed[view.Name] = true
	}
	for _, member := range c.node.Members() {
		list(c.voterView(now, progressOf(member, progress)))
	}
	for _, p := range progress {
		if !p.Voter && !listed[p.Member.Name] {
			list(c.learnerView(now, p))
		}
	}
	for _, daemon := range c.visibleControlDaemons(now) {
		if !listed[daemon.Name] && daemon.Disk != 0 && daemon.State != stoppingState && c.state.RemovedMembers[daemon.Name] == 0 {
			noContact := c.sinceLastContact(now, daemon.Name)
			views = append(views, MemberView{Name: daemon.Name, Domain: daemon.Domain, State: MemberStandby, NoContactMs: noContact.Milliseconds()})
		}
	}
	return views
}

// progressOf returns the progress of a member, which is empty for one that the leader does not replicate to.
func progressOf(member wire.Member, progress []consensus.ReplicaProgress) consensus.ReplicaProgress {
	if i := slices.IndexFunc(progress, func(p consensus.ReplicaProgress) bool { return p.Member == member }); i >= 0 {
		return progress[i]
	}
	return consensus.ReplicaProgress{Member: member, Voter: true}
}

func (c *Controller) voterView(now time.Duration, progress consensus.ReplicaProgress) MemberView {
	name := progress.Member.Name
	view := MemberView{Name: name, Domain: c.domainOf(name), State: c.voterState(progress), Voter: true, Match: progress.Match}
	switch view.State {
	case MemberPlaceholder:
		view.Domain = ""
	case MemberUnresponsive, MemberStopping:
		view.NoContactMs = c.noContactFor(now, progress).Milliseconds()
	}
	return view
}

func (c *Controller) voterState(progress consensus.ReplicaProgress) MemberState {
	switch name := progress.Member.Name; {
	case progress.Member.Disk == 0:
		return MemberPlaceholder
	case name == c.settings.Self.Name:
		return MemberLeader
	case c.peerContacts[name].stopping:
		return MemberStopping
	case !progress.RecentlyActive:
		return MemberUnresponsive
	case progress.NeedsSnapshot:
		return MemberCatchingUp
	}
	return MemberFollower
}

func (c *Controller) learnerView(now time.Duration, progress consensus.ReplicaProgress) MemberView {
	name := progress.Member.Name
	view := MemberView{Name: name, Domain: c.domainOf(name), State: MemberLearner, Match: progress.Match}
	view.NoContactMs = c.noContactFor(now, progress).Milliseconds()
	if learner, found := c.learners[name]; found {
		view.LearningMs = (now - learner.since).Milliseconds()
	}
	return view
}

// noContactFor is how long a daemon has neither acknowledged entries nor sent a hello, as far back as this process and
// this leadership go.
func (c *Controller) noContactFor(now time.Duration, progress consensus.ReplicaProgress) time.Duration {
	return now - max(c.peerContacts[progress.Member.Name].lastAt, progress.AckedAt, c.startedAt)
}
