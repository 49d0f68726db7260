// This file reads a caller's body and sends it to a target.

package reverseproxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// upload is a caller's body: what was read of it before a target was asked for, and
// the rest, which goes on as it comes.
type upload struct {
	kept    []byte
	rest    io.Reader // nil: all of it is kept
	size    int64     // below 0: not known
	trailer http.Header
	room    int64 // what the service's bound leaves of the rest
	begun   bool  // some of the rest has been read
	over    bool  // it is over the bound
	bad     bool  // the caller broke it off
	ended   bool  // this side ended its reading, which also ends the caller's context
	away    bool  // the caller had left before that
}

// left says whether the caller has left.
func (u *upload) left(r *http.Request) bool {
	if u.ended {
		return u.away
	}
	return r.Context().Err() != nil
}

// receive reads a body up to tuning.ReplayMax: a slow caller then holds no target.
func receive(r *http.Request) (*upload, error) {
	u := &upload{size: r.ContentLength}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		u.size = 0
		return u, nil
	}
	if u.size > tuning.ReplayMax {
		u.rest = r.Body
		return u, nil
	}
	if u.size > 0 {
		u.kept = make([]byte, u.size)
		_, err := io.ReadFull(r.Body, u.kept)
		return u, err
	}
	b, done, err := upTo(r.Body, tuning.ReplayMax)
	if err != nil {
		return nil, err
	}
	u.kept = b
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

// chunk writes b as one chunk.
func chunk(out, b []byte) []byte {
	if len(b) == 0 {
		return out
	}
	out = strconv.AppendInt(out, int64(len(b)), 16)
	out = append(append(append(out, "\r\n"...), b...), "\r\n"...)
	return out
}

func (u *upload) end(out []byte) []byte {
	out = append(out, "0\r\n"...)
	for k, vs := range u.trailer {
		for _, v := range vs {
			out = line(out, k, v)
		}
	}
	return append(out, "\r\n"...)
}

// send writes the rest to a target as it comes.
func (u *upload) send(to io.Writer) error {
	b := make([]byte, 32<<10)
	var out []byte
	for {
		n, err := u.rest.Read(b)
		u.begun = u.begun || n > 0
		if u.room -= int64(n); u.room < 0 {
			u.over = true
			return errors.New("the body is over the service's limit")
		}
		if n > 0 {
			out = b[:n]
			if u.size < 0 {
				out = chunk(nil, out)
			}
			if _, werr := to.Write(out); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			if u.size < 0 {
				_, err = to.Write(u.end(nil))
				return err
			}
			return nil
		}
		if err != nil {
			u.bad = true
			return err
		}
	}
}
