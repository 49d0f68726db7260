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
func Encode(m *Msg) ([]byte, error) {
	buf, cm, seg, err := blank(m.size())
	if err != nil {
		return nil, errors.Wrap(err, "new message")
	}
	var e encoder
	if c, err := NewRootMsgC(seg); e.ok(err) {
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

func (e *encoder) msg(c MsgC, m *Msg) {
	c.SetKind(m.Kind)
	e.ok(c.SetFrom(m.From))
	e.ok(c.SetTo(m.To))
	c.SetDisk(m.Disk)
	c.SetEpoch(m.Epoch)
	c.SetTerm(m.Term)
	c.SetStamp(m.Stamp)
	if m.Hello != nil {
		if c, err := c.NewHello(); e.ok(err) {
			e.hello(c, m.Hello)
		}
	}
	if m.Vote != nil {
		if c, err := c.NewVote(); e.ok(err) {
			c.SetPre(m.Vote.Pre)
			c.SetReply(m.Vote.Reply)
			c.SetGranted(m.Vote.Granted)
			c.SetLastIndex(m.Vote.LastIndex)
			c.SetLastTerm(m.Vote.LastTerm)
			c.SetTransfer(m.Vote.Transfer)
			c.SetAll(m.Vote.All)
			c.SetAlone(m.Vote.Alone)
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
	if m.Beat != nil {
		if c, err := c.NewBeat(); e.ok(err) {
			e.target(c, m.Beat)
		}
	}
	if m.Ask != nil {
		if c, err := c.NewAsk(); e.ok(err) {
			c.SetId(m.Ask.Id)
			c.SetReply(m.Ask.Reply)
			e.ok(c.SetMethod(m.Ask.Method))
			e.ok(c.SetPath(m.Ask.Path))
			e.ok(c.SetQuery(m.Ask.Query))
			e.ok(c.SetBody(m.Ask.Body))
			c.SetStatus(m.Ask.Status)
			c.SetRetryMs(m.Ask.RetryMs)
			e.ok(c.SetToken(m.Ask.Token))
		}
	}
}

func (e *encoder) batch(c BatchC, b *Batch) {
	c.SetSeq(b.Seq)
	c.SetFresh(b.Fresh)
	c.SetEpoch(b.Epoch)
	c.SetDisk(b.Disk)
	c.SetHard(b.Hard)
	c.SetTerm(b.Term)
	e.ok(c.SetVote(b.Vote))
	c.SetCut(b.Cut)
	if len(b.Entries) > 0 {
		if l, err := c.NewEntries(int32(len(b.Entries))); e.ok(err) {
			e.entries(l, b.Entries)
		}
	}
	if b.Snap != nil {
		if c, err := c.NewSnap(); e.ok(err) {
			e.snap(c, b.Snap)
		}
	}
	c.SetLock(b.Lock)
	e.ok(c.SetLegacy(b.Legacy))
	if len(b.Founders) > 0 {
		if l, err := c.NewFounders(int32(len(b.Founders))); e.ok(err) {
			e.members(l, b.Founders)
		}
	}
	c.SetFounding(b.Founding)
}

func (e *encoder) daemon(c DaemonC, d *Daemon) {
	e.ok(c.SetName(d.Name))
	e.ok(c.SetKind(string(d.Kind)))
	e.ok(c.SetDomain(d.Domain))
	e.ok(c.SetAddr(d.Addr))
	e.ok(c.SetHttp(d.Http))
	c.SetInc(d.Inc)
	c.SetDisk(d.Disk)
	c.SetEpoch(d.Epoch)
	c.SetLock(d.Lock)
	c.SetReady(d.Ready)
	e.ok(c.SetState(d.State))
	c.SetOffer(d.Offer)
}

func (e *encoder) hello(c HelloC, h *Hello) {
	if c, err := c.NewSelf(); e.ok(err) {
		e.daemon(c, &h.Self)
	}
	if len(h.Known) > 0 {
		if l, err := c.NewKnown(int32(len(h.Known))); e.ok(err) {
			for i := range h.Known {
				e.daemon(l.At(i), &h.Known[i])
			}
		}
	}
	c.SetReply(h.Reply)
	e.ok(c.SetLeader(h.Leader))
	c.SetTerm(h.Term)
	e.ok(c.SetLegacy(h.Legacy))
	if len(h.Members) > 0 {
		if l, err := c.NewMembers(int32(len(h.Members))); e.ok(err) {
			e.members(l, h.Members)
		}
	}
	c.SetMembersEpoch(h.MembersEpoch)
	c.SetMembersIndex(h.MembersIndex)
	c.SetFounding(h.Founding)
	if len(h.Gone) > 0 {
		if l, err := c.NewGone(int32(len(h.Gone))); e.ok(err) {
			e.texts(l, h.Gone)
		}
	}
	c.SetRefound(h.Refound)
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

func (e *encoder) snap(c SnapC, s *Snap) {
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
	c.SetOk(a.Ok)
	c.SetPrevIndex(a.PrevIndex)
	c.SetPrevTerm(a.PrevTerm)
	c.SetCommit(a.Commit)
	c.SetMatch(a.Match)
	if len(a.Entries) > 0 {
		if l, err := c.NewEntries(int32(len(a.Entries))); e.ok(err) {
			e.entries(l, a.Entries)
		}
	}
	if a.Piece != nil {
		if c, err := c.NewPiece(); e.ok(err) {
			e.piece(c, a.Piece)
		}
	}
}

func (e *encoder) piece(c PieceC, p *Piece) {
	c.SetEntry(p.Entry)
	c.SetIndex(p.Index)
	c.SetTerm(p.Term)
	c.SetKind(p.Kind)
	if len(p.Members) > 0 {
		if l, err := c.NewMembers(int32(len(p.Members))); e.ok(err) {
			e.members(l, p.Members)
		}
	}
	c.SetSize(p.Size)
	c.SetSum(p.Sum)
	c.SetOffset(p.Offset)
	e.ok(c.SetData(p.Data))
}

func (e *encoder) target(c TargetC, t *Target) {
	e.ok(c.SetService(t.Service))
	e.ok(c.SetName(t.Name))
	c.SetInc(t.Inc)
	e.ok(c.SetAddr(t.Addr))
	e.ok(c.SetDomain(t.Domain))
	e.ok(c.SetState(t.State))
	c.SetDemand(t.Demand)
	c.SetHasDemand(t.HasDemand)
	c.SetHeld(t.Held)
	c.SetBarLeft(t.BarLeft)
	e.ok(c.SetBarWhy(t.BarWhy))
	c.SetPending(t.Pending)
	c.SetBeating(t.Beating)
	c.SetTurn(t.Turn)
	c.SetSlots(t.Slots)
	c.SetColdLeft(t.ColdLeft)
	c.SetNumber(t.Number)
}

func (e *encoder) key(c KeyC, k Key) {
	c.SetEpoch(k.Epoch)
	c.SetTerm(k.Term)
	c.SetVer(k.Ver)
}

func (e *encoder) table(c TableC, t *Table) {
	if c, err := c.NewKey(); e.ok(err) {
		e.key(c, t.Key)
	}
	c.SetSeq(t.Seq)
	c.SetRevision(t.Revision)
	e.ok(c.SetDoc(t.Doc))
	e.ok(c.SetState(t.State))
	if len(t.Gates) > 0 {
		if l, err := c.NewGates(int32(len(t.Gates))); e.ok(err) {
			for i := range t.Gates {
				c, g := l.At(i), &t.Gates[i]
				e.ok(c.SetName(g.Name))
				e.ok(c.SetAddr(g.Addr))
				e.ok(c.SetDomain(g.Domain))
				c.SetLive(g.Live)
			}
		}
	}
	if len(t.Emptied) > 0 {
		if l, err := c.NewEmptied(int32(len(t.Emptied))); e.ok(err) {
			e.texts(l, t.Emptied)
		}
	}
	if len(t.Targets) > 0 {
		if l, err := c.NewTargets(int32(len(t.Targets))); e.ok(err) {
			for i := range t.Targets {
				e.target(l.At(i), &t.Targets[i])
			}
		}
	}
	if len(t.Was) > 0 {
		if l, err := c.NewWas(int32(len(t.Was))); e.ok(err) {
			e.texts(l, t.Was)
		}
	}
	if c, err := c.NewBase(); e.ok(err) {
		e.key(c, t.Base)
	}
	if len(t.Gone) > 0 {
		if l, err := c.NewGone(int32(len(t.Gone))); e.ok(err) {
			e.ids(l, t.Gone)
		}
	}
}

func (e *encoder) ids(l IdC_List, ids []ID) {
	for i := range ids {
		c, id := l.At(i), &ids[i]
		e.ok(c.SetService(id.Service))
		e.ok(c.SetName(id.Name))
		c.SetInc(id.Inc)
	}
}

func (e *encoder) pull(c PullC, p *Pull) {
	if c, err := c.NewSelf(); e.ok(err) {
		e.daemon(c, &p.Self)
	}
	if c, err := c.NewKey(); e.ok(err) {
		e.key(c, p.Key)
	}
	if len(p.Seen) > 0 {
		if l, err := c.NewSeen(int32(len(p.Seen))); e.ok(err) {
			for i := range p.Seen {
				c, s := l.At(i), &p.Seen[i]
				e.ok(c.SetService(s.Service))
				e.ok(c.SetName(s.Name))
				c.SetInc(s.Inc)
				c.SetOk(s.Ok)
				c.SetErrors(s.Errors)
				c.SetSumMs(s.SumMs)
				c.SetDemand(s.Demand)
				c.SetHasDemand(s.HasDemand)
				c.SetSlow(s.Slow)
				c.SetNotRun(s.NotRun)
				c.SetAlive(s.Alive)
			}
		}
	}
	if p.Table != nil {
		if c, err := c.NewTable(); e.ok(err) {
			e.table(c, p.Table)
		}
	}
	c.SetRevision(p.Revision)
	c.SetSeq(p.Seq)
	c.SetWant(p.Want)
}

func (e *encoder) push(c PushC, p *Push) {
	c.SetGrant(p.Grant)
	c.SetWant(p.Want)
	if c, err := c.NewKey(); e.ok(err) {
		e.key(c, p.Key)
	}
	if p.Table != nil {
		if c, err := c.NewTable(); e.ok(err) {
			e.table(c, p.Table)
		}
	}
	if len(p.Probe) > 0 {
		if l, err := c.NewProbe(int32(len(p.Probe))); e.ok(err) {
			e.ids(l, p.Probe)
		}
	}
}
