// This file is what operators see of the core: the durable state and how the
// agreed log changes it, and the calls that read or change it. A change is
// answered only once it is in force; when that cannot be told any more, the
// answer is 'unknown' with the change's id, which can be asked about.

package controlplane

import (
	"fmt"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/targetreport"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// ask takes a call at this daemon: some it answers itself, the others it
// carries out as leader or passes to the leader.
func (c *Controller) handleCall(now time.Duration, e statemachine.Call) {
	p := &pendingCall{token: e.Token, callID: e.ID, receivedAt: now}
	if c.exited {
		c.answer(p, noLeaderReply())
		return
	}
	word := wire.Target{}
	if strings.HasPrefix(e.Path, "/v1/targets") && e.Method != "GET" {
		w, r := targetreport.Parse(e)
		if r != nil {
			c.answer(p, *r)
			return
		}
		word, p.targetReport = w, true
	}
	if e.Path == "/v1/core/refound" && e.Method == "POST" {
		c.answer(p, c.recoverByOperator(now, query(e.Query, "gone")))
		return
	}
	if e.Path == "/v1/status" {
		c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(c.Status(now))})
		return
	}
	if id := query(e.Query, "id"); id != "" {
		p.token = id
	}
	if c.leadership == Leading {
		c.executeCall(now, p, &wire.Call{Method: e.Method, Path: e.Path, Query: e.Query, Body: e.Body})
		return
	}
	l := ""
	if !c.stopping {
		l = c.leader(now)
	}
	if p.targetReport && !targetreport.IsLeaving(word) && l != "" {
		c.handleHeartbeat(now, word, true)
		if !c.reaches(now, l) {
			c.answer(p, notPropagatedReply()) // the leader may be heard and not hear: another daemon is to be told too
			return
		}
		c.answer(p, targetreport.Acknowledgement(word))
		return
	}
	waits := p.targetReport && c.leadership == Gathering
	if !waits && (l == "" || l == c.settings.Self.Name || c.directory[l] == nil) {
		c.answer(p, noLeaderReply())
		return
	}
	c.lastRelayID++
	c.relayedCalls[c.lastRelayID] = p
	p.call = &wire.Call{ID: c.lastRelayID, Token: p.token, Method: e.Method, Path: e.Path, Query: e.Query, Body: e.Body}
	if waits {
		p.relayedTo = c.settings.Self.Name // made known as soon as this member decides
		c.handleHeartbeat(now, word, false)
		return
	}
	c.relay(now, c.lastRelayID, p, l)
}

// pass hands a call to the leader.
func (c *Controller) relay(now time.Duration, id uint64, p *pendingCall, leader string) {
	p.relayedTo, p.relayedAt, p.relayedTerm = leader, now, c.Term()
	p.relayCount++
	c.send(leader, &wire.Message{Kind: wire.KindCall, Call: p.call})
}

func query(q, k string) string {
	v, _ := url.ParseQuery(q)
	return v.Get(k)
}

func number(q, k string) (uint64, bool) {
	n, err := strconv.ParseUint(query(q, k), 10, 64)
	return n, err == nil
}

