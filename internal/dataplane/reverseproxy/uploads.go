// This file reads callers' request bodies and sends them to targets.

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

// streamBufferBytes is how much of a body that streams is read at once.
const streamBufferBytes = 32 << 10

// requestBody is a caller's body: what was read of it before the owner was asked for a target, and the rest, which
// is sent on as it comes. While sendRest runs on its own goroutine, the fields below rest belong to that
// goroutine.
type requestBody struct {
	buffered []byte
	rest     io.Reader   // nil: all of it is buffered
	size     int64       // in bytes, below 0: unknown, and the body is chunked
	trailer  http.Header // filled in when all of the body has been read

	remaining int64 // how many bytes of the rest the service's limit leaves
	restRead  bool  // some of the rest was read, so no other target can get the body
	tooLarge  bool  // it is over the service's limit
	aborted   bool  // the caller broke it off

	readStopped      bool // the proxy ended the reading, which also ends the context of the caller's request
	callerGoneBefore bool // whether the caller had left before that
}

// callerGone reports whether the caller has left.
func (b *requestBody) callerGone(incoming *http.Request) bool {
	if b.readStopped {
		return b.callerGoneBefore
	}
	return incoming.Context().Err() != nil
}

// receiveBody reads the request's body as far as it is buffered, within the time that the caller gave (0: not
// said).
func (q *request) receiveBody(timeout time.Duration) *requestError {
	body, err := q.readBody(timeout)
	if err == nil {
		q.body = body
		return nil
	}
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		return errBodyTimeout
	}
	if q.incoming.Context().Err() != nil {
		q.abort()
	}
	return errBodyIncomplete
}

// readBody reads with a deadline on the caller's connection, which stays set after an error.
func (q *request) readBody(timeout time.Duration) (*requestBody, error) {
	if timeout == 0 || q.incoming.ContentLength == 0 {
		return newRequestBody(q.incoming)
	}
	controller := http.NewResponseController(q.writer)
	controller.SetReadDeadline(q.start.Add(timeout))
	body, err := newRequestBody(q.incoming)
	if err == nil {
		controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// newRequestBody reads a body of up to tuning.ReplayMax bytes, so that a slow caller occupies no target, and the
// beginning of a larger one whose size is unknown.
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

// newChunkedBody is newRequestBody for a body whose size is unknown.
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

// appendChunk appends data to out as one chunk of a chunked body; no data is no chunk, since that would end the
// body.
func appendChunk(out, data []byte) []byte {
	if len(data) == 0 {
		return out
	}
	out = strconv.AppendInt(out, int64(len(data)), 16)
	out = append(out, "\r\n"...)
	out = append(out, data...)
	return append(out, "\r\n"...)
}

// appendLastChunk appends the end of a chunked body and its trailer to out.
func (b *requestBody) appendLastChunk(out []byte) []byte {
	out = append(out, "0\r\n"...)
	for name, values := range b.trailer {
		for _, value := range values {
			out = appendHeader(out, name, value)
		}
	}
	return append(out, "\r\n"...)
}

// sendRest writes the rest of the body to a target as it comes.
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
			return b.sendEnd(target)
		}
		if readErr != nil {
			b.aborted = true
			return readErr
		}
	}
}

// sendData writes some of the rest of the body.
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

// sendEnd writes what follows the last data of the body.
func (b *requestBody) sendEnd(target io.Writer) error {
	if b.size >= 0 {
		return nil
	}
	_, err := target.Write(b.appendLastChunk(nil))
	return err
}
