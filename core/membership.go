// This file decides who is a member of the core: who learns, who joins, who is
// replaced and who is removed, one change at a time.

package core

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

// members admits again a member that came back with another disk, and those
// that an operator asked for, once they have caught up; and it looks after the
// others, by number or, if none is given, by who is there.
func (c *Core) maintainMembers(now time.Duration) {
	if !c.node.CanChangeMembers() {
		return
	}
	ms := c.node.Members()
	all := c.coreDaemons(now, true)
	ghost := slices.IndexFunc(ms, func(m wire.Member) bool { return m.Disk == 0 })
	for _, d := range all {
		if d.Name == c.settings.Self.Name || d.Disk == 0 {
			continue
		}
		i := slices.IndexFunc(ms, func(m wire.Member) bool { return m.Name == d.Name })
		switch {
		case i >= 0 && ms[i].Disk != d.Disk && (d.Epoch == 0 || d.Epoch == c.node.Epoch()):
			c.emit(Change{"member", d.Name, "out", "it lost its disk"})
			c.requestedMembers[d.Name] = true
			c.node.ProposeMembers(now, slices.Delete(slices.Clone(ms), i, i+1))
			return
		case i < 0 && c.settings.Size > 0 && c.state.Out[d.Name] == 0 && ghost >= 0:
			c.emit(Change{"member", ms[ghost].Name, "out", "its place was kept for who was not there at the founding"})
			c.requestedMembers[d.Name] = true
			c.node.ProposeMembers(now, slices.Delete(slices.Clone(ms), ghost, ghost+1))
			return
		case i < 0 && (c.requestedMembers[d.Name] || len(ms) < c.settings.Size && c.state.Out[d.Name] == 0):
			if c.admit(now, ms, d) {
				return
			}
		}
	}
	if c.settings.Size == 0 {
		c.reconcileMembers(now, ms, all)
	}
}

// admit has a daemon learn, and makes it a member once it has caught up.
func (c *Core) admit(now time.Duration, ms []wire.Member, d wire.Daemon) bool {
	m := wire.Member{Name: d.Name, Disk: d.Disk}
	c.node.AddLearner(m)
	if !c.node.CaughtUp(m) {
		return false
	}
	c.emit(Change{"member", d.Name, "in", "caught up"})
	delete(c.requestedMembers, d.Name)
	delete(c.learningSince, d.Name)
	c.changedAt = now
	c.node.ProposeMembers(now, append(slices.Clone(ms), m))
	return true
}

// silent is how long a member has not been heard, as far as this lead can tell.
func (c *Core) silentFor(now time.Duration, name string) time.Duration {
	if name == c.settings.Self.Name {
		return 0
	}
	return now - max(c.heard[name].at, c.leadAt)
}

// gone says that a member may be replaced: nobody's place at once, who fell silent
// soon, and who said that it stops only after a machine's restart.
func (c *Core) replaceable(now time.Duration, m wire.Member) bool {
	after := limit.MemberReplaceAfter
	if c.heard[m.Name].stops {
		after = limit.MemberForget
	}
	return m.Disk == 0 || c.silentFor(now, m.Name) > after
}

// sound says that a list of members has a majority that answers now.
func (c *Core) hasResponsiveMajority(now time.Duration, ms []wire.Member) bool {
	n := 0
	for _, m := range ms {
		if c.node.RecentlyActive(now, m) {
			n++
		}
	}
	return 2*n > len(ms)
}

func (c *Core) domainOf(name string) string {
	if name == c.settings.Self.Name {
		return c.settings.Self.Domain
	}
	if h, ok := c.heard[name]; ok {
		return h.domain
	}
	return "? " + name
}

// worth compares sets of members by what they outlive: any one domain, then as many
// machines as can be, with no more members than that takes; but two keep more than one.
func (c *Core) resilience(names []string) (w [3]int) {
	per, most := map[string]int{}, 0
	for _, n := range names {
		d := c.domainOf(n)
		per[d]++
		most = max(most, per[d])
	}
	if 2*most < len(names) {
		w[0] = 1
	}
	w[1], w[2] = (len(names)-1)/2, -len(names)
	if len(names) == 2 {
		w[2] = 0
	}
	return w
}

func namesOf(ms []wire.Member) (l []string) {
	for _, m := range ms {
		l = append(l, m.Name)
	}
	return l
}

