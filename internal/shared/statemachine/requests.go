// This file holds the events and commands of callers' requests, which only a proxy knows.

package statemachine

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Events of a request at a proxy. Each bears the request's id.
type (
	// Admit asks for a target for a new request.
	Admit struct {
		ID                 uint64
		Host, Path, Method string
		Timeout            time.Duration // what the caller still gives, 0: not said
		// Pipelined: it comes behind another one on its connection. If it may run only once it
		// gets no target now and is rejected with CodeNotPipelined, and comes again in its turn.
		Pipelined bool
	}
	// Retry asks for another target after an attempt that may be repeated. Sent says that something of
	// the request had been written.
	Retry struct {
		ID   uint64
		Sent bool
	}
	// AttemptDone ends a request's stay at its target.
	AttemptDone struct {
		ID           uint64
		Outcome      Outcome
		Milliseconds float64
		Last         bool        // no Retry will follow
		Load         *TargetLoad // what the target told of itself with the response
	}
	// Cancel ends a request that is at no target or is to leave it: its client has gone, or, Failed, its
	// caller got an error.
	Cancel struct {
		ID     uint64
		Failed bool
	}
)

// TargetLoad is what a target tells of itself with a response.
type TargetLoad struct{ Running, Waiting, Slots int }

// Outcome is how an attempt at a target ended.
type Outcome int

// The outcomes.
const (
	Served         Outcome = iota // a complete response below 500
	ServerError                   // a response of 500 and above
	ResponseLost                  // no response, garbage, or one that was cut
	ConnectFailed                 // no connection could be opened; nothing was written
	WrongIdentity                 // another identity answered there; nothing was written
	ChoiceExpired                 // the choice grew too old before anything was written
	ClientGone                    // the client went away
	TargetRejected                // the target rejected it and says that it did not run
)

// Commands for a request, and for all callers of a proxy.
type (
	// Forward sends a request to a target.
	Forward struct {
		ID             uint64
		Service        string
		ServiceConfig  config.Service
		RouteName      string       // "" for a rule
		Route          config.Route // what holds for the request; a rule's has its service's numbers
		Target         wire.Target
		TimeLeft       time.Duration // until the request's deadline
		WorkTime       time.Duration // how long the target may work on it: TimeLeft, or less in a proxy that stops
		WriteBy        time.Duration // nothing of it may be written to this target later than this
		MayRetry       bool          // it has attempts left after this one
		ConnectTimeout time.Duration // how long a connection to the target may take to open
		MaxIdle        int           // how many unused connections to the target may be kept after it
	}
	// Reject is a request's final response, given before anything was sent on its behalf
	// (or, after Retry, after an attempt that its caller has classified).
	Reject struct {
		ID         uint64
		Status     int
		RetryAfter time.Duration // when to come back, 0: not said
		Code       string
		Message    string
		Allowed    []string
	}
	// CloseAfterResponse has each response from now on end its caller's connection: the proxy stops.
	CloseAfterResponse struct{}
	// StopAccepting ends the taking of requests, on new connections and on open ones. What was read
	// before has TimeLeft to be answered.
	StopAccepting struct{ TimeLeft time.Duration }
	// UnreachableTargets are the targets that are ejected because nothing reaches them: a request that
	// may be repeated and has no response from one yet need not wait for it.
	UnreachableTargets struct{ IDs map[wire.TargetID]bool }
	// TargetsChanged brings the table's targets; no connection to any other may be used again. Limits
	// are what its configuration bounds callers by, nil: nothing.
	TargetsChanged struct {
		Addresses map[wire.TargetID]string
		Limits    *config.Limits
	}
)

// CodeNotPipelined rejects a request that may run only once and was admitted ahead of its turn.
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
