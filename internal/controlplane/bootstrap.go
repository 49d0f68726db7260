// This file bootstraps the control plane: at its first start, and again after a failure that left no majority.
//
// Each bootstrap begins an epoch with a set of members. The founders are a majority of the last members by name. A
// founder that has locked a bootstrap on disk no longer takes part in any earlier epoch. Once all founders have locked
// it, the remaining members of the last control plane are not a majority and can't elect a leader. A member whose
// machine is absent is kept as a placeholder: a name without a disk. Therefore the founders of any two bootstraps have
// a machine in common, which locked one after the other. docs/design.md describes the cases.

package controlplane

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// bootstrap takes the next step of a bootstrap, if one is needed. The visible founders begin an epoch if none of them
// has a leader, if they are a majority of the last members, and if the last members can't elect a leader once the
// founders have locked. Each founder offers the epoch that it would begin. A founder locks its offer on disk only when
// all founders offer the same, and begins the epoch only when all have locked it.
func (c *Controller) bootstrap(now time.Duration) {
	if c.recoveryConsent.Granted && now-c.recoveryConsent.GrantedAt > tuning.ConsentTTL {
		c.recoveryConsent = discovery.RecoveryConsent{}
	}
	visible := c.visibleControlDaemons(now)
	if c.syncedLockEpoch() > c.persistentState.Epoch && c.completeBootstrap(now, visible) {
		return
	}
	c.currentOffer = 0
	if c.daemonWithLeader(now, visible) != "" {
		c.visibleFounders = ""
		return
	}
	c.decodeProxyStates()
	consent := c.mergedRecoveryConsent(visible)
	survey := c.surveyMembers(visible, consent.LostMembers)
	founders := survey.eligibleFounders(visible)
	c.updateVisibleFounders(now, founders)
	if !c.mayBootstrap(&survey, founders) {
		return
	}
	plan := c.planBootstrap(founders, survey.size)
	if len(founders) < survey.size && !consent.Granted && !c.mayBootstrapIncomplete(now, &survey, founders, plan.offer) {
		return
	}
	c.currentOffer = plan.offer
	if !c.allFoundersOffer(founders, plan.offer) {
		return
	}
	if c.persistentState.BootstrapLock != plan.offer {
		c.lockBootstrap(now, plan)
	}
}

// updateVisibleFounders records the visible founders, with their disks, and since when they have been the same.
func (c *Controller) updateVisibleFounders(now time.Duration, founders []wire.Daemon) {
	var names strings.Builder
	for _, founder := range founders {
		fmt.Fprintf(&names, "%s %d ", founder.Name, founder.Disk)
	}
	if names.String() != c.visibleFounders {
		c.visibleFounders, c.visibleFoundersSince = names.String(), now
	}
}

// mayBootstrap reports whether this member is one of the founders and they may begin an epoch: they are a majority, so
// no other group can begin one at the same time, and the last control plane can't elect a leader by itself.
func (c *Controller) mayBootstrap(survey *membershipSurvey, founders []wire.Daemon) bool {
	return len(founders) <= survey.size &&
		2*len(founders) > survey.size &&
		!survey.canElect() &&
		indexOfDaemon(founders, c.settings.Self.Name) >= 0
}

// mayBootstrapIncomplete reports whether the founders may begin an epoch without an operator's consent although some are
// missing. They may if the missing ones had tuning.BootstrapWait to appear and the last control plane would have no
// majority even with them, or if another founder makes the same offer, since that founder has already checked this.
func (c *Controller) mayBootstrapIncomplete(now time.Duration, survey *membershipSurvey, founders []wire.Daemon, offer uint64) bool {
	if now-c.visibleFoundersSince >= tuning.BootstrapWait && survey.canNeverElect() {
		return true
	}
	return slices.ContainsFunc(founders, func(d wire.Daemon) bool { return d.Name != c.settings.Self.Name && d.BootstrapOffer == offer })
}

// allFoundersOffer reports whether all other founders make the given offer.
func (c *Controller) allFoundersOffer(founders []wire.Daemon, offer uint64) bool {
	return !slices.ContainsFunc(founders, func(d wire.Daemon) bool { return d.Name != c.settings.Self.Name && d.BootstrapOffer != offer })
}

// bootstrapPlan describes the epoch that the founders would begin.
type bootstrapPlan struct {
	offer   uint64 // digest of epoch and members, by which founders compare their plans; also identifies the lock
	epoch   uint64
	members []wire.Member
}

