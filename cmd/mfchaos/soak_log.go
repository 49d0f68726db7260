// This file is a soak's record of what was done to which process and when. All parts of a run add to it; it is
// read once they are over.

package main

import (
	"slices"
	"time"
)

// eventKind is what was done.
type eventKind int

const (
	eventStop       eventKind = iota // SIGTERM
	eventKill                        // SIGKILL, unplanned
	eventHangup                      // SIGHUP
	eventChange                      // a change of the configuration was acknowledged
	eventUnanswered                  // an order had no clear answer
)

// soakEvent is one entry.
type soakEvent struct {
	at   time.Time
	kind eventKind
	name string // the process's
}

// eventLog is the record: one goroutine owns the entries.
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

// all is the entries so far.
func (e eventLog) all() []soakEvent {
	entries := <-e.entries
	e.entries <- entries
	return slices.Clone(entries)
}

func (e eventLog) count(kind eventKind) int {
	n := 0
	for _, entry := range e.all() {
		if entry.kind == kind {
			n++
		}
	}
	return n
}

// latest is the latest entry of a kind for a process up to a moment, nil: there is none.
func latest(entries []soakEvent, kind eventKind, name string, until time.Time) *soakEvent {
	var found *soakEvent
	for i := range entries {
		if e := &entries[i]; e.kind == kind && e.name == name && !e.at.After(until) {
			found = e
		}
	}
	return found
}
