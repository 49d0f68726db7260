// This file reads request bodies from callers and sends them to targets.

package reverseproxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// streamBufferBytes is the size of the buffer for streaming a body.
const streamBufferBytes = 32 << 10

// requestBody is the body of a caller's request: the part that was read before the state machine was asked for a
// target, and the rest, which is sent on as it arrives. While sendRest runs on its own goroutine, the fields remaining,
// restComplete, restRead, tooLarge and aborted belong to that goroutine.
type requestBody struct {
	buffered []byte
	rest     io.Reader   // nil if the whole body is buffered
	size     int64       // in bytes; negative if unknown, and the body is chunked
	trailer  http.Header // complete once the whole body has been read

	remaining    int64 // how many more bytes the service's limit allows
	restComplete bool  // the rest was read to its end
	restRead     bool  // part of the rest was read, so no other target can get the complete body
	tooLarge     bool  // the body exceeds the service's limit
	aborted      bool  // reading from the caller failed before the end of the body

	readStopped           bool // the proxy stopped reading from the caller, which also cancels the context of the request
	callerGoneWhenStopped bool // the caller had disconnected before the proxy stopped reading
}

// callerGone reports whether the caller has disconnected.
func (b *requestBody) callerGone(incoming *http.Request) bool {
	if b.readStopped {
		return b.callerGoneWhenStopped
	}
	return incoming.Context().Err() != nil
}

// receiveBody reads the part of the request's body that is buffered, within the caller's timeout (0 for none).
func (q *request) receiveBody(timeout time.Duration) *requestError {
	body, err := q.readBody(timeout)
	if err == nil {
		q.body = body
		return nil
	}
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		if q.forwarder.Callers.Closed() {
			q.forwarder.Counts.StalledCallers.Add(1)
			return errBodyStopped
		}
		return errBodyTimeout
	}
	if q.incoming.Context().Err() != nil {
		q.abort()
	}
	return errBodyIncomplete
}

// readBody reads the buffered part of the body with a read deadline on the caller's connection. After an error the
// deadline remains set.
func (q *request) readBody(timeout time.Duration) (*requestBody, error) {
	if q.incoming.ContentLength == 0 {
		return newRequestBody(q.incoming)
	}
	controller := http.NewResponseController(q.writer)
	if timeout > 0 {
		controller.SetReadDeadline(q.start.Add(timeout))
	}
	conn := callerConnOf(q.incoming)
	if conn != nil {
		conn.receiving.begin(conn)
	}
	body, err := newRequestBody(q.incoming)
	if conn != nil {
		conn.receiving.end()
	}
	if err == nil {
		controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// newRequestBody reads a body of up to tuning.ReplayMax bytes completely, so that a slow caller does not occupy a
// target. Of a larger body it reads nothing if the size is known, and otherwise the first tuning.ReplayMax bytes.
func newRequestBody(incoming *http.Request) (*requestBody, error) {
	size := incoming.ContentLength
	switch {
	case size == 0 || incoming.Body == nil || incoming.Body == http.NoBody:
		return &requestBody{}, nil
	case size > tuning.ReplayMax:
		return &requestBody{size: size, rest: incoming.Body}, nil
	case size > 0:
		body := &requestBody{size: size, buffered: make([]byte, size)}
		_, err := io.ReadFull(incoming.Body, body.buffered)
		return body, err
	}
	return newChunkedBody(incoming)
}

// newChunkedBody is newRequestBody for a body of unknown size.
func newChunkedBody(incoming *http.Request) (*requestBody, error) {
	buffered, complete, err := readUpTo(incoming.Body, tuning.ReplayMax)
	if err != nil {
		return nil, err
	}
	body := &requestBody{buffered: buffered, size: incoming.ContentLength}
	switch {
	case !complete:
		body.rest, body.trailer = incoming.Body, incoming.Trailer
	case len(incoming.Trailer) > 0:
		body.trailer = incoming.Trailer
	default:
		body.size = int64(len(buffered))
	}
	return body, nil
}

// appendChunk appends data to out as one chunk of a chunked body. For empty data it appends nothing, since an empty
// chunk would end the body.
func appendChunk(out, data []byte) []byte {
	if len(data) == 0 {
		return out
	}
	out = strconv.AppendInt(out, int64(len(data)), 16)
	out = append(out, "\r\n"...)
	out = append(out, data...)
	return append(out, "\r\n"...)
}

// appendLastChunk appends the last chunk of a chunked body and the trailer to out.
func (b *requestBody) appendLastChunk(out []byte) []byte {
	out = append(out, "0\r\n"...)
	for name, values := range b.trailer {
		for _, value := range values {
			out = appendHeader(out, name, value)
		}
	}
	return append(out, "\r\n"...)
}

// sendRest writes the rest of the body to a target as it arrives.
func (b *requestBody) sendRest(target io.Writer) error {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, readErr := b.rest.Read(buffer)
		b.restRead = b.restRead || n > 0
		if b.remaining -= int64(n); b.remaining < 0 {
			b.tooLarge = true
			return errBodyTooLarge
		}
		if err := b.sendData(target, buffer[:n]); err != nil {
			return err
		}
		if readErr == io.EOF {
			b.restComplete = true
			return b.sendEnd(target)
		}
		if readErr != nil {
			b.aborted = true
			return readErr
		}
	}
}

// sendData writes part of the body, as a chunk if the body is chunked.
func (b *requestBody) sendData(target io.Writer, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if b.size < 0 {
		data = appendChunk(nil, data)
	}
	_, err := target.Write(data)
	return err
}

// sendEnd ends the body: it writes the last chunk and the trailer of a chunked body, and nothing otherwise.
func (b *requestBody) sendEnd(target io.Writer) error {
	if b.size >= 0 {
		return nil
	}
	_, err := target.Write(b.appendLastChunk(nil))
	return err
}
