// This file takes tables from the leader, whole or as changes.

package dataplane

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// publishTargets follows a change of the targets: choices go by the new ones, and connections to
// others go.
func (g *Proxy) publishTargets(now time.Duration) {
	g.reindex(now)
	live := map[wire.TargetID]string{}
	for id, t := range g.targets {
		live[id] = t.Addr
	}
	g.emit(statemachine.TargetsChanged{Addresses: live, Limits: g.configuration.Limits})
}

// fullTable is a table with all that it leaves out because this proxy has it, nil if it has not.
func (g *Proxy) fullTable(t *wire.Table) *wire.Table {
	old, w := g.table, *t
	if len(t.Document) == 0 {
		if old == nil || old.Key.Epoch != t.Key.Epoch || old.Revision != t.Revision || len(t.State) == 0 && old.StateIndex != t.StateIndex {
			return nil
		}
		if w.Document = old.Document; len(t.State) == 0 {
			w.State = old.State
		}
	}
	if t.DeltaBase == (wire.TableKey{}) {
		return &w
	}
	// A leader that won its lead back goes on numbering, so what it says changed since a table of its
	// earlier term also changed since a later table of this one.
	if old == nil || old.Key.Epoch != t.DeltaBase.Epoch || old.Key.Version < t.DeltaBase.Version || old.Key.Term != t.DeltaBase.Term && old.Key.Term != t.Key.Term {
		return nil
	}
	w.DeltaBase, w.RemovedTargets = wire.TableKey{}, nil
	if len(t.Proxies) == 0 {
		w.Proxies = old.Proxies
	}
	out := map[wire.TargetID]bool{}
	for _, id := range t.RemovedTargets {
		out[id] = true
	}
	for i := range t.Targets {
		out[t.Targets[i].ID()] = true
	}
	w.Targets = make([]wire.Target, 0, len(old.Targets)+len(t.Targets))
	for i := range old.Targets {
		if !out[old.Targets[i].ID()] {
			w.Targets = append(w.Targets, old.Targets[i])
		}
	}
	w.Targets = append(w.Targets, t.Targets...)
	slices.SortFunc(w.Targets, func(a, b wire.Target) int { return a.ID().Compare(b.ID()) })
	return &w
}

// isLoadUpdate says that a change to the table tells only what nothing is dealt by, such as demand.
func (g *Proxy) isLoadUpdate(now time.Duration, t *wire.Table) bool {
	if t.DeltaBase == (wire.TableKey{}) || len(t.Document)+len(t.State)+len(t.Proxies)+len(t.RemovedTargets) > 0 || !slices.Equal(t.EmptiedDomains, g.table.EmptiedDomains) || !slices.Equal(t.PreviousProxies, g.table.PreviousProxies) ||
		len(g.targets) != len(g.table.Targets) {
		return false
	}
	for i := range t.Targets {
		w := t.Targets[i]
		o := g.targets[w.ID()]
		if o == nil {
			return false
		}
		w.Demand, w.HasDemand, w.Heartbeating, w.Number = o.Demand, o.HasDemand, o.Heartbeating, o.Number
		if w != o.Target || w.EjectionLeft > 0 || w.WarmupLeft > 0 || o.ejectedUntil > 0 {
			return false
		}
	}
	for i := range g.table.Targets { // and no later start stands here in the place of one
		if g.targets[g.table.Targets[i].ID()] == nil {
			return false
		}
	}
	return true
}

// applyTable puts a later table in force; an earlier one never replaces a later.
func (g *Proxy) applyTable(now time.Duration, t *wire.Table) bool {
	if g.table != nil && !g.table.Key.Less(t.Key) {
		if t.Key.Less(g.table.Key) {
			g.Counts.StaleTables++
		}
		return false
	}
	var changed map[wire.TargetID]bool
	if t.DeltaBase != (wire.TableKey{}) {
		changed = map[wire.TargetID]bool{}
		for i := range t.Targets {
			changed[t.Targets[i].ID()] = true
		}
	}
	said := t
	if t = g.fullTable(t); t == nil {
		return false // said to an earlier process of this name, or long ago: the next pull asks for all
	}
	if g.table == nil || g.table.Key.Epoch != t.Key.Epoch || t.Revision != g.revision || len(g.configuration.Services) == 0 {
		cfg, err := readConfiguration(t)
		if err != nil {
			g.rejectTable(t, err)
			return false
		}
		if t.Revision != g.revision {
			g.emit(statemachine.StateChange{Subject: statemachine.SubjectRevision, From: fmt.Sprint(g.revision), To: fmt.Sprint(t.Revision), Reason: fmt.Sprintf("table %v", t.Key)})
		}
		g.configuration, g.revision = cfg, t.Revision
		g.resetRoutes()
	}
	g.Counts.Tables++
	if g.isLoadUpdate(now, said) {
		g.table = t
		for _, w := range said.Targets {
			g.targets[w.ID()].Target = w
		}
		g.processQueues(now)
		return true
	}
	g.table = t
	next := map[wire.TargetID]*targetState{}
	for _, w := range t.Targets {
		id := w.ID()
		n := g.targets[id]
		if n != nil && changed != nil && !changed[id] {
			next[id] = n // nothing new is said of it
			continue
		}
		if n == nil {
			n = &targetState{newToFleet: g.state == Leased}
		}
		was := n.ejectedUntil > now
		if n.State == config.Warming && w.State == config.Ready {
			n.readyAt = now
		}
		n.Target = w
		n.extendWarmup(now, w.WarmupLeft)
		n.ejectedUntil, n.ejectedAsUnreachable = 0, w.EjectedBy == config.DefaultPolicyName
		if w.EjectionLeft > 0 {
			n.ejectedUntil = now + time.Duration(w.EjectionLeft)
		} else if was {
			n.reinstatedAt = now
		}
		if g.leavingSince[id] != 0 || w.Draining {
			n.leaving = true
		}
		next[id] = n
	}
	g.targets = next
	maps.DeleteFunc(g.leavingSince, func(id wire.TargetID, at time.Duration) bool { return next[id] == nil && now-at > tuning.TombstoneKeep })
	g.publishTargets(now)
	g.processQueues(now)
	return true
}
