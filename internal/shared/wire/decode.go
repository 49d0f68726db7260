// This file reads Cap'n Proto into the Go structs. Reading copies all that it keeps, so nothing holds on to
// the bytes that came in. It trusts no length: a message is a tree, in which each thing is read once, so
// that no more bytes are read than there are, and no more elements made than words there are, whatever
// its pointers say. An error stays in the decoder and is looked at once, at the end.

package wire

import (
	"bytes"

	capnp "capnproto.org/go/capnp/v3"
	"github.com/cockroachdb/errors"
)

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
		Name: d.text(c.NameBytes()), Kind: DaemonKind(d.again(c.KindBytes())), Domain: d.again(c.DomainBytes()),
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
