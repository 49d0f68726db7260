// Package linearizability records operators' calls and their replies and checks them for
// linearizability: whether each call can be given one moment between its sending and
// its reply so that all of them, in the order of these moments, are what a single
// register would have answered whose value is replaced by compare-and-set on its revision.
//
// A call without a clear reply stays open: it may have taken effect at any moment after
// its sending, or never. The same change sent again is acknowledged with the revision that
// it led to the first time.
//
// It makes no calls; package simulator and mfchaos do, and record them here. The search for an order is that of
// package porcupine. Begin with Log; reduce.go leaves out calls that only make the search long, model.go is the
// register.
package linearizability

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Change is a change of the configuration as an operator sends it.
type Change struct {
	Base     uint64 // revision that it is built on
	Revision uint64 // the operator's own number for the result, 0: the next one
	Key      string // stands for the whole change: the same change has the same key
	Token    string // the operator's id for it, "" if it gave none
	Value    string // what a read returns once it is in force, "" if that is not known
}

// outcome is how a call ended.
type outcome int

const (
	open         outcome = iota // no clear reply
	acknowledged                // the change is in force as a revision
	stale                       // rejected: another revision is the present one
	returned                    // a read's reply
	void                        // rejected and nothing was changed, or a read without a reply
	closing                     // the end of the history: open calls after it take no effect any more
)

// String says how a call ended, in front of the revision that its reply names.
func (o outcome) String() string {
	return [...]string{"no clear answer", "acknowledged as", "refused at", "returned", "nothing changed", "the end"}[o]
}

// Operation is one call.
type Operation struct {
	read      bool
	change    Change
	sentAt    time.Duration
	repliedAt time.Duration
	outcome   outcome
	revision  uint64 // that the reply names
	value     string // that a read returned, "" if it is not looked at
}

// Acknowledge records that a change was acknowledged as a revision.
func (o *Operation) Acknowledge(at time.Duration, revision uint64) {
	o.finish(at, acknowledged, revision, "")
}

// Reject records that a change was rejected because another revision is the present one; 0: it is not known which.
func (o *Operation) Reject(at time.Duration, present uint64) { o.finish(at, stale, present, "") }

// Return records a read's reply.
func (o *Operation) Return(at time.Duration, revision uint64, value string) {
	o.finish(at, returned, revision, value)
}

// Void records a reply that promises that nothing was changed.
func (o *Operation) Void(at time.Duration) { o.finish(at, void, 0, "") }

func (o *Operation) finish(at time.Duration, how outcome, revision uint64, value string) {
	o.repliedAt, o.outcome, o.revision, o.value = at, how, revision, value
}

// String shows a call with its times in seconds.
func (o *Operation) String() string {
	what := fmt.Sprintf("order %s on %d", cmp.Or(o.change.Token, o.change.Key), o.change.Base)
	if o.read {
		what = "read"
	}
	return fmt.Sprintf("%.3f to %.3f: %s: %s %d", o.sentAt.Seconds(), o.repliedAt.Seconds(), what, o.outcome, o.revision)
}

// Log is the calls of one run, by the time of one clock.
type Log struct{ operations []*Operation }

// Write records that a change is sent.
func (l *Log) Write(at time.Duration, c Change) *Operation {
	return l.add(&Operation{change: c, sentAt: at})
}

// Read records that the configuration is asked for.
func (l *Log) Read(at time.Duration) *Operation { return l.add(&Operation{read: true, sentAt: at}) }

func (l *Log) add(o *Operation) *Operation {
	l.operations = append(l.operations, o)
	return o
}

// Reset forgets all calls so far, when all state is lost by intention.
func (l *Log) Reset() { l.operations = nil }

// ForgetUnacknowledged drops replies that name more than had been acknowledged, when a majority of
// the control daemons' disks is lost: what was agreed and not acknowledged yet may be lost with them.
func (l *Log) ForgetUnacknowledged(highest uint64) {
	l.operations = slices.DeleteFunc(l.operations, func(o *Operation) bool {
		return (o.outcome == returned || o.outcome == stale) && o.revision > highest
	})
}

// Len is how many calls were recorded.
func (l *Log) Len() int { return len(l.operations) }
