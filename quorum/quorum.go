// Package quorum is the agreement among the core members: election, log,
// snapshots, catch-up and change of members, as one pure state machine. A Node
// reads no clock and does no I/O: it is told the time and what came in, and
// leaves in Out what to send, what to sync and what is agreed. Messages that
// depend on a sync wait in the node until Synced says it is done.
//
// A leader may decide only while Leads holds: a majority answered messages sent
// within limit.CoreGrant and its own disk keeps up. Members that heard a leader
// refuse all others for limit.ElectMin, which is longer, so two never decide at
// once. A member is its name and its disk: one that lost its disk is another
// member, learns first, and votes once it has been added again.
//
// Nobody has to wait where every single member answers and hears no leader, as after
// a start of them all: a candidate that stands so leads only once each member, also
// of the list before a change that may be under way, has taken its term on disk. Who
// has can lead in no earlier one any more, so nobody else is left who may decide.
package quorum

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

type Role int

const (
	Follower Role = iota
	Asking        // a pre-vote is out
	Candidate
	Leader
)

func (r Role) String() string { return [...]string{"follower", "asking", "candidate", "leader"}[r] }

// Kinds of log entries.
const (
	ENoop uint16 = iota
	EMembers
	EData
)

// Image is what a disk holds: every batch folded in order.
type Image struct {
	Epoch  uint64
	Disk   uint64
	Term   uint64
	Vote   string
	Snap   wire.Snap
	Log    []wire.Entry
	Lock   uint64
	Legacy []byte
	// what Lock stands for
	Founders []wire.Member
	Founding uint64
}

// Fold applies one batch.
func (im *Image) Fold(b *wire.Batch) {
	if b.Fresh {
		*im = Image{Disk: im.Disk}
	}
	if b.Disk != 0 {
		im.Disk = b.Disk
	}
	if b.Epoch != 0 {
		im.Epoch = b.Epoch
	}
	if b.Lock != 0 {
		im.Lock, im.Founders, im.Founding = b.Lock, b.Founders, b.Founding
	}
	if len(b.Legacy) > 0 {
		im.Legacy = b.Legacy
	}
	if b.Hard {
		im.Term, im.Vote = b.Term, b.Vote
	}
	if b.Snap != nil {
		im.Snap = *b.Snap
		im.Log = slices.DeleteFunc(slices.Clone(im.Log), func(e wire.Entry) bool { return e.Index <= b.Snap.Index })
	}
	if b.Cut != 0 {
		im.Log = slices.DeleteFunc(slices.Clone(im.Log), func(e wire.Entry) bool { return e.Index >= b.Cut })
	}
	im.Log = append(im.Log, b.Entries...)
}

// Whole is the image as one batch, for the head of a ring file.
func (im *Image) Whole() *wire.Batch {
	return &wire.Batch{Fresh: true, Epoch: im.Epoch, Disk: im.Disk, Hard: true, Term: im.Term, Vote: im.Vote,
		Snap: &im.Snap, Entries: im.Log, Lock: im.Lock, Legacy: im.Legacy,
		Founders: im.Founders, Founding: im.Founding}
}

type partner struct {
	m      wire.Member
	voter  bool
	next   uint64
	match  uint64
	acked  time.Duration
	snapAt time.Duration
}

type batch struct {
	seq  uint64
	at   time.Duration
	last uint64
}

type waiting struct {
	seq uint64
	m   *wire.Msg
}

// Out is what a step left to do, in order: sync, send, apply.
type Out struct {
	Batches []*wire.Batch
	Send    []*wire.Msg
	Apply   []wire.Entry
	Restore *wire.Snap
}

