// This file reports what was found damaged, in the log and in the status, and keeps an
// epoch from beginning with nothing while something is remembered that can't be read.

package controlplane

import (
	"fmt"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"

	"myrtlefold/internal/shared/tuning"
)

// Damage is something that this member holds, or was offered, and could not read.
type Damage struct {
	Subject string `json:"what"`
	Reason  string `json:"why"`
}

// reportDamage says it once each, aloud, and keeps the last for the status.
func (c *Controller) reportDamage(what string, err error) {
	d := Damage{what, err.Error()}
	for _, known := range c.damage {
		if known == d {
			return
		}
	}
	c.damage = append(c.damage, d)
	c.damage = c.damage[max(0, len(c.damage)-tuning.DamageReportsKept):]
	c.counts.DamageReports++
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectDamage, From: d.Subject, To: "", Reason: d.Reason})
}

// ReportDamage is for the shell, which reads the disk.
func (c *Controller) ReportDamage(what string, err error) { c.reportDamage(what, err) }

// addRecovered takes what somebody remembers of an earlier epoch as the state to begin this
// one with, if it is the latest so far that can be read whole.
func (c *Controller) addRecovered(l state.RecoveredState) {
	if c.node == nil || c.state.Recovered || l.Epoch >= c.node.Epoch() || len(l.State) == 0 || !c.recoveredState.IsBefore(l) {
		return
	}
	if _, err := state.DecodeRecovered(l); err != nil {
		c.unreadableRecoveredState = true
		c.reportDamage(fmt.Sprintf("memory of epoch %d, entry %d", l.Epoch, l.Index), err)
		return
	}
	c.recoveredState = l
}

// canRecover says that an epoch may begin with what has been recovered: never with nothing
// while somebody remembers something unreadable, unless an operator says so.
func (c *Controller) canRecover() bool {
	return len(c.recoveredState.State) > 0 || !c.unreadableRecoveredState || c.emptyStateAllowed
}

// recordDiskHealth notes that the disk takes no writes, or does again. What follows from that is
// the node's: a leader whose sync hangs steps down, and nothing is acknowledged.
func (c *Controller) recordDiskHealth(err error) {
	was := c.diskError
	if c.diskError = ""; err != nil {
		c.diskError = err.Error()
	}
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectDisk, From: was, To: c.diskError, Reason: "writes refused"})
}
