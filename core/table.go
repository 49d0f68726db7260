// This file makes the forwarding table that all proxies choose targets from, when
// it has something new to say.
package core

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"time"

	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

type goneRow struct {
	ver uint64
	id  wire.ID
}

// rebuild makes the table anew and sends it everywhere, if it says anything new
// (the signature decides) or if the regular refresh is due.
func (c *Core) rebuild(now time.Duration, refresh bool) {
	if c.lead != Deciding {
		return
	}
	if !refresh {
		switch c.news(now) {
		case same:
			c.counts.Same++
			return
		case patient:
			if now-c.madeAt[c.ver%limit.TablesKept] < limit.TableEvery+time.Duration(len(c.targets)*len(c.state.Roster))*limit.TableRow {
				return // the next tick sees it again
			}
		}
	}
	t := &wire.Table{Was: c.state.Was, Seq: c.state.Seq, Revision: c.state.Revision, Doc: c.squeezed(), State: c.state.slim(c.node.Members()), Emptied: c.state.Emptied}
	c.ver++
	c.madeAt[c.ver%limit.TablesKept] = now
	for _, r := range c.state.Roster {
		t.Gates = append(t.Gates, wire.Gate{Name: r.Name, Addr: r.Addr, Domain: r.Domain, Live: c.live(now, r.Name)})
	}
	if c.table == nil || !slices.Equal(t.Gates, c.table.Gates) {
		c.gatesVer = c.ver
	}
	t.Targets = make([]wire.Target, 0, len(c.targets))
	for _, id := range c.sorted() {
		w, o := c.tabled(now, c.targets[id]), c.targets[id]
		moved := func(was, left int64) bool { return left > 0 && max(was-left, left-was) > int64(limit.LeftStep) }
		if f := factsOf(&w); f != o.shown || math.Abs(w.Demand-o.shownDemand) >= limit.DemandStep/4 ||
			moved(int64(o.shownBar-now), w.BarLeft) || moved(int64(o.shownCold-now), w.ColdLeft) {
			o.shown, o.shownDemand, o.row = f, w.Demand, c.ver
			o.shownBar, o.shownCold = now+time.Duration(w.BarLeft), now+time.Duration(w.ColdLeft)
		}
		t.Targets = append(t.Targets, w)
	}
	if c.table != nil {
		for i := range c.table.Targets {
			if id := c.table.Targets[i].ID(); c.targets[id] == nil {
				c.gones = append(c.gones, goneRow{c.ver, id})
			}
		}
	}
	for len(c.gones) > limit.GonesKept {
		c.firstVer = max(c.firstVer, c.gones[0].ver)
		c.gones = c.gones[1:]
	}
	c.counts.Rewrites++
	c.demandAt = now
	if refresh {
		c.rebuilt = now
	}
	t.Key = wire.Key{Epoch: c.node.Epoch(), Term: c.node.Term(), Ver: c.ver}
	c.table, c.slight, c.changes = t, nil, nil
	for _, n := range slices.Sorted(maps.Keys(c.gates)) {
		if g := c.gates[n]; c.inRoster(n) && now-g.pullAt < limit.GateLive {
			if now-g.sentAt > flight(g.flying) {
				g.sent, g.flying = wire.Key{}, 0
			}
			if g.flying == 0 || g.flying < limit.FlightBytes {
				c.push(n, g, now-g.movedAt < limit.GateDeaf && !c.lags(now, g.key))
				g.sentAt = max(g.sentAt, now)
			}
		}
	}
}

// squeezed is the document as tables carry it.
func (c *Core) squeezed() []byte {
	if !bytes.Equal(c.squeeze.plain, c.state.Doc) {
		c.squeeze.plain, c.squeeze.doc = c.state.Doc, wire.Squeeze(c.state.Doc)
	}
	return c.squeeze.doc
}

// facts are what decides in a table about one target; the rest is carried along.
type facts struct {
	addr, domain, state, bar            string
	held, pending, beating, cold, known bool
	slots                               uint32
}

func factsOf(w *wire.Target) facts {
	return facts{w.Addr, w.Domain, w.State, w.BarWhy, w.Held, w.Pending, w.Beating && w.BarLeft > 0, w.ColdLeft > 0, true, w.Slots}
}

// colder says that a target is cold for longer than the last table said; each word's
// own way here moves the end a little, which is none.
func (t *target) colder(now time.Duration) bool {
	return t.coldTill > now && t.coldTill > t.shownCold+limit.LeftStep
}

// tabled is a target as a table made now says it.
func (c *Core) tabled(now time.Duration, t *target) wire.Target {
	w := t.Target
	if _, named := c.cfg.Services[t.Service]; named { // else it is told once that matters
		w.Pending = w.Pending || t.told
	}
	until, why := c.judge.Barred(now, t.ID())
	w.BarLeft, w.BarWhy = max(0, int64(until-now)), why
	w.Beating = why == "" || t.beats(now) // asked only where all that could be used are barred
	w.ColdLeft = t.cold(now)
	return w
}

// tidings are how pressing it is to say something else than the present table.
type tidings int

const (
	same    tidings = iota
	patient         // it may wait a moment, so that much is said at once
	pressing
)

// news is what a table made now would say that the present one does not. All that is agreed
// shows in the log's index. What takes something away from exchanges is pressing.
func (c *Core) news(now time.Duration) tidings {
	if c.table == nil || c.table.Seq != c.state.Seq || c.table.Revision != c.state.Revision || len(c.table.Gates) != len(c.state.Roster) {
		return pressing
	}
	r, fresh := same, 0
	for i := range c.table.Gates {
		if g := &c.table.Gates[i]; g.Live != c.live(now, g.Name) {
			r = patient
		}
	}
	due := now-c.demandAt >= limit.DemandEvery
	for _, t := range c.targets {
		w := c.tabled(now, t)
		if f := factsOf(&w); f != t.shown {
			if t.shown.worse(f) {
				return pressing
			}
			if r = patient; !t.shown.known {
				fresh++
			}
		} else if t.colder(now) {
			return pressing
		} else if due && math.Abs(w.Demand-t.shownDemand) >= limit.DemandStep {
			r = patient
		}
	}
	if len(c.table.Targets)+fresh != len(c.targets) {
		return pressing // one is gone
	}
	return r
}

// worse says that exchanges that were right by the facts before may be wrong by later ones.
func (f facts) worse(o facts) bool {
	return f.known && (f.addr != o.addr || f.domain != o.domain || o.held && !f.held || o.pending && !f.pending || o.cold != f.cold ||
		o.bar != "" && f.bar != o.bar || f.beating && !o.beating || f.state != o.state && o.state != model.Ready)
}

// moved is rebuild after an event of one target: if nothing was decided, only its own
// facts can have changed, and what time changes is seen at the next tick.
func (c *Core) moved(now time.Duration, t *target) {
	if c.lead != Deciding {
		return
	}
	if w := c.tabled(now, t); c.table != nil && c.decisions == c.decidedAt && factsOf(&w) == t.shown && !t.colder(now) {
		c.counts.Same++
		return
	}
	c.decidedAt = c.decisions
	c.rebuild(now, false)
}
