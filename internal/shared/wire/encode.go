// This file writes the Go structs as Cap'n Proto, field by field over the generated accessors, and in the
// order of the schema. An error stays in the encoder and is looked at once, at the end.

package wire

import (
	"encoding/binary"

	capnp "capnproto.org/go/capnp/v3"
	"github.com/cockroachdb/errors"
)

type encoder struct{ err error }

func (e *encoder) ok(err error) bool {
	if e.err == nil {
		e.err = err
	}
	return err == nil
}

// blank is a message with room for size bytes behind the header of what finish returns.
func blank(size int) ([]byte, *capnp.Message, *capnp.Segment, error) {
	buf := make([]byte, header+root+size)
	cm, seg, err := capnp.NewMessage(capnp.SingleSegment(buf[header:header:len(buf)]))
	return buf, cm, seg, err
}

func finish(buf []byte, cm *capnp.Message, seg *capnp.Segment, err error) ([]byte, error) {
	n := len(seg.Data())
	cm.Release()
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	binary.LittleEndian.PutUint32(buf[4:], uint32(n/word))
	return buf[:header+n], nil
}

// Encode returns a message as unpacked Cap'n Proto bytes. Its errors are the library's.
func Encode(m *Message) ([]byte, error) {
	buf, cm, seg, err := blank(m.size())
	if err != nil {
		return nil, errors.Wrap(err, "new message")
	}
	var e encoder
	if c, err := NewRootMessageC(seg); e.ok(err) {
		e.msg(c, m)
	}
	return finish(buf, cm, seg, e.err)
}

// EncodeBatch returns a batch as unpacked Cap'n Proto bytes, the form of a record on disk.
func EncodeBatch(b *Batch) ([]byte, error) {
	buf, cm, seg, err := blank(b.size())
	if err != nil {
		return nil, errors.Wrap(err, "new message")
	}
	var e encoder
	if c, err := NewRootBatchC(seg); e.ok(err) {
		e.batch(c, b)
	}
	return finish(buf, cm, seg, e.err)
}

func (e *encoder) msg(c MessageC, m *Message) {
	c.SetKind(uint16(m.Kind))
	e.ok(c.SetFrom(m.From))
	e.ok(c.SetTo(m.To))
	c.SetDisk(m.Disk)
	c.SetEpoch(m.Epoch)
	c.SetTerm(m.Term)
	c.SetTimestamp(m.Timestamp)
	if m.Hello != nil {
		if c, err := c.NewHello(); e.ok(err) {
			e.hello(c, m.Hello)
		}
	}
	if m.Vote != nil {
		if c, err := c.NewVote(); e.ok(err) {
			c.SetPreVote(m.Vote.PreVote)
			c.SetReply(m.Vote.Reply)
			c.SetGranted(m.Vote.Granted)
			c.SetLastIndex(m.Vote.LastIndex)
			c.SetLastTerm(m.Vote.LastTerm)
			c.SetTransfer(m.Vote.Transfer)
			c.SetUnanimous(m.Vote.Unanimous)
			c.SetNoLeader(m.Vote.NoLeader)
		}
	}
	if m.Append != nil {
		if c, err := c.NewAppend(); e.ok(err) {
			e.append(c, m.Append)
		}
	}
	if m.Pull != nil {
		if c, err := c.NewPull(); e.ok(err) {
			e.pull(c, m.Pull)
		}
	}
	if m.Push != nil {
		if c, err := c.NewPush(); e.ok(err) {
			e.push(c, m.Push)
		}
	}
	if m.Heartbeat != nil {
		if c, err := c.NewHeartbeat(); e.ok(err) {
			e.target(c, m.Heartbeat)
		}
	}
	if m.Call != nil {
		if c, err := c.NewCall(); e.ok(err) {
			c.SetId(m.Call.ID)
			c.SetReply(m.Call.Reply)
			e.ok(c.SetMethod(m.Call.Method))
			e.ok(c.SetPath(m.Call.Path))
			e.ok(c.SetQuery(m.Call.Query))
			e.ok(c.SetBody(m.Call.Body))
			c.SetStatus(m.Call.Status)
			c.SetRetryAfterMs(m.Call.RetryAfterMs)
			e.ok(c.SetToken(m.Call.Token))
		}
	}
}

func (e *encoder) batch(c BatchC, b *Batch) {
	c.SetSeq(b.Seq)
	c.SetReset(b.Reset)
	c.SetEpoch(b.Epoch)
	c.SetDisk(b.Disk)
	c.SetHasHardState(b.HasHardState)
	c.SetTerm(b.Term)
	e.ok(c.SetVote(b.Vote))
	c.SetTruncateFrom(b.TruncateFrom)
	if len(b.Entries) > 0 {
		if l, err := c.NewEntries(int32(len(b.Entries))); e.ok(err) {
			e.entries(l, b.Entries)
		}
	}
	if b.Snapshot != nil {
		if c, err := c.NewSnapshot(); e.ok(err) {
			e.snap(c, b.Snapshot)
		}
	}
	c.SetBootstrapLock(b.BootstrapLock)
	e.ok(c.SetRecoveredState(b.RecoveredState))
	if len(b.Founders) > 0 {
		if l, err := c.NewFounders(int32(len(b.Founders))); e.ok(err) {
			e.members(l, b.Founders)
		}
	}
	c.SetBootstrapEpoch(b.BootstrapEpoch)
}

