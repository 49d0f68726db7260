// This file takes the calls of targets: heartbeats, leavings and sign-offs.

package controlplane

import (
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"strconv"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// leaves says that a word has to be safe before it is acknowledged.
func isLeaving(w wire.Target) bool { return w.State == config.Leaving || w.State == config.Gone }

// readWord reads a back end's own call; a reply with a status refuses it. A sign-off by
// name alone has no service.
func parseTargetReport(e statemachine.Call) (t wire.Target, r statemachine.Reply) {
	var fs []config.Fault
	rest, named := strings.CutPrefix(e.Path, "/v1/targets/")
	svc, name, both := strings.Cut(rest, "/")
	switch {
	case named && e.Method == "DELETE":
		b := config.Beat{Service: svc, Name: name, Address: "127.0.0.1:1", State: config.Gone}
		if b.Incarnation, _ = strconv.ParseUint(query(e.Query, "incarnation"), 10, 64); !both {
			b.Service, b.Name, b.Incarnation = "any", rest, 1
		}
		if t, fs = b.Target(); !both {
			t.Service, t.Inc = "", 0
		}
	case named && !both && e.Method == "PUT":
		t, fs = config.ParseNamedBeat(rest, e.Body)
	case e.Method == "POST" && e.Path == "/v1/targets":
		t, fs = config.ParseBeat(e.Body)
	default:
		return t, problem(405, config.Trouble{Code: "method", Message: "POST /v1/targets, PUT /v1/targets/{name}, DELETE /v1/targets/{name} or DELETE /v1/targets/{service}/{name}?incarnation=N"})
	}
	if len(fs) > 0 {
		return t, problem(422, config.Trouble{Code: "invalid", Message: "not a target's word", Faults: fs})
	}
	return t, statemachine.Reply{}
}

// heard acknowledges a word: 200 if it is safe that it says leaving or gone, else 202.
func reportAccepted(w wire.Target) statemachine.Reply {
	r := statemachine.Reply{Status: 202, Body: body(map[string]any{"beat_ms": tuning.BeatEvery.Milliseconds()})}
	if isLeaving(w) {
		r.Status = 200
	}
	return r
}

// TargetCall is a back end's own call to a proxy, which acts on it at once and passes
// it on. A sign-off without a service is for those who know all targets.
func TargetCall(e statemachine.Call, beat func(wire.Target)) statemachine.Reply {
	t, r := parseTargetReport(e)
	if r.Status != 0 {
		return r
	}
	if t.Service == "" {
		return problem(405, config.Trouble{Code: "method", Message: "a sign-off by name alone is for a core member"})
	}
	beat(t)
	return statemachine.Reply{Status: 202, Body: reportAccepted(t).Body}
}

// word takes a back end's word as leader. One that says leaving or gone is acknowledged
// when most proxies have a table that says so; the others' leases lapse by themselves.
func (c *Core) reportTarget(now time.Duration, p *pending, w wire.Target) {
	ids := []wire.ID{w.ID()}
	if w.Service == "" {
		ids = c.named(w.Name)
	}
	for _, id := range ids {
		t := w
		t.Service, t.Inc = id.Service, id.Inc
		c.heartbeat(now, t, false)
	}
	if !isLeaving(w) {
		c.answer(p, reportAccepted(w))
		return
	}
	c.persistNow = true
	c.persistRegistrations(now, tuning.RegistryEvery)
	ver := uint64(0)
	for _, id := range ids {
		out := c.withdrawnAt[id]
		if out == 0 {
			out = c.tableVersion
		}
		if t := c.targets[id]; t == nil || t.Held { // an old word has changed nothing
			c.withdrawnAt[id] = out
		}
		ver = max(ver, out)
	}
	c.waiters = append(c.waiters, &commitWaiter{version: ver, since: now, p: p, reply: reportAccepted(w), majorityOnly: true, agreed: ids})
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
	for id := range c.tombstones {
		add(id)
	}
	return slices.SortedFunc(maps.Keys(m), wire.ID.Compare)
}
