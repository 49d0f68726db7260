// This file is the roles of a node and the changes from one to another.

package consensus

import (
	"hash/fnv"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// Role is what a node is in its term.
type Role int

// The roles of a node.
const (
	Follower Role = iota
	// PreCandidate asks whether it would be elected, without a new term: a node that was isolated doesn't depose
	// the leader by its return.
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in a member's status, where a pre-candidate is "asking".
func (r Role) String() string { return [...]string{"follower", "asking", "candidate", "leader"}[r] }

// reset takes a role and forgets what belonged to the one before. The election deadline is drawn from the node's name,
// its term and the time, so that members seldom campaign at once, and equal runs draw equal deadlines.
func (n *Node) reset(now time.Duration, role Role) {
	n.role = role
	n.roleSince = now
	n.votes, n.consents = map[string]bool{}, map[string]bool{}
	n.unanimous, n.outranked = false, false
	n.progress = map[string]*progress{}
	hash := fnv.New64a()
	hash.Write([]byte(n.self.Name))
	hash.Write([]byte{byte(n.term), byte(n.term >> 8), byte(now >> 20), byte(now >> 28)})
	spread := time.Duration(hash.Sum64() % uint64(tuning.ElectionTimeoutSpread))
	n.electionDeadline = now + tuning.ElectionTimeoutMin + spread
}

// becomeFollower takes over a later term, in which this node has no vote and no leader yet, and gives up any other role.
// A follower in the same term stays as it is.
func (n *Node) becomeFollower(now time.Duration, term uint64) {
	if term > n.term {
		n.term, n.vote, n.leader = term, "", ""
		if n.receiver != nil && n.receiver.complete {
			n.receiver = nil // the new leader may have overwritten what arrived, and then has to send it again
		}
		n.persistHardState(now)
	}
	if n.role != Follower {
		n.reset(now, Follower)
	}
}

// stepDown gives leadership up within the term.
func (n *Node) stepDown(now time.Duration) {
	n.reset(now, Follower)
	n.leader = ""
}

func (n *Node) becomePreCandidate(now time.Duration) { n.reset(now, PreCandidate) }

// becomeCandidate begins the next term with a vote for this node itself.
func (n *Node) becomeCandidate(now time.Duration) {
	n.term++
	n.vote = n.self.Name
	n.reset(now, Candidate)
	n.persistHardState(now)
}

// becomeLeader begins the leader's term with a no-op entry: a leader learns what is
// committed only by committing an entry of its own term (section 5.4.2 of the paper), and HasLease waits for that.
func (n *Node) becomeLeader(now time.Duration) {
	n.reset(now, Leader)
	n.leader = n.self.Name
	n.updateProgress()
	n.termStartIndex = n.appendEntry(now, EntryNoop, nil)
	n.heartbeatAt = 0
	n.replicate(now, true)
}
