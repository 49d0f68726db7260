// This file records the stops, kills, signals and configuration changes of a soak with their times.

package main

import (
	"slices"
	"time"
)

// eventKind is the kind of an event.
type eventKind int

const (
	eventStop       eventKind = iota // SIGTERM
	eventKill                        // SIGKILL, unplanned
	eventSIGHUP                      // SIGHUP
	eventChange                      // a configuration change was acknowledged
	eventUnanswered                  // an operator's call got no conclusive reply
	eventFreeze                      // SIGSTOP
	eventOvertaken                   // a change was acknowledged while an earlier one about the same subject was on its way
)

// soakEvent is an entry of an eventLog.
type soakEvent struct {
	at   time.Time
	kind eventKind
	name string // of the process; "" for changes and unanswered calls
}

// eventLog holds the events of a run in order. The entries are kept in a channel of capacity 1, which also serves as a lock.
type eventLog struct{ entries chan []soakEvent }

func newEventLog() eventLog {
	log := eventLog{make(chan []soakEvent, 1)}
	log.entries <- nil
	return log
}

func (e eventLog) add(kind eventKind, name string) {
	entries := <-e.entries
	e.entries <- append(entries, soakEvent{time.Now(), kind, name})
}

// snapshot returns a copy of the entries so far.
func (e eventLog) snapshot() []soakEvent {
	entries := <-e.entries
	e.entries <- entries
	return slices.Clone(entries)
}

func (e eventLog) count(kind eventKind) int {
	n := 0
	for _, entry := range e.snapshot() {
		if entry.kind == kind {
			n++
		}
	}
	return n
}

// latestEvent returns the latest event of a kind for a process that is not later than until, or nil if there is none.
func latestEvent(entries []soakEvent, kind eventKind, name string, until time.Time) *soakEvent {
	var found *soakEvent
	for i := range entries {
		if e := &entries[i]; e.kind == kind && e.name == name && !e.at.After(until) {
			found = e
		}
	}
	return found
}
