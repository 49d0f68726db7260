// The state of a proxy as shown to operators in /v1/status.

package dataplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// View is a proxy's state as shown to operators.
type View struct {
	Name       string          `json:"name"`
	State      string          `json:"state"`
	Ready      bool            `json:"ready"`
	Leader     string          `json:"leader"`    // "" if none is known
	Table      wire.TableKey   `json:"table"`     // zero if there is none
	Revision   uint64          `json:"revision"`  // of the configuration
	InFlight   int             `json:"in_flight"` // requests in flight or queued
	Targets    []TargetView    `json:"targets"`
	Counts     Counts          `json:"counts"`
	Objectives []ObjectiveView `json:"aims,omitempty"`
}

// ObjectiveView is a service-level objective with the counts of this proxy within its window.
type ObjectiveView struct {
	Name string `json:"name"`
	config.Objective
	Good  int `json:"good"` // requests that met the objective
	Total int `json:"all"`  // all requests
}

// TargetView is a target as shown to operators. Times are in ms.
type TargetView struct {
	wire.Target
	InFlight          int   `json:"in_flight"`       // this proxy's requests
	EjectionLeftMs    int64 `json:"bar_left_ms"`     // remaining time of the table's ejection
	OwnEjectionLeftMs int64 `json:"own_bar_left_ms"` // remaining time of this proxy's own ejection
	Capacity          int   `json:"room"`            // this proxy's share of the cap or, if targets report slots, its quota
}

// View returns the proxy's state as shown to operators.
func (p *Proxy) View(now time.Duration) View {
	view := View{
		Name:       p.settings.Self.Name,
		State:      p.state.String(),
		Ready:      p.table != nil && p.Ready(),
		Leader:     p.leader(now),
		Revision:   p.revision,
		InFlight:   len(p.requests),
		Targets:    []TargetView{},
		Counts:     p.Counts,
		Objectives: p.objectiveViews(now),
	}
	if p.table != nil {
		view.Table = p.table.Key
		for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
			view.Targets = append(view.Targets, p.targetView(now, p.targets[id]))
		}
	}
	return view
}

func (p *Proxy) objectiveViews(now time.Duration) (views []ObjectiveView) {
	for _, name := range slices.Sorted(maps.Keys(p.configuration.Objectives)) {
		view := ObjectiveView{Name: name, Objective: p.configuration.Objectives[name]}
		if counts := p.objectives[name]; counts != nil {
			view.Good, view.Total = counts.sum(now, view.WindowMinutes)
		}
		views = append(views, view)
	}
	return views
}

func (p *Proxy) targetView(now time.Duration, target *targetState) TargetView {
	view := TargetView{
		Target:            target.Target,
		InFlight:          target.inFlight,
		EjectionLeftMs:    max(0, (target.ejectedUntil - now).Milliseconds()),
		OwnEjectionLeftMs: max(0, (target.ownEjectionUntil - now).Milliseconds()),
		Capacity:          p.capacity(now, target, p.configuration.Services[target.Service]),
	}
	if service := p.services[target.Service]; service != nil && service.reportsSlots {
		view.Capacity = target.quota
	}
	view.Draining = target.Draining || target.leaving
	return view
}