type Node struct {
	self     wire.Member
	epoch    uint64
	role     Role
	term     uint64
	vote     string
	snap     wire.Snap
	log      []wire.Entry
	members  []wire.Member
	commit   uint64
	applied  uint64
	stable   uint64
	leader   string
	heard    time.Duration
	deadline time.Duration
	votes    map[string]bool
	all      bool            // it stands without waiting, by everybody's leave
	alone    map[string]bool // who gave that
	outdone  bool            // another member should stand in its place
	met      time.Duration   // when a leader last spoke here since this start
	askedAt  time.Duration
	votedAt  time.Duration
	everyone []wire.Member // the members, and those before the last change if that may be under way
	partners map[string]*partner
	beatAt   time.Duration
	since    time.Duration
	seq      uint64
	hardSeq  uint64
	open     []batch
	wait     []waiting
	noop     uint64
	out      Out
}

// New starts a node from what its disk holds. Booting counts as having heard a
// leader, since the node may have promised one that it would wait.
func New(now time.Duration, self string, im Image) *Node {
	n := &Node{self: wire.Member{Name: self, Disk: im.Disk}, epoch: im.Epoch, term: im.Term, vote: im.Vote,
		snap: im.Snap, log: slices.Clone(im.Log), heard: now, met: -1 << 62, askedAt: -1 << 62, partners: map[string]*partner{}}
	n.commit, n.applied = im.Snap.Index, im.Snap.Index
	n.stable = n.last()
	n.readMembers()
	n.become(now, Follower)
	return n
}

func (n *Node) Epoch() uint64          { return n.epoch }
func (n *Node) Term() uint64           { return n.term }
func (n *Node) Role() Role             { return n.role }
func (n *Node) Leader() string         { return n.leader }
func (n *Node) Commit() uint64         { return n.commit }
func (n *Node) Last() uint64           { return n.last() }
func (n *Node) Since() time.Duration   { return n.since }
func (n *Node) Members() []wire.Member { return slices.Clone(n.members) }
func (n *Node) Snap() *wire.Snap       { return &n.snap }

// Take hands over what there is to do and empties it.
func (n *Node) Take() Out {
	o := n.out
	n.out = Out{}
	return o
}

func (n *Node) last() uint64 { return n.snap.Index + uint64(len(n.log)) }

func (n *Node) termAt(i uint64) (uint64, bool) {
	switch {
	case i == n.snap.Index:
		return n.snap.Term, true
	case i < n.snap.Index || i > n.last():
		return 0, false
	}
	return n.log[i-n.snap.Index-1].Term, true
}

func (n *Node) readMembers() {
	n.members, n.everyone = n.snap.Members, nil
	for _, e := range n.log {
		if e.Kind == EMembers {
			var ms []wire.Member
			if err := json.Unmarshal(e.Data, &ms); err != nil {
				panic(errors.Wrapf(err, "members entry %d", e.Index))
			}
			n.everyone = n.members
			n.members = ms
		}
	}
	n.everyone = slices.Clone(n.everyone)
	for _, m := range n.members {
		if !slices.Contains(n.everyone, m) {
			n.everyone = append(n.everyone, m)
		}
	}
	n.everyone = slices.DeleteFunc(n.everyone, func(m wire.Member) bool { return m.Disk == 0 }) // a place that nobody has
	if n.role == Leader {
		n.syncPartners()
	}
}

func (n *Node) voter(name string, disk uint64) bool {
	return slices.Contains(n.members, wire.Member{Name: name, Disk: disk})
}

func (n *Node) syncPartners() {
	for _, p := range n.partners {
		p.voter = slices.Contains(n.members, p.m)
	}
	for _, m := range n.members {
		if m == n.self {
			continue
		}
		if p := n.partners[m.Name]; p == nil || p.m != m {
			n.partners[m.Name] = &partner{m: m, voter: true, next: n.last() + 1, acked: -1 << 62}
		}
	}
}

// become is the one place where the role changes.
func (n *Node) become(now time.Duration, r Role) {
	n.role = r
	n.since = now
	n.votes, n.alone, n.all, n.outdone = map[string]bool{}, map[string]bool{}, false, false
	n.partners = map[string]*partner{}
	h := fnv.New64a()
	h.Write([]byte(n.self.Name))
	h.Write([]byte{byte(n.term), byte(n.term >> 8), byte(now >> 20), byte(now >> 28)})
	n.deadline = now + limit.ElectMin + time.Duration(h.Sum64()%uint64(limit.ElectSpread))
	if r == Leader {
		n.leader = n.self.Name
		n.syncPartners()
		for _, p := range n.partners {
			p.next = n.last() + 1
		}
		n.noop = n.add(now, ENoop, nil)
		n.beatAt = 0
	}
}

