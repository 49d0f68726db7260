// This file puts tables in force, which come complete or as changes to an earlier one.

package dataplane

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// applyTable puts a table in force, if it is later than the one that is, and returns whether it did.
func (p *Proxy) applyTable(now time.Duration, received *wire.Table) bool {
	if p.table != nil && !p.table.Key.Less(received.Key) {
		if received.Key.Less(p.table.Key) {
			p.Counts.StaleTables++
		}
		return false
	}
	table := p.fullTable(received)
	if table == nil {
		return false // meant for an earlier process of this name, or sent long ago: the next pull asks for all
	}
	if !p.applyConfiguration(table) {
		return false
	}
	p.Counts.Tables++
	if p.isLoadUpdate(received) {
		p.table = table
		for _, row := range received.Targets {
			p.targets[row.ID()].Target = row
		}
		p.processQueues(now)
		return true
	}
	p.table = table
	p.targets = p.targetsOf(now, table, received)
	maps.DeleteFunc(p.leavingSince, func(id wire.TargetID, since time.Duration) bool {
		return p.targets[id] == nil && now-since > tuning.TombstoneKeep
	})
	p.publishTargets(now)
	p.processQueues(now)
	return true
}

// fullTable completes a received table by what it leaves out because this proxy has it, nil if it does not.
func (p *Proxy) fullTable(received *wire.Table) *wire.Table {
	inForce, full := p.table, *received
	if len(received.Document) == 0 {
		sameState := inForce != nil && (len(received.State) > 0 || inForce.StateIndex == received.StateIndex)
		if !sameState || inForce.Key.Epoch != received.Key.Epoch || inForce.Revision != received.Revision {
			return nil
		}
		full.Document = inForce.Document
		if len(received.State) == 0 {
			full.State = inForce.State
		}
	}
	if received.DeltaBase == (wire.TableKey{}) {
		return &full
	}
	if inForce == nil || !deltaFits(received, inForce.Key) {
		return nil
	}
	full.DeltaBase, full.RemovedTargets = wire.TableKey{}, nil
	if len(received.Proxies) == 0 {
		full.Proxies = inForce.Proxies
	}
	full.Targets = mergeTargets(inForce.Targets, received)
	return &full
}

// deltaFits reports whether a change may be applied to the table in force: one no earlier than its base. A leader that won
// leadership back goes on numbering, so what changed since a table of its earlier term also changed since a later
// table of this one.
func deltaFits(delta *wire.Table, inForce wire.TableKey) bool {
	base := delta.DeltaBase
	return inForce.Epoch == base.Epoch && inForce.Version >= base.Version && (inForce.Term == base.Term || inForce.Term == delta.Key.Term)
}

// mergeTargets applies a change to the targets of the table in force.
func mergeTargets(inForce []wire.Target, delta *wire.Table) []wire.Target {
	replaced := map[wire.TargetID]bool{}
	for _, id := range delta.RemovedTargets {
		replaced[id] = true
	}
	for i := range delta.Targets {
		replaced[delta.Targets[i].ID()] = true
	}
	merged := make([]wire.Target, 0, len(inForce)+len(delta.Targets))
	for i := range inForce {
		if !replaced[inForce[i].ID()] {
			merged = append(merged, inForce[i])
		}
	}
	merged = append(merged, delta.Targets...)
	slices.SortFunc(merged, func(a, b wire.Target) int { return a.ID().Compare(b.ID()) })
	return merged
}

// applyConfiguration reads the table's configuration, if it may be another one, and puts it in force. It returns false
// if the configuration can't be read: then the table is rejected.
func (p *Proxy) applyConfiguration(table *wire.Table) bool {
	if p.table != nil && p.table.Key.Epoch == table.Key.Epoch && table.Revision == p.revision && len(p.configuration.Services) > 0 {
		return true
	}
	configuration, err := readConfiguration(table)
	if err != nil {
		p.rejectTable(table, err)
		return false
	}
	if table.Revision != p.revision {
		p.emit(statemachine.StateChange{
			Subject: statemachine.SubjectRevision,
			From:    fmt.Sprint(p.revision),
			To:      fmt.Sprint(table.Revision),
			Reason:  fmt.Sprintf("table %v", table.Key),
		})
	}
	p.configuration, p.revision = configuration, table.Revision
	p.resetRoutes()
	return true
}

