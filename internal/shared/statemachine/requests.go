package statemachine

// The events and commands of callers' requests, which only a proxy knows. A request begins with Admit. Each attempt
// is a Forward, which AttemptDone ends and Retry may follow; Reject or Cancel ends a request that is at no target.

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Events of a request at a proxy, by the request's ID.
type (
	// Admit is a new request. A Forward or Reject follows, maybe after a time in the queue.
	Admit struct {
		ID                 uint64
		Host, Path, Method string
		Timeout            time.Duration // that the caller sent, 0: none
		// Pipelined: it comes behind another request on its connection. If it is not idempotent it is
		// rejected with CodeNotPipelined, and admitted again when the others are done.
		Pipelined bool
	}
	// Retry asks for another target after an attempt that may be retried. A Forward or Reject follows.
	Retry struct {
		ID   uint64
		Sent bool // something of the request had been written
	}
	// AttemptDone is the end of an attempt.
	AttemptDone struct {
		ID           uint64
		Outcome      Outcome
		Milliseconds float64     // since the attempt began
		Last         bool        // no Retry follows: the request is done
		Load         *TargetLoad // that the target reported with its response, nil: none
	}
	// Cancel ends a request that is not at a target, or is withdrawn from it.
	Cancel struct {
		ID     uint64
		Failed bool // its caller got an error; else the client went away
	}
)

// TargetLoad is the load that a target reports with a response, in requests.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int // how many it runs at once
}

// Outcome is how an attempt at a target ended.
type Outcome int

// The outcomes.
const (
	Served         Outcome = iota // a complete response below 500
	ServerError                   // a response of 500 and above
	ResponseLost                  // no response, an invalid or an incomplete one
	ConnectFailed                 // no connection could be opened; nothing was written
	WrongIdentity                 // another identity answered there; nothing was written
	ChoiceExpired                 // Forward.WriteBy passed before anything was written
	ClientGone                    // the client went away
	TargetRejected                // the target rejected the request and says that it did not run it
)

// Commands for a request, and for all callers of a proxy.
type (
	// Forward makes an attempt: it sends a request to a target. An AttemptDone follows.
	Forward struct {
		ID             uint64
		Service        string
		ServiceConfig  config.Service
		RouteName      string       // "" for a rule
		Route          config.Route // of the request; for a rule, one with the service's settings
		Target         wire.Target
		TimeLeft       time.Duration // until the request's deadline
		WorkTime       time.Duration // how long the target may work on it: TimeLeft, or less while the proxy stops
		WriteBy        time.Duration // when the choice expires: writing must have begun by then
		MayRetry       bool          // it has attempts left after this one
		ConnectTimeout time.Duration // how long a connection to the target may take to open
		MaxIdle        int           // how many unused connections to the target may be kept after it
	}
	// Reject is a request's final response, before any attempt or, after Retry, in place of another one.
	Reject struct {
		ID         uint64
		Status     int           // HTTP status
		RetryAfter time.Duration // when to retry, 0: not set
		Code       string        // for programs: config.ErrorBody.Code
		Message    string        // for people
		Allowed    []string      // methods, with status 405
	}
	// CloseAfterResponse has each response from now on close its caller's connection: the proxy stops.
	CloseAfterResponse struct{}
	// StopAccepting ends the acceptance of requests, on new and on open connections. Requests that have
	// been read have TimeLeft to get their response.
	StopAccepting struct{ TimeLeft time.Duration }
	// UnreachableTargets are the targets that are ejected because nothing reaches them: an idempotent
	// request that has no response from one yet need not wait for it.
	UnreachableTargets struct{ IDs map[wire.TargetID]bool }
	// TargetsChanged has the targets of a new table; no connection to any other may be used again.
	TargetsChanged struct {
		Addresses map[wire.TargetID]string // IP:port
		Limits    *config.Limits           // of the table's configuration, nil: none
	}
)

// CodeNotPipelined is the code of a Reject of a pipelined request that is not idempotent.
const CodeNotPipelined = "not_ahead"

func (Admit) isEvent()       {}
func (Retry) isEvent()       {}
func (AttemptDone) isEvent() {}
func (Cancel) isEvent()      {}

func (Forward) isCommand()            {}
func (Reject) isCommand()             {}
func (CloseAfterResponse) isCommand() {}
func (StopAccepting) isCommand()      {}
func (UnreachableTargets) isCommand() {}
func (TargetsChanged) isCommand()     {}
