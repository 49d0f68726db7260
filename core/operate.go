// This file is what operators see of the core: the durable state and how the
// agreed log changes it, and the calls that read or change it. A change is
// answered only once it is in force; when that cannot be told any more, the
// answer is 'unknown' with the change's id, which can be asked about.
package core

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"myrtlefold/judge"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/quorum"
	"myrtlefold/wire"
)

// Gate is a proxy's place in the durable roster.
type Gate struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
}

// Record is one change as it was agreed.
type Record struct {
	Id       string          `json:"id"`
	What     string          `json:"what"`
	Outcome  string          `json:"outcome"` // accepted or stale
	Base     uint64          `json:"base,omitempty"`
	Revision uint64          `json:"revision"`
	Seq      uint64          `json:"seq"`
	Doc      json.RawMessage `json:"doc,omitempty"`
	Sum      string          `json:"sum,omitempty"` // of a configuration's change as it was asked for
}

// State is what the members agree on.
type State struct {
	Adopted  bool              `json:"adopted"`
	Seq      uint64            `json:"seq"`
	Revision uint64            `json:"revision"`
	Doc      json.RawMessage   `json:"doc"`
	Records  []Record          `json:"records,omitempty"`
	Roster   []Gate            `json:"roster,omitempty"`
	Was      []string          `json:"was,omitempty"`       // the roster before, while this one is not in force everywhere
	RosterAt uint64            `json:"roster_at,omitempty"` // entry of the roster's last change
	Emptied  []string          `json:"emptied,omitempty"`
	Out      map[string]uint64 `json:"out,omitempty"`     // members taken out by an operator
	Members  []wire.Member     `json:"members,omitempty"` // in proxies' copies only: who a core could be rebuilt with
	Places   []Place           `json:"places,omitempty"`  // the targets there were, by identity; proxies have them in their tables
	Marks    []Mark            `json:"marks,omitempty"`
}

// order is a log entry's text.
type order struct {
	Op    string          `json:"op"`
	Token string          `json:"token,omitempty"`
	Base  uint64          `json:"base,omitempty"`
	Doc   json.RawMessage `json:"doc,omitempty"`
	What  string          `json:"what,omitempty"`
	Name  string          `json:"name,omitempty"`
	Gates []Gate          `json:"gates,omitempty"`
	Gone  []string        `json:"gone,omitempty"`
	State json.RawMessage `json:"state,omitempty"`
	Rev   uint64          `json:"rev,omitempty"` // the operator's own number for a configuration
	Sum   string          `json:"sum,omitempty"`
	Reg   *registry       `json:"reg,omitempty"`
}

func newState() State { return State{Doc: json.RawMessage(`{}`), Out: map[string]uint64{}} }

// slim is the state as proxies keep it, without the texts of past changes and
// without the document, which travels beside it, and with the members of the time.
func (s *State) slim(ms []wire.Member) []byte {
	t := *s
	t.Doc, t.Members, t.Places, t.Marks = nil, ms, nil, nil
	t.Records = slices.Clone(s.Records)
	for i := range t.Records {
		t.Records[i].Doc = nil
	}
	b, _ := json.Marshal(t)
	return b
}

func (s *State) record(r Record) {
	s.Records = append(s.Records, r)
	// Configurations and all else are kept apart: orders that are repeated push no text out.
	same, first := 0, -1
	for i, o := range s.Records {
		if (o.Sum == "") == (r.Sum == "") {
			if same++; first < 0 {
				first = i
			}
		}
	}
	if same > limit.ChangesKept {
		s.Records = slices.Delete(slices.Clone(s.Records), first, first+1)
	}
	left := limit.HistoryBytes
	for i := len(s.Records) - 1; i >= 0; i-- {
		if left -= len(s.Records[i].Doc); left < 0 {
			s.Records = slices.Clone(s.Records)
			s.Records[i].Doc = nil
		}
	}
}

func (s *State) find(token string) *Record {
	for i := range s.Records {
		if s.Records[i].Id == token && token != "" {
			return &s.Records[i]
		}
	}
	return nil
}

// taken is the accepted change that the very same call led to.
func (s *State) taken(sum string) *Record {
	for i := range s.Records {
		if r := &s.Records[i]; sum != "" && r.Sum == sum && r.Outcome == "accepted" {
			return r
		}
	}
	return nil
}

