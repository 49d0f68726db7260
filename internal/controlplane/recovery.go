// This file is how daemons find one another and how a core comes to be: the first
// time, and again after a loss that no majority survived.
//
// A founding is an epoch with its members. Its founders are a majority of the last
// core's members by name, and whoever locks one on disk takes part in no earlier
// epoch any more; so once all founders have locked, those left of any earlier core
// are no majority. Places of machines that were not there are kept by names without
// a disk, so that any two foundings share a machine that locked both, one after the
// other. docs/design.md goes through the cases.

package controlplane

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// retired says that this member has locked a later founding than the epoch it stands in.
func (c *Controller) superseded() bool {
	return c.node != nil && c.persistentState.BootstrapEpoch > c.node.Epoch()
}

// syncedLockEpoch is the epoch of a lock that is on disk.
func (c *Controller) syncedLockEpoch() uint64 {
	if c.syncedSeq < c.bootstrapLockSeq {
		return 0
	}
	return c.persistentState.BootstrapEpoch
}

// memory is what a proxy remembers, and the members that it names.
type proxyRecoveredState struct {
	state.RecoveredState
	members discovery.Membership
}

// recvRecoveredState takes what another daemon says that it remembers. A proxy's is long, and all proxies
// tell theirs as soon as they lose a leader, so a member puts it by unread until nobody hears a
// leader: it matters only where a core has to be founded.
func (c *Controller) recvRecoveredState(m *wire.Message) {
	if len(m.Hello.RecoveredState) == 0 {
		return
	}
	if m.Hello.Self.Kind == wire.ProxyDaemon {
		c.unreadRecoveredStates[m.From] = m.Hello.RecoveredState
		if c.node == nil || c.leadership == Recovering {
			c.decodeProxyStates()
		}
		return
	}
	if l, ok := decodeRecoveredState(m.Hello.RecoveredState); ok {
		c.addRecovered(l)
	}
}

// decodeProxyStates reads what proxies have told.
func (c *Controller) decodeProxyStates() {
	for _, from := range slices.Sorted(maps.Keys(c.unreadRecoveredStates)) {
		if l, ok := decodeRecoveredState(c.unreadRecoveredStates[from]); ok {
			c.addRecovered(l)
			c.recordProxyState(from, l)
		}
	}
	clear(c.unreadRecoveredStates)
}

// decodeRecoveredState reads a state as hellos carry it.
func decodeRecoveredState(b []byte) (l state.RecoveredState, ok bool) {
	plain, err := wire.Decompress(b)
	return l, err == nil && json.Unmarshal(plain, &l) == nil
}

// recordProxyState keeps what a proxy remembers. It says so again and again while it has no leader,
// so only what is new is read.
func (c *Controller) recordProxyState(from string, l state.RecoveredState) {
	if m := c.proxyRecoveredStates[from]; m.Epoch == l.Epoch && m.Term == l.Term && m.Index == l.Index && bytes.Equal(m.State, l.State) {
		return
	}
	m := proxyRecoveredState{RecoveredState: l}
	if s, err := state.Decode(l.State); err != nil {
		c.reportDamage("memory of proxy "+from, err)
	} else if len(s.Members) > 0 {
		m.members = discovery.Membership{Epoch: l.Epoch, Index: l.Index, Members: s.Members}
	}
	c.proxyRecoveredStates[from] = m
}

// latestMembership is the latest list known here: its own, other members', or proxies'.
func (c *Controller) latestMembership() (m discovery.Membership) {
	if c.node != nil && len(c.node.Members()) > 0 {
		m = discovery.Membership{Epoch: c.node.Epoch(), Index: c.node.Commit(), Members: c.node.Members()}
	}
	for _, n := range slices.Sorted(maps.Keys(c.directory)) {
		if k := c.directory[n]; k.Kind == wire.ControlDaemon && m.IsBefore(k.Members) {
			m = k.Members
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.proxyRecoveredStates)) {
		if k := c.proxyRecoveredStates[n].members; m.IsBefore(k) {
			m = k
		}
	}
	return m
}

