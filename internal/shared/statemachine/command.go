package statemachine

import (
	"time"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// Command is an output of a step, to be executed by the process or simulator that runs the state machine. The
// interface is sealed: all commands are defined in this package.
type Command interface{ isCommand() }

// Commands of both daemons.
type (
	// Send sends a message to a daemon. Delivery is not guaranteed.
	Send struct {
		Addr    string // IP:port
		Message *wire.Message
	}
	// Probe sends a health check or identity request to a target. A ProbeResult follows.
	Probe struct {
		ID   wire.TargetID
		Addr string // IP:port
		Path string // path of the service's health check, "" for the identity request
	}
	// Reply is the response to the Call with the same ID.
	Reply struct {
		ID         uint64
		Status     int           // HTTP status
		RetryAfter time.Duration // value of Retry-After, 0 for none
		Body       []byte
	}
	// StateChange logs a change of state.
	StateChange struct {
		Subject          Subject // what changed its state
		From, To, Reason string  // human-readable; each may be ""
	}
	// Exit ends the process.
	Exit struct{}
)

// Commands of a control daemon.
type (
	// Sync writes a batch to the disk and syncs it. A Synced event follows.
	Sync struct{ Batch *wire.Batch }
	// CheckCaller checks whether the caller of the Call with the same ID is still connected. A CallerChecked follows.
	CheckCaller struct{ ID uint64 }
	// Publish writes a target event or a decision to the event stream. Exactly one field is set.
	Publish struct {
		Event    *outlier.Event    `json:"event,omitempty"`
		Decision *outlier.Decision `json:"decision,omitempty"`
	}
)

func (Send) isCommand()        {}
func (Probe) isCommand()       {}
func (Reply) isCommand()       {}
func (StateChange) isCommand() {}
func (Exit) isCommand()        {}
func (Sync) isCommand()        {}
func (CheckCaller) isCommand() {}
func (Publish) isCommand()     {}
