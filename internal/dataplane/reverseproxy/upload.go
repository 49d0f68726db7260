// This file sends the part of a request that is not written with its header, while the attempt reads the response: a target may
// answer before it has read the body, keep the connection and read on.

package reverseproxy

import (
	"net/http"

	"myrtlefold/internal/shared/tuning"
)

// upload sends the rest of a request on its own goroutine. It ends when all is sent, when the connection is closed, or when reading
// from the caller fails or is stopped.
type upload struct {
	done chan struct{}
	err  error // why not all was sent, nil if it was; final once done is closed
}

// isDone reports whether the upload has ended.
func (u *upload) isDone() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// splitFirstWrite splits a serialized request into a first part, which is written before the response is read, and the rest. A
// target with a small window that answers first may take no more than that before its response is read.
func splitFirstWrite(request []byte) (first, later []byte) {
	n := min(len(request), tuning.FirstWriteMax)
	return request[:n], request[n:]
}

// startUpload starts to send what was not written with the header: the rest of the buffered part, and the part of the body that is
// read as it arrives. From then on only the upload reads the body: otherwise net/http's server would read and discard what is left
// of it when a response's header is written.
func (a *attempt) startUpload(later []byte) {
	body, conn := a.request.body, a.conn
	if body.rest != nil {
		http.NewResponseController(a.request.writer).EnableFullDuplex() // HTTP/1 only, where it does not fail
		a.request.recordBody(bodyUploading)
	}
	started := &upload{done: make(chan struct{})}
	a.upload = started
	go func() {
		defer close(started.done)
		if _, started.err = conn.netConn.Write(later); started.err != nil || body.rest == nil {
			return
		}
		started.err = body.sendRest(conn.netConn)
		if body.restComplete {
			a.request.recordBody(bodyRead)
			return
		}
		a.request.recordBody(bodyUnread)
		if body.aborted || body.tooLarge {
			conn.Close() // the target would wait for the missing part of the body
		}
	}()
}

// isUploading reports whether part of the request is still to be sent.
func (a *attempt) isUploading() bool { return a.upload != nil && !a.upload.isDone() }

// endUpload ends the upload and reports whether all was sent. With wait set it first lets the upload end by itself: the target has
// answered and keeps the connection.
func (a *attempt) endUpload(wait bool) (complete bool) {
	if wait {
		a.awaitUpload()
	}
	if !a.upload.isDone() {
		a.abortUpload()
		return false
	}
	return a.upload.err == nil
}

// awaitUpload waits until the upload has ended. It gives up at the attempt's deadline, and when the target closes the connection or
// sends more than its response: it then reads no more of the request.
func (a *attempt) awaitUpload() {
	if a.upload.isDone() {
		return
	}
	unwanted := make(chan struct{})
	go func() {
		defer close(unwanted)
		a.conn.reader.Peek(1)
	}()
	select {
	case <-a.upload.done:
	case <-unwanted:
		return
	}
	a.conn.netConn.SetReadDeadline(expiredDeadline())
	<-unwanted
}

// abortUpload stops sending a request after the attempt has ended early. Whatever the caller still sends of the body is lost.
func (a *attempt) abortUpload() {
	body, writer := a.request.body, a.request.writer
	a.conn.Close()
	if body.rest != nil {
		body.readStopped, body.callerGoneWhenStopped = true, a.request.incoming.Context().Err() != nil
		http.NewResponseController(writer).SetReadDeadline(expiredDeadline())
		writer.Header().Set("Connection", "close")
	}
	<-a.upload.done
	if body.rest != nil {
		// The proxy stopped the upload, not the caller. No other target can get the complete body.
		body.restRead, body.aborted = true, false
	}
}

// bodyState is how far the body of a connection's current request has been read.
type bodyState int32

const (
	bodyRead      bodyState = iota // to its end, or net/http's server reads what is left of it
	bodyUploading                  // an upload reads it
	bodyUnread                     // an upload has stopped reading it before its end
)

// recordBody records how far the request's body has been read.
func (q *request) recordBody(state bodyState) {
	if conn := callerConnOf(q.incoming); conn != nil {
		conn.body.Store(int32(state))
	}
}

// closeInput closes the input of a connection whose current request is answered, if part of its body is unread: what follows must not be
// read as the next request. It is called when the handler returns; the server has then still to write the end of the response.
func (c *callerConn) closeInput() {
	if bodyState(c.body.Load()) != bodyRead {
		c.inputClosed.Store(true)
		c.forwarder.Counts.UnreadBodies.Add(1)
	}
}
