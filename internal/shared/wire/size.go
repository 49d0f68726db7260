package wire

// The encoded size of a message is computed before encoding, so that a single buffer of the exact size is
// allocated and written in place.

import (
	capnp "capnproto.org/go/capnp/v3"
)

// Sizes of Cap'n Proto's encoding, in bytes.

const (
	wordSize   = 8        // unit of Cap'n Proto sizes and offsets
	headerSize = 8        // precedes the segment: number of segments minus one, and words in the segment
	tagSize    = wordSize // precedes the elements of a list of structs
	rootSize   = wordSize // pointer to the root struct at the start of the segment
)

// Sizes of the structs in the generated code, in bytes, without the objects they point to.
var (
	messageSize     = fixedSize(NewMessageC)
	daemonSize      = fixedSize(NewDaemonC)
	helloSize       = fixedSize(NewHelloC)
	voteSize        = fixedSize(NewVoteC)
	entrySize       = fixedSize(NewEntryC)
	memberSize      = fixedSize(NewMemberC)
	snapshotSize    = fixedSize(NewSnapshotC)
	appendSize      = fixedSize(NewAppendC)
	chunkSize       = fixedSize(NewChunkC)
	targetSize      = fixedSize(NewTargetC)
	targetStatsSize = fixedSize(NewTargetStatsC)
	tableKeySize    = fixedSize(NewTableKeyC)
	proxySize       = fixedSize(NewProxyC)
	tableSize       = fixedSize(NewTableC)
	identitySize    = fixedSize(NewIdentityC)
	pullSize        = fixedSize(NewPullC)
	pushSize        = fixedSize(NewPushC)
	callSize        = fixedSize(NewCallC)
	batchSize       = fixedSize(NewBatchC)
)

// fixedSize returns the size of a schema struct in bytes, without the objects it points to.
func fixedSize[T ~capnp.StructKind](create func(*capnp.Segment) (T, error)) int {
	_, seg := capnp.NewSingleSegmentMessage(nil)
	c, err := create(seg)
	if err != nil {
		panic(err)
	}
	size := capnp.Struct(c).Size()
	return int(size.DataSize) + wordSize*int(size.PointerCount)
}

// paddedSize rounds a size in bytes up to a multiple of the word size.
func paddedSize(n int) int { return (n + wordSize - 1) / wordSize * wordSize }

func textSize(s string) int {
	if s == "" {
		return 0
	}
	return paddedSize(len(s) + 1) // texts are NUL-terminated
}

func textsSize(texts []string) int {
	n := wordSize * len(texts)
	for _, s := range texts {
		n += textSize(s)
	}
	return n
}

func dataSize(b []byte) int { return paddedSize(len(b)) }

// listSize returns the size of a list of n structs of elementSize bytes. An empty list is not allocated.
func listSize(n, elementSize int) int {
	if n == 0 {
		return 0
	}
	return tagSize + n*elementSize
}

// size returns the encoded size of the message without header and root pointer, in bytes.
func (m *Message) size() int {
	size := messageSize + textSize(m.From) + textSize(m.To)
	if m.Hello != nil {
		size += m.Hello.size()
	}
	if m.Vote != nil {
		size += voteSize
	}
	if m.Append != nil {
		size += m.Append.size()
	}
	if m.Pull != nil {
		size += m.Pull.size()
	}
	if m.Push != nil {
		size += m.Push.size()
	}
	if m.Heartbeat != nil {
		size += m.Heartbeat.size()
	}
	if m.Call != nil {
		size += m.Call.size()
	}
	return size
}

func (h *Hello) size() int {
	n := helloSize + h.Self.size() + listSize(len(h.Daemons), 0) + textSize(h.Leader) + dataSize(h.RecoveredState) +
		membersSize(h.Members) + textsSize(h.LostMembers)
	for i := range h.Daemons {
		n += h.Daemons[i].size()
	}
	return n
}

func (a *Append) size() int { return appendSize + entriesSize(a.Entries) + a.Chunk.size() }

func (p *Pull) size() int {
	n := pullSize + p.Self.size() + tableKeySize + listSize(len(p.Stats), targetStatsSize) + p.Table.size()
	for i := range p.Stats {
		n += textSize(p.Stats[i].Service) + textSize(p.Stats[i].Name)
	}
	return n
}

func (p *Push) size() int {
	return pushSize + tableKeySize + p.Table.size() + identitiesSize(p.ProbeTargets)
}

func (c *Call) size() int {
	return callSize + textSize(c.Method) + textSize(c.Path) + textSize(c.Query) + dataSize(c.Body) + textSize(c.Token)
}

// size returns the encoded size of the batch without header and root pointer, in bytes.
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

func (c *Chunk) size() int {
	if c == nil {
		return 0
	}
	return chunkSize + membersSize(c.Members) + dataSize(c.Data)
}

func (s *Snapshot) size() int {
	if s == nil {
		return 0
	}
	return snapshotSize + membersSize(s.Members) + dataSize(s.Data)
}

func identitiesSize(ids []TargetID) int {
	n := listSize(len(ids), identitySize)
	for i := range ids {
		n += textSize(ids[i].Service) + textSize(ids[i].Name)
	}
	return n
}

func (t *Table) size() int {
	if t == nil {
		return 0
	}
	n := tableSize + tableKeySize + dataSize(t.Document) + dataSize(t.State) + listSize(len(t.Proxies), proxySize) +
		textsSize(t.EmptiedDomains) + listSize(len(t.Targets), 0) + textsSize(t.PreviousProxies) + textsSize(t.DepartedProxies) + tableKeySize + identitiesSize(t.RemovedTargets)
	for i := range t.Proxies {
		n += textSize(t.Proxies[i].Name) + textSize(t.Proxies[i].Addr) + textSize(t.Proxies[i].Domain)
	}
	for i := range t.Targets {
		n += t.Targets[i].size()
	}
	return n
}

func membersSize(members []Member) int {
	n := listSize(len(members), memberSize)
	for i := range members {
		n += textSize(members[i].Name)
	}
	return n
}

func entriesSize(entries []Entry) int {
	n := listSize(len(entries), entrySize)
	for i := range entries {
		n += dataSize(entries[i].Data)
	}
	return n
}
