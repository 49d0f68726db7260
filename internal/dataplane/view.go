// This file is what operators may read of a proxy.

package dataplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// View is what the daemon shows of itself.
type View struct {
	Name       string          `json:"name"`
	State      string          `json:"state"`
	Ready      bool            `json:"ready"`
	Leader     string          `json:"leader"`
	Table      wire.TableKey   `json:"table"`
	Revision   uint64          `json:"revision"`
	InFlight   int             `json:"in_flight"`
	Targets    []TargetView    `json:"targets"`
	Counts     Counts          `json:"counts"`
	Objectives []ObjectiveView `json:"aims,omitempty"`
}

// ObjectiveView is this proxy's part in an aim over its window.
type ObjectiveView struct {
	Name string `json:"name"`
	config.Objective
	Good  int `json:"good"`
	Total int `json:"all"`
}

// TargetView is a target as operators may read it.
type TargetView struct {
	wire.Target
	InFlight          int   `json:"in_flight"`
	EjectionLeftMs    int64 `json:"bar_left_ms"`
	OwnEjectionLeftMs int64 `json:"own_bar_left_ms"`
	Capacity          int   `json:"room"`
}

// View returns the proxy's state as operators may read it.
func (p *Proxy) View(now time.Duration) View {
	v := View{Name: p.settings.Self.Name, State: p.state.String(), Ready: p.table != nil && p.Ready(), Leader: p.leader(now),
		Revision: p.revision, InFlight: len(p.requests), Counts: p.Counts, Targets: []TargetView{}}
	for _, n := range slices.Sorted(maps.Keys(p.configuration.Objectives)) {
		a := ObjectiveView{Name: n, Objective: p.configuration.Objectives[n]}
		if t := p.objectives[n]; t != nil {
			for _, m := range t.minutes {
				if int(now/time.Minute)-m.minute < a.WindowMinutes {
					a.Good, a.Total = a.Good+m.good, a.Total+m.all
				}
			}
		}
		v.Objectives = append(v.Objectives, a)
	}
	if p.table != nil {
		v.Table = p.table.Key
		for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
			t := p.targets[id]
			tv := TargetView{Target: t.Target, InFlight: t.inFlight, Capacity: p.capacity(now, t, p.configuration.Services[t.Service])}
			if s := p.services[t.Service]; s != nil && s.reportsSlots {
				tv.Capacity = t.quota
			}
			tv.Draining = t.Draining || t.leaving
			tv.EjectionLeftMs, tv.OwnEjectionLeftMs = max(0, (t.ejectedUntil-now).Milliseconds()), max(0, (t.ownEjectionUntil-now).Milliseconds())
			v.Targets = append(v.Targets, tv)
		}
	}
	return v
}
