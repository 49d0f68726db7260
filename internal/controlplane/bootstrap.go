// This file is how a control plane comes to be: the first time, and again after a loss that left no majority.
//
// Each bootstrap begins an epoch, with its members. The founders are a majority of the last members by name,
// and a founder that has locked a bootstrap on disk takes part in no earlier epoch any more. So once all
// founders have locked it, those of the last control plane that have not are no majority, and can elect no
// leader. Members whose machines are not there are kept by names without a disk, so that the founders of any two
// bootstraps share a machine, which locked one after the other. docs/design.md goes through the cases.

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

// bootstrap takes the next step of a bootstrap, if one is needed. The visible founders begin an epoch if none
// of them has a leader, if they are a majority of the last members, and if these can't elect a leader once the
// founders have locked. Each offers the epoch that it would begin; only when all offer the same does each lock it on disk,
// and only when all have locked it does any act on it.
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
	consent := c.operatorsConsent(visible)
	survey := c.surveyMembers(visible, consent.LostMembers)
	founders := survey.eligibleFounders(visible)
	c.trackFounders(now, founders)
	if !c.mayFound(&survey, founders) {
		return
	}
	plan := c.planBootstrap(founders, survey.size)
	if len(founders) < survey.size && !consent.Granted && !c.mayFoundIncomplete(now, &survey, founders, plan.offer) {
		return
	}
	c.currentOffer = plan.offer
	if !c.allOffer(founders, plan.offer) {
		return
	}
	if c.persistentState.BootstrapLock != plan.offer {
		c.lockBootstrap(now, plan)
	}
}

// trackFounders keeps since when the visible founders are the same.
func (c *Controller) trackFounders(now time.Duration, founders []wire.Daemon) {
	var names strings.Builder
	for _, founder := range founders {
		fmt.Fprintf(&names, "%s %d ", founder.Name, founder.Disk)
	}
	if names.String() != c.visibleFounders {
		c.visibleFounders, c.visibleFoundersSince = names.String(), now
	}
}

// mayFound says that this member is one of the founders, and that they may begin an epoch: they are a majority, so
// that no others can begin one beside them, and the last control plane can't go on by itself.
func (c *Controller) mayFound(survey *membershipSurvey, founders []wire.Daemon) bool {
	return len(founders) <= survey.size &&
		2*len(founders) > survey.size &&
		!survey.canElect() &&
		indexOfDaemon(founders, c.settings.Self.Name) >= 0
}

// mayFoundIncomplete says that founders that are not all may begin an epoch without an operator's consent: those missing
// had time to come, and even with them the last control plane has no majority; or another founder offers
// the same, which has found that to be so.
func (c *Controller) mayFoundIncomplete(now time.Duration, survey *membershipSurvey, founders []wire.Daemon, offer uint64) bool {
	if now-c.visibleFoundersSince >= tuning.BootstrapWait && survey.canNeverElect() {
		return true
	}
	return slices.ContainsFunc(founders, func(d wire.Daemon) bool { return d.Name != c.settings.Self.Name && d.BootstrapOffer == offer })
}

// allOffer says that all other founders make the same offer.
func (c *Controller) allOffer(founders []wire.Daemon, offer uint64) bool {
	return !slices.ContainsFunc(founders, func(d wire.Daemon) bool { return d.Name != c.settings.Self.Name && d.BootstrapOffer != offer })
}

// bootstrapPlan is an epoch that founders would begin.
type bootstrapPlan struct {
	offer   uint64 // digest of epoch and members, by which founders compare their plans; also names the lock
	epoch   uint64
	members []wire.Member
}

// planBootstrap is the epoch that founders would begin: the epoch after all that they know of, or the one that some of them
// have locked already with the same members.
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
		members = append(members, absentMember(len(members)+1))
	}
	lockedOffer := offerOf(latest, members)
	isLocked := latest > 0 && slices.ContainsFunc(founders, func(d wire.Daemon) bool {
		return d.Epoch < latest && d.BootstrapLock == lockedOffer
	})
	if isLocked {
		return bootstrapPlan{offer: lockedOffer, epoch: latest, members: members}
	}
	return bootstrapPlan{offer: offerOf(latest+1, members), epoch: latest + 1, members: members}
}

// absentMember stands for a member whose machine is not there, by its number from 1. It has no disk, so it never
// votes and counts against every majority.
func absentMember(number int) wire.Member {
	return wire.Member{Name: fmt.Sprintf("absent-%d", number)}
}

// offerOf is the digest of an epoch and its members.
func offerOf(epoch uint64, members []wire.Member) uint64 {
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

// lockBootstrap writes a lock to disk. It counts, and others learn of it, once that is synced.
func (c *Controller) lockBootstrap(now time.Duration, plan bootstrapPlan) {
	lock := &wire.Batch{BootstrapLock: plan.offer, Founders: plan.members, BootstrapEpoch: plan.epoch}
	c.persistentState.ApplyBatch(lock)
	if c.node == nil {
		c.syncImage()
		c.bootstrapLockSeq = c.batchOffset
		return
	}
	c.bootstrapLockSeq = c.batchOffset + c.node.Persist(now, lock)
}

// syncedLockEpoch is the epoch of the lock that is synced to disk, 0 if there is none or it is not synced yet.
func (c *Controller) syncedLockEpoch() uint64 {
	if c.syncedSeq < c.bootstrapLockSeq {
		return 0
	}
	return c.persistentState.BootstrapEpoch
}

// superseded says that this member has locked a later epoch than that of its node, and takes no part in that.
func (c *Controller) superseded() bool {
	return c.node != nil && c.persistentState.BootstrapEpoch > c.node.Epoch()
}

// completeBootstrap begins the epoch that this member has locked, if all founders have locked it; or if one
// has begun it, since then all had.
func (c *Controller) completeBootstrap(now time.Duration, visible []wire.Daemon) (begun bool) {
	if !c.allLocked(visible) && !c.anyFounderBegan(visible) {
		return false
	}
	c.beginEpoch(now)
	return true
}

// allLocked says that all founders that have a disk are visible and have the lock that this member has.
func (c *Controller) allLocked(visible []wire.Daemon) bool {
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

// anyFounderBegan says that a founder with the same lock is in its epoch.
func (c *Controller) anyFounderBegan(visible []wire.Daemon) bool {
	for _, member := range c.persistentState.Founders {
		founder := findMember(visible, member)
		if founder != nil && founder.BootstrapLock == c.persistentState.BootstrapLock && founder.Epoch == c.persistentState.BootstrapEpoch {
			return true
		}
	}
	return false
}

// findMember is the daemon that has a member's name and disk, nil if it is not in the list.
func findMember(daemons []wire.Daemon, member wire.Member) *wire.Daemon {
	i := indexOfDaemon(daemons, member.Name)
	if i < 0 || daemons[i].Disk != member.Disk {
		return nil
	}
	return &daemons[i]
}

// provisionalLock is a lock of no epoch.
const provisionalLock = 1

// recordBootstrapIntent keeps on disk that this process may bootstrap the first control plane, and with how many
// members, so that a restart while it does changes nothing: as a lock of no epoch.
func (c *Controller) recordBootstrapIntent() {
	if c.settings.BootstrapSize > 0 || c.bootstrapSize == 0 || c.node != nil || c.persistentState.BootstrapLock != 0 {
		return
	}
	intent := &wire.Batch{BootstrapLock: provisionalLock}
	for i := range c.bootstrapSize {
		intent.Founders = append(intent.Founders, absentMember(i+1))
	}
	c.persistentState.ApplyBatch(intent)
	c.syncImage()
}
