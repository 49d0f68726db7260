// This file reads a target's answer and passes it on to the caller.

package reverseproxy

import (
	"io"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"net/http"
	"slices"
	"strconv"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// response is what a target answered: held whole, or its beginning with the rest to come.
type response struct {
	http     *http.Response
	buffered []byte
	complete bool
}

// readAnswer reads the answer to what was written on p and says what it means.
func (c *Forwarder) readAnswer(w http.ResponseWriter, r *http.Request, g *statemachine.Forward, p *Conn, u *requestBody, repeats bool, till time.Time, sent chan error, tell func(*tried, bool), stop func() bool) (t tried) {
	// done ends the connection's part: it is kept if all of the request is over on it.
	ended := false
	done := func(keep bool) {
		if ended {
			return
		}
		ended = true
		if sent != nil {
			select {
			case err := <-sent:
				keep = keep && err == nil
			default: // answered before the body was all there: the caller need not send the rest
				keep = false
				p.Close()
				u.readStopped, u.callerGoneBefore = true, r.Context().Err() != nil
				http.NewResponseController(w).SetReadDeadline(expiredDeadline())
				w.Header().Set("Connection", "close")
				<-sent
				u.restRead, u.aborted = true, false // it was this side that broke it off; what the caller sends further is lost
			}
		}
		if !stop() || !keep || p.partlyWritten || p.reader.Buffered() > 0 {
			p.Close()
			return
		}
		c.keepIdle(g, p)
	}
	defer func() { done(false) }()
	lost := func(code, msg string) tried {
		done(false)
		t := tried{sent: true, ran: true, outcome: statemachine.ResponseLost, code: code, msg: msg, load: t.load}
		switch {
		case u.callerGone(r) || u.aborted || u.tooLarge:
			t.outcome = statemachine.ClientGone
		case !time.Now().Before(till):
			t.late, t.code, t.msg = true, "late", "no answer within the deadline"
		}
		return t
	}
	if repeats && g.MayRetry && u.rest == nil && !p.awaitResponse(r.Context(), till, func() bool { return c.mayAbandon(g.Target.ID()) }) {
		c.Counts.AbandonedUnreachable.Add(1)
		return lost("dark", "nothing reaches the target, which has not answered")
	}
	resp, err := p.readHeader(r.Method)
	if err != nil {
		return lost("lost", "the target's answer was lost")
	}
	h := &c.Headers
	if id := r.Header.Get(h.Attempt); id != "" && resp.Header.Get(h.Attempt) != id {
		c.Counts.MismatchedResponses.Add(1)
		return lost("strange", "the target's answer is another exchange's")
	}
	ok := resp.StatusCode < 300
	if ok && (h.Proof != "" && resp.Header.Get(h.Proof) == "" || resp.Header.Get(h.NotRun) != "") {
		c.Counts.MismatchedResponses.Add(1)
		return lost("strange", "the target's answer is not its own")
	}
	if v := resp.Header.Get(h.Load); v != "" {
		t.load = ParseLoad(v)
	}
	asked := g.ServiceConfig.HasHealthCheck()
	if asked && resp.StatusCode == http.StatusMisdirectedRequest {
		c.Counts.WrongIdentity.Add(1)
		return tried{sent: true, outcome: statemachine.WrongIdentity, code: "foreign", msg: "the target's address answers for another"}
	}
	notRun := resp.Header.Get(h.NotRun) != ""
	a := &response{http: resp}
	if resp.ContentLength >= 0 || asked || notRun || repeats && resp.StatusCode >= 500 {
		a.buffered, a.complete, err = readComplete(resp, tuning.ResponseBufferMax)
	} else if resp.Body == http.NoBody {
		a.complete = true
	}
	if notRun {
		c.Counts.TargetRejected.Add(1)
		done(a.complete && !resp.Close)
		return tried{sent: true, outcome: statemachine.TargetRejected, code: "turned_away", msg: "the target turned it away", load: t.load}
	}
	if err != nil {
		return lost("lost", "the target's answer was cut")
	}
	t.outcome = statemachine.Served
	if resp.StatusCode >= 500 {
		t.outcome = statemachine.ServerError
	}
	if asked && !repeats && promisesNotRun(resp.StatusCode) {
		// To a caller it would say that nothing ran, which its target has not said.
		done(a.complete && !resp.Close)
		return tried{sent: true, ran: true, outcome: statemachine.ServerError, code: "unclear", msg: "the target failed", load: t.load}
	}
	if a.complete {
		done(!resp.Close)
		if t.outcome == statemachine.ServerError && repeats && g.Route.Kind != "" && resp.StatusCode != http.StatusGatewayTimeout && time.Until(till) > tuning.RetryTimeMin {
			t.sent, t.ran, t.spare, t.code, t.msg = true, true, a, "failed", "the target failed"
			return t
		}
		t.status = resp.StatusCode
		tell(&t, true) // the target is free, however slowly the caller reads
		c.passAnswer(w, r, a)
		return t
	}
	t.status = resp.StatusCode
	if err := c.passAnswer(w, r, a); err != nil {
		t.cut = true
		t.outcome = statemachine.ResponseLost
		if u.callerGone(r) {
			t.outcome = statemachine.ClientGone
		}
		return t
	}
	done(!resp.Close)
	return t
}

// promises says whether a status tells callers that nothing ran.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// passAnswer hands an answer to the caller. One that is not held whole streams: what has
// come goes on before more is waited for.
func (c *Forwarder) passAnswer(w http.ResponseWriter, r *http.Request, a *response) error {
	resp, h := a.http, w.Header()
	announced := slices.Collect(maps.Keys(resp.Trailer))
	removeHopByHopHeaders(resp.Header)
	maps.Copy(h, resp.Header)
	size := resp.ContentLength
	if a.complete && len(announced) == 0 {
		size = int64(len(a.buffered))
	}
	bodied := r.Method != "HEAD" && resp.StatusCode != 204 && resp.StatusCode != 304
	if size >= 0 && bodied {
		h["Content-Length"] = []string{strconv.FormatInt(size, 10)}
	}
	if len(announced) > 0 {
		h["Trailer"] = announced
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil // or the library would make one up
		}
	}
	w.WriteHeader(resp.StatusCode)
	if len(a.buffered) > 0 && bodied {
		if _, err := w.Write(a.buffered); err != nil {
			return err
		}
	}
	if !a.complete {
		if err := stream(w, resp, size >= 0); err != nil {
			return err
		}
	}
	for k, v := range resp.Trailer {
		h[k] = v
	}
	return nil
}

func stream(w http.ResponseWriter, resp *http.Response, sized bool) error {
	rc := http.NewResponseController(w)
	b := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(b)
		if n > 0 {
			if _, werr := w.Write(b[:n]); werr != nil {
				return werr
			}
			if !sized {
				if werr := rc.Flush(); werr != nil {
					return werr
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
