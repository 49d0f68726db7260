// Package statemachine holds the typed messages between the daemons' state machines and who runs them:
// the events that Step takes and the commands that it returns. It holds no logic. The daemons'
// processes (package daemon) turn I/O into events and carry commands out; the simulator does the same
// in virtual time. Times are since the process's start, by its monotonic clock.
//
// Begin with Event and Command; requests.go has those that only a proxy knows.
package statemachine

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Event is the input of a step. It is a sealed type: this package has all events.
type Event interface{ isEvent() }

// Events of both daemons.
type (
	// Receive is a message that has come from another daemon.
	Receive struct{ Message *wire.Message }
	// Tick says that time has passed; it comes every tuning.TickEvery.
	Tick struct{}
	// ProbeResult is the outcome of a Probe.
	ProbeResult struct {
		ID           wire.TargetID // that was asked for
		SentAt       time.Duration
		Milliseconds float64              // response time
		Report       *config.TargetReport // of who responded; nil: missed. Its state may be "": alive, state not reported
		WarmupLeft   time.Duration        // for how much longer the target says that it is warming up
	}
	// Call is an operator's or a target's call of the HTTP API. A Reply of the same ID follows.
	Call struct {
		ID                  uint64
		Token               string // identifies a change, so that it is made once however often it is sent
		Method, Path, Query string
		Body                []byte
	}
	// Stop begins a graceful shutdown, which ends with Exit.
	Stop struct{}
)

// Events of a control daemon.
type (
	// Synced says that the batch of that number, and all before it, are on disk.
	Synced struct{ Seq uint64 }
	// DiskHealth says that the disk fails, and why; nil: it works again.
	DiskHealth struct{ Err error }
)

func (Receive) isEvent()     {}
func (Tick) isEvent()        {}
func (ProbeResult) isEvent() {}
func (Call) isEvent()        {}
func (Stop) isEvent()        {}
func (Synced) isEvent()      {}
func (DiskHealth) isEvent()  {}