func (e *encoder) daemon(c DaemonC, d *Daemon) {
	e.ok(c.SetName(d.Name))
	e.ok(c.SetKind(string(d.Kind)))
	e.ok(c.SetDomain(d.Domain))
	e.ok(c.SetAddr(d.Addr))
	e.ok(c.SetHttp(d.HTTP))
	c.SetIncarnation(d.Incarnation)
	c.SetDisk(d.Disk)
	c.SetEpoch(d.Epoch)
	c.SetBootstrapLock(d.BootstrapLock)
	c.SetReady(d.Ready)
	e.ok(c.SetState(d.State))
	c.SetBootstrapOffer(d.BootstrapOffer)
}

func (e *encoder) hello(c HelloC, h *Hello) {
	if c, err := c.NewSelf(); e.ok(err) {
		e.daemon(c, &h.Self)
	}
	if len(h.Daemons) > 0 {
		if l, err := c.NewDaemons(int32(len(h.Daemons))); e.ok(err) {
			for i := range h.Daemons {
				e.daemon(l.At(i), &h.Daemons[i])
			}
		}
	}
	c.SetReply(h.Reply)
	e.ok(c.SetLeader(h.Leader))
	c.SetTerm(h.Term)
	e.ok(c.SetRecoveredState(h.RecoveredState))
	if len(h.Members) > 0 {
		if l, err := c.NewMembers(int32(len(h.Members))); e.ok(err) {
			e.members(l, h.Members)
		}
	}
	c.SetMembersEpoch(h.MembersEpoch)
	c.SetMembersIndex(h.MembersIndex)
	c.SetBootstrapEpoch(h.BootstrapEpoch)
	if len(h.LostMembers) > 0 {
		if l, err := c.NewLostMembers(int32(len(h.LostMembers))); e.ok(err) {
			e.texts(l, h.LostMembers)
		}
	}
	c.SetRecoveryConsent(h.RecoveryConsent)
}

func (e *encoder) texts(l capnp.TextList, ss []string) {
	for i, s := range ss {
		e.ok(l.Set(i, s))
	}
}

func (e *encoder) members(l MemberC_List, ms []Member) {
	for i := range ms {
		c := l.At(i)
		e.ok(c.SetName(ms[i].Name))
		c.SetDisk(ms[i].Disk)
	}
}

func (e *encoder) entries(l EntryC_List, es []Entry) {
	for i := range es {
		c := l.At(i)
		c.SetIndex(es[i].Index)
		c.SetTerm(es[i].Term)
		c.SetKind(es[i].Kind)
		e.ok(c.SetData(es[i].Data))
	}
}

func (e *encoder) snap(c SnapshotC, s *Snapshot) {
	c.SetIndex(s.Index)
	c.SetTerm(s.Term)
	if len(s.Members) > 0 {
		if l, err := c.NewMembers(int32(len(s.Members))); e.ok(err) {
			e.members(l, s.Members)
		}
	}
	e.ok(c.SetData(s.Data))
}

func (e *encoder) append(c AppendC, a *Append) {
	c.SetReply(a.Reply)
	c.SetSuccess(a.Success)
	c.SetPrevIndex(a.PrevIndex)
	c.SetPrevTerm(a.PrevTerm)
	c.SetCommit(a.Commit)
	c.SetMatchIndex(a.MatchIndex)
	if len(a.Entries) > 0 {
		if l, err := c.NewEntries(int32(len(a.Entries))); e.ok(err) {
			e.entries(l, a.Entries)
		}
	}
	if a.Chunk != nil {
		if c, err := c.NewChunk(); e.ok(err) {
			e.piece(c, a.Chunk)
		}
	}
}

func (e *encoder) piece(c ChunkC, p *Chunk) {
	c.SetIsEntry(p.IsEntry)
	c.SetIndex(p.Index)
	c.SetTerm(p.Term)
	c.SetKind(p.Kind)
	if len(p.Members) > 0 {
		if l, err := c.NewMembers(int32(len(p.Members))); e.ok(err) {
			e.members(l, p.Members)
		}
	}
	c.SetSize(p.Size)
	c.SetChecksum(p.Checksum)
	c.SetOffset(p.Offset)
	e.ok(c.SetData(p.Data))
}

