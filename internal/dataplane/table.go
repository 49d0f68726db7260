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
func (p *Proxy) publishTargets(now time.Duration) {
	p.reindex(now)
	live := map[wire.TargetID]string{}
	for id, t := range p.targets {
		live[id] = t.Addr
	}
	p.emit(statemachine.TargetsChanged{Addresses: live, Limits: p.configuration.Limits})
}

// fullTable is a table with all that it leaves out because this proxy has it, nil if it has not.
func (p *Proxy) fullTable(t *wire.Table) *wire.Table {
	old, w := p.table, *t
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
func (p *Proxy) isLoadUpdate(now time.Duration, t *wire.Table) bool {
	if t.DeltaBase == (wire.TableKey{}) || len(t.Document)+len(t.State)+len(t.Proxies)+len(t.RemovedTargets) > 0 || !slices.Equal(t.EmptiedDomains, p.table.EmptiedDomains) || !slices.Equal(t.PreviousProxies, p.table.PreviousProxies) ||
		len(p.targets) != len(p.table.Targets) {
		return false
	}
	for i := range t.Targets {
		w := t.Targets[i]
		o := p.targets[w.ID()]
		if o == nil {
			return false
		}
		w.Demand, w.HasDemand, w.Heartbeating, w.Number = o.Demand, o.HasDemand, o.Heartbeating, o.Number
		if w != o.Target || w.EjectionLeft > 0 || w.WarmupLeft > 0 || o.ejectedUntil > 0 {
			return false
		}
	}
	for i := range p.table.Targets { // and no later start stands here in the place of one
		if p.targets[p.table.Targets[i].ID()] == nil {
			return false
		}
	}
	return true
}

// applyTable puts a later table in force; an earlier one never replaces a later.
func (p *Proxy) applyTable(now time.Duration, t *wire.Table) bool {
	if p.table != nil && !p.table.Key.Less(t.Key) {
		if t.Key.Less(p.table.Key) {
			p.Counts.StaleTables++
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
	if t = p.fullTable(t); t == nil {
		return false // said to an earlier process of this name, or long ago: the next pull asks for all
	}
	if p.table == nil || p.table.Key.Epoch != t.Key.Epoch || t.Revision != p.revision || len(p.configuration.Services) == 0 {
		cfg, err := readConfiguration(t)
		if err != nil {
			p.rejectTable(t, err)
			return false
		}
		if t.Revision != p.revision {
			p.emit(statemachine.StateChange{Subject: statemachine.SubjectRevision, From: fmt.Sprint(p.revision), To: fmt.Sprint(t.Revision), Reason: fmt.Sprintf("table %v", t.Key)})
		}
		p.configuration, p.revision = cfg, t.Revision
		p.resetRoutes()
	}
	p.Counts.Tables++
	if p.isLoadUpdate(now, said) {
		p.table = t
		for _, w := range said.Targets {
			p.targets[w.ID()].Target = w
		}
		p.processQueues(now)
		return true
	}
	p.table = t
	next := map[wire.TargetID]*targetState{}
	for _, w := range t.Targets {
		id := w.ID()
		n := p.targets[id]
		if n != nil && changed != nil && !changed[id] {
			next[id] = n // nothing new is said of it
			continue
		}
		if n == nil {
			n = &targetState{newToFleet: p.state == Leased}
		}
		was := n.ejectedUntil > now
		if n.State == wire.TargetWarming && w.State == wire.TargetReady {
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
		if p.leavingSince[id] != 0 || w.Draining {
			n.leaving = true
		}
		next[id] = n
	}
	p.targets = next
	maps.DeleteFunc(p.leavingSince, func(id wire.TargetID, at time.Duration) bool { return next[id] == nil && now-at > tuning.TombstoneKeep })
	p.publishTargets(now)
	p.processQueues(now)
	return true
}
