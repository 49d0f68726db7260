package consensus

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func newTestNode(name string) (*Node, PersistentState) {
	ms := []wire.Member{{Name: "a", Disk: 1}, {Name: "b", Disk: 2}, {Name: "c", Disk: 3}}
	im := PersistentState{Epoch: 1, Disk: uint64(name[0]-'a') + 1, Snapshot: wire.Snapshot{Index: 1, Members: ms}}
	return New(0, name, im), im
}

func voteRequest(term, disk uint64, from string, transfer bool) *wire.Message {
	return &wire.Message{Kind: wire.KindVote, From: from, Disk: disk, Epoch: 1, Term: term, Vote: &wire.Vote{LastIndex: 1, Transfer: transfer}}
}

func grantedVotes(o Ready) int {
	n := 0
	for _, m := range o.Messages {
		if m.Vote != nil && m.Vote.Granted {
			n++
		}
	}
	return n
}

// A vote leaves only once it is on disk, is given once a term, is remembered over
// a restart, and not given to a disk that is no member.
func TestVote(t *testing.T) {
	late := tuning.ElectionTimeoutMin + time.Second
	n, im := newTestNode("a")
	n.Step(late, voteRequest(5, 2, "b", false))
	o := n.Ready()
	if grantedVotes(o) != 0 || len(o.Batches) == 0 {
		t.Fatal("a vote left before it was on disk")
	}
	for _, b := range o.Batches {
		im.ApplyBatch(b)
	}
	n.Advance(late, o.Batches[len(o.Batches)-1].Seq)
	if grantedVotes(n.Ready()) != 1 {
		t.Fatal("no vote")
	}
	n = New(0, "a", im)
	n.Step(late, voteRequest(5, 3, "c", false))
	o = n.Ready()
	for _, b := range o.Batches {
		n.Advance(late, b.Seq)
	}
	if grantedVotes(o)+grantedVotes(n.Ready()) != 0 {
		t.Fatal("two votes in a term")
	}
	n.Step(late, voteRequest(6, 9, "c", false))
	if o := n.Ready(); len(o.Messages) > 0 || n.Term() == 6 {
		t.Fatal("a disk that is no member was heard")
	}
}

// A member that may have promised a leader to wait does so after a restart too,
// unless that leader itself hands over.
func TestPatience(t *testing.T) {
	n, _ := newTestNode("a")
	n.Step(tuning.ElectionTimeoutMin/2, voteRequest(5, 2, "b", false))
	if n.Ready(); n.Term() != 0 {
		t.Fatal("voted while a leader may still decide")
	}
	n.Step(tuning.ElectionTimeoutMin/2, voteRequest(5, 2, "b", true))
	if n.Ready(); n.Term() != 5 {
		t.Fatal("a handover was refused")
	}
	if tuning.ElectionTimeoutMin < tuning.LeaderLease*105/100 || tuning.SyncStall >= tuning.ElectionTimeoutMin {
		t.Fatal("a leader may decide while another is elected")
	}
}

// A log that differs is overwritten from where it differs, and what was agreed never.
func TestOverwrite(t *testing.T) {
	n, _ := newTestNode("a")
	app := func(term, prev, prevTerm, commit uint64, es ...wire.Entry) *wire.Append {
		n.Step(1, &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: term,
			Append: &wire.Append{PrevIndex: prev, PrevTerm: prevTerm, Commit: commit, Entries: es}})
		o := n.Ready()
		for _, b := range o.Batches {
			n.Advance(1, b.Seq)
		}
		o.Messages = append(o.Messages, n.Ready().Messages...)
		return o.Messages[len(o.Messages)-1].Append
	}
	e := func(i, t uint64) wire.Entry { return wire.Entry{Index: i, Term: t} }
	if r := app(1, 1, 0, 2, e(2, 1), e(3, 1), e(4, 1)); !r.Success || r.MatchIndex != 4 || n.Commit() != 2 {
		t.Fatalf("%+v", r)
	}
	if r := app(2, 3, 2, 2); r.Success || r.MatchIndex != 2 {
		t.Fatalf("%+v", r)
	}
	if r := app(2, 2, 1, 3, e(3, 2)); !r.Success || n.LastIndex() != 3 || n.Commit() != 3 {
		t.Fatalf("%+v last %d", r, n.LastIndex())
	}
	n.Step(1, &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: 3,
		Append: &wire.Append{PrevIndex: 2, PrevTerm: 1, Commit: 3, Entries: []wire.Entry{e(3, 3)}}})
	o := n.Ready()
	if len(o.Rejected) != 1 || !errors.Is(o.Rejected[0].Err, ErrCommitConflict) || len(o.Messages)+len(o.Batches) > 0 {
		t.Fatalf("an agreed entry would be overwritten and it says %+v", o)
	}
	if at, _ := n.termAt(3); at != 2 || n.Term() != 2 || n.Commit() != 3 {
		t.Fatalf("entry 3 is of term %d, term %d, commit %d", at, n.Term(), n.Commit())
	}
}

