// Package discovery is what a daemon knows of the others: who there is, where, and who leads, as
// hellos tell it. It sends nothing itself.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Peer is what a daemon has heard of another.
type Peer struct {
	wire.Daemon
	LastContact    time.Duration
	Leader         string
	Term           uint64
	Members        Membership
	BootstrapEpoch uint64
	Consent        RecoveryConsent
}

// Membership is a list of members as of an epoch and a place in its log.
type Membership struct {
	Epoch, Index uint64
	Members      []wire.Member
}

func (m Membership) IsBefore(o Membership) bool {
	return cmp.Or(cmp.Compare(m.Epoch, o.Epoch), cmp.Compare(m.Index, o.Index)) < 0
}

// RecoveryConsent is an operator's word that a core must be founded again, and that the disks of
// some of its members will never come back.
type RecoveryConsent struct {
	Granted     bool
	LostMembers []string
	GrantedAt   time.Duration
}

// Directory is a daemon's list of the others, by name.
type Directory map[string]*Peer

// Merge merges what a hello says of the daemons: its sender is taken at its word,
// others are only added.
func (b Directory) Merge(now time.Duration, self string, h *wire.Hello) {
	if h.Self.Name == "" || h.Self.Name == self {
		return
	}
	b[h.Self.Name] = &Peer{Daemon: h.Self, LastContact: now, Leader: h.Leader, Term: h.Term, BootstrapEpoch: h.BootstrapEpoch,
		Members: Membership{h.MembersEpoch, h.MembersIndex, h.Members}, Consent: RecoveryConsent{h.RecoveryConsent, h.LostMembers, now}}
	for _, d := range h.Daemons {
		if b[d.Name] == nil && d.Name != self && d.Name != "" {
			b[d.Name] = &Peer{Daemon: d, LastContact: now - tuning.DaemonExpiry/2}
		}
	}
}

// Daemons is the book as it is handed on.
func (b Directory) Daemons() (l []wire.Daemon) {
	for _, n := range slices.Sorted(maps.Keys(b)) {
		l = append(l, b[n].Daemon)
	}
	return l
}

// Leader is the one that core daemons last named, in the latest epoch and term.
func (b Directory) Leader(now time.Duration) string {
	var best *Peer
	for _, n := range slices.Sorted(maps.Keys(b)) {
		k := b[n]
		if k.Kind == wire.ControlDaemon && k.Leader != "" && now-k.LastContact < tuning.DaemonExpiry &&
			(best == nil || cmp.Or(cmp.Compare(k.Epoch, best.Epoch), cmp.Compare(k.Term, best.Term)) > 0) {
			best = k
		}
	}
	if best == nil {
		return ""
	}
	return best.Leader
}
