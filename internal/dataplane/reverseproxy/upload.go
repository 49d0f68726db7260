// This file reads a caller's body and sends it to a target.

package reverseproxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// requestBody is a caller's body: what was read of it before a target was asked for, and
// the rest, which goes on as it comes.
type requestBody struct {
	buffered         []byte
	rest             io.Reader // nil: all of it is kept
	size             int64     // below 0: not known
	trailer          http.Header
	remaining        int64 // what the service's bound leaves of the rest
	restRead         bool  // some of the rest has been read
	tooLarge         bool  // it is over the bound
	aborted          bool  // the caller broke it off
	readStopped      bool  // this side ended its reading, which also ends the caller's context
	callerGoneBefore bool  // the caller had left before that
}

// callerGone says whether the caller has callerGone.
func (u *requestBody) callerGone(r *http.Request) bool {
	if u.readStopped {
		return u.callerGoneBefore
	}
	return r.Context().Err() != nil
}

// receive reads a body up to tuning.ReplayMax: a slow caller then holds no target.
func receive(r *http.Request) (*requestBody, error) {
	u := &requestBody{size: r.ContentLength}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		u.size = 0
		return u, nil
	}
	if u.size > tuning.ReplayMax {
		u.rest = r.Body
		return u, nil
	}
	if u.size > 0 {
		u.buffered = make([]byte, u.size)
		_, err := io.ReadFull(r.Body, u.buffered)
		return u, err
	}
	b, done, err := readUpTo(r.Body, tuning.ReplayMax)
	if err != nil {
		return nil, err
	}
	u.buffered = b
	switch {
	case !done:
		u.rest, u.trailer = r.Body, r.Trailer
	case len(r.Trailer) > 0:
		u.trailer = r.Trailer
	default:
		u.size = int64(len(b))
	}
	return u, nil
}

// appendChunk writes b as one appendChunk.
func appendChunk(out, b []byte) []byte {
	if len(b) == 0 {
		return out
	}
	out = strconv.AppendInt(out, int64(len(b)), 16)
	out = append(append(append(out, "\r\n"...), b...), "\r\n"...)
	return out
}

func (u *requestBody) appendLastChunk(out []byte) []byte {
	out = append(out, "0\r\n"...)
	for k, vs := range u.trailer {
		for _, v := range vs {
			out = appendHeader(out, k, v)
		}
	}
	return append(out, "\r\n"...)
}

// send writes the rest to a target as it comes.
func (u *requestBody) sendRest(to io.Writer) error {
	b := make([]byte, 32<<10)
	var out []byte
	for {
		n, err := u.rest.Read(b)
		u.restRead = u.restRead || n > 0
		if u.remaining -= int64(n); u.remaining < 0 {
			u.tooLarge = true
			return errors.New("the body is over the service's limit")
		}
		if n > 0 {
			out = b[:n]
			if u.size < 0 {
				out = appendChunk(nil, out)
			}
			if _, werr := to.Write(out); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			if u.size < 0 {
				_, err = to.Write(u.appendLastChunk(nil))
				return err
			}
			return nil
		}
		if err != nil {
			u.aborted = true
			return err
		}
	}
}
