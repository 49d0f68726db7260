// This file tells operators how the members stand, as their leader sees them.

package consensus

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Progress is how far a member, or a daemon that learns to become one, has come.
type ReplicaProgress struct {
	Member wire.Member
	Voter  bool
	// Match is the last entry that it is known to hold.
	Match uint64
	// AckedAt is when the leader sent the last message that it answered, by the leader's clock;
	// 0 if it has answered none of this lead.
	AckedAt time.Duration
	// RecentlyActive says that it answered within the lease.
	RecentlyActive bool
	// NeedsSnapshot says that it lacks entries which the leader no longer holds.
	NeedsSnapshot bool
}

// Progress lists the leader itself and all that it replicates to, by name; it is empty
// at any other node.
func (n *Node) Progress(now time.Duration) []ReplicaProgress {
	if n.role != Leader {
		return nil
	}
	l := []ReplicaProgress{{Member: n.self, Voter: n.isVoter(n.self.Name, n.self.Disk), Match: n.stable, AckedAt: now, RecentlyActive: true}}
	for _, p := range n.sortedProgress() {
		l = append(l, ReplicaProgress{Member: p.member, Voter: p.voter, Match: p.match, AckedAt: max(0, p.ackedAt),
			RecentlyActive: now-p.ackedAt < tuning.LeaderLease, NeedsSnapshot: n.needsSnapshot(p)})
	}
	return l
}

func (n *Node) needsSnapshot(p *progress) bool {
	_, _, ok := n.retainedEntry(p.match + 1)
	return !ok && p.match < n.lastIndex()
}

// LastLeaderContact is when a follower last accepted a message of the leader; booting counts as one.
func (n *Node) LastLeaderContact() time.Duration { return n.leaderContactAt }
