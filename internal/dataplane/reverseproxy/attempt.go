// This file has one attempt at a target: the connection, the request's writing and what becomes of the connection.
// response.go reads what comes back.

package reverseproxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// attempt sends a request to a target, on the request's goroutine.
type attempt struct {
	request    *request
	target     statemachine.Forward // by value, which leaves it on the stack
	idempotent bool                 // the request may run more than once
	start      time.Time
	deadline   time.Time // when the response has to be complete

	reported bool // the owner has been notified of the attempt's end

	// The connection's, once there is one.
	conn     *Conn
	unwatch  func() bool // ends the watch of the caller's leaving; false: the caller has left
	uploaded chan error  // the end of the rest of the body's sending, nil: there is no rest
	released bool        // the attempt is done with the connection

	load *statemachine.TargetLoad // what the target said of itself with the response
}

// attemptResult is how an attempt ended: with a response that was passed on (status), or with an error.
type attemptResult struct {
	status           int  // of the response that was passed on, 0: none was
	truncated        bool // it ended early
	sent             bool // something of the request came or may have come to the target
	ran              bool // and it may have run there
	deadlineExceeded bool
	err              *attemptError // why no response was passed on; nil if the caller has left
	fallback         *response     // the target's own failure, if it is complete
	load             *statemachine.TargetLoad
	outcome          statemachine.Outcome
}

// attempt makes an attempt at a target and notifies the owner of its end.
func (q *request) attempt(target *statemachine.Forward, idempotent bool) (result attemptResult) {
	a := &attempt{request: q, target: *target, idempotent: idempotent, start: time.Now()}
	a.deadline = a.start.Add(target.TimeLeft)
	defer func() { a.report(&result, result.status != 0 || result.outcome == statemachine.ClientGone) }()
	return a.run()
}

// report notifies the owner of the attempt's end, unless it has been; last: no other attempt follows.
func (a *attempt) report(result *attemptResult, last bool) {
	if a.reported {
		return
	}
	a.reported = true
	a.request.forwarder.owner.Notify(statemachine.AttemptDone{
		ID:           a.target.ID,
		Outcome:      result.outcome,
		Milliseconds: float64(time.Since(a.start)) / float64(time.Millisecond),
		Last:         last,
		Load:         result.load,
	})
}

// run sends the request and reads the response. A kept connection that turns out to be closed before anything was
// written to it is replaced by a new one, which says more of the target.
func (a *attempt) run() attemptResult {
	maxIdle := a.maxIdle()
	for {
		conn, err := a.connect(maxIdle)
		if err != nil {
			return a.connectFailed(err)
		}
		a.conn = conn
		a.conn.writeBuffer = a.appendRequest(a.conn.writeBuffer[:0])
		if a.request.forwarder.owner.Now() > a.target.WriteBy {
			a.keepConn()
			return attemptResult{outcome: statemachine.ChoiceExpired, err: errChoiceExpired}
		}
		written, err := a.write()
		if written == 0 && err != nil {
			a.unwatch()
			a.conn.Close()
			if maxIdle > 0 && !a.conn.fresh {
				maxIdle = 0
				continue
			}
			return a.writeFailed()
		}
		a.conn.fresh = false
		a.conn.partlyWritten = err != nil
		if a.request.body.rest != nil {
			a.startUpload()
		}
		return a.readResponse()
	}
}

// maxIdle is for how long a connection may have been unused to be taken for the request, 0: only a new one may be.
func (a *attempt) maxIdle() time.Duration {
	switch {
	case a.target.ServiceConfig.HasHealthCheck() && a.requestID() == "":
		return 0 // a surplus response on a used connection could not be told from the request's own
	case !a.idempotent:
		return tuning.NonIdempotentIdleMax
	}
	return tuning.ConnIdle
}

// requestID is the id that the response has to repeat, "" if the caller sent none.
func (a *attempt) requestID() string {
	return a.request.incoming.Header.Get(a.request.forwarder.Headers.Attempt)
}

// connect returns an idle connection to the target or a new one, with its deadline set.
func (a *attempt) connect(maxIdle time.Duration) (*Conn, error) {
	forwarder := a.request.forwarder
	if maxIdle > 0 {
		if conn := forwarder.pool.take(a.target.Target.ID(), maxIdle, a.deadline); conn != nil {
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

// verify checks that a new connection is to the target that is meant and takes a request. A target with a health
// check is told with each request who is meant; any other one is asked.
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
	if !conn.isIdle() { // a target that is full may reset a connection at once: then nothing was written
		return net.ErrClosed
	}
	return nil
}

// connectFailed says what an attempt without a connection means.
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

// write writes the request as far as it is buffered, and returns how many bytes of it the kernel took.
func (a *attempt) write() (written int, err error) {
	conn := a.conn
	a.unwatch = context.AfterFunc(a.request.incoming.Context(), func() { conn.netConn.SetDeadline(expiredDeadline()) })
	written, err = conn.netConn.Write(conn.writeBuffer)
	if cap(conn.writeBuffer) > tuning.HeaderMax {
		conn.writeBuffer = nil
	}
	return written, err
}

// writeFailed says what an attempt means of which the kernel took no byte.
func (a *attempt) writeFailed() attemptResult {
	if a.request.incoming.Context().Err() != nil {
		return attemptResult{outcome: statemachine.ClientGone}
	}
	return attemptResult{outcome: statemachine.ConnectFailed, err: errConnectionClosed, deadlineExceeded: a.pastDeadline()}
}

// startUpload sends the rest of the body while the response is awaited. Its goroutine ends with the body, with the
// connection, or with the caller's reading; release waits for that.
func (a *attempt) startUpload() {
	uploaded, conn, body := make(chan error, 1), a.conn, a.request.body
	a.uploaded = uploaded
	go func() {
		err := body.sendRest(conn.netConn)
		incomplete := body.aborted || body.tooLarge
		uploaded <- err
		if incomplete {
			conn.Close() // the target waits for what will not come
		}
	}()
}

// release ends the attempt's use of its connection. That is kept if reusable and if the request is over on it;
// else it is closed, so that nobody reads a response that comes later.
func (a *attempt) release(reusable bool) {
	if a.released {
		return
	}
	a.released = true
	if a.uploaded != nil {
		select {
		case err := <-a.uploaded:
			reusable = reusable && err == nil
		default:
			a.abortUpload()
			reusable = false
		}
	}
	callerStays := a.unwatch()
	if !callerStays || !reusable || a.conn.partlyWritten || a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	a.keepConn()
}

// abortUpload ends the sending of a body whose response came before its end: the caller need not send the rest.
func (a *attempt) abortUpload() {
	body, writer := a.request.body, a.request.writer
	a.conn.Close()
	body.readStopped, body.callerGoneBefore = true, a.request.incoming.Context().Err() != nil
	http.NewResponseController(writer).SetReadDeadline(expiredDeadline())
	writer.Header().Set("Connection", "close")
	<-a.uploaded
	// The proxy broke it off, not the caller, and what the caller sends from here on is lost.
	body.restRead, body.aborted = true, false
}

// keepConn keeps the connection for later, as far as the owner lets this proxy keep any.
func (a *attempt) keepConn() {
	a.request.forwarder.pool.put(a.target.Target.ID(), a.conn, a.target.MaxIdle)
}

// pastDeadline reports whether the request's deadline has passed.
func (a *attempt) pastDeadline() bool { return !time.Now().Before(a.deadline) }

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
