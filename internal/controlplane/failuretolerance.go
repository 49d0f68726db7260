// This file says whether the control plane tolerates the next failure of a machine or of a failure domain, and if not
// what blocks that.

package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// FailureToleranceView says whether the control plane tolerates its next failure.
type FailureToleranceView struct {
	// Evaluated is false at a member that does not lead, which can't know.
	Evaluated bool `json:"known"`
	// Machines is how many of the machines that answer now may fail, whichever they are.
	Machines int `json:"machines"`
	// Tolerable says that Machines is at least 1.
	Tolerable bool `json:"bearable"`
	// DomainsAtRisk are the failure domains that may not fail as a whole now.
	DomainsAtRisk []string `json:"domains_at_risk,omitempty"`
	// Blockers say why the next failure is not tolerated, and until when.
	Blockers []Blocker `json:"obstacles,omitempty"`
}

// Blocker is one reason why the next failure is not tolerated now.
type Blocker struct {
	Kind   BlockerKind `json:"kind"`
	Member string      `json:"member,omitempty"`
	// ReplaceableInMs is in how long the member may be replaced at the earliest, 0 if it may now. It is absent where
	// nobody is there to replace it or an operator gave the number of members.
	ReplaceableInMs *int64 `json:"replaceable_in_ms,omitempty"`
	// Successor is who would replace it: the learner that is furthest, else a standby.
	Successor string `json:"by,omitempty"`
}

// BlockerKind is why a member can't be counted on when another one fails.
type BlockerKind string

// The kinds of blockers.
const (
	BlockerUnresponsive  BlockerKind = "silent"
	BlockerStopping      BlockerKind = "stopping"
	BlockerCatchingUp    BlockerKind = "catching_up"
	BlockerPlaceholder   BlockerKind = "place"
	BlockerTooFewMembers BlockerKind = "too_few_members" // all answer, and they are one or two
)

// blockerKinds are the kinds of blockers that members in these states are.
var blockerKinds = map[MemberState]BlockerKind{
	MemberUnresponsive: BlockerUnresponsive,
	MemberStopping:     BlockerStopping,
	MemberCatchingUp:   BlockerCatchingUp,
	MemberPlaceholder:  BlockerPlaceholder,
}

// countsTowardsMajority says that a voter would be part of the next majority: it answers, does not stop, and needs no
// snapshot first.
func (m MemberView) countsTowardsMajority() bool {
	return m.Voter && (m.State == MemberLeader || m.State == MemberFollower)
}

// failureToleranceView returns the leader's view of what may fail now.
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

// blockers returns what has to change for the next failure to be tolerated.
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

// blockerFor says why a voter can't be counted on, and when it may be replaced and by whom.
func (c *Controller) blockerFor(now time.Duration, member MemberView, members []MemberView) Blocker {
	blocker := Blocker{Kind: blockerKinds[member.State], Member: member.Name, Successor: successor(members)}
	if blocker.Successor == "" || c.settings.BootstrapSize != 0 || blocker.Kind == BlockerCatchingUp {
		return blocker
	}
	wait := time.Duration(0)
	if member.State == MemberUnresponsive {
		// A new leader replaces nobody before it has had the time to be in contact with all.
		graceLeft := tuning.NewLeaderGrace - (now - c.node.RoleSince())
		noContact := time.Duration(member.NoContactMs) * time.Millisecond
		wait = max(0, graceLeft, c.memberReplaceAfter()-noContact)
	}
	waitMs := wait.Milliseconds()
	blocker.ReplaceableInMs = &waitMs
	return blocker
}

// successor returns who becomes a member next: the learner that is furthest, else the first standby; "" if there is
// neither.
func successor(members []MemberView) string {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m MemberView) bool { return m.State != MemberLearner && m.State != MemberStandby })
	if len(candidates) == 0 {
		return ""
	}
	// A standby has no progress, so that learners come first.
	return slices.MinFunc(candidates, func(a, b MemberView) int {
		return cmp.Or(-cmp.Compare(a.Match, b.Match), cmp.Compare(a.Name, b.Name))
	}).Name
}