func (c *Controller) executeCall(now time.Duration, p *pendingCall, a *wire.Call) {
	if c.leadership != Leading {
		c.answer(p, noLeaderReply())
		return
	}
	if strings.HasPrefix(a.Path, "/v1/targets") && a.Method != "GET" {
		p.targetReport = true
		w, r := targetreport.Parse(statemachine.Call{Method: a.Method, Path: a.Path, Query: a.Query, Body: a.Body})
		if r != nil {
			c.answer(p, *r)
			return
		}
		c.reportTarget(now, p, w)
		return
	}
	if r := c.state.FindRecord(p.token); r != nil && a.Method != "GET" {
		if r.Outcome != state.OutcomeAccepted {
			c.answerNotAccepted(p, r)
			return
		}
		// The same change again: wait for it as for the first.
		c.answerWhenInForce(now, p, r.Revision)
		return
	}
	if revision, taken := c.state.FindToken(p.token); taken && a.Method != "GET" {
		c.answerWhenInForce(now, p, revision)
		return
	}
	if first := c.pendingChanges[p.token]; first != nil && a.Method != "GET" {
		first.duplicates = append(first.duplicates, p)
		return
	}
	seg := strings.Split(strings.Trim(a.Path, "/"), "/")
	for len(seg) < 4 {
		seg = append(seg, "")
	}
	call := a.Method + " " + seg[1]
	switch {
	case call == "GET config" && seg[2] == "" && has(a.Query, "plain"):
		doc, err := config.WithRevision(c.state.Document, c.state.Revision)
		if err != nil {
			panic(errors.Wrap(err, "an agreed document"))
		}
		c.answer(p, statemachine.Reply{Status: 200, Body: append(slices.Clone(doc), '\n')})
	case call == "GET config" && seg[2] == "":
		c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(map[string]any{"revision": c.state.Revision, "config": c.state.Document})})
	case call == "PUT config" && seg[2] == "":
		if sum, ok := c.precheckChange(now, p, a, a.Body, "whole"); ok {
			c.proposeConfig(now, p, a.Body, "whole", sum)
		}
	case call == "PATCH config" && seg[2] == "":
		c.patchConfig(now, p, a, a.Body, "partial")
	case call == "GET config" && seg[2] == "history":
		c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(map[string]any{"changes": c.state.Records})})
	case call == "GET config" && seg[2] == "diff":
		c.answerDiff(p, a)
	case call == "POST config" && seg[2] == "rollback":
		to, ok := number(a.Query, "to")
		doc := c.documentAt(to)
		if !ok || doc == nil {
			c.answer(p, reply.Problem(404, config.ErrorBody{Code: "not_found", Message: fmt.Sprintf("revision %d is not kept; the last %d changes are", to, tuning.ChangesKept)}))
			return
		}
		what := fmt.Sprintf("rollback to %d", to)
		if sum, ok := c.precheckChange(now, p, a, []byte("{}"), what); ok {
			c.proposeConfig(now, p, withoutRevision(doc), what, sum)
		}
	case call == "GET changes":
		if r := c.state.FindRecord(seg[2]); r != nil {
			t := *r
			t.Document = nil
			c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(t)})
			return
		}
		c.answer(p, reply.Problem(404, config.ErrorBody{Code: "not_found", Ran: "unknown", Message: "no such change has been agreed so far"}))
	case call == "GET roster":
		c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(map[string]any{"daemons": c.daemonViews(now)})})
	case call == "GET targets":
		c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(map[string]any{"revision": c.state.Revision, "targets": c.Targets(now)})})
	case call == "GET policies":
		c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(map[string]any{"revision": c.state.Revision, "policies": c.policyStats(now), "since_ms": (now - c.leadershipSince).Milliseconds()})})
	case call == "PUT policies":
		c.patchConfig(now, p, a, policyPatch(seg[2], a.Body), "policy "+seg[2])
	case call == "DELETE policies":
		c.patchConfig(now, p, a, policyPatch(seg[2], []byte("null")), "policy "+seg[2]+" removed")
	case call == "GET domains":
		c.answer(p, statemachine.Reply{Status: 200, Body: reply.Body(map[string]any{"emptied": append([]string{}, c.state.EmptiedDomains...), "domains": c.failureDomains()})})
	case call == "POST domains" && (seg[3] == "empty" || seg[3] == "restore"):
		if !slices.Contains(c.failureDomains(), seg[2]) && !slices.Contains(c.state.EmptiedDomains, seg[2]) {
			c.answer(p, reply.Problem(404, config.ErrorBody{Code: "not_found", Message: fmt.Sprintf("no target or proxy stands in domain %q", seg[2])}))
			return
		}
		c.proposeChange(now, p, state.Command{Operation: state.Operation(seg[3]), Name: seg[2]})
	case call == "POST gates" && seg[3] == "forget":
		if !c.isProxyMember(seg[2]) {
			c.answer(p, reply.Problem(404, config.ErrorBody{Code: "not_found", Message: "no such proxy in the roster"}))
			return
		}
		if g := c.proxies[seg[2]]; g != nil && now-g.lastPullAt < tuning.ProxyLive {
			c.answer(p, reply.Problem(409, config.ErrorBody{Code: "alive", Message: "that proxy is still asking for its table"}))
			return
		}
		c.proposeChange(now, p, state.Command{Operation: state.OpForgetProxy, Name: seg[2]})
	case call == "POST core" && (seg[3] == "add" || seg[3] == "remove"):
		c.changeMember(now, p, seg[2], seg[3])
	default:
		c.answer(p, reply.Problem(404, config.ErrorBody{Code: "not_found", Message: "no such call: " + a.Method + " " + a.Path}))
	}
}

func (c *Controller) proposeChange(now time.Duration, p *pendingCall, o state.Command) bool {
	o.Token = p.token
	if c.node.UncommittedBytes() > tuning.ProposedBytesMax {
		c.answer(p, reply.Problem(503, config.ErrorBody{Code: "busy", Message: "too much is waiting to be agreed; nothing was changed"}))
		return false
	}
	c.pendingChanges[p.token] = p
	c.propose(now, o)
	return true
}

func has(q, k string) bool {
	v, _ := url.ParseQuery(q)
	return v.Has(k)
}

// swap adds or removes a core member on an operator's word.
func (c *Controller) changeMember(now time.Duration, p *pendingCall, name, what string) {
	ms := c.node.Members()
	i := slices.IndexFunc(ms, func(m wire.Member) bool { return m.Name == name })
	switch {
	case what == "add" && i >= 0:
		c.answer(p, reply.Problem(409, config.ErrorBody{Code: "member", Message: name + " is a member"}))
	case what == "add":
		if k := c.directory[name]; k == nil || k.Kind != wire.ControlDaemon {
			c.answer(p, reply.Problem(404, config.ErrorBody{Code: "not_found", Message: "no core daemon of that name has been heard"}))
			return
		}
		c.proposeChange(now, p, state.Command{Operation: state.OpAddMember, Name: name})
	case i < 0:
		c.answer(p, reply.Problem(404, config.ErrorBody{Code: "not_found", Message: name + " is no member"}))
	case len(ms) == 1 || !c.node.CanChangeMembers():
		c.answer(p, reply.Problem(409, config.ErrorBody{Code: "busy", Message: "the last member stays, and changes of members go one at a time"}))
	case name == c.settings.Self.Name:
		c.answer(p, reply.Problem(503, config.ErrorBody{Code: "leading", Message: name + " leads; it hands leadership over first and nothing was changed; ask again"}))
		c.node.TransferLeadership(now)
	default:
		if c.proposeChange(now, p, state.Command{Operation: state.OpRemoveMember, Name: name}) && c.node.CanChangeMembers() {
			c.node.ProposeMembers(now, slices.Delete(slices.Clone(ms), i, i+1))
		}
	}
}

// Seeds replaces the seed addresses.
func (c *Controller) SetSeeds(s []string) { c.settings.Seeds = s }
