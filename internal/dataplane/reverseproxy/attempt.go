// This file implements one attempt to send a request to a target: it gets a connection, writes the request, and
// returns the connection to the pool or closes it. response.go reads the response.

package reverseproxy

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// attempt is one attempt to send a request to a target. It runs on the request's goroutine.
type attempt struct {
	request    *request
	target     statemachine.Forward // a copy, so that the caller's value does not escape to the heap
	idempotent bool                 // the request may run more than once
	start      time.Time
	deadline   time.Time // by which the response must be complete

	reported bool // the state machine has been notified that the attempt ended

	// Set once the attempt has a connection.
	conn     *Conn
	unwatch  func() bool // stops watching for the caller's disconnect; returns false if the caller has disconnected
	upload   *upload     // sends what was not written with the header; nil if there is nothing left
	released bool        // the attempt no longer uses the connection

	load *statemachine.TargetLoad // load that the target reported with the response, nil if none
}

// attemptResult is the result of an attempt: a response that was passed on (status), or an error.
type attemptResult struct {
	status           int  // status of the response that was passed on, 0 if none was
	truncated        bool // the response that was passed on ended early
	sent             bool // part of the request reached or may have reached the target
	mayHaveRun       bool // the request may have run at the target
	deadlineExceeded bool
	err              *attemptError            // why no response was passed on; may be nil if the caller disconnected
	fallback         *response                // the target's complete server error response, nil if none
	load             *statemachine.TargetLoad // load that the target reported, nil if none
	outcome          statemachine.Outcome
}

// attempt makes one attempt to send the request to a target and notifies the state machine when it has ended.
func (q *request) attempt(target *statemachine.Forward, idempotent bool) (result attemptResult) {
	a := &attempt{request: q, target: *target, idempotent: idempotent, start: time.Now()}
	a.deadline = a.start.Add(target.TimeLeft)
	defer func() { a.report(&result, result.status != 0 || result.outcome == statemachine.ClientGone) }()
	return a.run()
}

// report notifies the state machine that the attempt has ended, unless it has done so before. last means that no other
// attempt follows.
func (a *attempt) report(result *attemptResult, last bool) {
	if a.reported {
		return
	}
	a.reported = true
	a.request.forwarder.stateMachine.Notify(statemachine.AttemptDone{
		ID:           a.target.ID,
		Outcome:      result.outcome,
		Milliseconds: float64(time.Since(a.start)) / float64(time.Millisecond),
		Last:         last,
		Load:         result.load,
	})
}

// run sends the request and reads the response. If writing to a reused connection fails before any byte was written,
// run uses a new connection, since the failure of a reused one says little about the target.
func (a *attempt) run() attemptResult {
	maxIdleTime := a.maxIdleTime()
	for {
		conn, err := a.connect(maxIdleTime)
		if err != nil {
			return a.connectFailed(err)
		}
		a.conn = conn
		a.conn.writeBuffer = a.appendRequest(a.conn.writeBuffer[:0])
		if a.request.forwarder.stateMachine.Now() > a.target.WriteBy {
			a.keepConn()
			return attemptResult{outcome: statemachine.ChoiceExpired, err: errChoiceExpired}
		}
		first, later := splitFirstWrite(a.conn.writeBuffer)
		written, err := a.write(first)
		if written == 0 && err != nil {
			a.unwatch()
			a.conn.Close()
			if maxIdleTime > 0 && !a.conn.fresh {
				maxIdleTime = 0
				continue
			}
			return a.writeFailed()
		}
		a.conn.fresh = false
		a.conn.partlyWritten = err != nil
		if a.request.body.rest != nil || len(later) > 0 {
			a.startUpload(later)
		}
		return a.readResponse()
	}
}

// maxIdleTime returns how long a pooled connection may have been idle to be used for the request; 0 means that the
// request needs a new connection.
func (a *attempt) maxIdleTime() time.Duration {
	switch {
	case a.target.ServiceConfig.HasHealthCheck() && a.requestID() == "":
		return 0 // without an id, a surplus response on a used connection would pass for the request's response
	case !a.idempotent:
		return tuning.NonIdempotentIdleMax
	}
	return tuning.ConnIdleTimeout
}

// requestID returns the id that the response must repeat, "" if the caller sent none.
func (a *attempt) requestID() string {
	return a.request.incoming.Header.Get(a.request.forwarder.Headers.Attempt)
}

