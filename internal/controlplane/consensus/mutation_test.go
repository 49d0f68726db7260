package consensus_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
	"myrtlefold/internal/verification/modelcheck"
)

// anyBatch matches every batch.
func anyBatch(*wire.Batch) bool { return true }

// withoutFirst removes the first member from a list unless it is the only one.
func withoutFirst(members []wire.Member) []wire.Member {
	if len(members) < 2 {
		return members
	}
	return members[1:]
}

// mutations disable one safety rule each, by a fault that the model checker injects or by a method in export_test.go.
// The model checker must then find a violated invariant: by exhaustive search where few transitions lead to a
// violation, otherwise by random walks. A case whose name ends with "consequence" ignores the invariant that its
// mutation violates first and checks that a later one is violated too.
var mutations = []struct {
	name       string
	scenario   string
	faults     modelcheck.Faults
	walks      int      // number of random walks, 0 for an exhaustive search
	seed       uint64   // seed of the random walks
	clockRates []int64  // replaces the clock rates of the scenario, nil to keep them
	violates   []string // one of these invariants must be violated
}{
	{name: "late call judged by the position of its arrival", scenario: "late-call", violates: []string{modelcheck.LateCallsIgnored},
		faults: modelcheck.Faults{LateCallPosition: func(leader *consensus.Node, _ consensus.Position) consensus.Position { return leader.Position() }}},
	{name: "vote sent before it is synced", scenario: "election", violates: []string{modelcheck.SyncedBeforeSent},
		faults: modelcheck.Faults{AcknowledgeEarly: func(b *wire.Batch) bool { return b.HasHardState }}},
	{name: "vote sent before it is synced: consequence", seed: 8, scenario: "election", walks: 3000, violates: []string{modelcheck.OneVotePerTerm},
		faults: modelcheck.Faults{AcknowledgeEarly: func(b *wire.Batch) bool { return b.HasHardState }, Ignore: []string{modelcheck.SyncedBeforeSent}}},
	{name: "entry acknowledged before it is synced", scenario: "late-sync", violates: []string{modelcheck.SyncedBeforeSent},
		faults: modelcheck.Faults{AcknowledgeEarly: anyBatch}},
	{name: "entry acknowledged before it is synced: consequence", seed: 7, scenario: "late-sync", walks: 3000,
		violates: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept, modelcheck.LogMatching, modelcheck.NoPanic},
		faults:   modelcheck.Faults{AcknowledgeEarly: func(b *wire.Batch) bool { return !b.HasHardState }, Ignore: []string{modelcheck.SyncedBeforeSent}}},
	{name: "snapshot acknowledged before it is synced", scenario: "snapshot-under-way", violates: []string{modelcheck.SyncedBeforeSent},
		faults: modelcheck.Faults{AcknowledgeEarly: func(b *wire.Batch) bool { return b.Snapshot != nil && b.TruncateFrom != 0 }}},
	{name: "vote forgotten by a restart", seed: 1, scenario: "election", walks: 3000, violates: []string{modelcheck.OneVotePerTerm},
		faults: modelcheck.Faults{Restart: func(state *consensus.PersistentState) { state.Vote = "" }}},
	{name: "vote forgotten by a restart: consequence", seed: 11, scenario: "election", walks: 6000, violates: []string{modelcheck.ElectionSafety},
		faults: modelcheck.Faults{Restart: func(state *consensus.PersistentState) { state.Vote = "" }, Ignore: []string{modelcheck.OneVotePerTerm, modelcheck.VotersAreMembers}}},
	{name: "entry of an earlier term committed by counting replicas", scenario: "overtaken", seed: 1, walks: 20000, violates: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept},
		faults: modelcheck.Faults{AfterStep: (*consensus.Node).CommitByCountingReplicas}},
	{name: "entry committed without a majority", seed: 2, scenario: "diverged", walks: 3000, violates: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept},
		faults: modelcheck.Faults{AfterStep: (*consensus.Node).CommitWithoutQuorum}},
	{name: "vote for a candidate that lacks entries", seed: 8, scenario: "diverged", walks: 3000, violates: []string{modelcheck.LeaderCompleteness},
		faults: modelcheck.Faults{Deliver: func(_ *consensus.Node, m *wire.Message) {
			if m.Vote != nil && !m.Vote.Reply {
				m.Vote.LastTerm, m.Vote.LastIndex = m.Term, 1<<40
			}
		}}},
	{name: "entries accepted after a conflicting entry", seed: 1, scenario: "diverged", walks: 3000, violates: []string{modelcheck.LogMatching, modelcheck.CommittedEntriesKept, modelcheck.NoPanic},
		faults: modelcheck.Faults{Deliver: func(n *consensus.Node, m *wire.Message) {
			if a := m.Append; a != nil && !a.Reply && n.TermAt(a.PrevIndex) != 0 {
				a.PrevTerm = n.TermAt(a.PrevIndex)
			}
		}}},
	{name: "committed entries withheld from the state machine", scenario: "late-sync", violates: []string{modelcheck.StateMachineSafety},
		faults: modelcheck.Faults{AfterStep: func(n *consensus.Node, _ time.Duration) { n.DiscardCommittedEntries() }}},
	{name: "lease outlasts the time for which members reject candidates", seed: 12, scenario: "second-leader", clockRates: []int64{450, 1000, 1000}, walks: 3000, violates: []string{modelcheck.SingleLeaseHolder},
		faults: modelcheck.Faults{Ignore: []string{modelcheck.LeaseHolderIsCurrent}}},
	{name: "lease outlasts the time for which members reject candidates: consequence", seed: 12, scenario: "second-leader", clockRates: []int64{450, 1000, 1000}, walks: 3000,
		faults: modelcheck.Faults{Ignore: []string{modelcheck.SingleLeaseHolder}}, violates: []string{modelcheck.LeaseHolderIsCurrent}},
	{name: "vote from a disk that isn't a member's", seed: 4, scenario: "members", walks: 6000,
		violates: []string{modelcheck.VotersAreMembers, modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept, modelcheck.ElectionSafety},
		faults: modelcheck.Faults{Deliver: func(n *consensus.Node, m *wire.Message) {
			if d := n.DiskOf(m.From); d != 0 {
				m.Disk = d
			}
		}}},
	{name: "vote from a disk that isn't a member's: consequence", seed: 10, scenario: "members", walks: 6000,
		violates: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept, modelcheck.ElectionSafety},
		faults: modelcheck.Faults{Ignore: []string{modelcheck.VotersAreMembers}, Deliver: func(n *consensus.Node, m *wire.Message) {
			if d := n.DiskOf(m.From); d != 0 {
				m.Disk = d
			}
		}}},
	{name: "two members changed at once: consequence", seed: 11, scenario: "members", walks: 6000,
		violates: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept, modelcheck.ElectionSafety, modelcheck.SingleLeaseHolder},
		faults: modelcheck.Faults{Ignore: []string{modelcheck.QuorumsIntersect}, ChangeMembers: func(n *consensus.Node, now time.Duration, members []wire.Member) {
			n.ProposeAnyMembers(now, withoutFirst(members))
		}}},
	{name: "two members changed at once", scenario: "members", violates: []string{modelcheck.QuorumsIntersect},
		faults: modelcheck.Faults{ChangeMembers: func(n *consensus.Node, now time.Duration, members []wire.Member) {
			n.ProposeAnyMembers(now, withoutFirst(members))
		}}},
}

// The model checker detects each disabled safety rule.
func TestMutations(t *testing.T) {
	for _, mutation := range mutations {
		t.Run(mutation.name, func(t *testing.T) {
			scenario := *modelcheck.ScenarioByName(mutation.scenario)
			scenario.Faults = mutation.faults
			if mutation.clockRates != nil {
				scenario.ClockRates = mutation.clockRates
			}
			var report *modelcheck.Report
			if mutation.walks > 0 {
				report = modelcheck.Walk(&scenario, mutation.seed, mutation.walks, 200)
			} else {
				report = modelcheck.Search(&scenario, modelcheck.Limits{States: 20000, Depth: 100, Workers: 2})
			}
			t.Log(report)
			if !slices.ContainsFunc(mutation.violates, func(name string) bool { return strings.HasPrefix(report.Violation, name+":") }) {
				t.Errorf("model checker found violation %q, want one of %v", report.Violation, mutation.violates)
			}
		})
	}
}
