// Quorum calculations.

package consensus

import (
	"cmp"
	"slices"
)

// majorityValue returns the largest value that a majority of the members has reached. The value of the node itself is own.
// Members without progress, such as vacant entries of the list, count with the value unknown.
func majorityValue[T cmp.Ordered](node *Node, own, unknown T, reached func(*progress) T) T {
	if len(node.members) == 0 {
		return unknown
	}
	values := make([]T, 0, len(node.members))
	for _, member := range node.members {
		value := unknown
		if member == node.self {
			value = own
		} else if p := node.progress[member.Name]; p != nil && p.member == member {
			value = reached(p)
		}
		values = append(values, value)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasMajority reports whether count members are a majority.
func (n *Node) hasMajority(count int) bool { return 2*count > len(n.members) }
