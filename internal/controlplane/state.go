// This file is the durable state that the members agree on, and the one function
// that changes it by an agreed log entry.

package controlplane

import (
	"cmp"
	"encoding/json"
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// RosterEntry is a proxy's place in the durable roster.
type RosterEntry struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
}

// Record is one change as it was agreed.
type Record struct {
	Id       string          `json:"id"`
	What     string          `json:"what"`
	Outcome  string          `json:"outcome"` // one of the outcomes below
	Base     uint64          `json:"base,omitempty"`
	Revision uint64          `json:"revision"`
	Seq      uint64          `json:"seq"`
	Doc      json.RawMessage `json:"doc,omitempty"`
	Sum      *orderDigest    `json:"sum,omitempty"` // of a configuration's change as it was asked for
}

// Outcomes of a change.
const (
	outcomeAccepted = "accepted"
	outcomeStale    = "stale"   // built on another revision than the present one
	outcomeUnknown  = "unknown" // built on a revision so old that it may have been accepted long ago
)

// State is what the members agree on.
type State struct {
	Adopted        bool              `json:"adopted"`
	Seq            uint64            `json:"seq"`
	Revision       uint64            `json:"revision"`
	Doc            json.RawMessage   `json:"doc"`
	Records        []Record          `json:"records,omitempty"`
	Orders         orderMemory       `json:"orders,omitzero"`
	Roster         []RosterEntry     `json:"roster,omitempty"`
	PreviousRoster []string          `json:"was,omitempty"`       // the roster before, while this one is not in force everywhere
	RosterAt       uint64            `json:"roster_at,omitempty"` // entry of the roster's last change
	Emptied        []string          `json:"emptied,omitempty"`
	Out            map[string]uint64 `json:"out,omitempty"`     // members taken out by an operator
	Members        []wire.Member     `json:"members,omitempty"` // in proxies' copies only: who a core could be rebuilt with
	Registrations  []Registration    `json:"places,omitempty"`  // the targets there were, by identity; proxies have them in their tables
	Tombstones     []Tombstone       `json:"marks,omitempty"`
}

// order is a log entry's text.
type command struct {
	Op    string          `json:"op"`
	Token string          `json:"token,omitempty"`
	Base  uint64          `json:"base,omitempty"`
	Doc   json.RawMessage `json:"doc,omitempty"`
	What  string          `json:"what,omitempty"`
	Name  string          `json:"name,omitempty"`
	Gates []RosterEntry   `json:"gates,omitempty"`
	Gone  []string        `json:"gone,omitempty"`
	State json.RawMessage `json:"state,omitempty"`
	Rev   uint64          `json:"rev,omitempty"` // the operator's own number for a configuration
	Sum   *orderDigest    `json:"sum,omitempty"`
	Reg   *registry       `json:"reg,omitempty"`
}

func newState() State { return State{Doc: json.RawMessage(`{}`), Out: map[string]uint64{}} }

// slim is the state as proxies keep it, without the texts of past changes and
// without the document, which travels beside it, and with the members of the time.
func (s *State) forProxies(ms []wire.Member) []byte {
	t := *s
	t.Doc, t.Members, t.Registrations, t.Tombstones = nil, ms, nil, nil
	t.Orders = s.Orders.latest(tuning.OrdersInTables)
	t.Records = slices.Clone(s.Records)
	for i := range t.Records {
		t.Records[i].Doc = nil
	}
	b, _ := json.Marshal(t)
	return b
}

func (s *State) addRecord(r Record) {
	s.Records = append(s.Records, r)
	// Configurations and all else are kept apart: orders that are repeated push no text out.
	same, first := 0, -1
	for i, o := range s.Records {
		if (o.Sum == nil) == (r.Sum == nil) {
			if same++; first < 0 {
				first = i
			}
		}
	}
	if same > tuning.ChangesKept {
		s.Records = slices.Delete(slices.Clone(s.Records), first, first+1)
	}
	left := tuning.HistoryBytes
	for i := len(s.Records) - 1; i >= 0; i-- {
		if left -= len(s.Records[i].Doc); left < 0 {
			s.Records = slices.Clone(s.Records)
			s.Records[i].Doc = nil
		}
	}
}

