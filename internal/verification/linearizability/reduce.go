package linearizability

import (
	"cmp"
	"slices"
)

// changeIdentity identifies a change independently of its token.
type changeIdentity struct {
	base uint64
	key  string
}

func (c Change) identity() changeIdentity { return changeIdentity{c.Base, c.Key} }

// callIdentity identifies a change with its token. Calls with equal identities are copies of one change.
type callIdentity struct {
	changeIdentity
	token string
}

// acceptedItself reports whether the acknowledgement of a call proves that this change was accepted on its base, and not
// an earlier change with the same token.
func (o *Operation) acceptedItself() bool {
	return o.outcome == acknowledged && o.revision == cmp.Or(o.change.Revision, o.change.Base+1)
}

// relevantOperations returns the calls that the check needs. Each open call doubles the number of orders that the check
// may have to try. Therefore open calls are omitted if the replies to other calls show that they had no effect, or no
// effect that an earlier copy of the same change could not have had:
//   - copies of a change that has been open since an earlier time;
//   - a change that was rejected, since its base never becomes the current revision again;
//   - a change if another one was accepted on its base.
//
// A read is omitted if another read with the same result started and ended during it, since any point in time that is
// valid for the other read is valid for both. A rejection is omitted if another change on the same base was rejected at
// the same revision during it and no call shows that the change itself was ever accepted. Otherwise, if forty changes
// wait for a leader that rejects them all at once, the check would have to try an order for each subset of them.
func (h *History) relevantOperations() (calls []*Operation) {
	rejected, accepted := h.decidedChanges()
	opened, reads, rejections := map[callIdentity]bool{}, h.readsByResult(), h.rejectionsByRevision()
	for _, o := range h.operations {
		switch o.outcome {
		case noEffect:
			continue
		case returned:
			if reads.hasShorterDuring(o) {
				continue
			}
		case stale:
			if rejections.hasShorterDuring(o) {
				continue
			}
		case open:
			acceptedKey, decided := accepted[o.change.Base]
			identity := callIdentity{o.change.identity(), o.change.Token}
			if o.read || opened[identity] || rejected[o.change.identity()] || decided && acceptedKey != o.change.Key {
				continue
			}
			opened[identity] = true
		}
		calls = append(calls, o)
	}
	return calls
}

// decidedChanges returns the changes that were rejected, and the keys of the accepted changes by their base.
func (h *History) decidedChanges() (rejected map[changeIdentity]bool, accepted map[uint64]string) {
	rejected, accepted = map[changeIdentity]bool{}, map[uint64]string{}
	for _, o := range h.operations {
		switch {
		case o.outcome == stale:
			rejected[o.change.identity()] = true
		case o.acceptedItself():
			accepted[o.change.Base] = o.change.Key
		}
	}
	return rejected, accepted
}

// spans reports whether the call other was sent and replied to during the call o, and took less time.
func spans(o, other *Operation) bool {
	return other.sentAt >= o.sentAt && other.repliedAt <= o.repliedAt && other.repliedAt-other.sentAt < o.repliedAt-o.sentAt
}

// readResult is the result of a read.
type readResult struct {
	revision uint64
	value    string
}

// readsByResult groups the reads that returned by their result.
type readsByResult map[readResult][]*Operation

func (h *History) readsByResult() readsByResult {
	reads := readsByResult{}
	for _, o := range h.operations {
		if o.outcome == returned {
			result := readResult{o.revision, o.value}
			reads[result] = append(reads[result], o)
		}
	}
	return reads
}

// hasShorterDuring reports whether a read with the same result as o started and ended during o, and took less time.
func (r readsByResult) hasShorterDuring(o *Operation) bool {
	return slices.ContainsFunc(r[readResult{o.revision, o.value}], func(other *Operation) bool { return spans(o, other) })
}

// rejection is the base of a rejected change and the current revision in its rejection.
type rejection struct{ base, revision uint64 }

// rejectionsByRevision groups the rejected changes by their rejections. It omits changes that any call shows to have been
// accepted, with their token or another one.
type rejectionsByRevision map[rejection][]*Operation

func (h *History) rejectionsByRevision() rejectionsByRevision {
	accepted, acceptedTokens := map[changeIdentity]bool{}, map[string]bool{}
	for _, o := range h.operations {
		if o.outcome == acknowledged {
			accepted[o.change.identity()] = true
			acceptedTokens[o.change.Token] = o.change.Token != ""
		}
	}
	rejections := rejectionsByRevision{}
	for _, o := range h.operations {
		if o.outcome == stale && o.revision != 0 && !accepted[o.change.identity()] && !acceptedTokens[o.change.Token] {
			at := rejection{o.change.Base, o.revision}
			rejections[at] = append(rejections[at], o)
		}
	}
	return rejections
}

// hasShorterDuring reports whether r has the change o, and another change with the same rejection was sent and rejected
// during o, and took less time.
func (r rejectionsByRevision) hasShorterDuring(o *Operation) bool {
	candidates := r[rejection{o.change.Base, o.revision}]
	return slices.Contains(candidates, o) && slices.ContainsFunc(candidates, func(other *Operation) bool { return spans(o, other) })
}
