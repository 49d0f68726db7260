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

// anyBatch is true of every batch.
func anyBatch(*wire.Batch) bool { return true }

// withoutFirst leaves the first member out too, if another is left then.
func withoutFirst(members []wire.Member) []wire.Member {
	if len(members) < 2 {
		return members
	}
	return members[1:]
}

// mutations disable one guard each, in the model checker or by a method of export_test.go. An invariant has to break: in a
// search where few transitions lead there, else in random walks.
var mutations = []struct {
	name     string
	scenario string
	faults   modelcheck.Faults
	walks    int // 0: a search
	seed     uint64
	rates    []int64  // of the clocks, in place of the scenario's
	breaks   []string // any of these invariants
}{
	{name: "vote sent before it is synced", scenario: "election", breaks: []string{modelcheck.SyncedBeforeSent},
		faults: modelcheck.Faults{AcknowledgeEarly: func(b *wire.Batch) bool { return b.HasHardState }}},
	{name: "vote sent before it is synced: what follows", seed: 8, scenario: "election", walks: 3000, breaks: []string{modelcheck.OneVotePerTerm},
		faults: modelcheck.Faults{AcknowledgeEarly: func(b *wire.Batch) bool { return b.HasHardState }, Ignore: []string{modelcheck.SyncedBeforeSent}}},
	{name: "entry acknowledged before it is synced", scenario: "late-sync", breaks: []string{modelcheck.SyncedBeforeSent},
		faults: modelcheck.Faults{AcknowledgeEarly: anyBatch}},
	{name: "entry acknowledged before it is synced: what follows", seed: 7, scenario: "late-sync", walks: 3000,
		breaks: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept, modelcheck.LogMatching, modelcheck.NoPanic},
		faults: modelcheck.Faults{AcknowledgeEarly: func(b *wire.Batch) bool { return !b.HasHardState }, Ignore: []string{modelcheck.SyncedBeforeSent}}},
	{name: "snapshot acknowledged before it is synced", scenario: "snapshot-under-way", breaks: []string{modelcheck.SyncedBeforeSent},
		faults: modelcheck.Faults{AcknowledgeEarly: func(b *wire.Batch) bool { return b.Snapshot != nil && b.TruncateFrom != 0 }}},
	{name: "vote forgotten by a restart", seed: 1, scenario: "election", walks: 3000, breaks: []string{modelcheck.OneVotePerTerm},
		faults: modelcheck.Faults{Restart: func(state *consensus.PersistentState) { state.Vote = "" }}},
	{name: "vote forgotten by a restart: what follows", seed: 11, scenario: "election", walks: 6000, breaks: []string{modelcheck.ElectionSafety},
		faults: modelcheck.Faults{Restart: func(state *consensus.PersistentState) { state.Vote = "" }, Ignore: []string{modelcheck.OneVotePerTerm, modelcheck.VotersAreMembers}}},
	{name: "commit by count of an earlier term", scenario: "overtaken", seed: 1, walks: 20000, breaks: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept},
		faults: modelcheck.Faults{AfterStep: (*consensus.Node).CommitByCount}},
	{name: "commit before a majority", seed: 2, scenario: "diverged", walks: 3000, breaks: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept},
		faults: modelcheck.Faults{AfterStep: (*consensus.Node).CommitOwn}},
	{name: "votes for a candidate that lacks entries", seed: 8, scenario: "diverged", walks: 3000, breaks: []string{modelcheck.LeaderCompleteness},
		faults: modelcheck.Faults{Deliver: func(_ *consensus.Node, m *wire.Message) {
			if m.Vote != nil && !m.Vote.Reply {
				m.Vote.LastTerm, m.Vote.LastIndex = m.Term, 1<<40
			}
		}}},
	{name: "entries accepted after one that differs", seed: 1, scenario: "diverged", walks: 3000, breaks: []string{modelcheck.LogMatching, modelcheck.CommittedEntriesKept, modelcheck.NoPanic},
		faults: modelcheck.Faults{Deliver: func(n *consensus.Node, m *wire.Message) {
			if a := m.Append; a != nil && !a.Reply && n.TermAt(a.PrevIndex) != 0 {
				a.PrevTerm = n.TermAt(a.PrevIndex)
			}
		}}},
	{name: "committed entries withheld from the state machine", scenario: "late-sync", breaks: []string{modelcheck.StateMachineSafety},
		faults: modelcheck.Faults{AfterStep: func(n *consensus.Node, _ time.Duration) { n.SkipApplied() }}},
	{name: "lease longer than members reject candidates", seed: 12, scenario: "second-leader", rates: []int64{450, 1000, 1000}, walks: 3000, breaks: []string{modelcheck.SingleLeaseHolder},
		faults: modelcheck.Faults{Ignore: []string{modelcheck.LeaseHolderIsCurrent}}},
	{name: "lease longer than members reject candidates: what follows", seed: 12, scenario: "second-leader", rates: []int64{450, 1000, 1000}, walks: 3000,
		faults: modelcheck.Faults{Ignore: []string{modelcheck.SingleLeaseHolder}}, breaks: []string{modelcheck.LeaseHolderIsCurrent}},
	{name: "vote of a disk that is no member", seed: 4, scenario: "members", walks: 6000,
		breaks: []string{modelcheck.VotersAreMembers, modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept, modelcheck.ElectionSafety},
		faults: modelcheck.Faults{Deliver: func(n *consensus.Node, m *wire.Message) {
			if d := n.DiskOf(m.From); d != 0 {
				m.Disk = d
			}
		}}},
	{name: "vote of a disk that is no member: what follows", seed: 10, scenario: "members", walks: 6000,
		breaks: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept, modelcheck.ElectionSafety},
		faults: modelcheck.Faults{Ignore: []string{modelcheck.VotersAreMembers}, Deliver: func(n *consensus.Node, m *wire.Message) {
			if d := n.DiskOf(m.From); d != 0 {
				m.Disk = d
			}
		}}},
	{name: "two members changed at once: what follows", seed: 11, scenario: "members", walks: 6000,
		breaks: []string{modelcheck.LeaderCompleteness, modelcheck.CommittedEntriesKept, modelcheck.ElectionSafety, modelcheck.SingleLeaseHolder},
		faults: modelcheck.Faults{Ignore: []string{modelcheck.QuorumsIntersect}, ChangeMembers: func(n *consensus.Node, now time.Duration, members []wire.Member) {
			n.ProposeAnyMembers(now, withoutFirst(members))
		}}},
	{name: "two members changed at once", scenario: "members", breaks: []string{modelcheck.QuorumsIntersect},
		faults: modelcheck.Faults{ChangeMembers: func(n *consensus.Node, now time.Duration, members []wire.Member) {
			n.ProposeAnyMembers(now, withoutFirst(members))
		}}},
}

// The model checker notices each disabled guard.
func TestMutations(t *testing.T) {
	for _, mutation := range mutations {
		t.Run(mutation.name, func(t *testing.T) {
			scenario := *modelcheck.ScenarioByName(mutation.scenario)
			scenario.Faults = mutation.faults
			if mutation.rates != nil {
				scenario.ClockRates = mutation.rates
			}
			var report *modelcheck.Report
			if mutation.walks > 0 {
				report = modelcheck.Walk(&scenario, mutation.seed, mutation.walks, 200)
			} else {
				report = modelcheck.Search(&scenario, modelcheck.Limits{States: 20000, Depth: 100, Workers: 2})
			}
			t.Log(report)
			if !slices.ContainsFunc(mutation.breaks, func(name string) bool { return strings.HasPrefix(report.Violation, name+":") }) {
				t.Errorf("violation %q, want one of %v", report.Violation, mutation.breaks)
			}
		})
	}
}
