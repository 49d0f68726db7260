// This file is the arithmetic of majorities.

package consensus

import (
	"cmp"
	"slices"
)

// majorityValue returns the largest value that a majority of the members has reached. The node itself has reached own; a
// member that no progress is known of, such as a vacant entry of the list, has reached unknown.
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

// hasMajority says whether so many members are a majority.
func (n *Node) hasMajority(count int) bool { return 2*count > len(n.members) }
