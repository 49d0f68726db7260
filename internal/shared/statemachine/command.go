package statemachine

import (
	"time"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// Command is a result of a step, to be carried out by who runs the state machine. It is a sealed type: this
// package has all commands.
type Command interface{ isCommand() }

// Commands of both daemons.
type (
	// Send sends a message to a daemon. It may get lost.
	Send struct {
		Addr    string // IP:port
		Message *wire.Message
	}
	// Probe sends a health check or identity request to a target. A ProbeResult follows.
	Probe struct {
		ID   wire.TargetID
		Addr string // IP:port
		Path string // of the service's health check, "": the identity request
	}
	// Reply is the response to the Call of the same ID.
	Reply struct {
		ID         uint64
		Status     int           // HTTP status
		RetryAfter time.Duration // when to retry, 0: not set
		Body       []byte
	}
	// StateChange writes a line to the log.
	StateChange struct {
		Subject          Subject // whose state changed
		From, To, Reason string  // for people; any may be ""
	}
	// Exit ends the process.
	Exit struct{}
)

// Commands of a control daemon.
type (
	// Sync writes a batch to the disk and syncs it. A Synced follows.
	Sync struct{ Batch *wire.Batch }
	// Publish writes a target event or a decision to the stream. One of the two is set.
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
func (Publish) isCommand()     {}
