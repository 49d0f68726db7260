// This file reads the request logs of the fleet's test back ends.

package main

import "myrtlefold/internal/verification/requestlog"

// requestLog returns the entries of all back ends' request logs. A log that can't be read is a violation.
func (f *fleet) requestLog() []requestlog.Entry {
	var entries []requestlog.Entry
	err := requestlog.ReadAll(f.path("ledger"), func(entry requestlog.Entry) { entries = append(entries, entry) })
	if err != nil {
		f.recordViolation(ruleTestEnvironment, "%v", err)
	}
	return entries
}
