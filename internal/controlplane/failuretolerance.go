// This file determines whether the control plane tolerates the next failure of a machine or of a failure domain, and
// what prevents it if not.

package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// FailureToleranceView shows whether the control plane tolerates its next failure.
type FailureToleranceView struct {
	// Evaluated is false on a member that is not the leader, which lacks the information. The other fields are then zero.
	Evaluated bool `json:"known"`
	// Machines is how many of the machines that respond now may fail, whichever they are, without loss of the majority.
	Machines int `json:"machines"`
	// Tolerable reports whether Machines is at least 1.
	Tolerable bool `json:"bearable"`
	// DomainsAtRisk lists the failure domains whose complete failure would now leave no majority.
	DomainsAtRisk []string `json:"domains_at_risk,omitempty"`
	// Blockers lists the reasons why the next failure is not tolerated. It is empty if Tolerable is true.
	Blockers []Blocker `json:"obstacles,omitempty"`
}

// Blocker is one reason why the next failure is not tolerated now.
type Blocker struct {
	Kind   BlockerKind `json:"kind"`
	Member string      `json:"member,omitempty"`
	// ReplaceableInMs is the time in milliseconds until the member may be replaced at the earliest, 0 if it may be
	// replaced now. It is nil if the member only has to catch up, if there is no successor, or if an operator has set the
	// number of members.
	ReplaceableInMs *int64 `json:"replaceable_in_ms,omitempty"`
	// Successor is the daemon that would replace it: the most advanced learner or, without learners, a standby.
	Successor string `json:"by,omitempty"`
}

// BlockerKind is the reason why a member can't be counted on when another one fails.
type BlockerKind string

// The kinds of blockers.
const (
	BlockerUnresponsive  BlockerKind = "silent"          // see MemberUnresponsive
	BlockerStopping      BlockerKind = "stopping"        // see MemberStopping
	BlockerCatchingUp    BlockerKind = "catching_up"     // see MemberCatchingUp
	BlockerPlaceholder   BlockerKind = "place"           // see MemberPlaceholder
	BlockerTooFewMembers BlockerKind = "too_few_members" // all members respond, but there are only one or two
)

// blockerKinds maps member states to the kind of blocker that they cause.
var blockerKinds = map[MemberState]BlockerKind{
	MemberUnresponsive: BlockerUnresponsive,
	MemberStopping:     BlockerStopping,
	MemberCatchingUp:   BlockerCatchingUp,
	MemberPlaceholder:  BlockerPlaceholder,
}

// countsTowardsMajority reports whether a member is a voter that could be part of the next majority: it responds, is not
// stopping, and does not need a snapshot first.
func (m MemberView) countsTowardsMajority() bool {
	return m.Voter && (m.State == MemberLeader || m.State == MemberFollower)
}

// failureToleranceView returns the leader's view of which failures are tolerated now.
func (c *Controller) failureToleranceView(now time.Duration, controlPlane ControlPlaneView) FailureToleranceView {
	available, byDomain := 0, map[string]int{}
	for _, member := range controlPlane.Members {
		if member.countsTowardsMajority() {
			available++
			byDomain[member.Domain]++
		}
	}
	tolerated := max(0, available-controlPlane.Majority)
	view := FailureToleranceView{Evaluated: true, Machines: tolerated, Tolerable: tolerated >= 1}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		if available-byDomain[domain] < controlPlane.Majority {
			view.DomainsAtRisk = append(view.DomainsAtRisk, domain)
		}
	}
	if !view.Tolerable {
		view.Blockers = c.blockers(now, controlPlane.Members)
	}
	return view
}

// blockers returns the reasons why the next failure is not tolerated.
func (c *Controller) blockers(now time.Duration, members []MemberView) (blockers []Blocker) {
	for _, member := range members {
		if member.Voter && !member.countsTowardsMajority() {
			blockers = append(blockers, c.blockerFor(now, member, members))
		}
	}
	if len(blockers) == 0 {
		return []Blocker{{Kind: BlockerTooFewMembers, Successor: successor(members)}}
	}
	return blockers
}

// blockerFor returns why a voter can't be counted on, when it may be replaced and by which daemon.
func (c *Controller) blockerFor(now time.Duration, member MemberView, members []MemberView) Blocker {
	blocker := Blocker{Kind: blockerKinds[member.State], Member: member.Name, Successor: successor(members)}
	if blocker.Successor == "" || c.settings.BootstrapSize != 0 || blocker.Kind == BlockerCatchingUp {
		return blocker
	}
	wait := time.Duration(0)
	if member.State == MemberUnresponsive {
		// A new leader replaces no member until it has had time to get in contact with all of them.
		graceLeft := tuning.NewLeaderGrace - (now - c.node.RoleSince())
		noContact := time.Duration(member.NoContactMs) * time.Millisecond
		wait = max(0, graceLeft, c.memberReplaceAfter()-noContact)
	}
	waitMs := wait.Milliseconds()
	blocker.ReplaceableInMs = &waitMs
	return blocker
}

// successor returns the name of the daemon that becomes a member next: the most advanced learner, otherwise the first
// standby by name, "" if there is neither.
func successor(members []MemberView) string {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m MemberView) bool { return m.State != MemberLearner && m.State != MemberStandby })
	if len(candidates) == 0 {
		return ""
	}
	// A standby has no replication progress, so learners come first.
	return slices.MinFunc(candidates, func(a, b MemberView) int {
		return cmp.Or(-cmp.Compare(a.Match, b.Match), cmp.Compare(a.Name, b.Name))
	}).Name
}
