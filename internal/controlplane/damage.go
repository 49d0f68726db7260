// This file reports stored or received data that could not be decoded, and a disk that rejects writes, in the
// log and in the status.

package controlplane

import (
	"slices"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// Damage is something that this member stored or was sent and could not decode.
type Damage struct {
	Subject string `json:"what"` // which data, for people
	Reason  string `json:"why"`  // the error
}

// ReportDamage reports data that could not be decoded: each case once, of which the status shows the latest.
func (c *Controller) ReportDamage(subject string, err error) {
	damage := Damage{Subject: subject, Reason: err.Error()}
	if slices.Contains(c.damage, damage) {
		return
	}
	c.damage = append(c.damage, damage)
	c.damage = c.damage[max(0, len(c.damage)-tuning.DamageReportsKept):]
	c.counts.DamageReports++
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectDamage, From: damage.Subject, To: "", Reason: damage.Reason})
}

// recordDiskHealth records why the disk rejects writes, nil if it takes them again. Nothing else follows from
// it here: without a synced batch the node neither acknowledges nor, after a while, leads.
func (c *Controller) recordDiskHealth(err error) {
	before := c.diskError
	c.diskError = ""
	if err != nil {
		c.diskError = err.Error()
	}
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectDisk, From: before, To: c.diskError, Reason: "the disk rejects writes, or takes them again"})
}
