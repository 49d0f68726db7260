// This file passes a target's response on to the caller.

package reverseproxy

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// writeTo passes the response on to a caller whose request had that method. One that is not complete streams: what
// has come is written before more is read. An error is the target's or the caller's; the caller's response is
// truncated then.
func (resp *response) writeTo(w http.ResponseWriter, method string) error {
	announced := slices.Collect(maps.Keys(resp.http.Trailer))
	size := resp.bodySize(len(announced) > 0)
	hasBody := mayHaveBody(method, resp.http.StatusCode)
	header := w.Header()
	resp.copyHeaderTo(header)
	if size >= 0 && hasBody {
		header["Content-Length"] = []string{strconv.FormatInt(size, 10)}
	}
	if len(announced) > 0 {
		header["Trailer"] = announced
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

// mayHaveBody reports whether a response of that status to a request of that method has a body (RFC 9110, section 6.4.1).
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// bodySize returns the size of the body in bytes, below 0 if the body is chunked: its size is unknown, or a
// trailer follows.
func (resp *response) bodySize(hasTrailer bool) int64 {
	if resp.complete && !hasTrailer {
		return int64(len(resp.buffered))
	}
	return resp.http.ContentLength
}

// copyHeaderTo sets the target's headers in header. Those that net/http would make up stay unset.
func (resp *response) copyHeaderTo(header http.Header) {
	removeHopByHopHeaders(resp.http.Header)
	maps.Copy(header, resp.http.Header)
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// streamBody passes a body on as it comes. One without a length is flushed after each read.
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
