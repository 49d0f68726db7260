// Policy sessions over HTTP. POST /v1/judge evaluates a stream of target events, one per line, and responds to each
// line at once. The session of an interrupted request is kept for tuning.SessionResumeWindow, so that the client can resume
// after the last line read. Sessions have no effect on the fleet.

package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
)

// session is a policy session. The request that opened or resumed it owns it until that request ends.
type session struct {
	*outlier.Session
	id         string
	releasedAt time.Time // when its last request ended, zero while a request owns it
}

// sessionRequest opens a new session, resumes an existing one or releases one.
type sessionRequest struct {
	id      string // session to resume, empty for a new one
	reply   chan<- sessionReply
	release *session // session to release; if set, the other fields are ignored
}

// sessionReply holds the opened session or the reason why it can't be opened.
type sessionReply struct {
	session *session
	err     *sessionError
}

// sessionError is the reason why a session can't be opened.
type sessionError struct {
	status  int // status of the HTTP response
	message string
}

// Error returns the message of the HTTP response.
func (e *sessionError) Error() string { return e.message }

// Sessions serves policy sessions. A single goroutine owns the list of sessions.
type Sessions struct {
	requests chan sessionRequest
	done     <-chan struct{} // closed when the context ends
}

// NewSessions starts the goroutine that owns the sessions. It ends with the context.
func NewSessions(ctx context.Context) *Sessions {
	s := &Sessions{requests: make(chan sessionRequest), done: ctx.Done()}
	go s.run()
	return s
}

func (s *Sessions) run() {
	sessions := map[string]*session{}
	for {
		select {
		case request := <-s.requests:
			dropExpired(sessions)
			if request.release != nil {
				request.release.releasedAt = time.Now()
				continue
			}
			opened, err := openSession(sessions, request.id)
			request.reply <- sessionReply{opened, err}
		case <-s.done:
			return
		}
	}
}

// dropExpired removes sessions that have been released for longer than tuning.SessionResumeWindow.
func dropExpired(sessions map[string]*session) {
	for id, s := range sessions {
		if !s.releasedAt.IsZero() && time.Since(s.releasedAt) > tuning.SessionResumeWindow {
			delete(sessions, id)
		}
	}
}

// openSession resumes the session with that id, or creates one if id is empty.
func openSession(sessions map[string]*session, id string) (*session, *sessionError) {
	s := sessions[id]
	switch {
	case id != "" && s == nil:
		return nil, &sessionError{http.StatusNotFound, "the session does not exist or has expired; open a new one"}
	case id != "" && s.releasedAt.IsZero():
		return nil, &sessionError{http.StatusConflict, "the session is in use by another request"}
	case id != "":
		s.releasedAt = time.Time{}
	case len(sessions) >= tuning.SessionsMax:
		return nil, &sessionError{http.StatusServiceUnavailable, fmt.Sprintf("too many open sessions: %d", tuning.SessionsMax)}
	default:
		s = &session{Session: outlier.NewSession(&config.Config{}), id: fmt.Sprintf("%016x", rand.Uint64())}
		sessions[s.id] = s
	}
	return s, nil
}

// request passes a request to the goroutine that owns the sessions. It returns false if that goroutine has ended.
func (s *Sessions) request(request sessionRequest) bool {
	select {
	case s.requests <- request:
		return true
	case <-s.done:
		return false
	}
}

// open resumes the session with that id or, if id is empty, creates one. It returns an error if that is not possible or
// the daemon is stopping.
func (s *Sessions) open(id string) (*session, *sessionError) {
	reply := make(chan sessionReply, 1)
	if !s.request(sessionRequest{id: id, reply: reply}) {
		return nil, &sessionError{http.StatusServiceUnavailable, "the daemon is stopping"}
	}
	r := <-reply
	return r.session, r.err
}

// sessionOpened is the first line of a response. It holds the id for resuming the session and the number of lines that
// the session has already read.
type sessionOpened struct {
	LinesRead uint64 `json:"line"`
	Stream    string `json:"stream"`
}

// ServeHTTP serves one session until the client ends the request.
func (s *Sessions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if err := controller.EnableFullDuplex(); err != nil { // without full duplex the response would wait for the end of the request
		writeError(w, http.StatusServiceUnavailable, tuning.RetryAfterMin, config.ErrorBody{Code: "stream", Message: err.Error()})
		return
	}
	session, err := s.open(r.URL.Query().Get("resume"))
	if err != nil {
		retryAfter := time.Duration(0)
		if err.status == http.StatusServiceUnavailable {
			retryAfter = tuning.RetryAfterMin
		}
		w.Header().Set("Connection", "close")
		writeError(w, err.status, retryAfter, config.ErrorBody{Code: "stream", Message: err.message})
		return
	}
	defer s.request(sessionRequest{release: session})
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(w)
	if encoder.Encode(sessionOpened{LinesRead: session.Lines, Stream: session.id}) == nil && controller.Flush() == nil {
		session.evaluate(r.Body, encoder, controller)
	}
}

// evaluate responds to each line of a request body until the body ends or the client disconnects.
func (s *session) evaluate(body io.Reader, encoder *json.Encoder, controller *http.ResponseController) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, tuning.SessionLineMax)
	for lines.Scan() {
		for _, answer := range s.Evaluate(lines.Bytes()) {
			if encoder.Encode(answer) != nil {
				return
			}
		}
		if controller.Flush() != nil {
			return
		}
	}
	if err := lines.Err(); err != nil {
		encoder.Encode(outlier.Result{Line: s.Lines + 1, Error: err.Error()})
	}
}
