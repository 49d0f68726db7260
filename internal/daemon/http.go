// The HTTP servers of a daemon and the part of the HTTP API that both kinds of daemon serve.

package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
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
	return p.serve(p.Settings.HTTP, p.newAPIServer(handler), nil)
}

// serveCallers starts the server for callers. It accepts connections until the forwarder closes its listener.
func (p *Process) serveCallers(forwarder *reverseproxy.Forwarder) (*http.Server, error) {
	return p.serve(p.Settings.Listen, newCallersServer(forwarder), forwarder)
}

func (p *Process) newAPIServer(handler http.Handler) *http.Server {
	server := newServer(recordCallers(handler))
	server.ConnContext = p.withCaller
	return server
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
