// Node roles and the transitions between them.

package consensus

import (
	"hash/fnv"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// Role is the role of a node in its current term.
type Role int

// The roles of a node.
const (
	Follower Role = iota
	// PreCandidate asks whether it would be elected, without starting a new term, so that a node that returns from
	// isolation doesn't depose the leader.
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name as a member's status shows it. A pre-candidate is shown as "asking".
func (r Role) String() string { return [...]string{"follower", "asking", "candidate", "leader"}[r] }

// reset changes the role and clears the state of the previous one. It derives the election deadline from a hash of the
// node's name, the term and the time, so that members seldom campaign at the same time and runs are reproducible.
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

// becomeFollower makes the node a follower in term. If the term is later than the current one, its vote and leader are
// cleared. It has no effect on a node that already is a follower in that term.
func (n *Node) becomeFollower(now time.Duration, term uint64) {
	if term > n.term {
		n.term, n.vote, n.leader = term, "", ""
		if n.receiver != nil && n.receiver.complete {
			n.receiver = nil // the new leader may have overwritten the received content and must be able to send it again
		}
		n.persistHardState(now)
	}
	if n.role != Follower {
		n.reset(now, Follower)
	}
}

// stepDown makes a leader a follower without changing the term.
func (n *Node) stepDown(now time.Duration) {
	n.reset(now, Follower)
	n.leader = ""
}

func (n *Node) becomePreCandidate(now time.Duration) { n.reset(now, PreCandidate) }

// becomeCandidate starts the next term and votes for this node.
func (n *Node) becomeCandidate(now time.Duration) {
	n.term++
	n.vote = n.self.Name
	n.reset(now, Candidate)
	n.persistHardState(now)
}

// becomeLeader makes the node leader and appends a no-op entry. A leader learns which entries are committed only by
// committing an entry of its own term (section 5.4.2 of the Raft paper), and HasLease is false until then.
func (n *Node) becomeLeader(now time.Duration) {
	n.reset(now, Leader)
	n.leader = n.self.Name
	n.updateProgress()
	n.termStartIndex = n.appendEntry(now, EntryNoop, nil)
	n.heartbeatAt = 0
	n.replicate(now, true)
}