// outlook is what can be said of the last core from those who are seen.
type membershipSurvey struct {
	last                            discovery.Membership
	fixedSize                       bool
	size                            int // how many members a founding has
	lostDisk, withDisk, unreachable int // of the last members: disk gone, here with their disk and no later lock, not seen
}

func (c *Controller) surveyMembers(all []wire.Daemon, gone []string) membershipSurvey {
	o := membershipSurvey{last: c.latestMembership(), fixedSize: c.settings.BootstrapSize > 0}
	o.size = cmp.Or(len(o.last.Members), c.bootstrapSize)
	for _, n := range gone {
		if !slices.ContainsFunc(all, func(d wire.Daemon) bool { return d.Name == n }) &&
			(len(o.last.Members) == 0 || slices.ContainsFunc(o.last.Members, func(m wire.Member) bool { return m.Name == n })) {
			o.size--
		}
	}
	for _, m := range o.last.Members {
		i := slices.IndexFunc(all, func(d wire.Daemon) bool { return d.Name == m.Name })
		switch {
		case m.Disk == 0: // nobody
		case i < 0 && slices.Contains(gone, m.Name) || i >= 0 && all[i].Disk != m.Disk:
			o.lostDisk++
		case i < 0:
			o.unreachable++
		case c.bootstrapEpochOf(m.Name) <= o.last.Epoch:
			o.withDisk++
		}
	}
	return o
}

func (c *Controller) bootstrapEpochOf(name string) uint64 {
	if name == c.settings.Self.Name {
		return c.persistentState.BootstrapEpoch
	}
	return c.directory[name].BootstrapEpoch
}

// founders are those of the seen who may found: the last core's members by name,
// or, if nobody remembers one, whoever says that it may found the first.
func (o membershipSurvey) eligibleFounders(all []wire.Daemon) []wire.Daemon {
	return slices.DeleteFunc(slices.Clone(all), func(d wire.Daemon) bool {
		if len(o.last.Members) == 0 {
			return !o.fixedSize && d.State != emptyState
		}
		return !slices.ContainsFunc(o.last.Members, func(m wire.Member) bool { return m.Name == d.Name })
	})
}

// elects says that the last core can go on by itself.
func (o membershipSurvey) canElect() bool { return 2*o.withDisk > len(o.last.Members) }

// certain says that it can't decide, whatever those that are not seen still hold.
func (o membershipSurvey) canNeverElect() bool {
	return 2*(o.withDisk+o.unreachable) <= len(o.last.Members)
}

func (c *Controller) operatorConsent(all []wire.Daemon) (refound bool, gone []string) {
	for _, d := range all {
		v := c.recoveryConsent
		if k := c.directory[d.Name]; d.Name != c.settings.Self.Name && k != nil {
			v = k.Consent
		}
		refound = refound || v.Granted
		gone = append(gone, v.LostMembers...)
	}
	slices.Sort(gone)
	return refound, slices.Compact(gone)
}

