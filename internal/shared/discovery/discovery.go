// Package discovery is what a daemon knows of the other daemons from their hellos: which there are, at
// which addresses, and who leads. It sends nothing, and has no clock: times are those of the daemon that
// asks, since its start. Begin with Directory.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Peer is what a daemon knows of another one.
type Peer struct {
	wire.Daemon
	// LastContact is when its last hello arrived. For one that is known from others' hellos only, it
	// is set back by half of tuning.DaemonExpiry.
	LastContact time.Duration
	// Leader names the leader that it has contact with, "" if it has none.
	Leader string
	// Term is its term, 0 if it is no member.
	Term uint64
	// Members is the latest membership that it knows.
	Members Membership
	// BootstrapEpoch is the latest epoch that it has locked for a bootstrap, 0: none.
	BootstrapEpoch uint64
	// Consent is the operator's consent to a recovery that it was given.
	Consent RecoveryConsent
}

// Membership is the control plane's members as of an epoch and an index of its log.
type Membership struct {
	Epoch, Index uint64
	Members      []wire.Member
}

// IsBefore says that other is later: of a later epoch, else of a later entry.
func (m Membership) IsBefore(other Membership) bool {
	return cmp.Or(cmp.Compare(m.Epoch, other.Epoch), cmp.Compare(m.Index, other.Index)) < 0
}

// RecoveryConsent is an operator's consent to recover a control plane without waiting for the members
// that are missing.
type RecoveryConsent struct {
	Granted bool
	// LostMembers names the members whose disks the operator knows to be lost for good.
	LostMembers []string
	// GrantedAt is when this daemon learnt of it.
	GrantedAt time.Duration
}

// Directory is a daemon's list of the others, by name.
type Directory map[string]*Peer

// Merge adds what a hello says of daemons. What its sender says of itself replaces what was known of
// it; the daemons that it lists are only added if they were unknown. Self is the name of the receiver,
// which is never in its own directory.
func (d Directory) Merge(now time.Duration, self string, hello *wire.Hello) {
	sender := hello.Self
	if sender.Name == "" || sender.Name == self {
		return
	}
	d[sender.Name] = &Peer{
		Daemon:         sender,
		LastContact:    now,
		Leader:         hello.Leader,
		Term:           hello.Term,
		BootstrapEpoch: hello.BootstrapEpoch,
		Members:        Membership{Epoch: hello.MembersEpoch, Index: hello.MembersIndex, Members: hello.Members},
		Consent:        RecoveryConsent{Granted: hello.RecoveryConsent, LostMembers: hello.LostMembers, GrantedAt: now},
	}
	for _, listed := range hello.Daemons {
		if d[listed.Name] == nil && listed.Name != self && listed.Name != "" {
			d[listed.Name] = &Peer{Daemon: listed, LastContact: now - tuning.DaemonExpiry/2}
		}
	}
}

// Daemons are the daemons of the directory, sorted by name.
func (d Directory) Daemons() []wire.Daemon {
	var daemons []wire.Daemon
	for _, name := range slices.Sorted(maps.Keys(d)) {
		daemons = append(daemons, d[name].Daemon)
	}
	return daemons
}

// Leader is the leader that a control daemon named in the latest epoch and term, "" if none did within
// tuning.DaemonExpiry.
func (d Directory) Leader(now time.Duration) string {
	var latest *Peer
	for _, name := range slices.Sorted(maps.Keys(d)) {
		peer := d[name]
		if peer.Kind != wire.ControlDaemon || peer.Leader == "" || now-peer.LastContact >= tuning.DaemonExpiry {
			continue
		}
		if latest == nil || cmp.Or(cmp.Compare(peer.Epoch, latest.Epoch), cmp.Compare(peer.Term, latest.Term)) > 0 {
			latest = peer
		}
	}
	if latest == nil {
		return ""
	}
	return latest.Leader
}
