// Package statemachine defines the inputs and outputs of the daemons' state machines: the events that Step takes
// and the commands that it returns. It contains no logic. The daemon processes (package daemon) turn I/O into
// events and execute commands; the simulator does the same in virtual time. Times are measured from the process's
// start on its monotonic clock.
//
// Start with Event and Command. requests.go has the events and commands that only proxies use.
package statemachine

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Event is the input of a step. The interface is sealed: all events are defined in this package.
type Event interface{ isEvent() }

// Events of both daemons.
type (
	// Receive is a message received from another daemon.
	Receive struct{ Message *wire.Message }
	// Tick signals that time has passed. It occurs every tuning.TickEvery.
	Tick struct{}
	// ProbeResult is the outcome of a Probe.
	ProbeResult struct {
		ID           wire.TargetID // the probed target, as in the Probe
		SentAt       time.Duration
		Milliseconds float64              // response time, in ms
		Report       *config.TargetReport // report of the responder, nil if the probe was missed; State "": alive, state not reported
		WarmupLeft   time.Duration        // remaining warm-up time that the target reports
	}
	// Call is an operator's or a target's call of the HTTP API. A Reply with the same ID follows.
	Call struct {
		ID                  uint64
		Token               string // identifies a change, so that repeated calls apply it only once
		Method, Path, Query string
		Body                []byte
		// CallerKnownAt is the latest time at which the caller is known not to have given the call up: something that was
		// sent to it then has been acknowledged. 0: not known.
		CallerKnownAt time.Duration
	}
	// Stop begins a graceful shutdown, which ends with Exit.
	Stop struct{}
)

// Events of a control daemon.
type (
	// Synced confirms that the batch with this number and all earlier ones are on disk.
	Synced struct{ Seq uint64 }
	// CallerChecked is the result of a CheckCaller. Without a connection nobody receives a reply to the call. It may also
	// occur for any other call, whose caller has disconnected.
	CallerChecked struct {
		ID        uint64 // of the Call
		Connected bool
	}
	// DiskHealth reports a disk failure or, with a nil Err, that the disk works again.
	DiskHealth struct{ Err error }
)

func (Receive) isEvent()       {}
func (Tick) isEvent()          {}
func (ProbeResult) isEvent()   {}
func (Call) isEvent()          {}
func (Stop) isEvent()          {}
func (Synced) isEvent()        {}
func (DiskHealth) isEvent()    {}
func (CallerChecked) isEvent() {}