// isLoadUpdate reports that a change to the table brings only what no quota depends on, such as demand.
func (p *Proxy) isLoadUpdate(delta *wire.Table) bool {
	if delta.DeltaBase == (wire.TableKey{}) || len(delta.Document)+len(delta.State)+len(delta.Proxies)+len(delta.RemovedTargets) > 0 {
		return false
	}
	if !slices.Equal(delta.EmptiedDomains, p.table.EmptiedDomains) || !slices.Equal(delta.PreviousProxies, p.table.PreviousProxies) {
		return false
	}
	for i := range delta.Targets {
		if target := p.targets[delta.Targets[i].ID()]; target == nil || !target.differsInLoadOnly(delta.Targets[i]) {
			return false
		}
	}
	return p.hasTableTargets()
}

// differsInLoadOnly reports that a row of a table says nothing new of the target but its load and heartbeats.
func (t *targetState) differsInLoadOnly(row wire.Target) bool {
	row.Demand, row.HasDemand, row.Heartbeating, row.Number = t.Demand, t.HasDemand, t.Heartbeating, t.Number
	return row == t.Target && row.EjectionLeft <= 0 && row.WarmupLeft <= 0 && t.ejectedUntil <= 0
}

// hasTableTargets reports that the targets here are those of the table in force: none was replaced by a successor.
func (p *Proxy) hasTableTargets() bool {
	if len(p.targets) != len(p.table.Targets) {
		return false
	}
	for i := range p.table.Targets {
		if p.targets[p.table.Targets[i].ID()] == nil {
			return false
		}
	}
	return true
}

// targetsOf are the targets of a table, with what this proxy knows of them beside it. Those stay as they are of which a
// change says nothing.
func (p *Proxy) targetsOf(now time.Duration, table, received *wire.Table) map[wire.TargetID]*targetState {
	isDelta, changed := received.DeltaBase != wire.TableKey{}, map[wire.TargetID]bool{}
	if isDelta {
		for i := range received.Targets {
			changed[received.Targets[i].ID()] = true
		}
	}
	targets := map[wire.TargetID]*targetState{}
	for _, row := range table.Targets {
		id := row.ID()
		target := p.targets[id]
		if target == nil {
			target = &targetState{newToFleet: p.state == Leased}
		} else if isDelta && !changed[id] {
			targets[id] = target
			continue
		}
		target.update(now, row)
		if p.leavingSince[id] != 0 || row.Draining {
			target.leaving = true
		}
		targets[id] = target
	}
	return targets
}

// update takes in a row of a table.
func (t *targetState) update(now time.Duration, row wire.Target) {
	wasEjected := t.ejectedUntil > now
	if t.State == wire.TargetWarming && row.State == wire.TargetReady {
		t.readyAt = now
	}
	t.Target = row
	t.extendWarmup(now, row.WarmupLeft)
	t.ejectedUntil, t.ejectedAsUnreachable = 0, row.EjectedBy == config.DefaultPolicyName
	if row.EjectionLeft > 0 {
		t.ejectedUntil = now + time.Duration(row.EjectionLeft)
	} else if wasEjected {
		t.reinstatedAt = now
	}
}

// export is the target as a row of a table, with what this proxy knows beside its own table.
func (t *targetState) export(now time.Duration) wire.Target {
	row := t.Target
	row.EjectionLeft = max(0, int64(t.ejectedUntil-now))
	if t.ownEjectionUntil > now && row.EjectionLeft == 0 {
		row.EjectionLeft, row.EjectedBy = int64(t.ownEjectionUntil-now), config.DefaultPolicyName
	}
	row.Draining = row.Draining || t.leaving
	row.WarmupLeft = max(0, int64(t.warmupUntil-now))
	return row
}

// publishTargets follows a change of the targets: choices go by the new ones, and connections to others are closed.
func (p *Proxy) publishTargets(now time.Duration) {
	p.reindex(now)
	addresses := map[wire.TargetID]string{}
	for id, target := range p.targets {
		addresses[id] = target.Addr
	}
	p.emit(statemachine.TargetsChanged{Addresses: addresses, Limits: p.configuration.Limits})
}
