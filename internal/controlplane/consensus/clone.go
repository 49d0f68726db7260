// Copying of nodes for the model checker, which explores several continuations of one state.

package consensus

import (
	"maps"
	"slices"
)

// Clone returns an independent copy of n. The copy shares only immutable data with n: messages, batches and the data of
// entries.
func (n *Node) Clone() *Node {
	c := *n
	c.log = slices.Clone(n.log)
	c.members = slices.Clone(n.members)
	c.electorate = slices.Clone(n.electorate)
	c.votes = maps.Clone(n.votes)
	c.consents = maps.Clone(n.consents)
	c.progress = make(map[string]*progress, len(n.progress))
	for name, p := range n.progress {
		c.progress[name] = p.clone()
	}
	c.receiver = n.receiver.clone()
	c.unsyncedBatches = slices.Clone(n.unsyncedBatches)
	c.pendingMessages = slices.Clone(n.pendingMessages)
	c.ready = n.ready.clone()
	return &c
}

func (p *progress) clone() *progress {
	c := *p
	c.inflight = slices.Clone(p.inflight)
	if p.chunks != nil {
		chunks := *p.chunks
		c.chunks = &chunks
	}
	return &c
}

func (r *chunkReceiver) clone() *chunkReceiver {
	if r == nil {
		return nil
	}
	c := *r
	c.data = slices.Clone(r.data)
	return &c
}

func (r Ready) clone() Ready {
	r.Batches = slices.Clone(r.Batches)
	r.Messages = slices.Clone(r.Messages)
	r.CommittedEntries = slices.Clone(r.CommittedEntries)
	r.Rejected = slices.Clone(r.Rejected)
	return r
}
