package linearizability

import (
	"cmp"
	"slices"
)

// changeIdentity is what makes two changes the same, by whichever token they were sent.
type changeIdentity struct {
	base uint64
	key  string
}

func (c Change) identity() changeIdentity { return changeIdentity{c.Base, c.Key} }

// callIdentity is what makes two calls copies of one change.
type callIdentity struct {
	changeIdentity
	token string
}

// acceptedItself says whether an acknowledgement shows that the change itself, and not an earlier one
// under its token, was accepted on its base.
func (o *Operation) acceptedItself() bool {
	return o.outcome == acknowledged && o.revision == cmp.Or(o.change.Revision, o.change.Base+1)
}

// relevant are the calls that the check needs. Each open call doubles the number of orders
// that a check may have to try, so those are left out of which the replies show that they
// took no effect, or none that an earlier copy of the same change may not have had:
//   - copies of a change that is open since an earlier time;
//   - a change that was rejected, since its base never is the present revision again;
//   - a change on whose base another one was accepted.
//
// So are reads during which another read began and ended with the same result: whatever
// moment suits that one suits both. And so are rejections during which another change on the same base was
// rejected at the same revision, if no call shows that the change itself was ever accepted: where forty
// wait for a leader that rejects them all at once, there would be an order to try for each set of them.
func (l *Log) relevant() (calls []*Operation) {
	rejected, accepted := l.fates()
	opened, reads, rejections := map[callIdentity]bool{}, l.readsByResult(), l.rejectionsByRevision()
	for _, o := range l.operations {
		switch o.outcome {
		case void:
			continue
		case returned:
			if reads.spans(o) {
				continue
			}
		case stale:
			if rejections.spans(o) {
				continue
			}
		case open:
			winner, decided := accepted[o.change.Base]
			copied := callIdentity{o.change.identity(), o.change.Token}
			if o.read || opened[copied] || rejected[o.change.identity()] || decided && winner != o.change.Key {
				continue
			}
			opened[copied] = true
		}
		calls = append(calls, o)
	}
	return calls
}

// fates are the changes that were rejected, and the keys of those that were accepted, by their base.
func (l *Log) fates() (rejected map[changeIdentity]bool, accepted map[uint64]string) {
	rejected, accepted = map[changeIdentity]bool{}, map[uint64]string{}
	for _, o := range l.operations {
		switch {
		case o.outcome == stale:
			rejected[o.change.identity()] = true
		case o.acceptedItself():
			accepted[o.change.Base] = o.change.Key
		}
	}
	return rejected, accepted
}

// spans says whether another call was sent and replied to during a call, and is shorter.
func spans(o, other *Operation) bool {
	return other.sentAt >= o.sentAt && other.repliedAt <= o.repliedAt && other.repliedAt-other.sentAt < o.repliedAt-o.sentAt
}

// readResult is what a read returned.
type readResult struct {
	revision uint64
	value    string
}

// readsByResult are the reads that were replied to.
type readsByResult map[readResult][]*Operation

func (l *Log) readsByResult() readsByResult {
	reads := readsByResult{}
	for _, o := range l.operations {
		if o.outcome == returned {
			result := readResult{o.revision, o.value}
			reads[result] = append(reads[result], o)
		}
	}
	return reads
}

// spans says whether another read of the same result began and ended during a read, and is
// shorter.
func (r readsByResult) spans(o *Operation) bool {
	return slices.ContainsFunc(r[readResult{o.revision, o.value}], func(other *Operation) bool { return spans(o, other) })
}

// rejection is on which base changes were rejected, and the revision that they were rejected at.
type rejection struct{ base, revision uint64 }

// rejectionsByRevision are the rejected changes of which no call shows that they were accepted, under their token or another.
type rejectionsByRevision map[rejection][]*Operation

func (l *Log) rejectionsByRevision() rejectionsByRevision {
	accepted, acceptedTokens := map[changeIdentity]bool{}, map[string]bool{}
	for _, o := range l.operations {
		if o.outcome == acknowledged {
			accepted[o.change.identity()] = true
			acceptedTokens[o.change.Token] = o.change.Token != ""
		}
	}
	rejections := rejectionsByRevision{}
	for _, o := range l.operations {
		if o.outcome == stale && o.revision != 0 && !accepted[o.change.identity()] && !acceptedTokens[o.change.Token] {
			at := rejection{o.change.Base, o.revision}
			rejections[at] = append(rejections[at], o)
		}
	}
	return rejections
}

// spans says whether a change is among those, and another that was rejected alike was sent and rejected during it.
func (r rejectionsByRevision) spans(o *Operation) bool {
	alike := r[rejection{o.change.Base, o.revision}]
	return slices.Contains(alike, o) && slices.ContainsFunc(alike, func(other *Operation) bool { return spans(o, other) })
}
