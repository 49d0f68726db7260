// The handler of calls of the HTTP API, which the state machine answers.

package daemon

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/changeid"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// callCounts holds the counters of calls of the HTTP API. On /metrics each is named after its tag: mf_call_TAG_total.
type callCounts struct {
	// BodyTimeouts counts the calls whose body did not arrive within tuning.CallBodyTimeout.
	BodyTimeouts atomic.Uint64 `metric:"body_timeouts"`
	// BodiesIncomplete counts the calls whose body ended early or was not framed as its header says.
	BodiesIncomplete atomic.Uint64 `metric:"bodies_incomplete"`
	// Unanswered counts the calls for which the state machine gave no reply, since the caller had closed its side of the
	// connection or the daemon was stopping.
	Unanswered atomic.Uint64 `metric:"unanswered"`
}

// CallHandler returns a handler that passes calls of operators and targets to the state machine and writes its reply.
// The calls get consecutive ids from firstID on. The handler writes a response on every path: net/http completes one that was
// not written as a success.
func (p *Process) CallHandler(firstID uint64) http.HandlerFunc {
	var lastID atomic.Uint64
	lastID.Store(firstID - 1)
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readCall(w, r, p.callBodyTimeout)
		if err != nil {
			p.rejectUnreadCall(w, err)
			return
		}
		caller := callerOf(r.Context())
		call := statemachine.Call{
			ID:            lastID.Add(1),
			Token:         changeid.New(),
			Method:        r.Method,
			Path:          r.URL.Path,
			Query:         callQuery(r),
			Body:          body,
			CallerKnownAt: caller.knownAt,
		}
		reply, ok := p.call(r.Context(), caller, call)
		if !ok {
			p.rejectUnanswered(w, cmp.Or(r.URL.Query().Get("id"), call.Token))
			return
		}
		caller.responding()
		if reply.RetryAfter > 0 {
			w.Header().Set("Retry-After", reverseproxy.RetryAfter(reply.RetryAfter))
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(reply.Status)
		w.Write(reply.Body)
	}
}

// call passes a call to the state machine and returns its reply. It checks the caller's connection if the state machine
// asks for it. It returns false if the caller has disconnected or the loop has stopped.
func (p *Process) call(ctx context.Context, caller *caller, call statemachine.Call) (reply statemachine.Reply, ok bool) {
	disconnected := statemachine.CallerChecked{ID: call.ID}
	answer := p.Loop.Call(ctx, call.ID, call, disconnected)
	for isCheck(answer) {
		if !caller.connected() {
			p.Loop.Post(disconnected)
			return statemachine.Reply{}, false
		}
		answer = p.Loop.Call(ctx, call.ID, statemachine.CallerChecked{ID: call.ID, Connected: true}, disconnected)
	}
	reply, ok = answer.(statemachine.Reply)
	return reply, ok
}

// isCheck reports whether a command asks for a check of the caller.
func isCheck(command statemachine.Command) bool {
	_, check := command.(statemachine.CheckCaller)
	return check
}

// readCall reads the body of a call within the given time.
func readCall(w http.ResponseWriter, r *http.Request, timeout time.Duration) (body []byte, err error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.DocumentMax+1))
	if err != nil {
		return nil, err
	}
	return body, controller.SetReadDeadline(time.Time{})
}

// rejectUnreadCall responds to a call whose body could not be read, and ends its connection. Such a call is not executed.
func (p *Process) rejectUnreadCall(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close") // where the next call begins is not known
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, 0, config.ErrorBody{Code: "too_large", Message: fmt.Sprintf("the request body exceeds %d bytes", tuning.DocumentMax)})
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.callCounts.BodyTimeouts.Add(1)
		writeError(w, http.StatusRequestTimeout, 0, config.ErrorBody{Code: "body_timeout", Message: "the request body did not arrive in time"})
	default:
		p.callCounts.BodiesIncomplete.Add(1)
		writeError(w, http.StatusBadRequest, 0, config.ErrorBody{Code: "body_incomplete", Message: "the request body could not be read whole: " + err.Error()})
	}
}

// rejectUnanswered responds to the call with this id for which the state machine gave no reply. It may have been executed or may be yet, so
// the response reports its outcome as unknown. A caller that has only closed its side of the connection can still read it.
func (p *Process) rejectUnanswered(w http.ResponseWriter, id string) {
	p.callCounts.Unanswered.Add(1)
	writeError(w, http.StatusGatewayTimeout, 0, config.ErrorBody{Code: "unanswered", Ran: config.RanUnknown, ID: id,
		Message: "the connection was closed on the caller's side or this daemon is stopping; it is unknown whether the call was executed"})
}

// callQuery returns the query of a call. The header If-Match sets the parameter base if the query doesn't.
func callQuery(r *http.Request) string {
	query := r.URL.Query()
	if base := strings.Trim(r.Header.Get("If-Match"), `"`); base != "" && !query.Has("base") {
		query.Set("base", base)
	}
	return query.Encode()
}
