// This file is what operators may read: targets, daemons, policies and this
// member's own status.

package controlplane

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/state"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

func (c *Controller) failureDomains() []string {
	m := map[string]bool{}
	for _, t := range c.targets {
		m[t.Domain] = true
	}
	for _, g := range c.state.Proxies {
		m[g.Domain] = true
	}
	for _, d := range c.settings.Domains {
		m[d] = true
	}
	delete(m, "")
	return slices.Sorted(maps.Keys(m))
}

// TargetView is what operators read of a target.
type TargetView struct {
	wire.Target
	Ejection        string  `json:"bar,omitempty"`
	EjectionLeftMs  int64   `json:"bar_left_ms,omitempty"`
	Why             string  `json:"why"`
	LastHeartbeatMs float64 `json:"last_beat_ms"`
}

// Targets lists what the leader knows of targets, with the reason for each ejection or hold.
func (c *Controller) Targets(now time.Duration) []TargetView {
	l := []TargetView{}
	for _, id := range slices.SortedFunc(maps.Keys(c.targets), wire.TargetID.Compare) {
		t := c.targets[id]
		v := TargetView{Target: t.Target, LastHeartbeatMs: float64(now-t.lastHeartbeatAt) / 1e6, Why: "serving"}
		v.Heartbeating, v.WarmupLeft = t.isHeartbeating(now), t.warmupLeft(now)
		until, why := c.detector.Ejected(now, id)
		if until > now {
			v.Ejection, v.EjectionLeftMs = why, (until - now).Milliseconds()
		}
		switch {
		case t.Draining:
			v.Why = "held: it said that it is leaving"
		case v.Ejection != "":
			v.Why = fmt.Sprintf("barred by policy %s: %s", why, c.detector.Stats()[why].Policy.When)
		case t.unconfirmed:
			v.Why = "known by hearsay: not served until it has answered for itself"
		case t.Pending:
			v.Why = "pending: its address's earlier target is not yet out of every table"
		case slices.Contains(c.state.EmptiedDomains, t.Domain):
			v.Why = "its domain is emptied"
		case t.State == wire.TargetWarming:
			v.Why = "warming: up to its share"
		case v.WarmupLeft > 0:
			v.Why = "cold: up to its service's cold rate"
		}
		l = append(l, v)
	}
	return l
}

// DaemonView is what operators read of a daemon.
type DaemonView struct {
	wire.Daemon
	ProxyMember   bool    `json:"in_roster"`
	Member        bool    `json:"member"`
	LastContactMs float64 `json:"last_heard_ms"`
	TableVersion  uint64  `json:"table,omitempty"`
}

func (c *Controller) daemonViews(now time.Duration) []DaemonView {
	l := []DaemonView{}
	ms := c.node.Members()
	for _, d := range append(c.controlDaemons(now, false), c.proxyDaemons()...) {
		v := DaemonView{Daemon: d, ProxyMember: c.isProxyMember(d.Name)}
		v.Member = slices.ContainsFunc(ms, func(m wire.Member) bool { return m.Name == d.Name })
		if k := c.directory[d.Name]; k != nil {
			v.LastContactMs = float64(now-k.LastContact) / 1e6
		}
		if g := c.proxies[d.Name]; g != nil {
			v.TableVersion = g.tableKey.Version
		}
		l = append(l, v)
	}
	return l
}

func (c *Controller) proxyDaemons() []wire.Daemon {
	var l []wire.Daemon
	for _, n := range slices.Sorted(maps.Keys(c.directory)) {
		if c.directory[n].Kind != wire.ControlDaemon {
			l = append(l, c.directory[n].Daemon)
		}
	}
	return l
}

// StatusView is what operators read of a core daemon and of the core as it knows it.
type StatusView struct {
	// Current says that this member decides at this moment, so that the agreed part of the
	// view is the latest there is. Any other member's view may be old.
	Current      bool             `json:"current"`
	Name         string           `json:"name"`
	Role         string           `json:"role"`
	Leadership   string           `json:"lead"`
	Leader       string           `json:"leader"`
	Epoch        uint64           `json:"epoch"`
	Term         uint64           `json:"term"`
	Revision     uint64           `json:"revision"`
	StateIndex   uint64           `json:"seq"`
	Members      []wire.Member    `json:"members"`
	Emptied      []string         `json:"emptied"`
	Table        wire.TableKey    `json:"table"`
	Targets      int              `json:"targets"`
	Proxies      int              `json:"proxies"`
	ControlPlane ControlPlaneView `json:"core"`
	Damage       []Damage         `json:"damage,omitempty"`       // what could not be read since the start, the last of it
	DiskError    string           `json:"disk_refuses,omitempty"` // why this member's disk takes no writes now
	Counts       Counts           `json:"counts"`
}

// Status is this member's own view.
func (c *Controller) Status(now time.Duration) StatusView {
	v := StatusView{Current: c.leadership == Leading && c.HoldsLease(now), Name: c.settings.Self.Name, Role: "empty", Leadership: c.leadership.String(), Revision: c.state.Revision, StateIndex: c.state.Index,
		Emptied: append([]string{}, c.state.EmptiedDomains...), Targets: len(c.targets), Proxies: len(c.state.Proxies), ControlPlane: c.controlPlaneView(now), Damage: c.damage, DiskError: c.diskError, Counts: c.counts}
	if c.node != nil {
		v.Role, v.Leader, v.Epoch, v.Term, v.Members = c.node.Role().String(), c.node.Leader(), c.node.Epoch(), c.node.Term(), c.node.Members()
	}
	if c.table != nil {
		v.Table = c.table.Key
	}
	return v
}

// Table is what this member has last published as leader.
func (c *Controller) Table() *wire.Table { return c.table }

// Leading says whether this member decides.
func (c *Controller) Leading() bool { return c.leadership == Leading }

// Ready says whether this member takes part in agreement, or knows who leads and passes on to it.
func (c *Controller) Ready() bool {
	return !c.stopping && (c.leaderHint != "" || c.node != nil && c.node.Leader() != "")
}

// Term is the present term, 0 before the core is founded.
func (c *Controller) Term() uint64 {
	if c.node == nil {
		return 0
	}
	return c.node.Term()
}

// HTTPAddr is where a daemon answers operators.
func (c *Controller) HTTPAddr(name string) string {
	if k := c.directory[name]; k != nil {
		return k.HTTP
	}
	return ""
}

// HoldsLease says whether this member may decide at this very moment.
func (c *Controller) HoldsLease(now time.Duration) bool {
	return c.leadership == Leading && c.node.HasLease(now)
}

// Revision is the configuration's that this member has applied.
func (c *Controller) Revision() uint64 { return c.state.Revision }

// Records are the changes that this member keeps.
func (c *Controller) ChangeRecords() []state.Record { return c.state.Records }