// Apply is the one place where agreed entries change the state.
func (s *State) Apply(index uint64, o order) {
	if o.Op == "targets" { // no table goes by these, so its sequence stays
		s.register(o.Reg)
		return
	}
	s.Seq = index
	if s.find(o.Token) != nil {
		return
	}
	r := Record{Id: o.Token, What: cmp.Or(o.What, o.Op+" "+o.Name), Outcome: "accepted", Base: o.Base, Seq: index}
	switch o.Op {
	case "config":
		if o.Base != s.Revision || o.Rev != 0 && o.Rev <= s.Revision {
			r.Outcome, r.Revision = "stale", s.Revision
			if t := s.taken(o.Sum); t != nil { // asked twice before it was agreed
				r.Outcome, r.Revision = t.Outcome, t.Revision
			}
			s.record(r)
			return
		}
		s.Revision = cmp.Or(o.Rev, s.Revision+1)
		s.Doc = o.Doc
		r.Doc, r.Sum = o.Doc, o.Sum
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
			s.Was = nil
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
		if len(o.State) > 0 {
			var t State
			if err := json.Unmarshal(o.State, &t); err == nil {
				*s = t
				s.Members = nil
			}
		}
		if len(s.Doc) == 0 {
			s.Doc = json.RawMessage(`{}`)
		}
		if s.Out == nil {
			s.Out = map[string]uint64{}
		}
		s.Adopted, s.Seq = true, index
		return
	}
	if o.Token != "" {
		r.Revision = s.Revision
		s.record(r)
	}
}