func (n *Node) sync(now time.Duration, b *wire.Batch) {
	n.seq++
	b.Seq = n.seq
	n.open = append(n.open, batch{n.seq, now, n.last()})
	n.out.Batches = append(n.out.Batches, b)
}

func (n *Node) hard(now time.Duration) {
	n.sync(now, &wire.Batch{Hard: true, Term: n.term, Vote: n.vote})
	n.hardSeq = n.seq
}

// Synced says that all batches up to seq are on disk.
func (n *Node) Synced(now time.Duration, seq uint64) {
	for len(n.open) > 0 && n.open[0].seq <= seq {
		n.stable = max(n.stable, min(n.open[0].last, n.last()))
		n.open = n.open[1:]
	}
	n.wait = slices.DeleteFunc(n.wait, func(w waiting) bool {
		if w.seq <= seq {
			n.out.Send = append(n.out.Send, w.m)
			return true
		}
		return false
	})
	n.advance(now)
}

// Stalled says that the disk has kept a sync waiting for too long.
func (n *Node) Stalled(now time.Duration) bool {
	return len(n.open) > 0 && now-n.open[0].at > limit.FsyncStall
}

func (n *Node) send(m *wire.Msg, afterSync bool) {
	m.From, m.Disk, m.Epoch, m.Term = n.self.Name, n.self.Disk, n.epoch, n.term
	if afterSync && len(n.open) > 0 {
		n.wait = append(n.wait, waiting{n.seq, m})
		return
	}
	n.out.Send = append(n.out.Send, m)
}

