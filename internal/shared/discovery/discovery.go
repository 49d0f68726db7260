// Package discovery keeps what a daemon learns about other daemons from their hellos: their names, addresses and kinds,
// and who is the leader. It does no I/O and has no clock: times are passed in and measured from the start of the calling
// daemon. Start with Directory.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Peer is what a daemon knows about another daemon.
type Peer struct {
	wire.Daemon
	// LastContact is when the daemon's last hello arrived. For a daemon that is known only from the lists in others'
	// hellos, it is half of tuning.DaemonExpiry before the time at which it was first listed.
	LastContact time.Duration
	// Leader is the name of the leader with which the daemon has contact, "" if there is none.
	Leader string
	// Term is the daemon's term, 0 if it is not a member of the control plane.
	Term uint64
	// Members is the latest membership that the daemon knows.
	Members Membership
	// BootstrapEpoch is the latest epoch that the daemon has locked for a bootstrap, 0 if there is none.
	BootstrapEpoch uint64
	// Consent is the operator's consent to a recovery that the daemon has received.
	Consent RecoveryConsent
}

// Membership is the list of the control plane's members as of an epoch and a log index.
type Membership struct {
	Epoch, Index uint64
	Members      []wire.Member
}

// IsBefore reports whether m is older than other: by epoch, then by log index.
func (m Membership) IsBefore(other Membership) bool {
	return cmp.Or(cmp.Compare(m.Epoch, other.Epoch), cmp.Compare(m.Index, other.Index)) < 0
}

// RecoveryConsent is an operator's consent to recover a control plane without waiting for missing members.
type RecoveryConsent struct {
	Granted bool
	// LostMembers are the names of the members whose disks are permanently lost, according to the operator.
	LostMembers []string
	// GrantedAt is when this daemon learned of the consent.
	GrantedAt time.Duration
}

// Directory holds the other daemons that a daemon knows, by name.
type Directory map[string]*Peer

// Merge adds the contents of a hello. The sender's data about itself replace its entry; the daemons that it lists are
// added only if they were unknown. self is the name of the receiver, which is never in its own directory.
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

// Daemons returns the daemons in the directory, sorted by name.
func (d Directory) Daemons() []wire.Daemon {
	var daemons []wire.Daemon
	for _, name := range slices.Sorted(maps.Keys(d)) {
		daemons = append(daemons, d[name].Daemon)
	}
	return daemons
}

// Leader returns the leader that was reported in the latest epoch and term by a control daemon heard from within
// tuning.DaemonExpiry, "" if there is none.
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