// connect returns a pooled or new connection to the target with the attempt's deadline set.
func (a *attempt) connect(maxIdleTime time.Duration) (*Conn, error) {
	forwarder := a.request.forwarder
	if maxIdleTime > 0 {
		if conn := forwarder.pool.take(a.target.Target.ID(), maxIdleTime, a.deadline); conn != nil {
			forwarder.Counts.ConnsReused.Add(1)
			return conn, nil
		}
	}
	dialBy := earlier(a.deadline, time.Now().Add(a.target.ConnectTimeout))
	ctx, cancel := context.WithDeadline(a.request.incoming.Context(), dialBy)
	defer cancel()
	conn, err := Dial(ctx, a.target.Target.Addr, forwarder.SourceAddr)
	if err != nil {
		return nil, err
	}
	if err := a.verify(conn); err != nil {
		conn.Close()
		return nil, err
	}
	forwarder.Counts.ConnsOpened.Add(1)
	return conn, nil
}

// verify checks that a new connection leads to the intended target and can take a request. A target without a health
// check is asked for its identity. One with a health check is not, since each request names the intended target.
func (a *attempt) verify(conn *Conn) error {
	if !a.target.ServiceConfig.HasHealthCheck() {
		report, reusable, err := conn.Identify(earlier(a.deadline, time.Now().Add(tuning.DialTimeout)), a.target.Target.Addr)
		if err != nil {
			return err
		}
		if report.ID() != a.target.Target.ID() {
			return errors.Wrapf(errWrongIdentity, "%s/%s/%d", report.Service, report.Name, report.Incarnation)
		}
		if !reusable {
			return errNotReusable
		}
	}
	conn.netConn.SetDeadline(a.deadline)
	// A target at its connection limit may reset a new connection at once. Checking here ensures that nothing of the
	// request was written in that case.
	if !conn.isIdle() {
		return net.ErrClosed
	}
	return nil
}

// connectFailed returns the result of an attempt that failed to connect.
func (a *attempt) connectFailed(err error) attemptResult {
	switch {
	case a.request.incoming.Context().Err() != nil:
		return attemptResult{outcome: statemachine.ClientGone}
	case errors.Is(err, errWrongIdentity):
		a.request.forwarder.Counts.WrongIdentity.Add(1)
		return attemptResult{outcome: statemachine.WrongIdentity, err: errWrongIdentity}
	case a.pastDeadline():
		return attemptResult{outcome: statemachine.ChoiceExpired, err: errConnectDeadline, deadlineExceeded: true}
	}
	return attemptResult{outcome: statemachine.ConnectFailed, err: errNoConnection}
}

// write writes the request's header and the first part of its body. It returns how many bytes the kernel accepted.
func (a *attempt) write(first []byte) (written int, err error) {
	conn := a.conn
	a.unwatch = context.AfterFunc(a.request.incoming.Context(), func() { conn.netConn.SetDeadline(expiredDeadline()) })
	written, err = conn.netConn.Write(first)
	if cap(conn.writeBuffer) > tuning.HeaderMax {
		conn.writeBuffer = nil
	}
	return written, err
}

// writeFailed returns the result of an attempt of which the kernel accepted no byte.
func (a *attempt) writeFailed() attemptResult {
	if a.request.incoming.Context().Err() != nil {
		return attemptResult{outcome: statemachine.ClientGone}
	}
	return attemptResult{outcome: statemachine.ConnectFailed, err: errConnectionClosed, deadlineExceeded: a.pastDeadline()}
}

// release ends the attempt's use of its connection. The connection goes back to the pool if it is reusable and
// neither the request nor the response has a part left on it. Otherwise it is closed, so that a late response is
// never read as the response to another request. If it is reusable and the rest of the body is still being sent, release waits
// for that.
func (a *attempt) release(reusable bool) {
	if a.released {
		return
	}
	a.released = true
	if a.upload != nil && !a.endUpload(reusable) {
		reusable = false
	}
	callerConnected := a.unwatch()
	if !callerConnected || !reusable || a.conn.partlyWritten || a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	a.keepConn()
}

// keepConn puts the connection into the pool, within the number of idle connections that the state machine allows.
func (a *attempt) keepConn() {
	a.request.forwarder.pool.put(a.target.Target.ID(), a.conn, a.target.MaxIdle)
}

// pastDeadline reports whether the request's deadline has passed.
func (a *attempt) pastDeadline() bool { return !time.Now().Before(a.deadline) }

// earlier returns whichever of a and b comes first.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
