// This file is the simulated operators and their changes.

package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
)

type change struct {
	token string
	rev   uint64
	base  uint64
	what  string
	empty string
	at    time.Duration
	acked time.Duration
	state string // open, accepted, refused, unknown
	doc   string // what was sent
}

type ask struct {
	fn   func(statemachine.Reply)
	at   *Process // who has read it, and in which start; nil: nobody yet
	gen  int
	what string
}

// call sends a call to a member; the answer goes to fn, and its arrival is the ask's.
func (w *World) call(p *Process, method, path, query string, body []byte, token string, fn func(statemachine.Reply)) *ask {
	w.nextAsk++
	id := w.nextAsk
	recorded := w.record(method, path, query, body, token)
	if token == "" {
		token = fmt.Sprintf("t%d", id)
	}
	answered := func(r statemachine.Reply) {
		recorded(r)
		fn(r)
	}
	sent := &ask{fn: answered, what: method + " " + path}
	w.asks[id] = sent
	late := 2
	if w.sabotage == "base" {
		late = 60
	}
	w.at(w.ms(0, late), func() {
		if w.sabotage == "base" && p.core != nil && strings.HasPrefix(query, "base=") {
			query = fmt.Sprintf("base=%d", p.core.Revision())
		}
		call := statemachine.Call{ID: id, Token: token, Method: method, Path: path, Query: query, Body: body}
		if r, spoilt := w.spoilCall(p, call); spoilt {
			w.exec(p, r)
			return
		}
		if w.Plan.Resources == nil {
			sent.readBy(p)
			w.deliver(p, call)
			return
		}
		gen := p.gen
		w.at(w.work(p, "call", costCall)-w.now, func() {
			if p.gen == gen {
				sent.readBy(p)
				w.deliver(p, call)
			}
		})
	})
	return sent
}

// readBy notes that a process has read the call, if it runs.
func (a *ask) readBy(p *Process) {
	if p.alive && !p.frozen {
		a.at, a.gen = p, p.gen
	}
}

// checkNoCallIsLeft looks whether a process that ends by plan leaves calls without an answer.
func (w *World) checkNoCallIsLeft(p *Process) {
	for _, id := range slices.Sorted(maps.Keys(w.asks)) {
		if a := w.asks[id]; a.at == p && a.gen == p.gen {
			w.broken("in flight", "%s left %s without an answer at a planned stop", p.name, a.what)
		}
	}
}

// Document is a configuration that tells its revisions apart by n.
func (w *World) Document(n int) []byte {
	return w.DocumentFor(n, 40, slices.Sorted(maps.Keys(w.Plan.Services)))
}

func (w *World) warm(cap int) int {
	if w.sabotage == "warm cap" {
		return cap
	}
	return min(cap, warmCap)
}

// DocumentFor is one for some services, with a cap per target.
func (w *World) DocumentFor(n, cap int, services []string) []byte {
	svcs, routes := map[string]any{}, map[string]config.Route{}
	var rules []any
	for _, s := range services {
		svc := map[string]any{"cap": cap, "warm_cap": w.warm(cap), "timeout_ms": 1000 + n}
		if w.Plan.WarmupRate > 0 {
			svc["cold_per_s"], svc["cold_s"] = w.Plan.WarmupRate, coldSpan.Seconds()
		}
		if w.Plan.ConnectionLimit > 0 {
			svc["conn_cap"] = w.Plan.ConnectionLimit
		}
		svcs[s] = svc
		for kind, prefix := range map[config.RouteKind]string{config.KindRepeatable: "/" + s + "/", config.KindOnce: "/" + s + "/once/"} {
			routes[s+"-"+string(kind)] = config.Route{Prefix: prefix, Kind: kind, TimeoutMs: 1000 + n, LatencyTargetMs: 400, Attempts: 3, Service: s}
		}
		rules = append(rules, map[string]any{"path": "/" + s + "/", "service": s})
	}
	doc := map[string]any{"services": svcs, "rules": rules}
	if w.Plan.Slots > 0 {
		doc["rules"], doc["routes"] = []any{}, routes
	}
	b, _ := json.Marshal(doc)
	return b
}

// SendChange sends an operator's change to a core member and follows its fate.
func (w *World) SendChange(p *Process, method, path, query string, body []byte, c *change) {
	if !p.alive {
		return
	}
	c.token = fmt.Sprintf("op%d", len(w.changes))
	c.at, c.state, c.doc = w.now, "open", string(body)
	w.changes = append(w.changes, c)
	w.Stats.Changes++
	if strings.HasSuffix(path, "/restore") {
		delete(w.emptied, c.empty) // from the asking on, requests may go there again
	}
	order := &operatorOrder{method: method, path: path, query: query, body: body, token: c.token}
	w.sendOrder(p, order, func(r statemachine.Reply) {
		switch {
		case r.Status == 200:
			var v struct {
				Revision uint64 `json:"revision"`
			}
			json.Unmarshal(r.Body, &v)
			c.state, c.rev, c.acked = "accepted", v.Revision, w.now
			w.Stats.AcceptedChanges++
			w.Stats.ChangeLatencies = append(w.Stats.ChangeLatencies, w.now-c.at)
			w.Stats.SlowestChange = max(w.Stats.SlowestChange, w.now-c.at)
			w.log("%s accepted as revision %d", c.what, v.Revision)
			if w.acked = max(w.acked, v.Revision); w.ackedAt[v.Revision] == 0 {
				w.ackedAt[v.Revision] = w.now
			}
			if c.what == "config" {
				for _, o := range w.changes {
					if o != c && o.what == "config" && o.state == "accepted" && o.base == c.base && (o.doc != c.doc || o.rev != c.rev) {
						w.broken("one base", "%s and %s were both accepted on %d", o.token, c.token, c.base)
					}
				}
			}
			if strings.HasSuffix(path, "/empty") && !slices.ContainsFunc(w.changes, func(o *change) bool { return o.what == "restore "+c.empty && o.at > c.at }) {
				w.emptied[c.empty] = w.now
				w.Stats.EmptiedDomains++
			}
		case r.Status == 504 || order.leavesOpen(r):
			c.state = "unknown"
			w.Stats.UnknownChanges++
		default:
			c.state = "refused"
			w.Stats.RejectedChanges++
			w.log("%s refused with %d", c.what, r.Status)
		}
	})
}

// PutConfig tries a whole configuration on a base.
func (w *World) PutConfig(p *Process, base uint64, n int) {
	w.SendChange(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), w.Document(n), &change{what: "config", base: base})
}

// Revision is the highest that any living member has applied.
func (w *World) Revision() (r uint64) {
	for _, n := range w.names {
		if p := w.procs[n]; p.core != nil && p.alive {
			r = max(r, p.core.Revision())
		}
	}
	return r
}

// revisionOf is the revision that an answer names, 0 if none.
func revisionOf(r statemachine.Reply) uint64 {
	var v struct {
		Revision uint64 `json:"revision"`
	}
	if json.Unmarshal(r.Body, &v) != nil {
		return 0
	}
	return v.Revision
}
