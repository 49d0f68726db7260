// This file is a member's own status, and what its process asks of it between steps.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/wire"
)

// StatusView is what operators read of a control daemon and of the control plane as that daemon sees it.
type StatusView struct {
	// Current says that this member leads and has the lease at this moment, so that the committed part of the view is the
	// latest there is. Any other member's view may be stale.
	Current bool   `json:"current"`
	Name    string `json:"name"`
	// Role is the member's role in consensus, "empty" if it takes no part.
	Role string `json:"role"`
	// Leadership is the name of a Leadership state.
	Leadership string `json:"lead"`
	Leader     string `json:"leader"`
	Epoch      uint64 `json:"epoch"`
	Term       uint64 `json:"term"`
	// Revision is that of the configuration, StateIndex the index of the last log entry applied.
	Revision   uint64        `json:"revision"`
	StateIndex uint64        `json:"seq"`
	Members    []wire.Member `json:"members"`
	Emptied    []string      `json:"emptied"`
	// Table is the latest table that this member made as the leader.
	Table        wire.TableKey    `json:"table"`
	Targets      int              `json:"targets"`
	Proxies      int              `json:"proxies"`
	ControlPlane ControlPlaneView `json:"core"`
	// Damage is the latest that could not be decoded since the start.
	Damage []Damage `json:"damage,omitempty"`
	// DiskError is why this member's disk takes no writes now, "" if it does.
	DiskError string `json:"disk_refuses,omitempty"`
	Counts    Counts `json:"counts"`
}

// Status returns this member's own view.
func (c *Controller) Status(now time.Duration) StatusView {
	view := StatusView{
		Current:      c.HoldsLease(now),
		Name:         c.settings.Self.Name,
		Role:         "empty",
		Leadership:   c.leadership.String(),
		Revision:     c.state.Revision,
		StateIndex:   c.state.Index,
		Emptied:      append([]string{}, c.state.EmptiedDomains...),
		Targets:      len(c.targets),
		Proxies:      len(c.state.Proxies),
		ControlPlane: c.controlPlaneView(now),
		Damage:       c.damage,
		DiskError:    c.diskError,
		Counts:       c.counts,
	}
	if c.node != nil {
		view.Role, view.Leader, view.Members = c.node.Role().String(), c.node.Leader(), c.node.Members()
		view.Epoch, view.Term = c.node.Epoch(), c.node.Term()
	}
	if c.table != nil {
		view.Table = c.table.Key
	}
	return view
}

// Table returns the latest table that this member made as the leader, nil if there is none.
func (c *Controller) Table() *wire.Table { return c.table }

// Leading says whether this member was the leader after the last step. Its lease may have run out since.
func (c *Controller) Leading() bool { return c.leadership == Leading }

// HoldsLease says whether this member is the leader and has the lease at this very moment.
func (c *Controller) HoldsLease(now time.Duration) bool {
	return c.leadership == Leading && c.node.HasLease(now)
}

// Ready says whether this daemon can relay calls to a leader or is the leader itself.
func (c *Controller) Ready() bool {
	return !c.stopping && (c.leaderHint != "" || c.node != nil && c.node.Leader() != "")
}

// Term returns the present term, 0 before the bootstrap.
func (c *Controller) Term() uint64 {
	if c.node == nil {
		return 0
	}
	return c.node.Term()
}

// HTTPAddr returns where a daemon has its HTTP API, "" if it is not in the directory.
func (c *Controller) HTTPAddr(name string) string {
	if peer := c.directory[name]; peer != nil {
		return peer.HTTP
	}
	return ""
}

// Revision returns the revision of the configuration that this member has applied.
func (c *Controller) Revision() uint64 { return c.state.Revision }

// ChangeRecords returns the operators' changes that this member keeps, the oldest first.
func (c *Controller) ChangeRecords() []state.Record { return c.state.Records }
