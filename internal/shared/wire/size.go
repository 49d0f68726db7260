// This file tells how many bytes a message takes before it is written: sizes follow from the structs,
// so that one slice is made, written in place and handed on.

package wire

import (
	capnp "capnproto.org/go/capnp/v3"
)

const (
	word   = 8    // bytes, the unit that Cap'n Proto counts in
	header = 8    // bytes before the one segment: how many more there are and its words
	tag    = word // before the elements of a list of structs
	root   = word // the pointer that a segment begins with
)

// Bytes of each struct without what it points to, as the schema has them.
var (
	msgSize    = fixed(NewMessageC)
	daemonSize = fixed(NewDaemonC)
	helloSize  = fixed(NewHelloC)
	voteSize   = fixed(NewVoteC)
	entrySize  = fixed(NewEntryC)
	memberSize = fixed(NewMemberC)
	snapSize   = fixed(NewSnapshotC)
	appendSize = fixed(NewAppendC)
	pieceSize  = fixed(NewChunkC)
	targetSize = fixed(NewTargetC)
	seenSize   = fixed(NewTargetStatsC)
	keySize    = fixed(NewTableKeyC)
	gateSize   = fixed(NewProxyC)
	tableSize  = fixed(NewTableC)
	idSize     = fixed(NewIdentityC)
	pullSize   = fixed(NewPullC)
	pushSize   = fixed(NewPushC)
	askSize    = fixed(NewCallC)
	batchSize  = fixed(NewBatchC)
)

func fixed[T ~capnp.StructKind](create func(*capnp.Segment) (T, error)) int {
	_, seg := capnp.NewSingleSegmentMessage(nil)
	c, err := create(seg)
	if err != nil {
		panic(err)
	}
	size := capnp.Struct(c).Size()
	return int(size.DataSize) + word*int(size.PointerCount)
}

func padded(n int) int { return (n + word - 1) / word * word }

func textSize(s string) int {
	if s == "" {
		return 0
	}
	return padded(len(s) + 1) // its end is marked by a zero
}

func textsSize(ss []string) int {
	n := word * len(ss)
	for _, s := range ss {
		n += textSize(s)
	}
	return n
}

func dataSize(b []byte) int { return padded(len(b)) }

func listSize(n, each int) int {
	if n == 0 {
		return 0
	}
	return tag + n*each
}

func (m *Message) size() int {
	n := msgSize + textSize(m.From) + textSize(m.To)
	if h := m.Hello; h != nil {
		n += helloSize + h.Self.size() + listSize(len(h.Daemons), 0) + textSize(h.Leader) + dataSize(h.RecoveredState) +
			membersSize(h.Members) + textsSize(h.LostMembers)
		for i := range h.Daemons {
			n += h.Daemons[i].size()
		}
	}
	if m.Vote != nil {
		n += voteSize
	}
	if a := m.Append; a != nil {
		n += appendSize + entriesSize(a.Entries) + a.Chunk.size()
	}
	if p := m.Pull; p != nil {
		n += pullSize + p.Self.size() + keySize + listSize(len(p.Stats), seenSize) + p.Table.size()
		for i := range p.Stats {
			n += textSize(p.Stats[i].Service) + textSize(p.Stats[i].Name)
		}
	}
	if p := m.Push; p != nil {
		n += pushSize + keySize + p.Table.size() + idsSize(p.ProbeTargets)
	}
	if m.Heartbeat != nil {
		n += m.Heartbeat.size()
	}
	if a := m.Call; a != nil {
		n += askSize + textSize(a.Method) + textSize(a.Path) + textSize(a.Query) + dataSize(a.Body) + textSize(a.Token)
	}
	return n
}

func (b *Batch) size() int {
	return batchSize + textSize(b.Vote) + entriesSize(b.Entries) + b.Snapshot.size() + dataSize(b.RecoveredState) +
		membersSize(b.Founders)
}

func (d *Daemon) size() int {
	return daemonSize + textSize(d.Name) + textSize(string(d.Kind)) + textSize(d.Domain) + textSize(d.Addr) +
		textSize(d.HTTP) + textSize(d.State)
}

func (t *Target) size() int {
	return targetSize + textSize(t.Service) + textSize(t.Name) + textSize(t.Addr) + textSize(t.Domain) +
		textSize(string(t.State)) + textSize(t.EjectedBy)
}

func (p *Chunk) size() int {
	if p == nil {
		return 0
	}
	return pieceSize + membersSize(p.Members) + dataSize(p.Data)
}

func (s *Snapshot) size() int {
	if s == nil {
		return 0
	}
	return snapSize + membersSize(s.Members) + dataSize(s.Data)
}

func idsSize(ids []TargetID) int {
	n := listSize(len(ids), idSize)
	for i := range ids {
		n += textSize(ids[i].Service) + textSize(ids[i].Name)
	}
	return n
}

func (t *Table) size() int {
	if t == nil {
		return 0
	}
	n := tableSize + keySize + dataSize(t.Document) + dataSize(t.State) + listSize(len(t.Proxies), gateSize) +
		textsSize(t.EmptiedDomains) + listSize(len(t.Targets), 0) + textsSize(t.PreviousProxies) + keySize + idsSize(t.RemovedTargets)
	for i := range t.Proxies {
		n += textSize(t.Proxies[i].Name) + textSize(t.Proxies[i].Addr) + textSize(t.Proxies[i].Domain)
	}
	for i := range t.Targets {
		n += t.Targets[i].size()
	}
	return n
}

func membersSize(ms []Member) int {
	n := listSize(len(ms), memberSize)
	for i := range ms {
		n += textSize(ms[i].Name)
	}
	return n
}

func entriesSize(es []Entry) int {
	n := listSize(len(es), entrySize)
	for i := range es {
		n += dataSize(es[i].Data)
	}
	return n
}
