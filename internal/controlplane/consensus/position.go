// Positions in the log, by which a leader tells which entries a member knew of at some time.

package consensus

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Position is a position in the log of an epoch, as a node knows it: all entries up to Committed are in the log of every leader.
// The entries after it up to Last, which is of the given term, may be replaced by others.
type Position struct{ Epoch, Committed, Term, Last uint64 }

// String returns the position in the form of a query value. An earlier release reads the first two numbers only.
func (p Position) String() string {
	return fmt.Sprintf("%d.%d.%d.%d", p.Epoch, p.Committed, p.Term, p.Last)
}

// ParsePosition parses the result of String. A position from an earlier release has no term and last entry.
func ParsePosition(text string) (position Position, err error) {
	fields := strings.Split(text, ".")
	numbers := []*uint64{&position.Epoch, &position.Committed, &position.Term, &position.Last}
	if len(fields) != 2 && len(fields) != len(numbers) {
		return position, errors.Newf("%d numbers, want 2 or %d", len(fields), len(numbers))
	}
	for i, field := range fields {
		if *numbers[i], err = strconv.ParseUint(field, 10, 64); err != nil {
			return position, err
		}
	}
	return position, nil
}

// Position returns the node's position.
func (n *Node) Position() Position {
	last := n.lastIndex()
	term, _ := n.termAt(last)
	return Position{Epoch: n.epoch, Committed: n.commit, Term: term, Last: last}
}

// CoveredIndex returns the index up to which this leader's log is what the node with the given position knew of: up to its last
// entry if this log has it too (the logs are equal up to there), and otherwise up to its commits. It is 0 for a position in another
// epoch.
func (n *Node) CoveredIndex(position Position) uint64 {
	switch {
	case position.Epoch != n.epoch:
		return 0
	case n.matchesTerm(position.Last, position.Term):
		return max(position.Committed, position.Last)
	}
	return position.Committed
}

// LastIndexBeforeTerm returns the index of the last log entry that is not of this node's term.
func (n *Node) LastIndexBeforeTerm() uint64 {
	index := n.lastIndex()
	for index > n.snapshot.Index && n.matchesTerm(index, n.term) {
		index--
	}
	return index
}