// learner is who should become a member next, beside those who stay: the first of
// those who make the best core, one from the domain with the fewest at each step.
func (c *Core) nextMember(now time.Duration, stay []wire.Member, ms []wire.Member, all []wire.Daemon) (next wire.Daemon, ok bool) {
	list := namesOf(stay)
	free := slices.DeleteFunc(slices.Clone(all), func(d wire.Daemon) bool {
		since, tried := c.learningSince[d.Name]
		vain := tried && now-since > limit.LearnWait && now-since < limit.LearnAgain
		return d.Disk == 0 || d.State == stoppingState || c.state.Out[d.Name] != 0 || vain || slices.Contains(namesOf(ms), d.Name)
	})
	if w := c.resilience(list); w[0] == 0 && len(list) > 2 { // one may come for another
		for _, d := range free {
			if i := c.surplusMember(append(slices.Clone(list), d.Name)); i >= 0 && i < len(list) {
				return d, true
			}
		}
	}
	best, first := c.resilience(list), wire.Daemon{}
	for len(list) < limit.VotersMax && len(free) > 0 {
		per := map[string]int{}
		for _, n := range list {
			per[c.domainOf(n)]++
		}
		d := slices.MinFunc(free, func(a, b wire.Daemon) int {
			return cmp.Or(cmp.Compare(per[a.Domain], per[b.Domain]), cmp.Compare(a.Name, b.Name))
		})
		free = slices.DeleteFunc(free, func(o wire.Daemon) bool { return o.Name == d.Name })
		list = append(list, d.Name)
		if first.Name == "" {
			first = d
		}
		if w := c.resilience(list); slices.Compare(best[:], w[:]) < 0 {
			best, next, ok = w, first, true
		}
	}
	return next, ok
}

// spared is the place of one without whom a list would outlive any domain, -1 if it
// does with all, or without none of them.
func (c *Core) surplusMember(list []string) int {
	if w := c.resilience(list); w[0] == 1 {
		return -1
	}
	return slices.IndexFunc(list, func(n string) bool {
		w := c.resilience(slices.DeleteFunc(slices.Clone(list), func(o string) bool { return o == n }))
		return n != c.settings.Self.Name && w[0] == 1
	})
}

// tend grows and mends a core whose size nobody has given, by one change at a time,
// each between lists of which a majority answers. A learner is in before the one
// that it replaces is out. One whose return would add nothing goes then; without a
// replacement a silent one goes late, and only if a majority then takes fewer.
func (c *Core) reconcileMembers(now time.Duration, ms []wire.Member, all []wire.Daemon) {
	var stay, gone []wire.Member
	late := 0
	for _, m := range ms {
		if !c.replaceable(now, m) {
			stay = append(stay, m)
			continue
		}
		gone = append(gone, m)
		if c.silentFor(now, m.Name) > limit.MemberForget {
			late++
		}
	}
	next, ok := c.nextMember(now, stay, ms, all)
	astray := map[string]bool{} // they stand in an earlier list of members, and are to learn that they are out
	for _, d := range all {
		if d.Epoch > 0 && !d.Ready && d.Name != c.settings.Self.Name && !slices.Contains(namesOf(ms), d.Name) {
			astray[d.Name] = true
			c.node.AddLearner(wire.Member{Name: d.Name, Disk: d.Disk})
		}
	}
	c.node.RetainLearners(func(m wire.Member) bool {
		return ok && m.Name == next.Name || c.requestedMembers[m.Name] || astray[m.Name]
	})
	if ok {
		m := wire.Member{Name: next.Name, Disk: next.Disk}
		if since, tried := c.learningSince[m.Name]; !tried || now-since >= limit.LearnAgain {
			c.learningSince[m.Name] = now
		}
		if !c.node.CaughtUp(m) || c.hasResponsiveMajority(now, append(slices.Clone(ms), m)) {
			c.admit(now, ms, next)
		}
		return
	}
	if i := c.surplusMember(namesOf(ms)); len(gone) == 0 && i >= 0 && now-c.changedAt > limit.MemberReplaceAfter {
		if left := slices.Delete(slices.Clone(ms), i, i+1); c.hasResponsiveMajority(now, ms) && c.hasResponsiveMajority(now, left) {
			c.emit(Change{"member", ms[i].Name, "out", "its domain has too many"})
			c.node.ProposeMembers(now, left)
			c.changedAt = now
			return
		}
	}
	for _, m := range gone {
		left := slices.DeleteFunc(slices.Clone(ms), func(o wire.Member) bool { return o == m })
		with, without := c.resilience(append(namesOf(stay), m.Name)), c.resilience(namesOf(stay))
		spent := slices.Compare(with[:], without[:]) <= 0
		fewer := c.silentFor(now, m.Name) > limit.MemberForget && (len(ms)-late)/2 < len(ms)/2
		if (spent || fewer) && c.hasResponsiveMajority(now, ms) && c.hasResponsiveMajority(now, left) {
			c.emit(Change{"member", m.Name, "out", fmt.Sprintf("silent for %v", c.silentFor(now, m.Name).Truncate(time.Second))})
			c.node.ProposeMembers(now, left)
			return
		}
	}
}