// One of two members left has the longer log, the other the higher term, from standing
// once without success: neither may block the other for good.
func TestTermIsLearnt(t *testing.T) {
	ms := []wire.Member{{Name: "a", Disk: 1}, {Name: "b", Disk: 2}, {Name: "c", Disk: 3}}
	snap := wire.Snapshot{Index: 1, Term: 5, Members: ms}
	nodes := map[string]*Node{
		"a": New(0, "a", PersistentState{Epoch: 1, Disk: 1, Term: 5, Snapshot: snap, Log: []wire.Entry{{Index: 2, Term: 5}}}),
		"b": New(0, "b", PersistentState{Epoch: 1, Disk: 2, Term: 6, Vote: "b", Snapshot: snap})}
	for now := time.Duration(0); now < 10*time.Second; now += tuning.TickEvery {
		for _, name := range []string{"a", "b"} {
			n := nodes[name]
			n.Tick(now)
			for {
				o := n.Ready()
				if len(o.Batches)+len(o.Messages) == 0 {
					break
				}
				for _, m := range o.Messages {
					if to := nodes[m.To]; to != nil {
						to.Step(now, m)
					}
				}
				if k := len(o.Batches); k > 0 {
					n.Advance(now, o.Batches[k-1].Seq)
				}
			}
		}
		if nodes["a"].HasLease(now) {
			return
		}
	}
	t.Fatalf("no leader: a is %v in term %d, b %v in term %d", nodes["a"].Role(), nodes["a"].Term(), nodes["b"].Role(), nodes["b"].Term())
}

// simpleCluster plays three members: messages take a hop unless their way is cut, and syncs are done at once.
type simpleCluster struct {
	now         time.Duration
	nodes       map[string]*Node
	states      map[string]*PersistentState
	partitioned map[string]bool // "ab": nothing goes from a to b
	inFlight    []messageInFlight
}

type messageInFlight struct {
	deliverAt time.Duration
	receiver  *Node // a restart loses what was under way to it
	message   *wire.Message
}

func newSimpleCluster() *simpleCluster {
	w := &simpleCluster{nodes: map[string]*Node{}, states: map[string]*PersistentState{}, partitioned: map[string]bool{}}
	for _, n := range []string{"a", "b", "c"} {
		_, im := newTestNode(n)
		w.states[n] = &im
		w.restart(n)
	}
	return w
}

func (w *simpleCluster) restart(name string) {
	im := *w.states[name]
	w.nodes[name] = New(w.now, name, im)
}

func (w *simpleCluster) run(t *testing.T, d time.Duration, done func() bool) bool {
	for end := w.now + d; w.now < end; w.now += time.Millisecond {
		for i := 0; i < len(w.inFlight); i++ {
			if f := w.inFlight[i]; f.deliverAt <= w.now && w.nodes[f.message.To] == f.receiver {
				f.receiver.Step(w.now, f.message)
			}
		}
		w.inFlight = slices.DeleteFunc(w.inFlight, func(f messageInFlight) bool { return f.deliverAt <= w.now })
		leads := 0
		for _, name := range []string{"a", "b", "c"} {
			n := w.nodes[name]
			n.Tick(w.now)
			for o := n.Ready(); len(o.Batches)+len(o.Messages) > 0; o = n.Ready() {
				for _, m := range o.Messages {
					if to := w.nodes[m.To]; !w.partitioned[name+m.To] {
						w.inFlight = append(w.inFlight, messageInFlight{w.now + 2*time.Millisecond, to, m})
					}
				}
				for _, b := range o.Batches {
					w.states[name].ApplyBatch(b)
					n.Advance(w.now, b.Seq)
				}
			}
			if n.HasLease(w.now) {
				leads++
			}
		}
		if leads > 1 {
			t.Fatalf("%d members decide at %v", leads, w.now)
		}
		if done() {
			return true
		}
	}
	return false
}

func (w *simpleCluster) leader() string {
	for _, n := range []string{"a", "b", "c"} {
		if w.nodes[n].HasLease(w.now) {
			return n
		}
	}
	return ""
}

// After a start of all members nobody can still decide, so none waits.
func TestAllStarted(t *testing.T) {
	w := newSimpleCluster()
	if !w.run(t, tuning.ElectionTimeoutMin/2, func() bool { return w.leader() != "" }) {
		t.Fatal("no leader soon after the first start")
	}
	w.run(t, time.Second, func() bool { return false })
	for _, n := range []string{"a", "b", "c"} {
		w.restart(n)
	}
	if !w.run(t, tuning.ElectionTimeoutMin/2, func() bool { return w.leader() != "" }) {
		t.Fatal("no leader soon after all were started again")
	}
}

