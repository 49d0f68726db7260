// This file reports undecodable data and disk failures in the log and in the status.

package controlplane

import (
	"slices"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// Damage describes data that this member stored or received and could not decode.
type Damage struct {
	Subject string `json:"what"` // the data concerned, in human-readable form
	Reason  string `json:"why"`  // the error text
}

// ReportDamage reports data that could not be decoded. A case that is among the latest tuning.DamageReportsKept, which
// the status shows, is not reported again.
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

// recordDiskHealth records the error with which the disk rejects writes, or nil if it accepts them again. No further
// action is needed: while no batch is synced, the node acknowledges nothing and eventually loses leadership.
func (c *Controller) recordDiskHealth(err error) {
	before := c.diskError
	c.diskError = ""
	if err != nil {
		c.diskError = err.Error()
	}
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectDisk, From: before, To: c.diskError, Reason: "write errors on the disk began, changed or ended"})
}
