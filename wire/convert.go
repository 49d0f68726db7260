package wire

// Between the Go structs and Cap'n Proto, field by field over the generated accessors, and in
// the order of the schema. A message's size is known before it is written: sizes follow from
// the structs, so that one slice is made, written in place and handed on. Reading copies all
// that it keeps, so nothing holds on to the bytes that came in. It trusts no length: a message
// is a tree, in which each thing is read once, so that no more bytes are read than there are,
// and no more elements made than words there are, whatever its pointers say. An error stays
// in the encoder or decoder and is looked at once, at the end.

import (
	"bytes"
	"encoding/binary"

	capnp "capnproto.org/go/capnp/v3"
	"github.com/cockroachdb/errors"
)

const (
	word   = 8    // bytes, the unit that Cap'n Proto counts in
	header = 8    // bytes before the one segment: how many more there are and its words
	tag    = word // before the elements of a list of structs
	root   = word // the pointer that a segment begins with
)

// Bytes of each struct without what it points to, as the schema has them.
var (
	msgSize    = fixed(NewMsgC)
	daemonSize = fixed(NewDaemonC)
	helloSize  = fixed(NewHelloC)
	voteSize   = fixed(NewVoteC)
	entrySize  = fixed(NewEntryC)
	memberSize = fixed(NewMemberC)
	snapSize   = fixed(NewSnapC)
	appendSize = fixed(NewAppendC)
	pieceSize  = fixed(NewPieceC)
	targetSize = fixed(NewTargetC)
	seenSize   = fixed(NewSeenC)
	keySize    = fixed(NewKeyC)
	gateSize   = fixed(NewGateC)
	tableSize  = fixed(NewTableC)
	idSize     = fixed(NewIdC)
	pullSize   = fixed(NewPullC)
	pushSize   = fixed(NewPushC)
	askSize    = fixed(NewAskC)
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

// ---- sizes ----

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

func (m *Msg) size() int {
	n := msgSize + textSize(m.From) + textSize(m.To)
	if h := m.Hello; h != nil {
		n += helloSize + h.Self.size() + listSize(len(h.Known), 0) + textSize(h.Leader) + dataSize(h.Legacy) +
			membersSize(h.Members) + textsSize(h.Gone)
		for i := range h.Known {
			n += h.Known[i].size()
		}
	}
	if m.Vote != nil {
		n += voteSize
	}
	if a := m.Append; a != nil {
		n += appendSize + entriesSize(a.Entries) + a.Piece.size()
	}
	if p := m.Pull; p != nil {
		n += pullSize + p.Self.size() + keySize + listSize(len(p.Seen), seenSize) + p.Table.size()
		for i := range p.Seen {
			n += textSize(p.Seen[i].Service) + textSize(p.Seen[i].Name)
		}
	}
	if p := m.Push; p != nil {
		n += pushSize + keySize + p.Table.size() + idsSize(p.Probe)
	}
	if m.Beat != nil {
		n += m.Beat.size()
	}
	if a := m.Ask; a != nil {
		n += askSize + textSize(a.Method) + textSize(a.Path) + textSize(a.Query) + dataSize(a.Body) + textSize(a.Token)
	}
	return n
}

func (b *Batch) size() int {
	return batchSize + textSize(b.Vote) + entriesSize(b.Entries) + b.Snap.size() + dataSize(b.Legacy) +
		membersSize(b.Founders)
}

func (d *Daemon) size() int {
	return daemonSize + textSize(d.Name) + textSize(d.Kind) + textSize(d.Domain) + textSize(d.Addr) +
		textSize(d.Http) + textSize(d.State)
}

func (t *Target) size() int {
	return targetSize + textSize(t.Service) + textSize(t.Name) + textSize(t.Addr) + textSize(t.Domain) +
		textSize(t.State) + textSize(t.BarWhy)
}

func (p *Piece) size() int {
	if p == nil {
		return 0
	}
	return pieceSize + membersSize(p.Members) + dataSize(p.Data)
}

func (s *Snap) size() int {
	if s == nil {
		return 0
	}
	return snapSize + membersSize(s.Members) + dataSize(s.Data)
}

func idsSize(ids []ID) int {
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
	n := tableSize + keySize + dataSize(t.Doc) + dataSize(t.State) + listSize(len(t.Gates), gateSize) +
		textsSize(t.Emptied) + listSize(len(t.Targets), 0) + textsSize(t.Was) + keySize + idsSize(t.Gone)
	for i := range t.Gates {
		n += textSize(t.Gates[i].Name) + textSize(t.Gates[i].Addr) + textSize(t.Gates[i].Domain)
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

// ---- writing ----

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
	e.ok(c.SetKind(d.Kind))
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

// ---- reading ----

type decoder struct {
	err    error
	room   int        // elements of lists that may still come: each takes a word at least
	common [32]string // texts that come again and again in a message, such as a service or a state
}

func open(b []byte) (*capnp.Message, capnp.Struct, error) {
	cm, err := capnp.Unmarshal(b)
	if err != nil {
		return nil, capnp.Struct{}, errors.Wrap(err, "unmarshal")
	}
	cm.ResetReadLimit(uint64(len(b)))
	p, err := cm.Root()
	if err != nil {
		return nil, capnp.Struct{}, errors.Wrap(err, "root")
	}
	return cm, p.Struct(), nil
}

// Decode reads what Encode made. It trusts nothing in b: any bytes give a message or an error. The
// message holds no part of b.
func Decode(b []byte) (*Msg, error) {
	cm, c, err := open(b)
	if err != nil {
		return nil, err
	}
	d := decoder{room: len(b) / word}
	m := d.msg(MsgC(c))
	cm.Release()
	if d.err != nil {
		return nil, errors.Wrap(d.err, "decode")
	}
	return m, nil
}

// DecodeBatch reads what EncodeBatch made, under the same conditions as Decode.
func DecodeBatch(b []byte) (*Batch, error) {
	cm, c, err := open(b)
	if err != nil {
		return nil, err
	}
	d := decoder{room: len(b) / word}
	m := d.batch(BatchC(c))
	cm.Release()
	if d.err != nil {
		return nil, errors.Wrap(d.err, "decode")
	}
	return m, nil
}

func (d *decoder) ok(err error) bool {
	if d.err == nil {
		d.err = err
	}
	return err == nil
}

// count is how many elements to read of a list of n.
func (d *decoder) count(n int, err error) int {
	if !d.ok(err) {
		return 0
	}
	if n < 0 || n > d.room {
		d.ok(errors.Newf("a list of %d, and room for %d", n, d.room))
		return 0
	}
	d.room -= n
	return n
}

func (d *decoder) text(b []byte, err error) string {
	d.ok(err)
	return string(b)
}

// again is text for what many elements of a message have in common: it is kept once.
func (d *decoder) again(b []byte, err error) string {
	d.ok(err)
	if len(b) == 0 {
		return ""
	}
	h := len(b) + 3*int(b[0]) + 5*int(b[len(b)/2]) + 7*int(b[len(b)-1])
	s := &d.common[h%len(d.common)]
	if *s != string(b) {
		*s = string(b)
	}
	return *s
}

func (d *decoder) data(b []byte, err error) []byte {
	d.ok(err)
	return bytes.Clone(b)
}

func (d *decoder) msg(c MsgC) *Msg {
	return &Msg{
		Kind: c.Kind(), From: d.text(c.FromBytes()), To: d.text(c.ToBytes()),
		Disk: c.Disk(), Epoch: c.Epoch(), Term: c.Term(), Stamp: c.Stamp(),
		Hello: d.hello(c.Hello()), Vote: d.vote(c.Vote()), Append: d.append(c.Append()), Pull: d.pull(c.Pull()),
		Push: d.push(c.Push()), Beat: d.beat(c.Beat()), Ask: d.ask(c.Ask()),
	}
}

func (d *decoder) batch(c BatchC) *Batch {
	return &Batch{
		Seq: c.Seq(), Fresh: c.Fresh(), Epoch: c.Epoch(), Disk: c.Disk(), Hard: c.Hard(), Term: c.Term(),
		Vote: d.text(c.VoteBytes()), Cut: c.Cut(), Entries: d.entries(c.Entries()), Snap: d.snap(c.Snap()),
		Lock: c.Lock(), Legacy: d.data(c.Legacy()), Founders: d.members(c.Founders()), Founding: c.Founding(),
	}
}

func (d *decoder) daemon(c DaemonC, err error) Daemon {
	d.ok(err)
	return Daemon{
		Name: d.text(c.NameBytes()), Kind: d.again(c.KindBytes()), Domain: d.again(c.DomainBytes()),
		Addr: d.text(c.AddrBytes()), Http: d.text(c.HttpBytes()), Inc: c.Inc(), Disk: c.Disk(), Epoch: c.Epoch(),
		Lock: c.Lock(), Ready: c.Ready(), State: d.again(c.StateBytes()), Offer: c.Offer(),
	}
}

func (d *decoder) hello(c HelloC, err error) *Hello {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Hello{
		Self: d.daemon(c.Self()), Known: d.daemons(c.Known()), Reply: c.Reply(), Leader: d.text(c.LeaderBytes()),
		Term: c.Term(), Legacy: d.data(c.Legacy()), Members: d.members(c.Members()),
		MembersEpoch: c.MembersEpoch(), MembersIndex: c.MembersIndex(), Founding: c.Founding(),
		Gone: d.texts(c.Gone()), Refound: c.Refound(),
	}
}

func (d *decoder) vote(c VoteC, err error) *Vote {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Vote{
		Pre: c.Pre(), Reply: c.Reply(), Granted: c.Granted(), LastIndex: c.LastIndex(), LastTerm: c.LastTerm(),
		Transfer: c.Transfer(), All: c.All(), Alone: c.Alone(),
	}
}

func (d *decoder) append(c AppendC, err error) *Append {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Append{
		Reply: c.Reply(), Ok: c.Ok(), PrevIndex: c.PrevIndex(), PrevTerm: c.PrevTerm(), Commit: c.Commit(),
		Match: c.Match(), Entries: d.entries(c.Entries()), Piece: d.piece(c.Piece()),
	}
}

func (d *decoder) piece(c PieceC, err error) *Piece {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Piece{
		Entry: c.Entry(), Index: c.Index(), Term: c.Term(), Kind: c.Kind(), Members: d.members(c.Members()),
		Size: c.Size(), Sum: c.Sum(), Offset: c.Offset(), Data: d.data(c.Data()),
	}
}

func (d *decoder) pull(c PullC, err error) *Pull {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Pull{
		Self: d.daemon(c.Self()), Key: d.key(c.Key()), Seen: d.seen(c.Seen()), Table: d.table(c.Table()),
		Revision: c.Revision(), Seq: c.Seq(), Want: c.Want(),
	}
}

func (d *decoder) push(c PushC, err error) *Push {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Push{Grant: c.Grant(), Want: c.Want(), Key: d.key(c.Key()), Table: d.table(c.Table()), Probe: d.ids(c.Probe())}
}

func (d *decoder) beat(c TargetC, err error) *Target {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	t := &Target{}
	d.target(c, t)
	return t
}

func (d *decoder) ask(c AskC, err error) *Ask {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Ask{
		Id: c.Id(), Reply: c.Reply(), Method: d.text(c.MethodBytes()), Path: d.text(c.PathBytes()),
		Query: d.text(c.QueryBytes()), Body: d.data(c.Body()), Status: c.Status(), RetryMs: c.RetryMs(),
		Token: d.text(c.TokenBytes()),
	}
}

func (d *decoder) snap(c SnapC, err error) *Snap {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Snap{Index: c.Index(), Term: c.Term(), Members: d.members(c.Members()), Data: d.data(c.Data())}
}

func (d *decoder) key(c KeyC, err error) Key {
	d.ok(err)
	return Key{c.Epoch(), c.Term(), c.Ver()}
}

func (d *decoder) table(c TableC, err error) *Table {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Table{
		Key: d.key(c.Key()), Seq: c.Seq(), Revision: c.Revision(), Doc: d.data(c.Doc()), State: d.data(c.State()),
		Gates: d.gates(c.Gates()), Emptied: d.texts(c.Emptied()), Targets: d.targets(c.Targets()), Was: d.texts(c.Was()),
		Base: d.key(c.Base()), Gone: d.ids(c.Gone()),
	}
}

func (d *decoder) target(c TargetC, t *Target) {
	t.Service, t.Name, t.Inc = d.again(c.ServiceBytes()), d.text(c.NameBytes()), c.Inc()
	t.Addr, t.Domain, t.State = d.text(c.AddrBytes()), d.again(c.DomainBytes()), d.again(c.StateBytes())
	t.Demand, t.HasDemand, t.Held = c.Demand(), c.HasDemand(), c.Held()
	t.BarLeft, t.BarWhy = c.BarLeft(), d.again(c.BarWhyBytes())
	t.Pending, t.Beating, t.Turn = c.Pending(), c.Beating(), c.Turn()
	t.Slots, t.ColdLeft, t.Number = c.Slots(), c.ColdLeft(), c.Number()
}

// An empty list is nil, as one that isn't there.

func (d *decoder) daemons(l DaemonC_List, err error) []Daemon {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]Daemon, n)
	for i := range all {
		all[i] = d.daemon(l.At(i), nil)
	}
	return all
}

func (d *decoder) members(l MemberC_List, err error) []Member {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]Member, n)
	for i := range all {
		c := l.At(i)
		all[i] = Member{d.text(c.NameBytes()), c.Disk()}
	}
	return all
}