func (s *State) findByID(token string) *Record {
	for i := range s.Records {
		if s.Records[i].Id == token && token != "" {
			return &s.Records[i]
		}
	}
	return nil
}

// Apply is the one place where agreed entries change the state.
func (s *State) Apply(index uint64, o command) {
	if o.Op == "targets" { // no table goes by these, so its sequence stays
		s.register(o.Reg)
		return
	}
	s.Seq = index
	if s.findByID(o.Token) != nil {
		return
	}
	if _, taken := s.tokenTaken(o.Token); taken {
		return
	}
	r := Record{Id: o.Token, What: cmp.Or(o.What, o.Op+" "+o.Name), Outcome: outcomeAccepted, Base: o.Base, Seq: index}
	switch o.Op {
	case "config":
		if o.Base != s.Revision || o.Rev != 0 && o.Rev <= s.Revision {
			r.Outcome, r.Revision = s.outcomeOffBase(o)
			s.addRecord(r)
			return
		}
		s.Revision = cmp.Or(o.Rev, s.Revision+1)
		s.Doc = o.Doc
		r.Doc, r.Sum = o.Doc, o.Sum
		if o.Sum != nil {
			s.Orders.addConfiguration(*o.Sum, s.Revision)
		}
	case "empty":
		if !slices.Contains(s.Emptied, o.Name) {
			s.Emptied = append(slices.Clone(s.Emptied), o.Name)
			slices.Sort(s.Emptied)
		}
	case "restore":
		s.Emptied = slices.DeleteFunc(slices.Clone(s.Emptied), func(d string) bool { return d == o.Name })
	case "roster":
		s.enroll(index, o.Gates, o.Gone)
		return
	case "enrolled":
		if o.Base == s.RosterAt {
			s.PreviousRoster = nil
		}
		return
	case "forget":
		s.enroll(index, nil, []string{o.Name})
	case "out":
		s.Out[o.Name] = index
	case "in":
		delete(s.Out, o.Name)
	case "adopt":
		if s.Adopted {
			return
		}
		t, err := decodeState(o.State)
		if err != nil {
			return // not adopted: the leader goes on to what else is remembered
		}
		*s = t
		s.Members = nil
		if len(s.Doc) == 0 {
			s.Doc = json.RawMessage(`{}`)
		}
		if s.Out == nil {
			s.Out = map[string]uint64{}
		}
		s.Adopted, s.Seq = true, index
		return
	}
	if o.Token == "" {
		return
	}
	r.Revision = s.Revision
	s.addRecord(r)
	if o.Op != "config" {
		s.Orders.addToken(o.Token, s.Revision)
	}
}

// outcomeOffBase is what becomes of a change of the configuration that is not built on
// the present revision, or numbered below it.
func (s *State) outcomeOffBase(o command) (outcome string, revision uint64) {
	if o.Sum == nil {
		return outcomeStale, s.Revision
	}
	verdict, revision := s.judgeOrder(*o.Sum, o.Base)
	switch verdict {
	case orderTaken: // asked twice before it was agreed
		return outcomeAccepted, revision
	case orderForgotten:
		return outcomeUnknown, s.Revision
	}
	return outcomeStale, s.Revision
}

// enroll changes the roster. The one before counts with it until the new one is in
// force everywhere; while that is so, further changes keep the first.
func (s *State) enroll(index uint64, add []RosterEntry, gone []string) {
	l := slices.DeleteFunc(slices.Clone(s.Roster), func(g RosterEntry) bool {
		return slices.Contains(gone, g.Name) || slices.ContainsFunc(add, func(a RosterEntry) bool { return a.Name == g.Name })
	})
	l = append(l, add...)
	slices.SortFunc(l, func(a, b RosterEntry) int { return cmp.Compare(a.Name, b.Name) })
	if len(s.PreviousRoster) == 0 {
		s.PreviousRoster = s.names()
	}
	s.Roster, s.RosterAt = l, index
}

