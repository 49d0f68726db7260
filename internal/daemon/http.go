// This file is the HTTP servers of a daemon.

package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"myrtlefold/internal/shared/statemachine"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/changeid"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// liveAnswer and readyAnswer are the bodies of /live and /ready.
type (
	liveAnswer struct {
		Live bool `json:"live"`
	}
	readyAnswer struct {
		Ready bool `json:"ready"`
		State any  `json:"state"` // why, in the owner's words
	}
)

// AdminMux returns the mux that every daemon's HTTP API starts from: /live, /ready and /metrics.
func (h *Process) AdminMux(ready func() (bool, any)) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, liveAnswer{Live: true})
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		ok, state := ready()
		status := http.StatusOK
		if !ok {
			status = http.StatusServiceUnavailable
		}
		WriteJSON(w, status, readyAnswer{Ready: ok, State: state})
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.Metrics, promhttp.HandlerOpts{}))
	return mux
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// refuse answers an operator's call with an error of the kind that its status stands for.
func refuse(w http.ResponseWriter, status int, retry time.Duration, t config.ErrorBody) {
	t.Rejection = config.RejectionOf(status)
	reverseproxy.WriteError(w, status, retry, t)
}

// Serve runs an HTTP server on addr until it is closed.
func (h *Process) Serve(addr string, hd http.Handler) (*http.Server, error) {
	return h.serve(addr, hd, nil)
}

// ServeCallers runs the forwarder's server for callers on addr until it is shut down.
func (h *Process) ServeCallers(addr string, c *reverseproxy.Forwarder) (*http.Server, error) {
	return h.serve(addr, c, c)
}

func (h *Process) serve(addr string, hd http.Handler, c *reverseproxy.Forwarder) (*http.Server, error) {
	ln, err := reverseproxy.Listen(addr, tuning.CallerAckTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "listen for HTTP")
	}
	s := &http.Server{Handler: hd, ReadHeaderTimeout: tuning.CallerHeader, IdleTimeout: tuning.CallerIdle, MaxHeaderBytes: tuning.ServerHeaderMax}
	if c != nil {
		ln, s.ConnContext, s.ConnState = c.WrapListener(ln), c.ConnContext, c.Callers.ConnState
	}
	go func() {
		err := s.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) || c != nil && c.Callers.Closed() {
			return
		}
		h.Fatal(err, "HTTP server")
	}()
	return s, nil
}

// CallHandler returns the handler that passes operators' and back ends' calls to the owner; next gives each
// an id of its own.
func (h *Process) CallHandler(next func() uint64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.DocumentMax+1))
		var mb *http.MaxBytesError
		if errors.As(err, &mb) {
			refuse(w, http.StatusRequestEntityTooLarge, 0, config.ErrorBody{Code: "too_large", Message: fmt.Sprintf("at most %d bytes", tuning.DocumentMax)})
			return
		}
		if err != nil {
			return
		}
		id := next()
		q := r.URL.Query()
		if v := strings.Trim(r.Header.Get("If-Match"), `"`); v != "" && !q.Has("base") {
			q.Set("base", v)
		}
		token := changeid.New()
		v := h.Loop.Call(r.Context(), id, statemachine.Call{ID: id, Token: token, Method: r.Method, Path: r.URL.Path, Query: q.Encode(), Body: b}, nil)
		a, ok := v.(statemachine.Reply)
		if !ok {
			return
		}
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", reverseproxy.RetryAfter(a.RetryAfter))
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.Status)
		w.Write(a.Body)
	}
}
