package statemachine

// Events and commands for callers' requests, which only proxies use. A request begins with Admit. Each attempt begins
// with Forward and ends with AttemptDone, after which Retry may follow. Reject or Cancel ends a request that is not
// being processed by a target.

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Events of a request at a proxy. ID is the ID of the request.
type (
	// Admit is a new request. A Forward or Reject follows, possibly after a time in the queue.
	Admit struct {
		ID                 uint64
		Host, Path, Method string
		Timeout            time.Duration // sent by the caller, 0 for none
		// Pipelined is true if the request follows an unfinished one on the same connection. If it is not
		// idempotent, it is rejected with CodeNotPipelined and admitted again when the earlier ones are done.
		Pipelined bool
	}
	// Retry requests another target after a failed attempt that may be retried. A Forward or Reject follows.
	Retry struct {
		ID   uint64
		Sent bool // part of the request was written in the failed attempt
	}
	// AttemptDone is the end of an attempt.
	AttemptDone struct {
		ID           uint64
		Outcome      Outcome
		Milliseconds float64     // duration of the attempt, in ms
		Last         bool        // the request is done and no Retry follows
		Load         *TargetLoad // load reported by the target with its response, nil for none
	}
	// Cancel ends a request that is not being processed by a target, or whose attempt was aborted.
	Cancel struct {
		ID     uint64
		Failed bool // the caller got an error response; false: the client disconnected
	}
)

// TargetLoad is the load that a target reports with a response, as numbers of requests.
type TargetLoad struct {
	Running int // requests that it is processing
	Waiting int // requests in its queue
	Slots   int // requests that it can process concurrently
}

// Outcome is how an attempt at a target ended.
type Outcome int

// Outcomes of an attempt.
const (
	Served         Outcome = iota // a complete response with a status below 500
	ServerError                   // a response with a status of 500 or above
	ResponseLost                  // no response, or an invalid or incomplete one
	ConnectFailed                 // no connection could be opened; nothing was written
	WrongIdentity                 // a target with another identity answered at the address; nothing was written
	ChoiceExpired                 // Forward.WriteBy passed before anything was written
	ClientGone                    // the client disconnected
	TargetRejected                // the target rejected the request and reported that it did not run it
)

// Commands for a request, and for all callers of a proxy.
type (
	// Forward begins an attempt: it sends a request to a target. An AttemptDone follows.
	Forward struct {
		ID             uint64
		Service        string
		ServiceConfig  config.Service
		RouteName      string       // "" for a rule
		Route          config.Route // the request's route; for a rule, one made from the service's settings
		Target         wire.Target
		TimeLeft       time.Duration // until the request's deadline
		WorkTime       time.Duration // how long the target may work on it: TimeLeft, or less during shutdown
		WriteBy        time.Duration // time at which the choice of the target expires unless writing has begun
		MayRetry       bool          // the request has attempts left after this one
		ConnectTimeout time.Duration // limit for opening a connection to the target
		MaxIdle        int           // limit of idle connections to the target after the attempt
	}
	// Reject is the final response to a request, either before any attempt or, after Retry, instead of another one.
	Reject struct {
		ID         uint64
		Status     int           // HTTP status
		RetryAfter time.Duration // value of Retry-After, 0 for none
		Code       string        // machine-readable: config.ErrorBody.Code
		Message    string        // human-readable
		Allowed    []string      // allowed methods, with status 405
	}
	// CloseAfterResponse makes every further response close its caller's connection, since the proxy is shutting
	// down.
	CloseAfterResponse struct{}
	// StopAccepting stops accepting requests on new and on open connections. Requests that have been read must get
	// their response within TimeLeft.
	StopAccepting struct{ TimeLeft time.Duration }
	// UnreachableTargets lists the targets that are ejected because they are unreachable. Idempotent requests that
	// still wait for a response from one of them need not wait any longer.
	UnreachableTargets struct{ IDs map[wire.TargetID]bool }
	// TargetsChanged lists the targets of a new table. Connections to any other target must not be used again.
	TargetsChanged struct {
		Addresses map[wire.TargetID]string // IP:port
		Limits    *config.Limits           // limits in the table's configuration, nil for none
	}
)

// CodeNotPipelined is the code with which a pipelined request that is not idempotent is rejected.
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
