package consensus_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"myrtlefold/explore"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

func anyBatch(*wire.Batch) bool { return true }

// withoutFirst leaves the first member out too, if anybody is left then.
func withoutFirst(ms []wire.Member) []wire.Member {
	if len(ms) < 2 {
		return ms
	}
	return ms[1:]
}

// Each guard is taken out at the driver, or by a method of export_test.go, and an
// invariant has to break: by a search where few steps lead there, else by walks.
var mutations = []struct {
	name     string
	scenario string
	faults   explore.Faults
	walks    int // 0: a search
	seed     uint64
	rates    []int64
	breaks   []string
}{
	{name: "vote sent before it is synced", scenario: "election", breaks: []string{explore.PromisesAreSynced},
		faults: explore.Faults{AckEarly: func(b *wire.Batch) bool { return b.Hard }}},
	{name: "vote sent before it is synced: what follows", seed: 8, scenario: "election", walks: 3000, breaks: []string{explore.OneVotePerTerm},
		faults: explore.Faults{AckEarly: func(b *wire.Batch) bool { return b.Hard }, Ignore: []string{explore.PromisesAreSynced}}},
	{name: "entry confirmed before it is synced", scenario: "late-sync", breaks: []string{explore.PromisesAreSynced},
		faults: explore.Faults{AckEarly: anyBatch}},
	{name: "entry confirmed before it is synced: what follows", seed: 7, scenario: "late-sync", walks: 3000,
		breaks: []string{explore.LeaderComplete, explore.CommittedKept, explore.LogMatching, explore.NoPanic},
		faults: explore.Faults{AckEarly: func(b *wire.Batch) bool { return !b.Hard }, Ignore: []string{explore.PromisesAreSynced}}},
	{name: "snapshot confirmed before it is synced", scenario: "snapshot-under-way", breaks: []string{explore.PromisesAreSynced},
		faults: explore.Faults{AckEarly: func(b *wire.Batch) bool { return b.Snap != nil && b.Cut != 0 }}},
	{name: "vote forgotten by a restart", seed: 1, scenario: "election", walks: 3000, breaks: []string{explore.OneVotePerTerm},
		faults: explore.Faults{Restart: func(im *consensus.Image) { im.Vote = "" }}},
	{name: "vote forgotten by a restart: what follows", seed: 11, scenario: "election", walks: 6000, breaks: []string{explore.OneLeaderPerTerm},
		faults: explore.Faults{Restart: func(im *consensus.Image) { im.Vote = "" }, Ignore: []string{explore.OneVotePerTerm, explore.VotersAreMembers}}},
	{name: "commit by count of an earlier term", scenario: "overtaken", seed: 1, walks: 20000, breaks: []string{explore.LeaderComplete, explore.CommittedKept},
		faults: explore.Faults{AfterStep: (*consensus.Node).CommitByCount}},
	{name: "commit before a majority", seed: 2, scenario: "diverged", walks: 3000, breaks: []string{explore.LeaderComplete, explore.CommittedKept},
		faults: explore.Faults{AfterStep: (*consensus.Node).CommitOwn}},
	{name: "votes for whoever lacks entries", seed: 8, scenario: "diverged", walks: 3000, breaks: []string{explore.LeaderComplete},
		faults: explore.Faults{Deliver: func(_ *consensus.Node, m *wire.Msg) {
			if m.Vote != nil && !m.Vote.Reply {
				m.Vote.LastTerm, m.Vote.LastIndex = m.Term, 1<<40
			}
		}}},
	{name: "entries taken after one that differs", seed: 1, scenario: "diverged", walks: 3000, breaks: []string{explore.LogMatching, explore.CommittedKept, explore.NoPanic},
		faults: explore.Faults{Deliver: func(n *consensus.Node, m *wire.Msg) {
			if a := m.Append; a != nil && !a.Reply && n.TermAt(a.PrevIndex) != 0 {
				a.PrevTerm = n.TermAt(a.PrevIndex)
			}
		}}},
	{name: "agreed entries kept from the state machine", scenario: "late-sync", breaks: []string{explore.StateMachineSafety},
		faults: explore.Faults{AfterStep: func(n *consensus.Node, _ time.Duration) { n.SkipApplied() }}},
	{name: "lease longer than the refusal", seed: 12, scenario: "second-leader", rates: []int64{450, 1000, 1000}, walks: 3000, breaks: []string{explore.OneLease},
		faults: explore.Faults{Ignore: []string{explore.LeaseIsCurrent}}},
	{name: "lease longer than the refusal: what follows", seed: 12, scenario: "second-leader", rates: []int64{450, 1000, 1000}, walks: 3000,
		faults: explore.Faults{Ignore: []string{explore.OneLease}}, breaks: []string{explore.LeaseIsCurrent}},
	{name: "vote of a disk that is no member", seed: 4, scenario: "members", walks: 6000,
		breaks: []string{explore.VotersAreMembers, explore.LeaderComplete, explore.CommittedKept, explore.OneLeaderPerTerm},
		faults: explore.Faults{Deliver: func(n *consensus.Node, m *wire.Msg) {
			if d := n.DiskOf(m.From); d != 0 {
				m.Disk = d
			}
		}}},
	{name: "vote of a disk that is no member: what follows", seed: 10, scenario: "members", walks: 6000,
		breaks: []string{explore.LeaderComplete, explore.CommittedKept, explore.OneLeaderPerTerm},
		faults: explore.Faults{Ignore: []string{explore.VotersAreMembers}, Deliver: func(n *consensus.Node, m *wire.Msg) {
			if d := n.DiskOf(m.From); d != 0 {
				m.Disk = d
			}
		}}},
	{name: "two members changed at once: what follows", seed: 11, scenario: "members", walks: 6000,
		breaks: []string{explore.LeaderComplete, explore.CommittedKept, explore.OneLeaderPerTerm, explore.OneLease},
		faults: explore.Faults{Ignore: []string{explore.MajoritiesMeet}, ChangeMembers: func(n *consensus.Node, now time.Duration, ms []wire.Member) {
			n.ProposeAnyMembers(now, withoutFirst(ms))
		}}},
	{name: "two members changed at once", scenario: "members", breaks: []string{explore.MajoritiesMeet},
		faults: explore.Faults{ChangeMembers: func(n *consensus.Node, now time.Duration, ms []wire.Member) {
			n.ProposeAnyMembers(now, withoutFirst(ms))
		}}},
}

func TestMutations(t *testing.T) {
	for _, mu := range mutations {
		t.Run(mu.name, func(t *testing.T) {
			s := *explore.ByName(mu.scenario)
			s.Faults = mu.faults
			if mu.rates != nil {
				s.Rates = mu.rates
			}
			var r *explore.Report
			if mu.walks > 0 {
				r = explore.Walk(&s, mu.seed, mu.walks, 200)
			} else {
				r = explore.Search(&s, explore.Limits{States: 20000, Depth: 100, Workers: 2})
			}
			t.Log(r)
			if !slices.ContainsFunc(mu.breaks, func(name string) bool { return strings.HasPrefix(r.Broken, name+":") }) {
				t.Errorf("it broke %q, wanted one of %v", r.Broken, mu.breaks)
			}
		})
	}
}
