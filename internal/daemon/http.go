// The HTTP servers of a daemon and the part of the HTTP API that both kinds of daemon serve.

package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/changeid"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// liveResponse is the response body of /live.
type liveResponse struct {
	Live bool `json:"live"`
}

// readyResponse is the response body of /ready.
type readyResponse struct {
	Ready bool `json:"ready"`
	State any  `json:"state"` // state of the state machine, which explains Ready
}

// AdminMux returns a mux with the endpoints that all daemons serve: /live, /ready and /metrics.
func (p *Process) AdminMux(ready func() (ready bool, state any)) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, liveResponse{Live: true})
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		ok, state := ready()
		status := http.StatusOK
		if !ok {
			status = http.StatusServiceUnavailable
		}
		WriteJSON(w, status, readyResponse{Ready: ok, State: state})
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.Metrics, promhttp.HandlerOpts{}))
	return mux
}

// WriteJSON responds with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // an error means that the client's connection failed, so it can't be reported
}

// writeError responds to an operator's call with an error, whose kind of rejection follows from the status.
func writeError(w http.ResponseWriter, status int, retryAfter time.Duration, body config.ErrorBody) {
	body.Rejection = config.RejectionOf(status)
	reverseproxy.WriteError(w, status, retryAfter, body)
}

// serveAPI starts the server of the HTTP API.
func (p *Process) serveAPI(handler http.Handler) (*http.Server, error) {
	return p.serve(p.Settings.HTTP, newServer(handler), nil)
}

// serveCallers starts the server for callers. It accepts connections until the forwarder closes its listener.
func (p *Process) serveCallers(forwarder *reverseproxy.Forwarder) (*http.Server, error) {
	return p.serve(p.Settings.Listen, newCallersServer(forwarder), forwarder)
}

func newCallersServer(forwarder *reverseproxy.Forwarder) *http.Server {
	server := newServer(forwarder)
	server.ConnContext, server.ConnState = forwarder.ConnContext, forwarder.Callers.ConnState
	return server
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: tuning.CallerHeaderTimeout,
		IdleTimeout:       tuning.CallerIdleTimeout,
		MaxHeaderBytes:    tuning.ServerHeaderMax,
	}
}

// serve starts a server on addr. A forwarder, if not nil, wraps the listener and may close it.
func (p *Process) serve(addr string, server *http.Server, forwarder *reverseproxy.Forwarder) (*http.Server, error) {
	listener, err := reverseproxy.Listen(addr, tuning.CallerAckTimeout)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for HTTP on %s", addr)
	}
	p.serveOn(listener, server, forwarder)
	return server, nil
}

// serveOn is serve for a listener that is open. The server's connections are closed gracefully.
func (p *Process) serveOn(listener net.Listener, server *http.Server, forwarder *reverseproxy.Forwarder) {
	addr := listener.Addr().String()
	listener = p.closing.Listener(listener)
	if forwarder != nil {
		listener = forwarder.WrapListener(listener)
	}
	go func() {
		err := server.Serve(listener)
		closed := errors.Is(err, http.ErrServerClosed) || forwarder != nil && forwarder.Callers.Closed()
		if !closed {
			p.Log.WithError(err).WithField("addr", addr).Fatal("HTTP server failed")
		}
	}()
}

// CallHandler returns a handler that passes calls of operators and targets to the state machine and writes its reply.
// The calls get consecutive ids from firstID on.
func (p *Process) CallHandler(firstID uint64) http.HandlerFunc {
	var lastID atomic.Uint64
	lastID.Store(firstID - 1)
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := readCall(w, r)
		if !ok {
			return
		}
		call := statemachine.Call{
			ID:     lastID.Add(1),
			Token:  changeid.New(),
			Method: r.Method,
			Path:   r.URL.Path,
			Query:  callQuery(r),
			Body:   body,
		}
		reply, ok := p.Loop.Call(r.Context(), call.ID, call, nil).(statemachine.Reply)
		if !ok { // the client has disconnected or the loop has stopped
			return
		}
		if reply.RetryAfter > 0 {
			w.Header().Set("Retry-After", reverseproxy.RetryAfter(reply.RetryAfter))
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(reply.Status)
		w.Write(reply.Body)
	}
}

// readCall reads the body of a call. It returns false if reading fails. If the body is too large, it also sends the
// error response.
func readCall(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.DocumentMax+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, 0, config.ErrorBody{Code: "too_large", Message: fmt.Sprintf("the request body exceeds %d bytes", tuning.DocumentMax)})
	}
	return body, err == nil
}

// callQuery returns the query of a call. The header If-Match sets the parameter base if the query doesn't.
func callQuery(r *http.Request) string {
	query := r.URL.Query()
	if base := strings.Trim(r.Header.Get("If-Match"), `"`); base != "" && !query.Has("base") {
		query.Set("base", base)
	}
	return query.Encode()
}