func (n *Node) add(now time.Duration, kind uint16, data []byte) uint64 {
	e := wire.Entry{Index: n.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log = append(n.log, e)
	if kind == EMembers {
		n.readMembers()
	}
	n.sync(now, &wire.Batch{Entries: []wire.Entry{e}})
	n.advance(now)
	return e.Index
}

// Propose adds data to the log and returns its index; only a leader with a
// grant may call it.
func (n *Node) Propose(now time.Duration, data []byte) uint64 {
	i := n.add(now, EData, data)
	n.spread(now, false)
	return i
}

// Learn has the leader keep m up to date without a vote.
func (n *Node) Learn(m wire.Member) {
	if p := n.partners[m.Name]; n.role == Leader && (p == nil || p.m != m) && !n.voterName(m.Name) {
		n.partners[m.Name] = &partner{m: m, next: n.last() + 1, acked: -1 << 62}
	}
}

// Release stops keeping those without a vote up to date that are not to be kept.
func (n *Node) Release(keep func(wire.Member) bool) {
	maps.DeleteFunc(n.partners, func(_ string, p *partner) bool { return !p.voter && !keep(p.m) })
}

// Answers says that a member, or one that learns, has answered lately.
func (n *Node) Answers(now time.Duration, m wire.Member) bool {
	p := n.partners[m.Name]
	return m == n.self || p != nil && p.m == m && now-p.acked < limit.CoreGrant
}

// Led says whether a leader is heard, or is this node.
func (n *Node) Led(now time.Duration) bool {
	return n.role == Leader || n.leader != "" && now-n.heard < 3*limit.ElectMin
}

func (n *Node) voterName(name string) bool {
	return slices.ContainsFunc(n.members, func(m wire.Member) bool { return m.Name == name })
}

// CaughtUp says that a partner holds all that is agreed.
func (n *Node) CaughtUp(m wire.Member) bool {
	p := n.partners[m.Name]
	return p != nil && p.m == m && p.match >= n.commit && p.match > 0
}

// Settled says that no change of members is under way and that the leader has
// agreed an entry of its own term, so that a change may be proposed.
func (n *Node) Settled() bool {
	if n.role != Leader || n.commit < n.noop {
		return false
	}
	for _, e := range n.log {
		if e.Kind == EMembers && e.Index > n.commit {
			return false
		}
	}
	return true
}

// Change proposes a member list that differs from the present one by one.
func (n *Node) Change(now time.Duration, ms []wire.Member) {
	d := 0
	for _, m := range ms {
		if !slices.Contains(n.members, m) {
			d++
		}
	}
	for _, m := range n.members {
		if !slices.Contains(ms, m) {
			d++
		}
	}
	if d != 1 || !n.Settled() {
		panic(errors.AssertionFailedf("change of members by %d, settled %v", d, n.Settled()))
	}
	b, _ := json.Marshal(ms)
	n.add(now, EMembers, b)
	n.spread(now, false)
}

// Leads says whether this node may decide now.
func (n *Node) Leads(now time.Duration) bool {
	return n.role == Leader && n.commit >= n.noop && !n.Stalled(now) && n.majorityHeard(now) > now-limit.CoreGrant
}

func (n *Node) majorityHeard(now time.Duration) time.Duration {
	var at []time.Duration
	for _, m := range n.members {
		if m == n.self {
			at = append(at, now)
		} else if p := n.partners[m.Name]; p != nil && p.m == m {
			at = append(at, p.acked)
		} else {
			at = append(at, -1<<62)
		}
	}
	if len(at) == 0 {
		return -1 << 62
	}
	slices.Sort(at)
	return at[(len(at)-1)/2]
}

func (n *Node) advance(now time.Duration) {
	if n.role == Leader {
		var ix []uint64
		for _, m := range n.members {
			if m == n.self {
				ix = append(ix, n.stable)
			} else if p := n.partners[m.Name]; p != nil && p.m == m {
				ix = append(ix, p.match)
			} else {
				ix = append(ix, 0)
			}
		}
		if len(ix) > 0 {
			slices.Sort(ix)
			c := ix[(len(ix)-1)/2]
			if t, ok := n.termAt(c); ok && t == n.term && c > n.commit {
				n.commit = c
				n.spread(now, false)
			}
		}
	}
	for n.applied < n.commit && n.applied < n.last() {
		n.applied++
		n.out.Apply = append(n.out.Apply, n.log[n.applied-n.snap.Index-1])
	}
	if n.role == Leader && n.commit >= n.noop && n.Settled() && !n.voter(n.self.Name, n.self.Disk) {
		n.become(now, Follower)
		n.leader = ""
	}
}

// Full says that a snapshot is due.
func (n *Node) Full() bool {
	return n.applied > n.snap.Index && (len(n.log) > limit.LogMax || n.bytes(n.snap.Index, n.applied) > limit.LogBytes)
}

func (n *Node) bytes(after, upTo uint64) (b int) {
	for _, e := range n.log {
		if e.Index > after && e.Index <= upTo {
			b += len(e.Data)
		}
	}
	return b
}

// Open is how much has been proposed and is not agreed yet.
func (n *Node) Open() int { return n.bytes(n.commit, n.last()) }

// Compact replaces the applied log by the state that it led to.
func (n *Node) Compact(now time.Duration, data []byte) {
	t, ok := n.termAt(n.applied)
	if !ok || n.applied == n.snap.Index {
		return
	}
	ms := n.snap.Members
	for _, e := range n.log {
		if e.Index <= n.applied && e.Kind == EMembers {
			var l []wire.Member
			if json.Unmarshal(e.Data, &l) == nil {
				ms = l
			}
		}
	}
	s := wire.Snap{Index: n.applied, Term: t, Members: ms, Data: data}
	n.log = slices.Clone(n.log[n.applied-n.snap.Index:])
	n.snap = s
	n.sync(now, &wire.Batch{Snap: &s})
}

func (n *Node) spread(now time.Duration, beat bool) {
	if n.role != Leader {
		return
	}
	for _, p := range n.sorted() {
		if beat || p.next <= n.last() || p.match < n.commit {
			n.sendAppend(now, p)
		}
	}
}

func (n *Node) sorted() []*partner {
	var ps []*partner
	for _, p := range n.partners {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b *partner) int {
		if a.m.Name < b.m.Name {
			return -1
		}
		return 1
	})
	return ps
}

