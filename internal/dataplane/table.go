// Application of tables, which are received in full or as deltas of an earlier one.

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

// applyTable applies a received table if it is later than the current one and its configuration is valid. It
// reports whether it did.
func (p *Proxy) applyTable(now time.Duration, received *wire.Table) bool {
	if p.table != nil && !p.table.Key.Less(received.Key) {
		if received.Key.Less(p.table.Key) {
			p.Counts.StaleTables++
		}
		return false
	}
	table := p.fullTable(received)
	if table == nil {
		// This process doesn't have the omitted parts: the message was meant for an earlier process of this name, or
		// arrived late. The next pull asks for whatever is missing.
		return false
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
		return p.targets[id] == nil && now-since > tuning.TombstoneTTL
	})
	p.publishTargets(now)
	p.processQueues(now)
	return true
}

// fullTable returns the received table with the parts that it omits filled in from the current one. It returns
// nil if the current table doesn't have them.
func (p *Proxy) fullTable(received *wire.Table) *wire.Table {
	current, full := p.table, *received
	if len(received.Document) == 0 {
		sameState := current != nil && (len(received.State) > 0 || current.StateIndex == received.StateIndex)
		if !sameState || current.Key.Epoch != received.Key.Epoch || current.Revision != received.Revision {
			return nil
		}
		full.Document = current.Document
		if len(received.State) == 0 {
			full.State = current.State
		}
	}
	if received.DeltaBase == (wire.TableKey{}) {
		return &full
	}
	if current == nil || !deltaApplies(received, current.Key) {
		return nil
	}
	full.DeltaBase, full.RemovedTargets = wire.TableKey{}, nil
	if len(received.Proxies) == 0 {
		full.Proxies = current.Proxies
	}
	full.Targets = mergeTargets(current.Targets, received)
	return &full
}

// deltaApplies reports whether a delta may be applied to the current table, which must be its base or a later
// one. The base may be from an earlier term of a leader that has regained the leadership. That leader continues
// the numbering of versions, so a delta from such a base contains every change since any later table of the
// delta's term.
func deltaApplies(delta *wire.Table, current wire.TableKey) bool {
	base := delta.DeltaBase
	return current.Epoch == base.Epoch && current.Version >= base.Version && (current.Term == base.Term || current.Term == delta.Key.Term)
}

// mergeTargets returns the targets of the current table with a delta applied.
func mergeTargets(current []wire.Target, delta *wire.Table) []wire.Target {
	replaced := map[wire.TargetID]bool{}
	for _, id := range delta.RemovedTargets {
		replaced[id] = true
	}
	for i := range delta.Targets {
		replaced[delta.Targets[i].ID()] = true
	}
	merged := make([]wire.Target, 0, len(current)+len(delta.Targets))
	for i := range current {
		if !replaced[current[i].ID()] {
			merged = append(merged, current[i])
		}
	}
	merged = append(merged, delta.Targets...)
	slices.SortFunc(merged, func(a, b wire.Target) int { return a.ID().Compare(b.ID()) })
	return merged
}

// applyConfiguration decodes and applies the configuration of the table, unless it is already the current one.
// It returns false if the configuration is invalid; the table is then rejected.
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

// isLoadUpdate reports whether a delta changes only values that no quota depends on, such as demand.
func (p *Proxy) isLoadUpdate(delta *wire.Table) bool {
	if delta.DeltaBase == (wire.TableKey{}) || len(delta.Document)+len(delta.State)+len(delta.Proxies)+len(delta.RemovedTargets) > 0 {
		return false
	}
	if !slices.Equal(delta.EmptiedDomains, p.table.EmptiedDomains) || !slices.Equal(delta.PreviousProxies, p.table.PreviousProxies) ||
		!slices.Equal(delta.DepartedProxies, p.table.DepartedProxies) {
		return false
	}
	for i := range delta.Targets {
		if target := p.targets[delta.Targets[i].ID()]; target == nil || !target.differsInLoadOnly(delta.Targets[i]) {
			return false
		}
	}
	return p.hasTableTargets()
}

// differsInLoadOnly reports whether a row of a table differs from the target only in load and heartbeats.
func (t *targetState) differsInLoadOnly(row wire.Target) bool {
	row.Demand, row.HasDemand, row.Heartbeating, row.Number = t.Demand, t.HasDemand, t.Heartbeating, t.Number
	return row == t.Target && row.EjectionLeft <= 0 && row.WarmupLeft <= 0 && t.ejectedUntil <= 0
}

// hasTableTargets reports whether the targets are exactly those of the current table: none was replaced by a
// successor.
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

// targetsOf returns the targets of a table together with this proxy's own state of them. Targets that a delta
// doesn't mention keep their state unchanged.
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

// update applies a row of a table to the target.
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

// export returns the target as a row of a table, including this proxy's own drain and ejection.
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

// publishTargets must be called after each change of the targets. It rebuilds the data for target selection and
// emits the targets' addresses, so that connections to removed targets are closed.
func (p *Proxy) publishTargets(now time.Duration) {
	p.reindex(now)
	addresses := map[wire.TargetID]string{}
	for id, target := range p.targets {
		addresses[id] = target.Addr
	}
	p.emit(statemachine.TargetsChanged{Addresses: addresses, Limits: p.configuration.Limits})
}