// planBootstrap returns the plan of the founders for an epoch with size members. It is the epoch that some of them have
// already locked with the same members or, if there is none, the one after the latest epoch that they know of.
func (c *Controller) planBootstrap(founders []wire.Daemon, size int) bootstrapPlan {
	latest := uint64(0)
	members := make([]wire.Member, 0, size)
	for _, founder := range founders {
		latest = max(latest, founder.Epoch, c.bootstrapEpochOf(founder.Name))
		members = append(members, wire.Member{Name: founder.Name, Disk: founder.Disk})
	}
	for _, peer := range c.directory {
		latest = max(latest, peer.Epoch, peer.BootstrapEpoch)
	}
	for len(members) < size {
		members = append(members, placeholderMember(len(members)+1))
	}
	lockedOffer := offerDigest(latest, members)
	isLocked := latest > 0 && slices.ContainsFunc(founders, func(d wire.Daemon) bool {
		return d.Epoch < latest && d.BootstrapLock == lockedOffer
	})
	if isLocked {
		return bootstrapPlan{offer: lockedOffer, epoch: latest, members: members}
	}
	return bootstrapPlan{offer: offerDigest(latest+1, members), epoch: latest + 1, members: members}
}

// placeholderMember returns a placeholder for a member whose machine is absent. Numbers start at 1. A placeholder has no
// disk and never votes, but counts as a member when a majority is determined.
func placeholderMember(number int) wire.Member {
	return wire.Member{Name: fmt.Sprintf("absent-%d", number)}
}

// offerDigest returns the digest of an epoch and its members.
func offerDigest(epoch uint64, members []wire.Member) uint64 {
	var numbers [16]byte
	digest := fnv.New64a()
	for _, member := range members {
		binary.LittleEndian.PutUint64(numbers[:], member.Disk)
		binary.LittleEndian.PutUint64(numbers[8:], epoch)
		digest.Write([]byte(member.Name))
		digest.Write(numbers[:])
	}
	return digest.Sum64()
}

// lockBootstrap writes a lock for the plan to disk. The lock takes effect, and is announced to others, once it is synced.
func (c *Controller) lockBootstrap(now time.Duration, plan bootstrapPlan) {
	lock := &wire.Batch{BootstrapLock: plan.offer, Founders: plan.members, BootstrapEpoch: plan.epoch}
	c.persistentState.ApplyBatch(lock)
	if c.node == nil {
		c.syncCheckpoint()
		c.bootstrapLockSeq = c.batchOffset
		return
	}
	c.bootstrapLockSeq = c.batchOffset + c.node.Persist(now, lock)
}

// syncedLockEpoch returns the epoch of the lock on disk, 0 if there is none or it is not synced yet.
func (c *Controller) syncedLockEpoch() uint64 {
	if c.syncedSeq < c.bootstrapLockSeq {
		return 0
	}
	return c.persistentState.BootstrapEpoch
}

// superseded reports whether this member has locked a later epoch than the one its node is in. It then no longer takes
// part in the node's epoch.
func (c *Controller) superseded() bool {
	return c.node != nil && c.persistentState.BootstrapEpoch > c.node.Epoch()
}

// completeBootstrap begins the epoch that this member has locked and reports whether it did. All founders must have
// locked it, which is also certain if one of them has already begun it.
func (c *Controller) completeBootstrap(now time.Duration, visible []wire.Daemon) (begun bool) {
	if !c.allFoundersLocked(visible) && !c.anyFounderInEpoch(visible) {
		return false
	}
	c.beginEpoch(now)
	return true
}

// allFoundersLocked reports whether all founders with a disk are visible and hold the same lock as this member.
func (c *Controller) allFoundersLocked(visible []wire.Daemon) bool {
	for _, member := range c.persistentState.Founders {
		if member.Disk == 0 {
			continue
		}
		if founder := findMember(visible, member); founder == nil || founder.BootstrapLock != c.persistentState.BootstrapLock {
			return false
		}
	}
	return true
}

// anyFounderInEpoch reports whether a visible founder with the same lock has already begun the locked epoch.
func (c *Controller) anyFounderInEpoch(visible []wire.Daemon) bool {
	for _, member := range c.persistentState.Founders {
		founder := findMember(visible, member)
		if founder != nil && founder.BootstrapLock == c.persistentState.BootstrapLock && founder.Epoch == c.persistentState.BootstrapEpoch {
			return true
		}
	}
	return false
}

// findMember returns the daemon in the list that has the member's name and disk, nil if there is none.
func findMember(daemons []wire.Daemon, member wire.Member) *wire.Daemon {
	i := indexOfDaemon(daemons, member.Name)
	if i < 0 || daemons[i].Disk != member.Disk {
		return nil
	}
	return &daemons[i]
}

// provisionalLock is the value of a lock that belongs to no epoch. See recordBootstrapIntent.
const provisionalLock = 1

// recordBootstrapIntent records on disk that this process may bootstrap the first control plane, and with how many
// members, so that a restart during the bootstrap does not change either. The record is a provisional lock with one
// placeholder for each member.
func (c *Controller) recordBootstrapIntent() {
	if c.settings.BootstrapSize > 0 || c.bootstrapSize == 0 || c.node != nil || c.persistentState.BootstrapLock != 0 {
		return
	}
	intent := &wire.Batch{BootstrapLock: provisionalLock}
	for i := range c.bootstrapSize {
		intent.Founders = append(intent.Founders, placeholderMember(i+1))
	}
	c.persistentState.ApplyBatch(intent)
	c.syncCheckpoint()
}