func (n *Node) sendAppend(now time.Duration, p *partner) {
	a := &wire.Append{Commit: n.commit}
	if p.next <= n.snap.Index {
		a.PrevIndex, a.PrevTerm = n.snap.Index, n.snap.Term
		if now-p.snapAt > 5*limit.CoreBeat || p.snapAt == 0 {
			p.snapAt = now
			s := n.snap
			a.Snap = &s
			p.next = n.snap.Index + 1
		}
	} else {
		a.PrevIndex = p.next - 1
		a.PrevTerm, _ = n.termAt(a.PrevIndex)
		size := 0
		for i := p.next; i <= n.last() && size < limit.AppendMax; i++ {
			e := n.log[i-n.snap.Index-1]
			size += len(e.Data) + 64
			a.Entries = append(a.Entries, e)
		}
		p.next += uint64(len(a.Entries))
	}
	n.send(&wire.Msg{Kind: uint16(wire.KAppend), To: p.m.Name, Stamp: int64(now), Append: a}, false)
}

// Tick moves time on.
func (n *Node) Tick(now time.Duration) {
	switch n.role {
	case Leader:
		if n.Stalled(now) || now-max(n.majorityHeard(now), n.since) > limit.ElectMin {
			n.become(now, Follower)
			n.leader = ""
			return
		}
		if now-n.beatAt >= limit.CoreBeat {
			n.beatAt = now
			n.spread(now, true)
		}
	default:
		if n.Stalled(now) || !n.voter(n.self.Name, n.self.Disk) {
			return
		}
		if n.role == Candidate && n.all && 2*len(n.votes) > len(n.members) && now-n.votedAt >= limit.ElectMin {
			n.become(now, Leader) // whatever its voters had promised before is over now
			n.spread(now, true)
			return
		}
		if now >= n.deadline && now-n.heard >= limit.ElectMin {
			n.leader = ""
			n.stand(now, true, false, false)
		} else if n.hearsNone(now) && now-n.askedAt >= limit.ElectAsk && (n.role == Follower || n.all && n.role == Asking) {
			at := n.deadline
			n.stand(now, true, false, true)
			n.deadline = at
		}
	}
}

// hearsNone says that this node leads nobody and that no leader has spoken to it lately.
func (n *Node) hearsNone(now time.Duration) bool {
	return n.role != Leader && now-n.met >= limit.LeaderQuiet
}

// stand asks for votes; all says that every member is asked whether it may be at once.
func (n *Node) stand(now time.Duration, pre, transfer, all bool) {
	n.askedAt = now
	if pre {
		n.become(now, Asking)
	} else {
		n.term++
		n.vote = n.self.Name
		n.become(now, Candidate)
		n.hard(now)
	}
	t := n.term
	if pre {
		t++
	}
	n.all = all
	lt, _ := n.termAt(n.last())
	ask := n.members
	if all {
		ask = n.everyone
	}
	for _, m := range ask {
		if m == n.self || m.Disk == 0 {
			continue
		}
		v := &wire.Msg{Kind: uint16(wire.KVote), To: m.Name, Vote: &wire.Vote{Pre: pre, LastIndex: n.last(), LastTerm: lt, Transfer: transfer, All: all}}
		n.send(v, !pre)
		v.Term = t
	}
	n.alone[n.self.Name] = true
	n.count(now, n.self.Name, true)
}

// count takes a vote, or only leave to stand at once, and acts on what there is.
func (n *Node) count(now time.Duration, name string, vote bool) {
	if vote && !n.votes[name] {
		n.votes[name], n.votedAt = true, now
	}
	if 2*len(n.votes) <= len(n.members) || n.all && (n.outdone || !n.leave()) {
		return
	}
	switch n.role {
	case Asking:
		n.stand(now, false, false, n.all)
	case Candidate:
		n.become(now, Leader)
		n.spread(now, true)
	}
}

// leave says that every member has given leave to stand at once.
func (n *Node) leave() bool {
	return !slices.ContainsFunc(n.everyone, func(m wire.Member) bool { return !n.alone[m.Name] })
}