func (s *State) names() (l []string) {
	for _, g := range s.Roster {
		l = append(l, g.Name)
	}
	return l
}

// survived is the state that a disk leads to when nobody can say any more what
// of its log was agreed: all of it, since any of it may have been acknowledged. With
// an error it is what comes before the damage.
func stateFromDisk(im *consensus.Image) (s State, term uint64, err error) {
	if s, err = decodeState(im.Snap.Data); err != nil {
		return s, 0, errors.Wrapf(err, "snapshot %d", im.Snap.Index)
	}
	term = im.Snap.Term
	for _, e := range im.Log {
		if e.Kind == consensus.EntryData {
			o, err := decodeCommand(e.Data)
			if err != nil {
				return s, term, errors.Wrapf(err, "entry %d", e.Index)
			}
			adopted := s.Adopted
			if s.Apply(e.Index, o); o.Op == "adopt" && !adopted && !s.Adopted {
				return s, term, errors.Mark(errors.Newf("entry %d: the epoch's first state does not decode", e.Index), ErrDamaged)
			}
		}
		term = e.Term
	}
	return s, term, nil
}

func (c *Core) propose(now time.Duration, o command) uint64 {
	return c.node.Propose(now, encodeCommand(o))
}

func (c *Core) apply(now time.Duration, e wire.Entry) {
	if c.undecodable != nil {
		return // the state before the damage is no base for what comes after it
	}
	if e.Kind != consensus.EntryData {
		c.state.Seq = e.Index
		return
	}
	o, err := decodeCommand(e.Data)
	if err != nil {
		c.cannotDecode(fmt.Sprintf("entry %d", e.Index), err)
		return
	}
	was, emptied := c.state.Revision, slices.Contains(c.state.Emptied, o.Name)
	c.state.Apply(e.Index, o)
	if o.Op == "targets" {
		return
	}
	if o.Op == "adopt" && !c.state.Adopted {
		c.reportDamage("state offered for this epoch", errors.Newf("entry %d does not decode", e.Index))
		c.proposed, c.recovered, c.unreadableMemory = false, RecoveredState{}, true
		return
	}
	if c.state.Revision != was {
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectRevision, From: fmt.Sprint(was), To: fmt.Sprint(c.state.Revision), Reason: o.What})
	}
	switch o.Op { // whoever leads next goes on with it
	case "in":
		c.requestedMembers[o.Name] = true
	case "out":
		delete(c.requestedMembers, o.Name)
	case "restore":
		if emptied {
			c.restored[o.Name] = now
		}
	}
	if c.lead == Adopting || c.lead == Idle && c.kept.term == 0 {
		return
	}
	c.applyPolicies()
	if c.undecodable != nil {
		return // no table is made of it
	}
	if o.Op == "restore" && emptied {
		for _, t := range c.targets {
			c.markCold(t)
		}
	}
	p := c.pendingChanges[o.Token]
	delete(c.pendingChanges, o.Token)
	rev := c.state.Revision
	r := c.state.findByID(o.Token)
	if r != nil {
		rev = r.Revision
	}
	if r != nil && r.Outcome != outcomeAccepted {
		c.counts.Refused++
		if p != nil {
			c.answerNotAccepted(p, r)
		}
		return
	}
	c.rebuild(now, true)
	c.awaitForce(now, o, p, rev)
}

// awaitForce has who asked for a change that is agreed wait until it is in force, and a change of the
// roster until it is, whoever asked.
func (c *Core) awaitForce(now time.Duration, o command, p *pending, revision uint64) {
	version := c.tableVersion
	if c.lead != Deciding {
		version++ // the first table of a lead that goes on has it
	}
	f := &commitWaiter{version: version, since: now, rosterChange: o.Op == "roster" || o.Op == "forget"}
	if o.Op == "in" || o.Op == "out" {
		f.member, f.joining = o.Name, o.Op == "in"
	}
	if p != nil {
		c.counts.Changes++
		f.p, f.reply = p, accepted(p.token, revision)
	}
	if f.rosterChange || p != nil {
		c.waiters = append(c.waiters, f)
	}
}
