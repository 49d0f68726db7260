// This file writes a target's response to the caller.

package reverseproxy

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// writeTo writes the response to a caller. method is the method of the caller's request. An incomplete response is
// streamed: what has been read is written before more is read. After an error, which may come from reading from the
// target or writing to the caller, the caller's response is truncated.
func (resp *response) writeTo(w http.ResponseWriter, method string) error {
	trailerNames := slices.Collect(maps.Keys(resp.http.Trailer))
	size := resp.bodySize(len(trailerNames) > 0)
	hasBody := mayHaveBody(method, resp.http.StatusCode)
	header := w.Header()
	resp.copyHeaderTo(header)
	if size >= 0 && hasBody {
		header["Content-Length"] = []string{strconv.FormatInt(size, 10)}
	}
	if len(trailerNames) > 0 {
		header["Trailer"] = trailerNames
	}
	w.WriteHeader(resp.http.StatusCode)
	if len(resp.buffered) > 0 && hasBody {
		if _, err := w.Write(resp.buffered); err != nil {
			return err
		}
	}
	if !resp.complete {
		if err := streamBody(w, resp.http.Body, size >= 0); err != nil {
			return err
		}
	}
	maps.Copy(header, resp.http.Trailer)
	return nil
}

// mayHaveBody reports whether a response with the given status to a request with the given method may have a body
// (RFC 9110, section 6.4.1).
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// bodySize returns the size of the body in bytes. A negative size means that the body is chunked, because its size is
// unknown or a trailer follows.
func (resp *response) bodySize(hasTrailer bool) int64 {
	if resp.complete && !hasTrailer {
		return int64(len(resp.buffered))
	}
	return resp.http.ContentLength
}

// copyHeaderTo copies the target's headers to header. Date and Content-Type are suppressed if the target sent none,
// since net/http would otherwise add them.
func (resp *response) copyHeaderTo(header http.Header) {
	removeHopByHopHeaders(resp.http.Header)
	maps.Copy(header, resp.http.Header)
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// streamBody writes a body to the caller as it arrives. A body without a length is flushed after each read.
func streamBody(w http.ResponseWriter, body io.Reader, hasLength bool) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if !hasLength {
				if err := controller.Flush(); err != nil {
					return err
				}
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
