// Package statemachine holds the typed messages between the daemons' state machines and whoever
// runs them: the events that Step takes and the commands that it returns. It holds no logic. The
// daemons' processes (package daemon) turn I/O into events and carry commands out; the simulator
// does the same in virtual time. Begin with Event and Command; requests.go has those that only a
// proxy knows.
package statemachine

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Event is what a state machine is stepped with. The types of this package are all there are.
type Event interface{ isEvent() }

// Events that both daemons know.
type (
	// Receive is a message from another daemon.
	Receive struct{ Message *wire.Message }
	// Tick says that time has moved on.
	Tick struct{}
	// ProbeResult is the outcome of a Probe.
	ProbeResult struct {
		ID           wire.TargetID
		SentAt       time.Duration
		Milliseconds float64              // until the answer
		Report       *config.TargetReport // nil: no sound answer; its state may be "": alive, and nothing said of it
		WarmupLeft   time.Duration        // how much longer it says that it is warming up
	}
	// Call is an operator's or a target's call of the HTTP API. Token names a change for good.
	Call struct {
		ID                  uint64
		Token               string
		Method, Path, Query string
		Body                []byte
	}
	// Stop asks the process to hand over what it has and to end.
	Stop struct{}
)

// Events that only a control daemon knows.
type (
	// Synced says that the batch of that number is on disk.
	Synced struct{ Seq uint64 }
	// DiskHealth says that the disk takes no writes now, and why; nil: it does again.
	DiskHealth struct{ Err error }
)

func (Receive) isEvent()     {}
func (Tick) isEvent()        {}
func (ProbeResult) isEvent() {}
func (Call) isEvent()        {}
func (Stop) isEvent()        {}
func (Synced) isEvent()      {}
func (DiskHealth) isEvent()  {}
