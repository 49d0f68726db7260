// This file implements the recovery by an operator of a control plane that lost its majority. The remaining members can't
// know by themselves that the others won't come back.

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

// recoveryAnswer is the body of the answer to an operator's consent, with the numbers on which the decision was based.
// The keys stay in alphabetical order, in which clients have always received them.
type recoveryAnswer struct {
	LostDisks   int  `json:"lost"`       // members whose disks are lost
	Unreachable int  `json:"not_seen"`   // members that are not visible and not declared lost
	Recovering  bool `json:"refounding"` // always set
	Visible     int  `json:"seen"`       // visible daemons that may begin the new epoch
}

// emptyRecoveryAnswer is the body of the answer to an operator's consent to begin the epoch with an empty state.
type emptyRecoveryAnswer struct {
	BeginsEmpty bool `json:"begins_empty"`
}

// mergedRecoveryConsent returns the union of the consents that operators gave to any visible daemon, so that all members act
// on the same consent.
func (c *Controller) mergedRecoveryConsent(visible []wire.Daemon) discovery.RecoveryConsent {
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

// handleRecoveryConsent handles an operator's consent that the visible members begin a new epoch without waiting for the
// others. The comma-separated list lost names the members whose machines are lost for good. The consent is rejected
// while a majority of the last membership may still be running. In an epoch that can't begin because no state found can
// be decoded, the consent allows the epoch to begin with an empty state.
func (c *Controller) handleRecoveryConsent(now time.Duration, lost string) statemachine.Reply {
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
		return reply.Problem(409, config.ErrorBody{Code: "may_live", Message: fmt.Sprintf("%d of %d machines are visible, and the others may still form a majority; name those that are permanently lost; nothing was changed", len(founders), survey.size)})
	case survey.canElect():
		return reply.Problem(409, config.ErrorBody{Code: "living", Message: fmt.Sprintf("%d of %d members are visible with their disks and can elect a leader; nothing was changed", survey.withDisk, len(survey.last.Members))})
	}
	c.recoveryConsent = discovery.RecoveryConsent{Granted: true, LostMembers: lostMembers, GrantedAt: now}
	answer := recoveryAnswer{LostDisks: survey.lostDisk, Unreachable: survey.unreachable, Recovering: true, Visible: len(founders)}
	return statemachine.Reply{Status: 202, Body: reply.Body(answer)}
}

// isConsentOvertaken reports whether a later consent may have been given, or acted on, since the caller was certainly waiting:
// this daemon has another consent since then, or has entered another epoch. The latter follows each recovery.
func (c *Controller) isConsentOvertaken(event statemachine.Call) bool {
	anotherConsent := c.recoveryConsent.Granted && c.recoveryConsent.GrantedAt > event.CallerKnownAt
	return anotherConsent || c.positions.at(event.CallerKnownAt).Epoch != c.position().Epoch
}

// checkConsent returns the rejection of a consent that is invalid regardless of the survey: a visible daemon has a
// leader, or there was contact with a supposedly lost daemon less than tuning.DaemonExpiry ago. It returns nil if
// neither is so.
func (c *Controller) checkConsent(now time.Duration, visible []wire.Daemon, lostMembers []string) *statemachine.Reply {
	if name := c.daemonWithLeader(now, visible); name != "" {
		rejection := reply.Problem(409, config.ErrorBody{Code: "living", Message: name + " is in contact with a leader; nothing was changed"})
		return &rejection
	}
	for _, name := range lostMembers {
		peer := c.directory[name]
		if name == c.settings.Self.Name || peer != nil && now-peer.LastContact < tuning.DaemonExpiry {
			rejection := reply.Problem(409, config.ErrorBody{Code: "alive", Message: fmt.Sprintf("there was contact with %s less than %v ago; nothing was changed", name, tuning.DaemonExpiry)})
			return &rejection
		}
	}
	return nil
}
