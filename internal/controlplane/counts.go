package controlplane

import (
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
)

// Counts are the counters of a control daemon since its start. On /metrics each is mf_core_NAME_total, where NAME is the
// tag metric or else the field's name in snake case. In a status the key is the tag json or else the field's name.
type Counts struct {
	// TablesMade counts tables made, TablesUnchanged the times that one was due and had nothing new to say.
	TablesMade      uint64 `json:"Rewrites" metric:"rewrites"`
	TablesUnchanged uint64 `json:"Same" metric:"same"`
	// Ejections counts targets ejected by outlier policies, EjectionsCleared ejections that a policy ended, and
	// EjectionsLapsed those whose time to live was over.
	Ejections        uint64 `json:"Bars" metric:"bars"`
	EjectionsCleared uint64 `json:"Clears" metric:"clears"`
	EjectionsLapsed  uint64 `json:"Lapses" metric:"lapses"`
	// Drains counts targets that began to drain because they leave.
	Drains uint64 `json:"Holds" metric:"holds"`
	// MissesOverruled counts missed probes that didn't count, since a proxy had a response meanwhile.
	MissesOverruled uint64 `json:"Overruled" metric:"overruled"`
	// ChangesCommitted counts operators' changes that were committed.
	ChangesCommitted uint64 `json:"Changes" metric:"changes"`
	// Rejected counts operators' changes rejected, before or after they were committed, and targets' reports rejected.
	Rejected uint64 `json:"Refused" metric:"refused"`
	// Elections counts the terms that this member led.
	Elections uint64
	// Probes counts health checks, ProbeMisses those without an answer of the target's own.
	Probes      uint64
	ProbeMisses uint64 `json:"Misses" metric:"misses"`
	// LeasesLost counts leaderships that ended: the lease ran out, the term passed, or leadership was transferred.
	LeasesLost uint64
	// MemberChanges counts changes of the member list that were committed, as this member applied them.
	MemberChanges uint64
	// SnapshotsSent counts snapshots sent to members that the log no longer reaches.
	SnapshotsSent uint64
	// RepeatsAnswered counts changes that had been accepted before and were acknowledged again.
	RepeatsAnswered uint64
	// RejectedVersion counts changes rejected as built on another revision, RejectedInvalid those invalid in themselves.
	RejectedVersion uint64 `json:"RefusedVersion" metric:"refused_version"`
	RejectedInvalid uint64 `json:"RefusedInvalid" metric:"refused_invalid"`
	// AnsweredUnavailable counts calls answered 503: there is no leader, or it can't take them now.
	AnsweredUnavailable uint64 `json:"CannotTell" metric:"cannot_tell"`
	// AnsweredUnknown counts calls of which it can't be known whether they took effect.
	AnsweredUnknown uint64
	// DamageReports counts stored or offered data that could not be decoded.
	DamageReports uint64 `json:"Damaged" metric:"damaged"`
	// LeavingsUnacknowledged counts targets' leavings and sign-offs that were not acknowledged in time.
	LeavingsUnacknowledged uint64
}

// countOutput counts what operators look for in the consensus node's output.
func (c *Controller) countOutput(output *consensus.Ready) {
	for _, m := range output.Messages {
		if m.Append != nil && !m.Append.Reply && m.Append.Chunk.BeginsSnapshot() {
			c.counts.SnapshotsSent++
		}
	}
	for _, entry := range output.CommittedEntries {
		if entry.Kind == consensus.EntryMembers {
			c.counts.MemberChanges++
		}
	}
}

// countAnswer counts the answer to a call by its status, and that to a target's report by whether it was acknowledged.
func (c *Controller) countAnswer(call *pendingCall, status int) {
	switch {
	case call.targetReport && status == statemachine.StatusServiceUnavailable:
		c.counts.LeavingsUnacknowledged++
	case call.targetReport:
	case status == statemachine.StatusPreconditionFailed:
		c.counts.RejectedVersion++
	case status == statemachine.StatusServiceUnavailable:
		c.counts.AnsweredUnavailable++
	case status == statemachine.StatusGatewayTimeout:
		c.counts.AnsweredUnknown++
	case status == statemachine.StatusBadRequest, status == statemachine.StatusRequestEntityTooLarge,
		status == statemachine.StatusUnprocessableEntity, status == statemachine.StatusPreconditionRequired:
		c.counts.RejectedInvalid++
	}
}
