// This file implements the status of a control daemon, and the queries that its process makes between steps.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/wire"
)

// StatusView is the operators' view of a control daemon, and of the control plane as that daemon sees it.
type StatusView struct {
	// Current is set if this member leads and holds the lease at this moment, so that the committed part of the view is
	// up to date. Any other member's view may be stale.
	Current bool   `json:"current"`
	Name    string `json:"name"`
	// Role is the member's role in consensus, "empty" if it has no node.
	Role string `json:"role"`
	// Leadership is the text of the Leadership state.
	Leadership string `json:"lead"`
	Leader     string `json:"leader"`
	Epoch      uint64 `json:"epoch"`
	Term       uint64 `json:"term"`
	// Revision is the revision of the applied configuration, StateIndex the index of the last log entry applied.
	Revision   uint64        `json:"revision"`
	StateIndex uint64        `json:"seq"`
	Members    []wire.Member `json:"members"`
	// EmptiedDomains are the failure domains that operators have emptied.
	EmptiedDomains []string `json:"emptied"`
	// Table is the key of the latest table that this member made as the leader.
	Table        wire.TableKey    `json:"table"`
	Targets      int              `json:"targets"` // known to this member as the leader
	Proxies      int              `json:"proxies"` // in the proxy membership
	ControlPlane ControlPlaneView `json:"core"`
	// Damage lists the data that could not be decoded since the process started, at most tuning.DamageReportsKept cases.
	Damage []Damage `json:"damage,omitempty"`
	// DiskError is why this member's disk currently rejects writes, "" if it accepts them.
	DiskError string `json:"disk_refuses,omitempty"`
	Counts    Counts `json:"counts"`
}

// Status returns this member's status.
func (c *Controller) Status(now time.Duration) StatusView {
	view := StatusView{
		Current:        c.HoldsLease(now),
		Name:           c.settings.Self.Name,
		Role:           "empty",
		Leadership:     c.leadership.String(),
		Revision:       c.state.Revision,
		StateIndex:     c.state.Index,
		EmptiedDomains: append([]string{}, c.state.EmptiedDomains...),
		Targets:        len(c.targets),
		Proxies:        len(c.state.Proxies),
		ControlPlane:   c.controlPlaneView(now),
		Damage:         c.damage,
		DiskError:      c.diskError,
		Counts:         c.counts,
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

// Leading reports whether this member was the leader after the last step. Its lease may have run out since.
func (c *Controller) Leading() bool { return c.leadership == Leading }

// HoldsLease reports whether this member is the leader and holds the lease at the time now.
func (c *Controller) HoldsLease(now time.Duration) bool {
	return c.leadership == Leading && c.node.HasLease(now)
}

// Ready reports whether this daemon is not stopping and knows a leader, which may be itself.
func (c *Controller) Ready() bool {
	return !c.stopping && (c.leaderHint != "" || c.node != nil && c.node.Leader() != "")
}

// Term returns the current term, 0 before the bootstrap.
func (c *Controller) Term() uint64 {
	if c.node == nil {
		return 0
	}
	return c.node.Term()
}

// HTTPAddr returns the address of a daemon's HTTP API, "" if the daemon is not in the directory.
func (c *Controller) HTTPAddr(name string) string {
	if peer := c.directory[name]; peer != nil {
		return peer.HTTP
	}
	return ""
}

// Revision returns the revision of the configuration that this member has applied.
func (c *Controller) Revision() uint64 { return c.state.Revision }

// ChangeRecords returns the records of operators' changes that this member keeps, oldest first.
func (c *Controller) ChangeRecords() []state.Record { return c.state.Records }