func (e *encoder) target(c TargetC, t *Target) {
	e.ok(c.SetService(t.Service))
	e.ok(c.SetName(t.Name))
	c.SetIncarnation(t.Incarnation)
	e.ok(c.SetAddr(t.Addr))
	e.ok(c.SetDomain(t.Domain))
	e.ok(c.SetState(string(t.State)))
	c.SetDemand(t.Demand)
	c.SetHasDemand(t.HasDemand)
	c.SetDraining(t.Draining)
	c.SetEjectionLeft(t.EjectionLeft)
	e.ok(c.SetEjectedBy(t.EjectedBy))
	c.SetPending(t.Pending)
	c.SetHeartbeating(t.Heartbeating)
	c.SetShareOffset(t.ShareOffset)
	c.SetSlots(t.Slots)
	c.SetWarmupLeft(t.WarmupLeft)
	c.SetNumber(t.Number)
}

func (e *encoder) key(c TableKeyC, k TableKey) {
	c.SetEpoch(k.Epoch)
	c.SetTerm(k.Term)
	c.SetVersion(k.Version)
}

func (e *encoder) table(c TableC, t *Table) {
	if c, err := c.NewKey(); e.ok(err) {
		e.key(c, t.Key)
	}
	c.SetStateIndex(t.StateIndex)
	c.SetRevision(t.Revision)
	e.ok(c.SetDocument(t.Document))
	e.ok(c.SetState(t.State))
	if len(t.Proxies) > 0 {
		if l, err := c.NewProxies(int32(len(t.Proxies))); e.ok(err) {
			for i := range t.Proxies {
				c, g := l.At(i), &t.Proxies[i]
				e.ok(c.SetName(g.Name))
				e.ok(c.SetAddr(g.Addr))
				e.ok(c.SetDomain(g.Domain))
				c.SetLive(g.Live)
			}
		}
	}
	if len(t.EmptiedDomains) > 0 {
		if l, err := c.NewEmptiedDomains(int32(len(t.EmptiedDomains))); e.ok(err) {
			e.texts(l, t.EmptiedDomains)
		}
	}
	if len(t.Targets) > 0 {
		if l, err := c.NewTargets(int32(len(t.Targets))); e.ok(err) {
			for i := range t.Targets {
				e.target(l.At(i), &t.Targets[i])
			}
		}
	}
	if len(t.PreviousProxies) > 0 {
		if l, err := c.NewPreviousProxies(int32(len(t.PreviousProxies))); e.ok(err) {
			e.texts(l, t.PreviousProxies)
		}
	}
	if c, err := c.NewDeltaBase(); e.ok(err) {
		e.key(c, t.DeltaBase)
	}
	if len(t.RemovedTargets) > 0 {
		if l, err := c.NewRemovedTargets(int32(len(t.RemovedTargets))); e.ok(err) {
			e.ids(l, t.RemovedTargets)
		}
	}
}

func (e *encoder) ids(l IdentityC_List, ids []TargetID) {
	for i := range ids {
		c, id := l.At(i), &ids[i]
		e.ok(c.SetService(id.Service))
		e.ok(c.SetName(id.Name))
		c.SetIncarnation(id.Incarnation)
	}
}

func (e *encoder) pull(c PullC, p *Pull) {
	if c, err := c.NewSelf(); e.ok(err) {
		e.daemon(c, &p.Self)
	}
	if c, err := c.NewKey(); e.ok(err) {
		e.key(c, p.Key)
	}
	if len(p.Stats) > 0 {
		if l, err := c.NewStats(int32(len(p.Stats))); e.ok(err) {
			for i := range p.Stats {
				c, s := l.At(i), &p.Stats[i]
				e.ok(c.SetService(s.Service))
				e.ok(c.SetName(s.Name))
				c.SetIncarnation(s.Incarnation)
				c.SetSuccesses(s.Successes)
				c.SetErrors(s.Errors)
				c.SetTotalMs(s.TotalMs)
				c.SetDemand(s.Demand)
				c.SetHasDemand(s.HasDemand)
				c.SetSlow(s.Slow)
				c.SetRejected(s.Rejected)
				c.SetProbeAnswered(s.ProbeAnswered)
			}
		}
	}
	if p.Table != nil {
		if c, err := c.NewTable(); e.ok(err) {
			e.table(c, p.Table)
		}
	}
	c.SetRevision(p.Revision)
	c.SetStateIndex(p.StateIndex)
	c.SetWantTable(p.WantTable)
}

func (e *encoder) push(c PushC, p *Push) {
	c.SetLeaseGranted(p.LeaseGranted)
	c.SetWantTable(p.WantTable)
	if c, err := c.NewKey(); e.ok(err) {
		e.key(c, p.Key)
	}
	if p.Table != nil {
		if c, err := c.NewTable(); e.ok(err) {
			e.table(c, p.Table)
		}
	}
	if len(p.ProbeTargets) > 0 {
		if l, err := c.NewProbeTargets(int32(len(p.ProbeTargets))); e.ok(err) {
			e.ids(l, p.ProbeTargets)
		}
	}
}