// Yield gives leadership up and asks the best partner to stand at once.
func (n *Node) Yield(now time.Duration) bool {
	var best *partner
	for _, p := range n.sorted() {
		if p.voter && now-p.acked < limit.CoreGrant && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if n.role != Leader || best == nil {
		return false
	}
	n.become(now, Follower)
	n.leader = ""
	n.deadline = now + 4*limit.ElectMin
	n.met = n.deadline
	n.send(&wire.Msg{Kind: uint16(wire.KVote), To: best.m.Name, Vote: &wire.Vote{Transfer: true, Reply: true}}, false)
	return true
}

func (n *Node) follow(now time.Duration, term uint64) {
	if term > n.term {
		n.term, n.vote, n.leader = term, "", ""
		n.hard(now)
	}
	if n.role != Follower {
		n.become(now, Follower)
	}
}

// Recv takes a message of kind KVote or KAppend of this node's epoch.
func (n *Node) Recv(now time.Duration, m *wire.Msg) {
	if m.Epoch != n.epoch {
		return
	}
	switch {
	case m.Vote != nil && m.Vote.Transfer && m.Vote.Reply:
		if m.Term == n.term && n.role == Follower && n.voter(n.self.Name, n.self.Disk) {
			n.stand(now, false, true, false)
		}
	case m.Vote != nil && m.Vote.Reply:
		n.voteReply(now, m)
	case m.Vote != nil:
		n.voteAsk(now, m)
	case m.Append != nil && m.Append.Reply:
		n.appendReply(now, m)
	case m.Append != nil:
		n.appendAsk(now, m)
	}
}

func (n *Node) voteAsk(now time.Duration, m *wire.Msg) {
	v := m.Vote
	for _, k := range n.members {
		if k.Name == m.From && k.Disk != m.Disk {
			return
		}
	}
	lt, _ := n.termAt(n.last())
	upToDate := v.LastTerm > lt || v.LastTerm == lt && v.LastIndex >= n.last()
	quiet := v.Transfer || now-n.heard >= limit.ElectMin && n.role != Leader || v.All && n.hearsNone(now)
	r := &wire.Msg{Kind: uint16(wire.KVote), To: m.From, Vote: &wire.Vote{Pre: v.Pre, Reply: true, All: v.All, LastIndex: n.last(), LastTerm: lt}}
	if v.Pre {
		r.Vote.Alone = v.All && n.hearsNone(now) && len(n.open) == 0
		r.Vote.Granted = quiet && upToDate && m.Term > n.term
		n.send(r, false)
		if r.Vote.Granted {
			r.Term = m.Term
		} // else the asker learns this node's term, or it might never ask for a later one
		return
	}
	if !quiet || m.Term < n.term {
		n.send(r, false)
		return
	}
	if m.Term > n.term {
		n.follow(now, m.Term)
	}
	if upToDate && (n.vote == "" || n.vote == m.From) && n.role == Follower {
		if n.vote == "" {
			n.vote = m.From
			n.hard(now)
		}
		r.Vote.Granted = true
		n.deadline = now + limit.ElectMin + limit.ElectSpread
	}
	r.Vote.Alone = n.role == Follower // in a later term than any in which it led
	n.send(r, true)
}

func (n *Node) voteReply(now time.Duration, m *wire.Msg) {
	from, v := wire.Member{Name: m.From, Disk: m.Disk}, m.Vote
	if !slices.Contains(n.everyone, from) || v.All != n.all && (n.role == Asking || n.role == Candidate) {
		return
	}
	vote := v.Granted && n.voter(m.From, m.Disk)
	switch {
	case n.role == Asking && v.Pre && (v.Granted && m.Term == n.term+1 || v.Alone && m.Term <= n.term):
		lt, _ := n.termAt(n.last())
		n.outdone = n.outdone || v.All && cmp.Or(cmp.Compare(v.LastTerm, lt), cmp.Compare(v.LastIndex, n.last()), cmp.Compare(n.self.Name, m.From)) > 0
		n.alone[m.From] = n.alone[m.From] || v.Alone
		n.count(now, m.From, vote)
	case !v.Granted && m.Term > n.term:
		n.follow(now, m.Term)
	case n.role == Candidate && !v.Pre && m.Term == n.term:
		n.alone[m.From] = n.alone[m.From] || v.Alone
		n.count(now, m.From, vote)
	}
}

func (n *Node) appendAsk(now time.Duration, m *wire.Msg) {
	a := m.Append
	r := &wire.Msg{Kind: uint16(wire.KAppend), To: m.From, Stamp: m.Stamp, Append: &wire.Append{Reply: true, Match: n.last()}}
	n.met = now
	if m.Term < n.term {
		n.send(r, false)
		return
	}
	n.follow(now, m.Term)
	n.leader = m.From
	n.heard = now
	n.deadline = now + limit.ElectMin + n.deadline%limit.ElectSpread
	if a.Snap != nil && a.Snap.Index > n.commit {
		n.snap = *a.Snap
		n.log = nil
		n.commit, n.applied = a.Snap.Index, a.Snap.Index
		n.stable = 0
		for i := range n.open {
			n.open[i].last = 0
		}
		n.readMembers()
		s := n.snap
		n.sync(now, &wire.Batch{Snap: &s, Cut: 1})
		n.out.Restore = &s
		n.out.Apply = nil
	}
	t, ok := n.termAt(a.PrevIndex)
	if a.PrevIndex < n.snap.Index {
		// All before the snapshot is agreed: answer for what it covers.
		r.Append.Ok, r.Append.Match = true, n.snap.Index
		n.send(r, true)
		return
	}
	if !ok || t != a.PrevTerm {
		if ok {
			r.Append.Match = min(a.PrevIndex-1, n.last())
		}
		n.send(r, false)
		return
	}
	var fresh []wire.Entry
	var cut uint64
	for i, e := range a.Entries {
		if t, ok := n.termAt(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.commit {
			panic(errors.AssertionFailedf("%s: agreed entry %d would be overwritten", n.self.Name, e.Index))
		}
		fresh = a.Entries[i:]
		if e.Index <= n.last() {
			cut = e.Index
			n.log = slices.Clone(n.log[:e.Index-n.snap.Index-1])
			n.stable = min(n.stable, e.Index-1)
			for i := range n.open {
				n.open[i].last = min(n.open[i].last, e.Index-1)
			}
		}
		break
	}
	if len(fresh) > 0 {
		n.log = append(n.log, fresh...)
		n.readMembers()
		n.sync(now, &wire.Batch{Cut: cut, Entries: fresh})
	}
	match := a.PrevIndex + uint64(len(a.Entries))
	r.Append.Ok, r.Append.Match = true, match
	n.send(r, match > n.stable || len(n.open) > 0 && n.open[0].seq <= n.hardSeq)
	if c := min(a.Commit, match); c > n.commit {
		n.commit = c
		n.advance(now)
	}
}

func (n *Node) appendReply(now time.Duration, m *wire.Msg) {
	if m.Term > n.term {
		n.follow(now, m.Term)
		return
	}
	p := n.partners[m.From]
	if n.role != Leader || m.Term != n.term || p == nil || p.m.Disk != m.Disk {
		return
	}
	p.acked = max(p.acked, time.Duration(m.Stamp))
	if !m.Append.Ok {
		p.next = max(p.match+1, min(p.next, m.Append.Match+1))
		if p.next > n.snap.Index || now-p.snapAt > 5*limit.CoreBeat {
			n.sendAppend(now, p)
		}
		return
	}
	p.match = max(p.match, min(m.Append.Match, n.last()))
	p.next = max(p.next, p.match+1)
	n.advance(now)
	if p.next <= n.last() {
		n.sendAppend(now, p)
	}
}

// Keep syncs a batch that changes nothing for the node itself, and numbers it.
func (n *Node) Keep(now time.Duration, b *wire.Batch) (seq uint64) {
	n.sync(now, b)
	return n.seq
}
