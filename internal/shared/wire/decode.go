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
func Decode(b []byte) (*Message, error) {
	cm, c, err := open(b)
	if err != nil {
		return nil, err
	}
	d := decoder{room: len(b) / word}
	m := d.msg(MessageC(c))
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

func (d *decoder) msg(c MessageC) *Message {
	return &Message{
		Kind: Kind(c.Kind()), From: d.text(c.FromBytes()), To: d.text(c.ToBytes()),
		Disk: c.Disk(), Epoch: c.Epoch(), Term: c.Term(), Timestamp: c.Timestamp(),
		Hello: d.hello(c.Hello()), Vote: d.vote(c.Vote()), Append: d.append(c.Append()), Pull: d.pull(c.Pull()),
		Push: d.push(c.Push()), Heartbeat: d.beat(c.Heartbeat()), Call: d.ask(c.Call()),
	}
}

func (d *decoder) batch(c BatchC) *Batch {
	return &Batch{
		Seq: c.Seq(), Reset: c.Reset(), Epoch: c.Epoch(), Disk: c.Disk(), HasHardState: c.HasHardState(), Term: c.Term(),
		Vote: d.text(c.VoteBytes()), TruncateFrom: c.TruncateFrom(), Entries: d.entries(c.Entries()), Snapshot: d.snap(c.Snapshot()),
		BootstrapLock: c.BootstrapLock(), RecoveredState: d.data(c.RecoveredState()), Founders: d.members(c.Founders()), BootstrapEpoch: c.BootstrapEpoch(),
	}
}

func (d *decoder) daemon(c DaemonC, err error) Daemon {
	d.ok(err)
	return Daemon{
		Name: d.text(c.NameBytes()), Kind: DaemonKind(d.again(c.KindBytes())), Domain: d.again(c.DomainBytes()),
		Addr: d.text(c.AddrBytes()), HTTP: d.text(c.HttpBytes()), Incarnation: c.Incarnation(), Disk: c.Disk(), Epoch: c.Epoch(),
		BootstrapLock: c.BootstrapLock(), Ready: c.Ready(), State: d.again(c.StateBytes()), BootstrapOffer: c.BootstrapOffer(),
	}
}

func (d *decoder) hello(c HelloC, err error) *Hello {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Hello{
		Self: d.daemon(c.Self()), Daemons: d.daemons(c.Daemons()), Reply: c.Reply(), Leader: d.text(c.LeaderBytes()),
		Term: c.Term(), RecoveredState: d.data(c.RecoveredState()), Members: d.members(c.Members()),
		MembersEpoch: c.MembersEpoch(), MembersIndex: c.MembersIndex(), BootstrapEpoch: c.BootstrapEpoch(),
		LostMembers: d.texts(c.LostMembers()), RecoveryConsent: c.RecoveryConsent(),
	}
}

func (d *decoder) vote(c VoteC, err error) *Vote {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Vote{
		PreVote: c.PreVote(), Reply: c.Reply(), Granted: c.Granted(), LastIndex: c.LastIndex(), LastTerm: c.LastTerm(),
		Transfer: c.Transfer(), Unanimous: c.Unanimous(), NoLeader: c.NoLeader(),
	}
}

func (d *decoder) append(c AppendC, err error) *Append {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Append{
		Reply: c.Reply(), Success: c.Success(), PrevIndex: c.PrevIndex(), PrevTerm: c.PrevTerm(), Commit: c.Commit(),
		MatchIndex: c.MatchIndex(), Entries: d.entries(c.Entries()), Chunk: d.piece(c.Chunk()),
	}
}

func (d *decoder) piece(c ChunkC, err error) *Chunk {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Chunk{
		IsEntry: c.IsEntry(), Index: c.Index(), Term: c.Term(), Kind: c.Kind(), Members: d.members(c.Members()),
		Size: c.Size(), Checksum: c.Checksum(), Offset: c.Offset(), Data: d.data(c.Data()),
	}
}

func (d *decoder) pull(c PullC, err error) *Pull {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Pull{
		Self: d.daemon(c.Self()), Key: d.key(c.Key()), Stats: d.seen(c.Stats()), Table: d.table(c.Table()),
		Revision: c.Revision(), StateIndex: c.StateIndex(), WantTable: c.WantTable(),
	}
}

func (d *decoder) push(c PushC, err error) *Push {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Push{LeaseGranted: c.LeaseGranted(), WantTable: c.WantTable(), Key: d.key(c.Key()), Table: d.table(c.Table()), ProbeTargets: d.ids(c.ProbeTargets())}
}

func (d *decoder) beat(c TargetC, err error) *Target {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	t := &Target{}
	d.target(c, t)
	return t
}

func (d *decoder) ask(c CallC, err error) *Call {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Call{
		ID: c.Id(), Reply: c.Reply(), Method: d.text(c.MethodBytes()), Path: d.text(c.PathBytes()),
		Query: d.text(c.QueryBytes()), Body: d.data(c.Body()), Status: c.Status(), RetryAfterMs: c.RetryAfterMs(),
		Token: d.text(c.TokenBytes()),
	}
}

func (d *decoder) snap(c SnapshotC, err error) *Snapshot {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Snapshot{Index: c.Index(), Term: c.Term(), Members: d.members(c.Members()), Data: d.data(c.Data())}
}

func (d *decoder) key(c TableKeyC, err error) TableKey {
	d.ok(err)
	return TableKey{c.Epoch(), c.Term(), c.Version()}
}

func (d *decoder) table(c TableC, err error) *Table {
	if !d.ok(err) || !c.IsValid() {
		return nil
	}
	return &Table{
		Key: d.key(c.Key()), StateIndex: c.StateIndex(), Revision: c.Revision(), Document: d.data(c.Document()), State: d.data(c.State()),
		Proxies: d.gates(c.Proxies()), EmptiedDomains: d.texts(c.EmptiedDomains()), Targets: d.targets(c.Targets()), PreviousProxies: d.texts(c.PreviousProxies()),
		DeltaBase: d.key(c.DeltaBase()), RemovedTargets: d.ids(c.RemovedTargets()),
	}
}

func (d *decoder) target(c TargetC, t *Target) {
	t.Service, t.Name, t.Incarnation = d.again(c.ServiceBytes()), d.text(c.NameBytes()), c.Incarnation()
	t.Addr, t.Domain, t.State = d.text(c.AddrBytes()), d.again(c.DomainBytes()), TargetState(d.again(c.StateBytes()))
	t.Demand, t.HasDemand, t.Draining = c.Demand(), c.HasDemand(), c.Draining()
	t.EjectionLeft, t.EjectedBy = c.EjectionLeft(), d.again(c.EjectedByBytes())
	t.Pending, t.Heartbeating, t.ShareOffset = c.Pending(), c.Heartbeating(), c.ShareOffset()
	t.Slots, t.WarmupLeft, t.Number = c.Slots(), c.WarmupLeft(), c.Number()
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

func (d *decoder) seen(l TargetStatsC_List, err error) []TargetStats {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]TargetStats, n)
	for i := range all {
		c := l.At(i)
		all[i] = TargetStats{
			Service: d.again(c.ServiceBytes()), Name: d.text(c.NameBytes()), Incarnation: c.Incarnation(), Successes: c.Successes(),
			Errors: c.Errors(), TotalMs: c.TotalMs(), Demand: c.Demand(), HasDemand: c.HasDemand(), Slow: c.Slow(),
			Rejected: c.Rejected(), ProbeAnswered: c.ProbeAnswered(),
		}
	}
	return all
}

func (d *decoder) ids(l IdentityC_List, err error) []TargetID {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]TargetID, n)
	for i := range all {
		c := l.At(i)
		all[i] = TargetID{d.again(c.ServiceBytes()), d.text(c.NameBytes()), c.Incarnation()}
	}
	return all
}

func (d *decoder) gates(l ProxyC_List, err error) []Proxy {
	n := d.count(l.Len(), err)
	if n == 0 {
		return nil
	}
	all := make([]Proxy, n)
	for i := range all {
		c := l.At(i)
		all[i] = Proxy{d.text(c.NameBytes()), d.text(c.AddrBytes()), d.again(c.DomainBytes()), c.Live()}
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