func (d *decoder) entries(l EntryC_List, err error) []Entry {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]Entry, n)
	for i := range all {
		c := l.At(i)
		all[i] = Entry{c.Index(), c.Term(), c.Kind(), d.data(c.Data())}
	}
	return all
}

func (d *decoder) targets(l TargetC_List, err error) []Target {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]Target, n)
	for i := range all {
		d.target(l.At(i), &all[i])
	}
	return all
}

func (d *decoder) seen(l SeenC_List, err error) []Seen {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]Seen, n)
	for i := range all {
		c := l.At(i)
		all[i] = Seen{
			Service: d.again(c.ServiceBytes()), Name: d.text(c.NameBytes()), Inc: c.Inc(), Ok: c.Ok(),
			Errors: c.Errors(), SumMs: c.SumMs(), Demand: c.Demand(), HasDemand: c.HasDemand(), Slow: c.Slow(),
			NotRun: c.NotRun(), Alive: c.Alive(),
		}
	}
	return all
}

func (d *decoder) ids(l IdC_List, err error) []ID {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]ID, n)
	for i := range all {
		c := l.At(i)
		all[i] = ID{d.again(c.ServiceBytes()), d.text(c.NameBytes()), c.Inc()}
	}
	return all
}

func (d *decoder) gates(l GateC_List, err error) []Gate {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]Gate, n)
	for i := range all {
		c := l.At(i)
		all[i] = Gate{d.text(c.NameBytes()), d.text(c.AddrBytes()), d.again(c.DomainBytes()), c.Live()}
	}
	return all
}

func (d *decoder) texts(l capnp.TextList, err error) []string {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]string, n)
	for i := range all {
		all[i] = d.text(l.BytesAt(i))
	}
	return all
}
