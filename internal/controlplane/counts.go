package controlplane

import (
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
)

// Counts holds the counters of a control daemon since its start. On /metrics each one is exported as mf_core_NAME_total,
// where NAME is the metric tag or, without one, the field name in snake case. In a status the key is the json tag or,
// without one, the field name.
type Counts struct {
	// TablesMade counts tables built, TablesUnchanged the times that a rebuild was due and found nothing changed.
	TablesMade      uint64 `json:"Rewrites" metric:"rewrites"`
	TablesUnchanged uint64 `json:"Same" metric:"same"`
	// Ejections counts targets ejected by outlier policies, EjectionsCleared the ejections ended by a policy, and
	// EjectionsLapsed those whose time to live expired.
	Ejections        uint64 `json:"Bars" metric:"bars"`
	EjectionsCleared uint64 `json:"Clears" metric:"clears"`
	EjectionsLapsed  uint64 `json:"Lapses" metric:"lapses"`
	// Drains counts targets that began to drain because they are leaving.
	Drains uint64 `json:"Holds" metric:"holds"`
	// MissesOverruled counts missed probes that were ignored because a proxy had a response from the target meanwhile.
	MissesOverruled uint64 `json:"Overruled" metric:"overruled"`
	// ChangesCommitted counts operators' changes that were committed.
	ChangesCommitted uint64 `json:"Changes" metric:"changes"`
	// Rejected counts rejected reports of targets and operators' changes that were rejected, before or after commit.
	Rejected uint64 `json:"Refused" metric:"refused"`
	// Elections counts the terms in which this member was the leader.
	Elections uint64
	// Probes counts health checks sent, ProbeMisses those that the target itself did not answer.
	Probes      uint64
	ProbeMisses uint64 `json:"Misses" metric:"misses"`
	// LeasesLost counts leaderships that ended: the lease expired, a new term began, or leadership was transferred.
	LeasesLost uint64
	// MemberChanges counts committed changes of the member list that this member applied.
	MemberChanges uint64
	// SnapshotsSent counts snapshots sent to members that need entries already removed from the log.
	SnapshotsSent uint64
	// RepeatsAnswered counts repeated changes that had already been accepted and were acknowledged again.
	RepeatsAnswered uint64
	// RejectedVersion counts changes rejected because their base is not the current revision, RejectedInvalid those with
	// invalid content.
	RejectedVersion uint64 `json:"RefusedVersion" metric:"refused_version"`
	RejectedInvalid uint64 `json:"RefusedInvalid" metric:"refused_invalid"`
	// AnsweredUnavailable counts calls answered with 503: there is no leader, or it can't accept them now.
	AnsweredUnavailable uint64 `json:"CannotTell" metric:"cannot_tell"`
	// AnsweredUnknown counts calls answered with 504: it is unknown whether they took effect.
	AnsweredUnknown uint64
	// DamageReports counts stored or received data that could not be decoded.
	DamageReports uint64 `json:"Damaged" metric:"damaged"`
	// LeavingsUnacknowledged counts leave notices and sign-offs of targets that were not acknowledged in time.
	LeavingsUnacknowledged uint64
	// CallsAbandoned counts changes that were not executed since their callers had disconnected, and Overtaken those that
	// the leader rejected since a later change may have been made.
	CallsAbandoned uint64
	Overtaken      uint64
}

// countOutput updates the counters of snapshots sent and member changes from the consensus node's output.
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

// countAnswer counts a response to an operator's call by its status. Of responses to targets' reports it counts only the
// unacknowledged ones.
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
