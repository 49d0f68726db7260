// This file builds the operators' view of the control plane itself: the leader and the voters that support its lease,
// unresponsive members, and the progress of learners. failuretolerance.go adds whether the next failure is tolerated.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// MemberState is the state of a control daemon in the control plane, as the leader sees it.
type MemberState string

// The states of a control daemon.
const (
	MemberLeader       MemberState = "leader"
	MemberFollower     MemberState = "follower"    // a voter that responds, and whose next entry is still in the leader's log
	MemberCatchingUp   MemberState = "catching_up" // a voter that responds and needs a snapshot before further entries
	MemberUnresponsive MemberState = "silent"      // a voter that has not responded within the lease time
	MemberStopping     MemberState = "stopping"    // has announced that it is stopping; it is expected back
	MemberPlaceholder  MemberState = "place"       // a voter that stands for a machine absent at the bootstrap
	MemberLearner      MemberState = "learning"    // receives the log, and has no vote yet
	MemberStandby      MemberState = "standby"     // visible, and may become a member
)

// MemberView describes one control daemon to operators.
type MemberView struct {
	Name   string      `json:"name"`
	Domain string      `json:"domain,omitempty"`
	State  MemberState `json:"state"`
	Voter  bool        `json:"voter"`
	// NoContactMs is the time since the last contact with it in milliseconds, as far back as this leader can know.
	NoContactMs int64 `json:"silent_ms"`
	// Match is the index of the last log entry that it is known to have, which may be after ControlPlaneView.Commit.
	Match uint64 `json:"match"`
	// LearningMs is how long it has been a learner, in milliseconds, 0 if it isn't one.
	LearningMs int64 `json:"learning_ms,omitempty"`
}

// ControlPlaneView is the control plane as one member sees it. Only the leader's view includes the other members.
type ControlPlaneView struct {
	Leader string `json:"leader,omitempty"`
	// HoldsLease is set if this member leads and holds the lease at this moment.
	HoldsLease bool `json:"decides"`
	// LeadingMs is how long this member has led, in milliseconds, 0 if it doesn't lead.
	LeadingMs int64 `json:"leads_ms,omitempty"`
	// LeaderLastContactMs is the time in milliseconds since this member last had contact with a leader or led itself.
	// It is 0 at the leader.
	LeaderLastContactMs int64 `json:"leader_heard_ms,omitempty"`
	// Commit is the index of the last entry known to be committed, Last that of the last entry in this member's log.
	Commit uint64 `json:"commit"`
	Last   uint64 `json:"last"`
	// Voters is the number of members, Majority how many of them have to have an entry to commit it.
	Voters   int `json:"voters"`
	Majority int `json:"majority"`
	// LeaseVoters are the voters whose recent responses support the leader's lease.
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
		// If this member was the last leader that it knows of, it stopped leading at leadershipSince.
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

// memberViews returns the views of the members, then of the learners, then of the standbys.
func (c *Controller) memberViews(now time.Duration, progress []consensus.ReplicaProgress) []MemberView {
	var views []MemberView
	listed := map[string]bool{}
	add := func(view MemberView) {
		views = append(views, view)
		listed[view.Name] = true
	}
	for _, member := range c.node.Members() {
		add(c.voterView(now, progressOf(member, progress)))
	}
	for _, p := range progress {
		if !p.Voter && !listed[p.Member.Name] {
			add(c.learnerView(now, p))
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

// progressOf returns the replication progress of a member, which is empty if the leader does not replicate to it.
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

// noContactFor returns the time since the last contact with a daemon: since its last hello arrived, or since this leader
// sent the latest message that the daemon has answered in this term, whichever is shorter. The time goes back no further
// than the start of this process.
func (c *Controller) noContactFor(now time.Duration, progress consensus.ReplicaProgress) time.Duration {
	return now - max(c.peerContacts[progress.Member.Name].lastAt, progress.AnsweredMessageSentAt, c.startedAt)
}