// A majority that has started again is not everybody: the leader that it answered before
// may still decide, and they wait until that is over, also if the way to it is cut, and
// whoever starts again in between.
func TestLeaveOfAll(t *testing.T) {
	for step := range 60 {
		w := newSimpleCluster()
		w.run(t, 2*time.Second, func() bool { return false })
		l := w.leader()
		var rest []string
		for _, n := range []string{"a", "b", "c"} {
			if n != l {
				rest = append(rest, n)
			}
		}
		quiet := step%2 == 0 // else the leader hears nothing, but is heard
		for _, n := range rest {
			w.partitioned[n+l], w.partitioned[l+n] = true, quiet
		}
		w.run(t, time.Duration(step)*7*time.Millisecond, func() bool { return false })
		for _, n := range rest {
			w.restart(n)
		}
		w.run(t, time.Duration(step%7)*20*time.Millisecond, func() bool { return false })
		w.restart(rest[step%2])
		if !w.run(t, 8*time.Second, func() bool { n := w.leader(); return n != "" && n != l }) && quiet {
			t.Fatal("the others never went on")
		}
	}
}

// Who was taken out last may be the leader that did it, and is asked too.
func TestEveryone(t *testing.T) {
	ms := []wire.Member{{Name: "a", Disk: 1}, {Name: "b", Disk: 2}, {Name: "c", Disk: 3}}
	left, _ := json.Marshal(ms[:2])
	now := tuning.ElectionTimeoutMin / 4
	n := New(0, "a", PersistentState{Epoch: 1, Disk: 1, Term: 3, Snapshot: wire.Snapshot{Index: 1, Members: ms}, Log: []wire.Entry{{Index: 2, Term: 3, Kind: EntryMembers, Data: left}}})
	leave := func(from string, disk uint64, pre bool, term uint64) {
		n.Step(now, &wire.Message{Kind: wire.KindVote, From: from, Disk: disk, Epoch: 1, Term: term,
			Vote: &wire.Vote{PreVote: pre, Reply: true, Unanimous: true, Granted: true, NoLeader: true, LastIndex: 1}})
		for o := n.Ready(); len(o.Batches)+len(o.Messages) > 0; o = n.Ready() {
			for _, b := range o.Batches {
				n.Advance(now, b.Seq)
			}
		}
	}
	n.Tick(now)
	if leave("b", 2, true, 4); n.Role() != PreCandidate {
		t.Fatalf("it is a %v without the leave of who was taken out last", n.Role())
	}
	if leave("c", 3, true, 4); n.Role() != Candidate {
		t.Fatalf("it is a %v with everybody's leave", n.Role())
	}
	if leave("b", 2, false, 4); n.Role() != Candidate {
		t.Fatalf("it is a %v though one has not taken its term", n.Role())
	}
	if leave("c", 3, false, 4); n.Role() != Leader {
		t.Fatalf("it is a %v though everybody has taken its term", n.Role())
	}
}

// isolate cuts a member from the others, or joins it again.
func (w *simpleCluster) isolate(name string, cut bool) {
	for _, n := range []string{"a", "b", "c"} {
		w.partitioned[name+n], w.partitioned[n+name] = cut, cut
	}
}

// A leader knows from its log whether another has decided since a term in which it led: not if it
// was only without a majority for a while, and for certain if another was elected meanwhile.
func TestNobodyLedSince(t *testing.T) {
	leads := func(w *simpleCluster, name string) func() bool { return func() bool { return w.leader() == name } }
	for _, another := range []bool{false, true} {
		w := newSimpleCluster()
		if !w.run(t, 5*time.Second, func() bool { return w.leader() != "" }) {
			t.Fatal("nobody leads")
		}
		first := w.leader()
		n, term := w.nodes[first], w.nodes[first].Term()
		if !n.NoOtherLeaderSince(term) {
			t.Error("in its own term nobody else has led")
		}
		w.isolate(first, true)
		if another && !w.run(t, 5*time.Second, func() bool { return w.leader() != "" && w.leader() != first }) {
			t.Fatal("no other member was elected")
		}
		if !another {
			// Nobody reaches anybody until the leader has given up, and then only it may stand.
			for _, name := range []string{"a", "b", "c"} {
				w.isolate(name, true)
			}
			w.run(t, tuning.ElectionTimeoutMin+tuning.HeartbeatEvery, func() bool { return n.Role() != Leader })
		}
		for _, name := range []string{"a", "b", "c"} {
			w.isolate(name, false)
		}
		// What the others ask for is lost until the first leads again.
		w.run(t, 300*time.Millisecond, func() bool { return false })
		for i := 0; i < 20 && w.leader() != first; i++ {
			if l := w.leader(); l != "" {
				w.nodes[l].TransferLeadership(w.now)
			}
			w.run(t, 2*time.Second, leads(w, first))
		}
		if w.leader() != first {
			t.Fatalf("another %v: %s does not lead again", another, first)
		}
		led := false
		for _, e := range n.log {
			led = led || e.Term > term && e.Term < n.Term()
		}
		if got := n.NoOtherLeaderSince(term); got == led || another && got {
			t.Errorf("another %v: says that nobody led since term %d is %v, entries of another's term in the log %v", another, term, got, led)
		}
	}
}
