package statemachine

import (
	"time"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// Command is what a state machine wants done. The types of this package are all there are.
type Command interface{ isCommand() }

// Commands of both daemons.
type (
	// Send asks for a message to be sent to a daemon.
	Send struct {
		Addr    string
		Message *wire.Message
	}
	// Probe asks a target for its health or identity, which ProbeResult answers.
	Probe struct {
		ID   wire.TargetID
		Addr string
		Path string // of the service's health check, "": the identity request
	}
	// Reply is the answer to the Call of the same ID.
	Reply struct {
		ID         uint64
		Status     int
		RetryAfter time.Duration // when to ask again, 0: not said
		Body       []byte
	}
	// StateChange is a change of state worth a line in the log.
	StateChange struct {
		Subject          Subject
		From, To, Reason string
	}
	// Exit says that the process may end.
	Exit struct{}
)

// Commands of a control daemon.
type (
	// Sync asks for a batch to be written and synced, which Synced answers.
	Sync struct{ Batch *wire.Batch }
	// Publish is a target event or a decision for those who read the stream.
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