// enroll changes the roster. The one before counts with it until the new one is in
// force everywhere; while that is so, further changes keep the first.
func (s *State) enroll(index uint64, add []Gate, gone []string) {
	l := slices.DeleteFunc(slices.Clone(s.Roster), func(g Gate) bool {
		return slices.Contains(gone, g.Name) || slices.ContainsFunc(add, func(a Gate) bool { return a.Name == g.Name })
	})
	l = append(l, add...)
	slices.SortFunc(l, func(a, b Gate) int { return cmp.Compare(a.Name, b.Name) })
	if len(s.Was) == 0 {
		s.Was = s.names()
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
// of its log was agreed: all of it, since any of it may have been acknowledged.
func survived(im *quorum.Image) (s State, term uint64) {
	s = newState()
	if len(im.Snap.Data) > 0 {
		if err := json.Unmarshal(im.Snap.Data, &s); err != nil {
			panic(errors.Wrapf(err, "snapshot %d", im.Snap.Index))
		}
	}
	term = im.Snap.Term
	for _, e := range im.Log {
		term = e.Term
		var o order
		if e.Kind == quorum.EData && json.Unmarshal(e.Data, &o) == nil {
			s.Apply(e.Index, o)
		}
	}
	return s, term
}

func (c *Core) propose(now time.Duration, o order) uint64 {
	b, err := json.Marshal(o)
	if err != nil {
		panic(errors.Wrap(err, "order"))
	}
	return c.node.Propose(now, b)
}

func (c *Core) apply(now time.Duration, e wire.Entry) {
	if e.Kind != quorum.EData {
		c.state.Seq = e.Index
		return
	}
	var o order
	if err := json.Unmarshal(e.Data, &o); err != nil {
		panic(errors.Wrapf(err, "entry %d", e.Index))
	}
	was, emptied := c.state.Revision, slices.Contains(c.state.Emptied, o.Name)
	c.state.Apply(e.Index, o)
	if o.Op == "targets" {
		return
	}
	if c.state.Revision != was {
		c.do(Change{"revision", fmt.Sprint(was), fmt.Sprint(c.state.Revision), o.What})
	}
	switch o.Op { // whoever leads next goes on with it
	case "in":
		c.swaps[o.Name] = true
	case "out":
		delete(c.swaps, o.Name)
	case "restore":
		if emptied {
			c.restored[o.Name] = now
		}
	}
	if c.lead == Idle || c.lead == Adopting {
		return
	}
	c.policies()
	if o.Op == "restore" && emptied {
		for _, t := range c.targets {
			c.chill(t)
		}
	}
	p := c.pend[o.Token]
	delete(c.pend, o.Token)
	rev := c.state.Revision
	r := c.state.find(o.Token)
	if r != nil {
		rev = r.Revision
	}
	if r != nil && r.Outcome == "stale" {
		c.counts.Refused++
		if p != nil {
			c.answer(p, c.stale(p.token))
		}
		return
	}
	c.rebuild(now, true)
	f := &force{ver: c.ver, since: now, wide: o.Op == "roster" || o.Op == "forget"}
	if o.Op == "in" || o.Op == "out" {
		f.member, f.joins = o.Name, o.Op == "in"
	}
	if p != nil {
		c.counts.Changes++
		f.p, f.reply = p, done(p.token, rev)
	}
	if f.wide || p != nil {
		c.forces = append(c.forces, f)
	}
}

// ---- answers ----

func body(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

func trouble(status int, t model.Trouble) Reply {
	r := Reply{Status: status, Body: t.JSON()}
	if status == 503 {
		r.Retry = limit.RetryAfterMin
	}
	return r
}

func done(token string, rev uint64) Reply {
	return Reply{Status: 200, Body: body(map[string]any{"id": token, "revision": rev, "in_force": true})}
}

func (c *Core) stale(token string) Reply {
	return trouble(412, model.Trouble{Code: "stale", Revision: c.state.Revision, Id: token,
		Message: fmt.Sprintf("built on another revision than the present %d; nothing was changed", c.state.Revision)})
}

func (c *Core) answer(p *pending, r Reply) {
	if r.Status == 503 && p.passes > 1 && !p.word {
		c.unknown(p) // not 'nothing was changed': an earlier leader had it too
		return
	}
	if p.relay != "" {
		c.send(p.relay, &wire.Msg{Kind: uint16(wire.KAsk), Ask: &wire.Ask{Id: p.rid, Reply: true, Status: uint16(r.Status), RetryMs: uint32(r.Retry.Milliseconds()), Body: r.Body}})
		return
	}
	r.ID = p.ask
	c.do(r)
}

func (c *Core) unknown(p *pending) {
	if p.word {
		c.answer(p, unheard())
		return
	}
	c.answer(p, trouble(504, model.Trouble{Code: "unknown", Ran: "unknown", Id: p.token,
		Message: "it cannot be told whether the change was agreed or is in force everywhere; ask for it by its id"}))
}

func noLeader() Reply {
	return trouble(503, model.Trouble{Code: "no_leader", Message: "no leader that a majority has heard; nothing was changed"})
}

// unheard promises nothing to a target that says it leaves or is gone: it is to tell
// another daemon.
func unheard() Reply {
	return trouble(503, model.Trouble{Code: "unheard", Message: "no leader has made this known to most proxies in time; say it again, to any daemon"})
}

// ---- calls ----

// ask takes a call at this daemon: some it answers itself, the others it
// carries out as leader or passes to the leader.
func (c *Core) ask(now time.Duration, e Ask) {
	p := &pending{token: e.Token, ask: e.ID, at: now}
	word := wire.Target{}
	if strings.HasPrefix(e.Path, "/v1/targets") && e.Method != "GET" {
		w, r := readWord(e)
		if r.Status != 0 {
			c.answer(p, r)
			return
		}
		word, p.word = w, true
	}
	if e.Path == "/v1/core/refound" && e.Method == "POST" {
		c.answer(p, c.refound(now, query(e.Query, "gone")))
		return
	}
	if e.Path == "/v1/status" {
		c.answer(p, Reply{Status: 200, Body: body(c.Status(now))})
		return
	}
	if id := query(e.Query, "id"); id != "" {
		p.token = id
	}
	if c.lead == Deciding {
		c.operate(now, p, &wire.Ask{Method: e.Method, Path: e.Path, Query: e.Query, Body: e.Body})
		return
	}
	l := ""
	if !c.stopping {
		l = c.leader(now)
	}
	if p.word && !leaves(word) && l != "" {
		c.beat(now, word, true)
		c.answer(p, wordHeard(word))
		return
	}
	waits := p.word && c.lead == Warming
	if !waits && (l == "" || l == c.set.Self.Name || c.known[l] == nil) {
		c.answer(p, noLeader())
		return
	}
	c.relaySeq++
	c.relays[c.relaySeq] = p
	p.call = &wire.Ask{Id: c.relaySeq, Token: p.token, Method: e.Method, Path: e.Path, Query: e.Query, Body: e.Body}
	if waits {
		p.to = c.set.Self.Name // made known as soon as this member decides
		c.beat(now, word, false)
		return
	}
	c.pass(now, c.relaySeq, p, l)
}

// pass hands a call to the leader.
func (c *Core) pass(now time.Duration, id uint64, p *pending, leader string) {
	p.to, p.passAt = leader, now
	p.passes++
	c.send(leader, &wire.Msg{Kind: uint16(wire.KAsk), Ask: p.call})
}

// leaves says that a word has to be safe before it is acknowledged.
func leaves(w wire.Target) bool { return w.State == model.Leaving || w.State == model.Gone }

// readWord reads a back end's own call; a reply with a status refuses it. A sign-off by
// name alone has no service.
func readWord(e Ask) (t wire.Target, r Reply) {
	var fs []model.Fault
	rest, named := strings.CutPrefix(e.Path, "/v1/targets/")
	svc, name, both := strings.Cut(rest, "/")
	switch {
	case named && e.Method == "DELETE":
		b := model.Beat{Service: svc, Name: name, Address: "127.0.0.1:1", State: model.Gone}
		if b.Incarnation, _ = strconv.ParseUint(query(e.Query, "incarnation"), 10, 64); !both {
			b.Service, b.Name, b.Incarnation = "any", rest, 1
		}
		if t, fs = b.Target(); !both {
			t.Service, t.Inc = "", 0
		}
	case named && !both && e.Method == "PUT":
		t, fs = model.ParseNamedBeat(rest, e.Body)
	case e.Method == "POST" && e.Path == "/v1/targets":
		t, fs = model.ParseBeat(e.Body)
	default:
		return t, trouble(405, model.Trouble{Code: "method", Message: "POST /v1/targets, PUT /v1/targets/{name}, DELETE /v1/targets/{name} or DELETE /v1/targets/{service}/{name}?incarnation=N"})
	}
	if len(fs) > 0 {
		return t, trouble(422, model.Trouble{Code: "invalid", Message: "not a target's word", Faults: fs})
	}
	return t, Reply{}
}

// heard acknowledges a word: 200 if it is safe that it says leaving or gone, else 202.
func wordHeard(w wire.Target) Reply {
	r := Reply{Status: 202, Body: body(map[string]any{"beat_ms": limit.BeatEvery.Milliseconds()})}
	if leaves(w) {
		r.Status = 200
	}
	return r
}

// TargetCall is a back end's own call to a proxy, which acts on it at once and passes
// it on. A sign-off without a service is for those who know all targets.
func TargetCall(e Ask, beat func(wire.Target)) Reply {
	t, r := readWord(e)
	if r.Status != 0 {
		return r
	}
	if t.Service == "" {
		return trouble(405, model.Trouble{Code: "method", Message: "a sign-off by name alone is for a core member"})
	}
	beat(t)
	return Reply{Status: 202, Body: wordHeard(t).Body}
}

// word takes a back end's word as leader. One that says leaving or gone is acknowledged
// when most proxies have a table that says so; the others' grants lapse by themselves.
func (c *Core) word(now time.Duration, p *pending, w wire.Target) {
	ids := []wire.ID{w.ID()}
	if w.Service == "" {
		ids = c.named(w.Name)
	}
	for _, id := range ids {
		t := w
		t.Service, t.Inc = id.Service, id.Inc
		c.beat(now, t, false)
	}
	if !leaves(w) {
		c.answer(p, wordHeard(w))
		return
	}
	c.urgent = true
	c.keep(now, limit.KeepEvery)
	ver := uint64(0)
	for _, id := range ids {
		out := c.outVer[id]
		if out == 0 {
			out = c.ver
		}
		if t := c.targets[id]; t == nil || t.Held { // an old word has changed nothing
			c.outVer[id] = out
		}
		ver = max(ver, out)
	}
	c.forces = append(c.forces, &force{ver: ver, since: now, p: p, reply: wordHeard(w), most: true, agreed: ids})
}

// named are the identities under a name, those that signed off lately included.
func (c *Core) named(name string) []wire.ID {
	m := map[wire.ID]bool{}
	add := func(id wire.ID) {
		if id.Name == name {
			m[id] = true
		}
	}
	for id := range c.targets {
		add(id)
	}
	for id := range c.claims {
		add(id)
	}
	for id := range c.tombs {
		add(id)
	}
	return slices.SortedFunc(maps.Keys(m), wire.ID.Compare)
}

func query(q, k string) string {
	v, _ := url.ParseQuery(q)
	return v.Get(k)
}

func number(q, k string) (uint64, bool) {
	n, err := strconv.ParseUint(query(q, k), 10, 64)
	return n, err == nil
}

func (c *Core) operate(now time.Duration, p *pending, a *wire.Ask) {
	if c.lead != Deciding {
		c.answer(p, noLeader())
		return
	}
	if strings.HasPrefix(a.Path, "/v1/targets") && a.Method != "GET" {
		p.word = true
		w, r := readWord(Ask{Method: a.Method, Path: a.Path, Query: a.Query, Body: a.Body})
		if r.Status != 0 {
			c.answer(p, r)
			return
		}
		c.word(now, p, w)
		return
	}
	if r := c.state.find(p.token); r != nil && a.Method != "GET" {
		if r.Outcome == "stale" {
			c.answer(p, c.stale(p.token))
			return
		}
		// The same change again: wait for it as for the first.
		c.forces = append(c.forces, &force{ver: c.ver, since: now, p: p, reply: done(p.token, r.Revision)})
		return
	}
	if c.pend[p.token] != nil && a.Method != "GET" {
		c.answer(p, trouble(409, model.Trouble{Code: "under_way", Message: "a change with this id is under way", Id: p.token}))
		return
	}
	seg := strings.Split(strings.Trim(a.Path, "/"), "/")
	for len(seg) < 4 {
		seg = append(seg, "")
	}
	call := a.Method + " " + seg[1]
	switch {
	case call == "GET config" && seg[2] == "" && has(a.Query, "plain"):
		doc, err := model.Numbered(c.state.Doc, c.state.Revision)
		if err != nil {
			panic(errors.Wrap(err, "an agreed document"))
		}
		c.answer(p, Reply{Status: 200, Body: append(slices.Clone(doc), '\n')})
	case call == "GET config" && seg[2] == "":
		c.answer(p, Reply{Status: 200, Body: body(map[string]any{"revision": c.state.Revision, "config": c.state.Doc})})
	case call == "PUT config" && seg[2] == "":
		if sum, ok := c.screen(now, p, a, a.Body, "whole"); ok {
			c.config(now, p, a.Body, "whole", sum)
		}
	case call == "PATCH config" && seg[2] == "":
		c.patch(now, p, a, a.Body, "partial")
	case call == "GET config" && seg[2] == "history":
		c.answer(p, Reply{Status: 200, Body: body(map[string]any{"changes": c.state.Records})})
	case call == "GET config" && seg[2] == "diff":
		c.diff(p, a)
	case call == "POST config" && seg[2] == "rollback":
		to, ok := number(a.Query, "to")
		doc := c.docAt(to)
		if !ok || doc == nil {
			c.answer(p, trouble(404, model.Trouble{Code: "not_found", Message: fmt.Sprintf("revision %d is not kept; the last %d changes are", to, limit.ChangesKept)}))
			return
		}
		what := fmt.Sprintf("rollback to %d", to)
		if sum, ok := c.screen(now, p, a, []byte("{}"), what); ok {
			c.config(now, p, unnumbered(doc), what, sum)
		}
	case call == "GET changes":
		if r := c.state.find(seg[2]); r != nil {
			t := *r
			t.Doc = nil
			c.answer(p, Reply{Status: 200, Body: body(t)})
			return
		}
		c.answer(p, trouble(404, model.Trouble{Code: "not_found", Ran: "unknown", Message: "no such change has been agreed so far"}))
	case call == "GET roster":
		c.answer(p, Reply{Status: 200, Body: body(map[string]any{"daemons": c.roll(now)})})
	case call == "GET targets":
		c.answer(p, Reply{Status: 200, Body: body(map[string]any{"revision": c.state.Revision, "targets": c.Targets(now)})})
	case call == "GET policies":
		c.answer(p, Reply{Status: 200, Body: body(map[string]any{"revision": c.state.Revision, "policies": c.policyStats(now), "since_ms": (now - c.leadAt).Milliseconds()})})
	case call == "PUT policies":
		c.patch(now, p, a, patchOf(seg[2], a.Body), "policy "+seg[2])
	case call == "DELETE policies":
		c.patch(now, p, a, patchOf(seg[2], []byte("null")), "policy "+seg[2]+" removed")
	case call == "GET domains":
		c.answer(p, Reply{Status: 200, Body: body(map[string]any{"emptied": append([]string{}, c.state.Emptied...), "domains": c.domains()})})
	case call == "POST domains" && (seg[3] == "empty" || seg[3] == "restore"):
		if !slices.Contains(c.domains(), seg[2]) && !slices.Contains(c.state.Emptied, seg[2]) {
			c.answer(p, trouble(404, model.Trouble{Code: "not_found", Message: fmt.Sprintf("no target or proxy stands in domain %q", seg[2])}))
			return
		}
		c.change(now, p, order{Op: seg[3], Name: seg[2]})
	case call == "POST gates" && seg[3] == "forget":
		if !c.inRoster(seg[2]) {
			c.answer(p, trouble(404, model.Trouble{Code: "not_found", Message: "no such proxy in the roster"}))
			return
		}
		if g := c.gates[seg[2]]; g != nil && now-g.pullAt < limit.GateLive {
			c.answer(p, trouble(409, model.Trouble{Code: "alive", Message: "that proxy is still asking for its table"}))
			return
		}
		c.change(now, p, order{Op: "forget", Name: seg[2]})
	case call == "POST core" && (seg[3] == "add" || seg[3] == "remove"):
		c.swap(now, p, seg[2], seg[3])
	default:
		c.answer(p, trouble(404, model.Trouble{Code: "not_found", Message: "no such call: " + a.Method + " " + a.Path}))
	}
}

func patchOf(name string, doc []byte) []byte {
	if !json.Valid(doc) {
		return doc
	}
	return body(map[string]any{"policies": map[string]json.RawMessage{name: doc}})
}

func (c *Core) change(now time.Duration, p *pending, o order) bool {
	o.Token = p.token
	if c.node.Open() > limit.OpenBytes {
		c.answer(p, trouble(503, model.Trouble{Code: "busy", Message: "too much is waiting to be agreed; nothing was changed"}))
		return false
	}
	c.pend[p.token] = p
	c.propose(now, o)
	return true
}

func has(q, k string) bool {
	v, _ := url.ParseQuery(q)
	return v.Has(k)
}

func unnumbered(doc []byte) []byte {
	d, err := model.Unnumbered(doc)
	if err != nil {
		panic(errors.Wrap(err, "an agreed document"))
	}
	return d
}

// screen looks at a change of the configuration before anything is made of it: its size,
// its base, and whether the very same call has been taken already. sum stands for the
// call: its kind, its base and what its body says.
func (c *Core) screen(now time.Duration, p *pending, a *wire.Ask, text []byte, what string) (sum string, ok bool) {
	if len(text) > limit.DocMax {
		c.answer(p, tooLarge())
		return "", false
	}
	b, named := number(a.Query, "base")
	if !named {
		c.answer(p, trouble(428, model.Trouble{Code: "base_missing", Message: "name the revision this was built on: base=N or If-Match", Revision: c.state.Revision}))
		return "", false
	}
	said, err := model.Canonical(text)
	if err != nil {
		c.counts.Refused++
		c.answer(p, trouble(400, model.Trouble{Code: "not_json", Message: err.Error()}))
		return "", false
	}
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%d\n%s", what, b, said)
	sum = hex.EncodeToString(h.Sum(nil)[:16])
	if b == c.state.Revision {
		return sum, true
	}
	if r := c.state.taken(sum); r != nil {
		c.forces = append(c.forces, &force{ver: c.ver, since: now, p: p, reply: done(p.token, r.Revision)})
		return "", false
	}
	c.counts.Refused++
	c.answer(p, c.stale(p.token))
	return "", false
}

func (c *Core) patch(now time.Duration, p *pending, a *wire.Ask, patch []byte, what string) {
	sum, ok := c.screen(now, p, a, patch, what)
	if !ok {
		return
	}
	var doc []byte
	var err error
	if what == "partial" && model.IsNamed(patch) {
		n, faults, err := model.ParseNamed(patch)
		if err == nil && len(faults) == 0 {
			doc, faults, err = n.Apply(c.state.Doc)
		}
		if err != nil || len(faults) > 0 {
			c.faulty(p, faults, err)
			return
		}
	} else if doc, err = model.Merge(unnumbered(c.state.Doc), patch); err != nil {
		c.faulty(p, nil, err)
		return
	}
	c.config(now, p, doc, what, sum)
}

func tooLarge() Reply {
	return trouble(413, model.Trouble{Code: "too_large", Message: fmt.Sprintf("at most %d bytes", limit.DocMax)})
}

func (c *Core) faulty(p *pending, faults []model.Fault, err error) {
	c.counts.Refused++
	if err != nil {
		c.answer(p, trouble(400, model.Trouble{Code: "not_json", Message: err.Error()}))
		return
	}
	c.answer(p, trouble(422, model.Trouble{Code: "invalid", Message: fmt.Sprintf("%d faults; nothing was changed", len(faults)), Faults: faults, Revision: c.state.Revision}))
}

// config proposes a whole configuration on the present revision.
func (c *Core) config(now time.Duration, p *pending, doc []byte, what, sum string) {
	if len(doc) > limit.DocMax {
		c.answer(p, tooLarge())
		return
	}
	cfg, faults, err := judge.CheckConfig(doc)
	if err == nil && cfg.Revision != 0 && cfg.Revision <= c.state.Revision {
		faults = append(faults, model.Fault{Path: "revision", Text: fmt.Sprintf("not above the present %d", c.state.Revision)})
	}
	if err != nil || len(faults) > 0 {
		c.faulty(p, faults, err)
		return
	}
	var b bytes.Buffer
	if json.Compact(&b, doc) != nil {
		panic("a checked document is JSON")
	}
	if c.change(now, p, order{Op: "config", Base: c.state.Revision, Doc: b.Bytes(), What: what, Rev: cfg.Revision, Sum: sum}) {
		c.checked = checked{b.Bytes(), cfg}
	}
}

func (c *Core) docAt(rev uint64) json.RawMessage {
	for _, r := range c.state.Records {
		if r.Revision == rev && r.Doc != nil {
			return r.Doc
		}
	}
	return nil
}

func (c *Core) diff(p *pending, a *wire.Ask) {
	from, _ := number(a.Query, "from")
	to, _ := number(a.Query, "to")
	x, y := c.docAt(from), c.docAt(to)
	if from == 0 {
		x = json.RawMessage(`{}`)
	}
	if x == nil || y == nil {
		c.answer(p, trouble(404, model.Trouble{Code: "not_found", Message: "one of the revisions is not kept"}))
		return
	}
	d, err := jsonpatch.CreateMergePatch(x, y)
	if err != nil {
		panic(err)
	}
	c.answer(p, Reply{Status: 200, Body: body(map[string]any{"from": from, "to": to, "merge_patch": json.RawMessage(d)})})
}

func (c *Core) domains() []string {
	m := map[string]bool{}
	for _, t := range c.targets {
		m[t.Domain] = true
	}
	for _, g := range c.state.Roster {
		m[g.Domain] = true
	}
	for _, d := range c.set.Domains {
		m[d] = true
	}
	delete(m, "")
	return slices.Sorted(maps.Keys(m))
}

// swap adds or removes a core member on an operator's word.
func (c *Core) swap(now time.Duration, p *pending, name, what string) {
	ms := c.node.Members()
	i := slices.IndexFunc(ms, func(m wire.Member) bool { return m.Name == name })
	switch {
	case what == "add" && i >= 0:
		c.answer(p, trouble(409, model.Trouble{Code: "member", Message: name + " is a member"}))
	case what == "add":
		if k := c.known[name]; k == nil || k.Kind != "core" {
			c.answer(p, trouble(404, model.Trouble{Code: "not_found", Message: "no core daemon of that name has been heard"}))
			return
		}
		c.change(now, p, order{Op: "in", Name: name})
	case i < 0:
		c.answer(p, trouble(404, model.Trouble{Code: "not_found", Message: name + " is no member"}))
	case len(ms) == 1 || !c.node.Settled():
		c.answer(p, trouble(409, model.Trouble{Code: "busy", Message: "the last member stays, and changes of members go one at a time"}))
	case name == c.set.Self.Name:
		c.answer(p, trouble(503, model.Trouble{Code: "leading", Message: name + " leads; it hands leadership over first and nothing was changed; ask again"}))
		c.node.Yield(now)
	default:
		if c.change(now, p, order{Op: "out", Name: name}) && c.node.Settled() {
			c.node.Change(now, slices.Delete(slices.Clone(ms), i, i+1))
		}
	}
}

// ---- views ----

type TargetView struct {
	wire.Target
	Bar    string  `json:"bar,omitempty"`
	BarMs  int64   `json:"bar_left_ms,omitempty"`
	Why    string  `json:"why"`
	BeatMs float64 `json:"last_beat_ms"`
}

// Targets lists what the leader knows of targets, with the reason for each bar or hold.
func (c *Core) Targets(now time.Duration) []TargetView {
	l := []TargetView{}
	for _, id := range slices.SortedFunc(maps.Keys(c.targets), wire.ID.Compare) {
		t := c.targets[id]
		v := TargetView{Target: t.Target, BeatMs: float64(now-t.beatAt) / 1e6, Why: "serving"}
		v.Beating, v.ColdLeft = t.beats(now), t.cold(now)
		until, why := c.judge.Barred(now, id)
		if until > now {
			v.Bar, v.BarMs = why, (until - now).Milliseconds()
		}
		switch {
		case t.Held:
			v.Why = "held: it said that it is leaving"
		case v.Bar != "":
			v.Why = fmt.Sprintf("barred by policy %s: %s", why, c.judge.Stats()[why].Policy.When)
		case t.told:
			v.Why = "known by hearsay: not served until it has answered for itself"
		case t.Pending:
			v.Why = "pending: its address's earlier target is not yet out of every table"
		case slices.Contains(c.state.Emptied, t.Domain):
			v.Why = "its domain is emptied"
		case t.State == model.Warming:
			v.Why = "warming: up to its share"
		case v.ColdLeft > 0:
			v.Why = "cold: up to its service's cold rate"
		}
		l = append(l, v)
	}
	return l
}

// policyStats are the policies in force with their scores since this leader began.
func (c *Core) policyStats(now time.Duration) map[string]judge.Stat {
	l := c.judge.Stats()
	for name, s := range c.scorer.Scores(now) {
		x := l[name]
		x.Score = &s
		l[name] = x
	}
	return l
}

type DaemonView struct {
	wire.Daemon
	Roster  bool    `json:"in_roster"`
	Member  bool    `json:"member"`
	HeardMs float64 `json:"last_heard_ms"`
	Ver     uint64  `json:"table,omitempty"`
}

func (c *Core) roll(now time.Duration) []DaemonView {
	l := []DaemonView{}
	ms := c.node.Members()
	for _, d := range append(c.cores(now, false), c.proxies()...) {
		v := DaemonView{Daemon: d, Roster: c.inRoster(d.Name)}
		v.Member = slices.ContainsFunc(ms, func(m wire.Member) bool { return m.Name == d.Name })
		if k := c.known[d.Name]; k != nil {
			v.HeardMs = float64(now-k.At) / 1e6
		}
		if g := c.gates[d.Name]; g != nil {
			v.Ver = g.key.Ver
		}
		l = append(l, v)
	}
	return l
}

func (c *Core) proxies() []wire.Daemon {
	var l []wire.Daemon
	for _, n := range slices.Sorted(maps.Keys(c.known)) {
		if c.known[n].Kind != "core" {
			l = append(l, c.known[n].Daemon)
		}
	}
	return l
}

type StatusView struct {
	Name     string        `json:"name"`
	Role     string        `json:"role"`
	Lead     string        `json:"lead"`
	Leader   string        `json:"leader"`
	Epoch    uint64        `json:"epoch"`
	Term     uint64        `json:"term"`
	Revision uint64        `json:"revision"`
	Seq      uint64        `json:"seq"`
	Members  []wire.Member `json:"members"`
	Emptied  []string      `json:"emptied"`
	Table    wire.Key      `json:"table"`
	Targets  int           `json:"targets"`
	Proxies  int           `json:"proxies"`
	Counts   Counts        `json:"counts"`
}

// Status is this member's own view.
func (c *Core) Status(now time.Duration) StatusView {
	v := StatusView{Name: c.set.Self.Name, Role: "empty", Lead: c.lead.String(), Revision: c.state.Revision, Seq: c.state.Seq,
		Emptied: append([]string{}, c.state.Emptied...), Targets: len(c.targets), Proxies: len(c.state.Roster), Counts: c.counts}
	if c.node != nil {
		v.Role, v.Leader, v.Epoch, v.Term, v.Members = c.node.Role().String(), c.node.Leader(), c.node.Epoch(), c.node.Term(), c.node.Members()
	}
	if c.table != nil {
		v.Table = c.table.Key
	}
	return v
}

// Table is what this member has last published as leader.
func (c *Core) Table() *wire.Table { return c.table }

// Leading says whether this member decides.
func (c *Core) Leading() bool { return c.lead == Deciding }

// Ready says whether this member takes part in agreement, or knows who leads and passes on to it.
func (c *Core) Ready() bool {
	return !c.stopping && (c.via != "" || c.node != nil && c.node.Leader() != "")
}

// Term is the present term, 0 before the core is founded.
func (c *Core) Term() uint64 {
	if c.node == nil {
		return 0
	}
	return c.node.Term()
}

// Http is where a daemon answers operators.
func (c *Core) Http(name string) string {
	if k := c.known[name]; k != nil {
		return k.Http
	}
	return ""
}

// Seeds replaces the seed addresses.
func (c *Core) Seeds(s []string) { c.set.Seeds = s }

// Deciding says whether this member may decide at this very moment.
func (c *Core) Deciding(now time.Duration) bool {
	return c.lead == Deciding && c.node.Leads(now)
}

// Revision is the configuration's that this member has applied.
func (c *Core) Revision() uint64 { return c.state.Revision }

// Records are the changes that this member keeps.
func (c *Core) Records() []Record { return c.state.Records }
