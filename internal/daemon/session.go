// This file is policy sessions over HTTP: POST /v1/judge takes lines of target events as they come
// and answers each at once. A session that breaks off is kept for a while, so that its client goes
// on from the line it had got to. Sessions have no effect on the fleet.

package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
)

// session is a policy session with its client's state.
type session struct {
	*outlier.Session
	id   string
	left time.Time // when its client went, zero while it is there
}

// sessionRequest asks for a new session, or the one of that id, or gives one back.
type sessionRequest struct {
	id    string
	leave *session
	reply chan sessionReply
}

// sessionReply is the session, or the HTTP status and reason of a refusal.
type sessionReply struct {
	session *session
	status  int
	why     string
}

// Sessions serves policy sessions. One goroutine owns the list of them; a session is its client's
// while that is there.
type Sessions struct{ requests chan sessionRequest }

// NewSessions starts the goroutine that owns the sessions, which runs as long as the process.
func NewSessions() *Sessions {
	u := &Sessions{make(chan sessionRequest)}
	go u.run()
	return u
}

func (u *Sessions) run() {
	kept := map[string]*session{}
	for r := range u.requests {
		for id, s := range kept {
			if !s.left.IsZero() && time.Since(s.left) > tuning.SessionKept {
				delete(kept, id)
			}
		}
		if r.leave != nil {
			r.leave.left = time.Now()
			continue
		}
		r.reply <- open(kept, r.id)
	}
}

// open finds the session of that id, or begins one if id is empty.
func open(kept map[string]*session, id string) sessionReply {
	s := kept[id]
	switch {
	case id != "" && s == nil:
		return sessionReply{status: http.StatusNotFound, why: "no such stream is kept; begin anew"}
	case id != "" && s.left.IsZero():
		return sessionReply{status: http.StatusConflict, why: "that stream has its reader"}
	case id != "":
		s.left = time.Time{}
	case len(kept) >= tuning.Sessions:
		return sessionReply{status: http.StatusServiceUnavailable, why: fmt.Sprintf("%d streams are open", tuning.Sessions)}
	default:
		s = &session{Session: outlier.NewSession(&config.Config{}), id: fmt.Sprintf("%016x", rand.Uint64())}
		kept[s.id] = s
	}
	return sessionReply{session: s}
}

// sessionBegun is the first line of an answer: how to resume, and up to which line it was taken.
type sessionBegun struct {
	Line   uint64 `json:"line"`
	Stream string `json:"stream"`
}

// ServeHTTP runs one session until its client ends it.
func (u *Sessions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if rc.EnableFullDuplex() != nil { // or the answer would wait for the end of what is asked
		return
	}
	request := sessionRequest{id: r.URL.Query().Get("resume"), reply: make(chan sessionReply, 1)}
	u.requests <- request
	got := <-request.reply
	if got.session == nil {
		retry := time.Duration(0)
		if got.status == http.StatusServiceUnavailable {
			retry = tuning.RetryAfterMin
		}
		w.Header().Set("Connection", "close")
		refuse(w, got.status, retry, config.ErrorBody{Code: "stream", Message: got.why})
		return
	}
	defer func() { u.requests <- sessionRequest{leave: got.session} }()
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	enc := json.NewEncoder(w)
	if enc.Encode(sessionBegun{Line: got.session.Lines, Stream: got.session.id}) != nil || rc.Flush() != nil {
		return
	}
	sc := bufio.NewScanner(r.Body)
	sc.Buffer(nil, tuning.SessionLineMax)
	for sc.Scan() {
		for _, l := range got.session.Evaluate(sc.Bytes()) {
			if enc.Encode(l) != nil {
				return
			}
		}
		if rc.Flush() != nil {
			return
		}
	}
	if err := sc.Err(); err != nil {
		enc.Encode(outlier.Result{Line: got.session.Lines + 1, Error: err.Error()})
	}
}
