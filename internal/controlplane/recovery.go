// This file is an operator's recovery of a control plane that lost its majority, where the members that are left
// can't know by themselves that the others won't come back.

package controlplane

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// recoveryAnswer is the body of the answer to a consent, with the survey that it was taken on. Its keys stand in
// alphabetical order, as clients have always got them.
type recoveryAnswer struct {
	LostDisks   int  `json:"lost"`
	Unreachable int  `json:"not_seen"`
	Recovering  bool `json:"refounding"`
	Visible     int  `json:"seen"` // founders
}

// emptyRecoveryAnswer is the body of the answer to a consent to begin with nothing.
type emptyRecoveryAnswer struct {
	BeginsEmpty bool `json:"begins_empty"`
}

// operatorsConsent is the consent that operators gave to any of the visible daemons: the union, so that all members act on
// the same.
func (c *Controller) operatorsConsent(visible []wire.Daemon) discovery.RecoveryConsent {
	var union discovery.RecoveryConsent
	for _, daemon := range visible {
		consent := c.recoveryConsent
		if peer := c.directory[daemon.Name]; daemon.Name != c.settings.Self.Name && peer != nil {
			consent = peer.Consent
		}
		union.Granted = union.Granted || consent.Granted
		union.LostMembers = append(union.LostMembers, consent.LostMembers...)
	}
	slices.Sort(union.LostMembers)
	union.LostMembers = slices.Compact(union.LostMembers)
	return union
}

// recoverByOperator takes an operator's consent that the visible members begin a new epoch without waiting for the
// others. Lost names those, separated by commas, whose machines are lost for good. It is rejected while a majority
// of the last members may still be running. In an epoch that waits because a state can't be decoded, it allows to
// begin with nothing.
func (c *Controller) recoverByOperator(now time.Duration, lost string) statemachine.Reply {
	if c.leadership == Recovering && !c.canRecover() {
		c.emptyStateAllowed = true
		return statemachine.Reply{Status: 202, Body: reply.Body(emptyRecoveryAnswer{BeginsEmpty: true})}
	}
	lostMembers := strings.FieldsFunc(lost, func(r rune) bool { return r == ',' })
	visible := c.visibleControlDaemons(now)
	if rejection := c.checkConsent(now, visible, lostMembers); rejection != nil {
		return *rejection
	}
	survey := c.surveyMembers(visible, lostMembers)
	founders := survey.eligibleFounders(visible)
	switch {
	case 2*len(founders) <= survey.size:
		return reply.Problem(409, config.ErrorBody{Code: "may_live", Message: fmt.Sprintf("%d of %d machines are seen, and the others may be a living majority; name those that are gone for good; nothing was changed", len(founders), survey.size)})
	case survey.canElect():
		return reply.Problem(409, config.ErrorBody{Code: "living", Message: fmt.Sprintf("%d of %d members are here with their disks and can elect a leader; nothing was changed", survey.withDisk, len(survey.last.Members))})
	}
	c.recoveryConsent = discovery.RecoveryConsent{Granted: true, LostMembers: lostMembers, GrantedAt: now}
	answer := recoveryAnswer{LostDisks: survey.lostDisk, Unreachable: survey.unreachable, Recovering: true, Visible: len(founders)}
	return statemachine.Reply{Status: 202, Body: reply.Body(answer)}
}

// checkConsent rejects a consent that is wrong whatever the survey says: there is a leader, or a daemon was there
// lately that is called lost. It returns nil if there is nothing of that kind.
func (c *Controller) checkConsent(now time.Duration, visible []wire.Daemon, lostMembers []string) *statemachine.Reply {
	if name := c.daemonWithLeader(now, visible); name != "" {
		rejection := reply.Problem(409, config.ErrorBody{Code: "living", Message: name + " hears a leader; nothing was changed"})
		return &rejection
	}
	for _, name := range lostMembers {
		peer := c.directory[name]
		if name == c.settings.Self.Name || peer != nil && now-peer.LastContact < tuning.DaemonExpiry {
			rejection := reply.Problem(409, config.ErrorBody{Code: "alive", Message: fmt.Sprintf("%s was heard less than %v ago; nothing was changed", name, tuning.DaemonExpiry)})
			return &rejection
		}
	}
	return nil
}
