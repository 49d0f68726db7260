// Package linearizability records operators' calls with their replies and checks whether they are linearizable:
// whether each call can be assigned a point in time between its invocation and its reply so that all calls, executed
// in the order of these points, have the replies of a single register that is updated by compare-and-set on its
// revision.
//
// A call without a definite reply remains open: it may have taken effect at any time after its invocation, or never. A
// change that is sent again is acknowledged with the revision that it created the first time.
//
// The package makes no calls itself; package simulator and command mfchaos make and record them. Package porcupine
// searches for an order. Start with History; reduce.go omits calls that only prolong the search, and model.go defines the
// register.
package linearizability

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Change is a change to the configuration, as sent by an operator.
type Change struct {
	Base     uint64 // revision that the change is based on
	Revision uint64 // revision number that the operator chose for the result; 0: the next one
	Key      string // identifies the content of the change: equal changes have equal keys
	Token    string // idempotency key that the operator gave it; "": none
	Value    string // value that reads return once the change is in force; "": not known
}

// outcome is the result of a call.
type outcome int

const (
	open         outcome = iota // no definite reply
	acknowledged                // the change is in force and created a revision
	stale                       // rejected: the current revision is another one
	returned                    // a read returned a value
	noEffect                    // rejected without a change to the state, or a read without a reply
	historyEnd                  // end of the history: open calls ordered after it take no effect
)

// String returns a description of the outcome, to be followed by the revision in the reply.
func (o outcome) String() string {
	return [...]string{"no definite reply", "acknowledged as revision", "rejected at revision", "returned revision", "no effect, revision", "end of history"}[o]
}

// Operation is a recorded call, either a read or a change.
type Operation struct {
	read      bool
	change    Change
	sentAt    time.Duration // since the start of the run
	repliedAt time.Duration // since the start of the run; 0 while it is open
	outcome   outcome
	revision  uint64 // revision in the reply; 0: none
	value     string // value that a read returned; "": not checked
}

// Acknowledge records that a change was acknowledged and created a revision.
func (o *Operation) Acknowledge(at time.Duration, revision uint64) {
	o.finish(at, acknowledged, revision, "")
}

// Reject records that a change was rejected because its base is not the current revision. current is the revision that the
// rejection contains, or 0 if it contains none.
func (o *Operation) Reject(at time.Duration, current uint64) { o.finish(at, stale, current, "") }

// Return records the revision and the value that a read returned.
func (o *Operation) Return(at time.Duration, revision uint64, value string) {
	o.finish(at, returned, revision, value)
}

// NoEffect records a reply that guarantees that a change had no effect, or that a read got no reply.
func (o *Operation) NoEffect(at time.Duration) { o.finish(at, noEffect, 0, "") }

func (o *Operation) finish(at time.Duration, result outcome, revision uint64, value string) {
	o.repliedAt, o.outcome, o.revision, o.value = at, result, revision, value
}

// String describes a call, with its times in seconds.
func (o *Operation) String() string {
	call := fmt.Sprintf("change %s based on revision %d", cmp.Or(o.change.Token, o.change.Key), o.change.Base)
	if o.read {
		call = "read"
	}
	return fmt.Sprintf("%.3f to %.3f: %s: %s %d", o.sentAt.Seconds(), o.repliedAt.Seconds(), call, o.outcome, o.revision)
}

// History records the calls of one run. All times are measured by the same clock.
type History struct{ operations []*Operation }

// Write records the invocation of a change.
func (h *History) Write(at time.Duration, c Change) *Operation {
	return h.add(&Operation{change: c, sentAt: at})
}

// Read records the invocation of a read of the configuration.
func (h *History) Read(at time.Duration) *Operation { return h.add(&Operation{read: true, sentAt: at}) }

func (h *History) add(o *Operation) *Operation {
	h.operations = append(h.operations, o)
	return o
}

// Reset removes all calls recorded so far, for a run that deliberately destroys all state.
func (h *History) Reset() { h.operations = nil }

// ForgetUnacknowledged removes reads and rejections whose replies contain a revision above highest, the highest
// acknowledged one. It is called when a majority of the control daemons' disks is lost, since changes that were
// committed but not yet acknowledged may be lost with them.
func (h *History) ForgetUnacknowledged(highest uint64) {
	h.operations = slices.DeleteFunc(h.operations, func(o *Operation) bool {
		return (o.outcome == returned || o.outcome == stale) && o.revision > highest
	})
}

// Len returns the number of recorded calls.
func (h *History) Len() int { return len(h.operations) }