// found forms a core. Those who are seen are its founders if none of them hears a
// leader, if they are a majority of the places, and if the last core that any of
// them, or a proxy, knows of is over once they have locked. Without all of them it
// must be over whatever those not seen still hold, or an operator must say so. All
// must offer the same founding, and have locked it on disk, before any acts on it.
func (c *Controller) bootstrap(now time.Duration) {
	if c.recoveryConsent.Granted && now-c.recoveryConsent.GrantedAt > tuning.ConsentTTL {
		c.recoveryConsent = discovery.RecoveryConsent{}
	}
	all := c.controlDaemons(now, true)
	if c.syncedLockEpoch() > c.persistentState.Epoch && c.completeBootstrap(now, all) {
		return
	}
	c.currentOffer = 0
	if c.daemonWithLeader(now, all) != "" {
		c.visibleFounders = ""
		return
	}
	c.decodeProxyStates()
	refound, gone := c.operatorConsent(all)
	o := c.surveyMembers(all, gone)
	all = o.eligibleFounders(all)
	var b strings.Builder
	for _, d := range all {
		fmt.Fprintf(&b, "%s %d ", d.Name, d.Disk)
	}
	if b.String() != c.visibleFounders {
		c.visibleFounders, c.visibleFoundersSince = b.String(), now
	}
	if len(all) > o.size || 2*len(all) <= o.size || o.canElect() || !slices.ContainsFunc(all, func(d wire.Daemon) bool { return d.Name == c.settings.Self.Name }) {
		return
	}
	offer, epoch, ms := c.nextBootstrap(all, o.size)
	if len(all) < o.size {
		waited := now-c.visibleFoundersSince >= tuning.BootstrapWait && o.canNeverElect()
		if !waited && !refound && !slices.ContainsFunc(all, func(d wire.Daemon) bool { return d.Name != c.settings.Self.Name && d.BootstrapOffer == offer }) {
			return
		}
	}
	c.currentOffer = offer
	for _, d := range all {
		if d.BootstrapOffer != c.currentOffer && d.Name != c.settings.Self.Name {
			return
		}
	}
	if c.persistentState.BootstrapLock != c.currentOffer {
		k := &wire.Batch{BootstrapLock: c.currentOffer, Founders: ms, BootstrapEpoch: epoch}
		c.persistentState.ApplyBatch(k)
		if c.node == nil {
			c.syncImage()
			c.bootstrapLockSeq = c.batchOffset
		} else {
			c.bootstrapLockSeq = c.batchOffset + c.node.Persist(now, k)
		}
	}
}

// founding is what those seen would found: the epoch after all that they know, or
// the one that some of them have locked already for this very set.
func (c *Controller) nextBootstrap(all []wire.Daemon, places int) (offer, epoch uint64, ms []wire.Member) {
	for _, d := range all {
		epoch = max(epoch, d.Epoch, c.bootstrapEpochOf(d.Name))
		ms = append(ms, wire.Member{Name: d.Name, Disk: d.Disk})
	}
	for _, k := range c.directory {
		epoch = max(epoch, k.Epoch, k.BootstrapEpoch)
	}
	for i := len(ms); i < places; i++ {
		ms = append(ms, wire.Member{Name: fmt.Sprintf("absent-%d", i+1)})
	}
	sum := func(epoch uint64) uint64 {
		var b [16]byte
		h := fnv.New64a()
		for _, m := range ms {
			binary.LittleEndian.PutUint64(b[:], m.Disk)
			binary.LittleEndian.PutUint64(b[8:], epoch)
			h.Write([]byte(m.Name))
			h.Write(b[:])
		}
		return h.Sum64()
	}
	offer = sum(epoch)
	for _, d := range all {
		if epoch > 0 && d.Epoch < epoch && d.BootstrapLock == offer {
			return offer, epoch, ms
		}
	}
	return sum(epoch + 1), epoch + 1, ms
}

// claim keeps on disk that this process was told to found, so that a restart while it
// does changes nothing: as a lock of no epoch.
func (c *Controller) recordBootstrapIntent() {
	if c.settings.BootstrapSize > 0 || c.bootstrapSize == 0 || c.node != nil || c.persistentState.BootstrapLock != 0 {
		return
	}
	b := &wire.Batch{BootstrapLock: 1}
	for i := range c.bootstrapSize {
		b.Founders = append(b.Founders, wire.Member{Name: fmt.Sprintf("absent-%d", i+1)})
	}
	c.persistentState.ApplyBatch(b)
	c.syncImage()
}

// carryOut acts on a lock: when all founders have it, or when one has acted, since
// then all had.
func (c *Controller) completeBootstrap(now time.Duration, all []wire.Daemon) bool {
	locked := true
	for _, m := range c.persistentState.Founders {
		i := slices.IndexFunc(all, func(d wire.Daemon) bool { return d.Name == m.Name && d.Disk == m.Disk })
		locked = locked && (m.Disk == 0 || i >= 0 && all[i].BootstrapLock == c.persistentState.BootstrapLock)
		if i >= 0 && all[i].BootstrapLock == c.persistentState.BootstrapLock && all[i].Epoch == c.persistentState.BootstrapEpoch {
			locked = true
			break
		}
	}
	if locked {
		c.beginEpoch(now)
	}
	return locked
}

// vacant says that this process is no member of anything: empty, or only learning.
func (c *Controller) isNonVoter() bool {
	return c.node == nil || !slices.Contains(c.node.Members(), wire.Member{Name: c.settings.Self.Name, Disk: c.persistentState.Disk})
}

func (c *Controller) beginEpoch(now time.Duration) {
	epoch := c.persistentState.BootstrapEpoch
	// The founding is entry 1, so that a member that was too slow to found learns it as a snapshot.
	img := consensus.PersistentState{Epoch: epoch, Disk: c.persistentState.Disk, BootstrapLock: c.persistentState.BootstrapLock, Founders: c.persistentState.Founders, BootstrapEpoch: epoch,
		Snapshot: wire.Snapshot{Index: 1, Members: c.persistentState.Founders}}
	img.RecoveredState = c.persistentState.RecoveredState
	s, term, err := stateFromDisk(&c.persistentState)
	if err != nil { // it goes on with what comes before the damage, which says of itself how old it is
		c.reportDamage("state on this disk", err)
	}
	if s.Recovered && !c.isNonVoter() {
		b, _ := json.Marshal(s)
		img.RecoveredState, _ = json.Marshal(state.RecoveredState{Epoch: c.node.Epoch(), Term: term, Index: s.Index, State: b})
	}
	there := 0
	for _, m := range img.Founders {
		if m.Disk != 0 {
			there++
		}
	}
	c.node, c.persistentState, c.currentOffer, c.recoveryConsent = nil, img, 0, discovery.RecoveryConsent{}
	c.batchOffset += 1 << 32 // past every number of the old node
	c.syncImage()
	c.startNode(now)
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectEpoch, From: "", To: fmt.Sprint(epoch), Reason: fmt.Sprintf("%d of %d members agreed to found", there, len(img.Founders))})
}

func (c *Controller) joinEpoch(now time.Duration, epoch uint64) {
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectEpoch, From: fmt.Sprint(c.persistentState.Epoch), To: fmt.Sprint(epoch), Reason: "joined"})
	c.node, c.currentOffer = nil, 0
	c.persistentState = consensus.PersistentState{Epoch: epoch, Disk: c.persistentState.Disk}
	c.batchOffset += 1 << 32
	c.syncImage()
	c.startNode(now)
}

// refound is an operator's override for what can't be decided safely from here: the
// members who are seen found again without waiting for anybody's memory. It is
// refused while a majority of the last core may still live; machines that are
// confirmed to be gone for good count as lost, unless they were heard of lately.
func (c *Controller) recoverByOperator(now time.Duration, list string) statemachine.Reply {
	no := func(code, f string, a ...any) statemachine.Reply {
		return reply.Problem(409, config.ErrorBody{Code: code, Message: fmt.Sprintf(f, a...) + "; nothing was changed"})
	}
	if c.leadership == Recovering && !c.canRecover() {
		c.emptyStateAllowed = true
		return statemachine.Reply{Status: 202, Body: reply.Body(map[string]any{"begins_empty": true})}
	}
	gone := strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
	all := c.controlDaemons(now, true)
	if n := c.daemonWithLeader(now, all); n != "" {
		return no("living", "%s hears a leader", n)
	}
	for _, n := range gone {
		if k := c.directory[n]; n == c.settings.Self.Name || k != nil && now-k.LastContact < tuning.DaemonExpiry {
			return no("alive", "%s was heard less than %v ago", n, tuning.DaemonExpiry)
		}
	}
	o := c.surveyMembers(all, gone)
	all = o.eligibleFounders(all)
	switch {
	case 2*len(all) <= o.size:
		return no("may_live", "%d of %d machines are seen, and the others may be a living majority; name those that are gone for good", len(all), o.size)
	case o.canElect():
		return no("living", "%d of %d members are here with their disks and can elect a leader", o.withDisk, len(o.last.Members))
	}
	c.recoveryConsent = discovery.RecoveryConsent{Granted: true, LostMembers: gone, GrantedAt: now}
	return statemachine.Reply{Status: 202, Body: reply.Body(map[string]any{"refounding": true, "seen": len(all), "lost": o.lostDisk, "not_seen": o.unreachable})}
}
