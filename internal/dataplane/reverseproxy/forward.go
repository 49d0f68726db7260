// Package reverseproxy takes callers' HTTP requests to back ends, on connections of its own (see
// conn.go), because the library's transport sends some requests again by itself. Who
// answers on a connection is checked: targets that are asked for their health are told with
// each request who is expected, others are asked for their identity on each new connection.
//
// That a request did not run is believed only if nothing of it was written or the
// target says so. An answer must belong to its request; a small one is read whole
// before its caller gets any of it, so that one that is cut can be made up for.
// Answers pass unaltered. Errors have one JSON shape that says whether the request
// ran: no, or unknown. A large answer that is cut cuts the caller's connection.
package reverseproxy

import (
	"context"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"net/http"
	"net/textproto"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Headers of the project's own.
const (
	// DeadlineHeader is how many milliseconds the caller still gives; it is passed on with what is left.
	DeadlineHeader = "Myrtlefold-Deadline-Ms"
	// RanHeader repeats an error's word on whether the request ran.
	RanHeader = "Myrtlefold-Ran"
)

// Headers are the names of the headers that are spoken with callers and targets.
type Headers struct {
	Deadline     string // milliseconds that the caller still gives; passed on with what is left
	Ran          string // an error's word on whether the request ran
	Attempt      string // the request's id, which answers repeat
	ExpectTarget string // the target that is meant; any other answers 421 and runs nothing
	NotRun       string // a target's word that it did not run the request
	Load         string // a target's "running,waiting,slots"
	Identity     string // who answers, in health answers
	WarmupLeft   string // for how many milliseconds it is still cold, in health answers
	Proof        string // what every success of a target carries; "": nothing does
}

// Defaults are the product's own names.
func DefaultHeaders() Headers {
	return Headers{Deadline: DeadlineHeader, Ran: RanHeader, Attempt: "Myrtlefold-Attempt", ExpectTarget: "Myrtlefold-Expect", NotRun: "Myrtlefold-Not-Run",
		Load: "Myrtlefold-Load", Identity: "Myrtlefold-Identity", WarmupLeft: "Myrtlefold-Cold-Ms"}
}

// ParseLoad reads a Load header, nil if it says nothing sound.
func ParseLoad(v string) *statemachine.TargetLoad {
	a, rest, _ := strings.Cut(v, ",")
	b, c, _ := strings.Cut(rest, ",")
	var n [3]int
	for i, f := range []string{a, b, c} {
		var err error
		if n[i], err = strconv.Atoi(strings.TrimSpace(f)); err != nil || n[i] < 0 {
			return nil
		}
	}
	return &statemachine.TargetLoad{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// Owner passes events to the proxy's owner. Ask waits for the Give or Refuse
// that answers an event for a request.
type Owner struct {
	Now    func() time.Duration
	Notify func(ev statemachine.Event)
	Ask    func(ctx context.Context, id uint64, ev statemachine.Event) statemachine.Command
}

// Counts are the forwarder's counters, each since the process began. On /metrics they have the names of
// their tags (mf_carry_NAME_total).
type Counts struct {
	// Requests are the requests that were read from callers.
	Requests atomic.Uint64 `metric:"exchanges"`
	// Served are those that got a target's response, whatever its status.
	Served atomic.Uint64 `metric:"served"`
	// RunUnknown are those that got an error of the proxy and may have run.
	RunUnknown atomic.Uint64 `metric:"unknown"`
	// NotRun are those that got an error of the proxy and have not run.
	NotRun atomic.Uint64 `metric:"not_run"`
	// Truncated are responses that ended early after their beginning had been passed on.
	Truncated atomic.Uint64 `metric:"cut"`
	// CallersGone are requests whose caller left before the response.
	CallersGone atomic.Uint64 `metric:"gone"`
	// ConnsOpened are the connections that were opened to targets.
	ConnsOpened atomic.Uint64 `metric:"opened"`
	// ConnsReused are the attempts that took an idle connection to their target.
	ConnsReused atomic.Uint64 `metric:"reused"`
	// WrongIdentity are attempts at whose target's address another target answered.
	WrongIdentity atomic.Uint64 `metric:"foreign"`
	// TargetRejected are attempts that their target rejected, saying that it did not run them.
	TargetRejected atomic.Uint64 `metric:"turned_away"`
	// MismatchedResponses are responses without the request's id or the target's proof.
	MismatchedResponses atomic.Uint64 `metric:"strange"`
	// Pipelined are requests that began before their turn on their connection.
	Pipelined atomic.Uint64 `metric:"ahead"`
	// Deferred are those of them that may run only once and therefore waited for their turn.
	Deferred atomic.Uint64 `metric:"deferred"`
	// AbandonedUnreachable are attempts that did not wait for an unreachable target any longer.
	AbandonedUnreachable atomic.Uint64 `metric:"given_up"`
	// DrainingOldConns are requests that were read after the proxy began to drain, on callers' connections
	// that had been opened before.
	DrainingOldConns atomic.Uint64 `metric:"late_kept"`
	// DrainingNewConns are the same on connections that were opened while the proxy was draining.
	DrainingNewConns atomic.Uint64 `metric:"late_new"`
}

// Forwarder is the handler of the callers' address.
type Forwarder struct {
	owner  Owner
	pool   *Pool
	nextID atomic.Uint64
	Counts Counts
	// Observe is told each request's service, status and seconds.
	Observe func(svc string, status int, sec float64)
	// Draining has each answer end its caller's connection, so that callers move to other proxies.
	Draining atomic.Bool
	// Callers is callers' connections.
	Callers CallerConns
	// Limits are the configuration's bounds on callers, nil: the program's own.
	Limits atomic.Pointer[config.Limits]
	// SourceAddr is where connections leave from, nil for the system's choice.
	SourceAddr net.Addr
	// Headers are the names of the headers that it speaks.
	Headers Headers
	// SendForwardedFor has targets that are asked for their identity told the caller's address.
	SendForwardedFor bool
}

func New(o Owner, p *Pool) *Forwarder {
	return &Forwarder{owner: o, pool: p, Observe: func(string, int, float64) {}, Headers: DefaultHeaders(), SendForwardedFor: true}
}

var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

func removeHopByHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for f := range strings.SplitSeq(v, ",") {
			if f = textproto.TrimString(f); f != "" {
				h.Del(f)
			}
		}
	}
	for _, f := range hopByHopHeaders {
		h.Del(f)
	}
}

func headerSize(h http.Header) (n int) {
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}

// isUnambiguousPath says whether a path means what it says, so that rule and back end read it alike.
func isUnambiguousPath(r *http.Request) bool {
	p := r.URL.Path
	if !strings.HasPrefix(p, "/") || strings.Contains(p, "//") || strings.ContainsAny(p, "\x00\\") {
		return false
	}
	raw := strings.ToLower(r.URL.EscapedPath())
	if strings.Contains(raw, "%2f") || strings.Contains(raw, "%5c") {
		return false
	}
	return path.Clean(p) == p || path.Clean(p)+"/" == p
}

func appendHeader(out []byte, k, v string) []byte {
	return append(append(append(append(out, k...), ": "...), v...), "\r\n"...)
}

func (c *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	c.Counts.Requests.Add(1)
	status, svc := 0, ""
	fail := func(s int, retry time.Duration, t config.ErrorBody) {
		status = s
		if t.Ran == "unknown" {
			c.Counts.RunUnknown.Add(1)
		} else {
			c.Counts.NotRun.Add(1)
		}
		writeError(w, c.Headers.Ran, s, retry, t)
	}
	// gone ends a request whose caller has left: an answer, or none, would be a false one.
	gone := func() {
		c.Counts.CallersGone.Add(1)
		panic(http.ErrAbortHandler)
	}
	defer func() {
		if e, ok := w.(*pipelinedRequest); !ok || !e.deferred {
			c.Observe(svc, status, time.Since(start).Seconds())
		}
	}()
	if headerSize(r.Header) > c.maxHeaderBytes() {
		fail(431, 0, config.ErrorBody{Code: "header", Message: "the header is too large"})
		return
	}
	if r.Method == "CONNECT" || r.Method == "TRACE" || !isUnambiguousPath(r) {
		fail(400, 0, config.ErrorBody{Code: "bad_request", Message: "neither tunnels nor paths that could be read two ways are carried"})
		return
	}
	var timeout time.Duration
	if v := r.Header.Get(c.Headers.Deadline); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 {
			fail(400, 0, config.ErrorBody{Code: "bad_request", Message: c.Headers.Deadline + " must be a whole number over 0"})
			return
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	body, err := c.receive(w, r, start, timeout)
	if err != nil {
		var ne net.Error
		switch {
		case errors.As(err, &ne) && ne.Timeout():
			fail(408, tuning.RetryAfterMin, config.ErrorBody{Code: "late", Message: "the body did not come in the time that the caller gave"})
		case r.Context().Err() != nil:
			gone()
		default:
			fail(400, 0, config.ErrorBody{Code: "bad_request", Message: "the body ended early"})
		}
		return
	}
	if timeout > 0 {
		timeout = max(time.Millisecond, timeout-time.Since(start))
	}
	id := c.nextID.Add(1)
	ahead, isAhead := w.(*pipelinedRequest)
	ans := c.owner.Ask(r.Context(), id, statemachine.Admit{ID: id, Host: r.Host, Path: r.URL.Path, Method: r.Method, Timeout: timeout, Pipelined: isAhead})
	if no, ok := ans.(statemachine.Reject); ok && isAhead && no.Code == statemachine.CodeNotPipelined {
		ahead.deferred = true
		return
	}
	ran, last := "no", ""
	lastStatus := 0
	var spare *response // a target's own failure, passed on if no other target does better
	for {
		if ans == nil {
			gone() // while it waited; the owner has been told
		}
		if no, ok := ans.(statemachine.Reject); ok {
			if spare != nil {
				status = spare.http.StatusCode
				c.Counts.Served.Add(1)
				c.passAnswer(w, r, spare)
				return
			}
			retry, code, msg, st := no.RetryAfter, no.Code, no.Message, no.Status
			if last != "" {
				code, msg = last, no.Message+"; before that: "+last
				if lastStatus != 0 {
					st = lastStatus
				}
				if retry == 0 {
					retry = tuning.RetryAfterMin
				}
			}
			if len(no.Allowed) > 0 {
				w.Header().Set("Allow", strings.Join(no.Allowed, ", "))
			}
			fail(st, retry, config.ErrorBody{Code: code, Message: msg, Ran: ran})
			return
		}
		g := ans.(statemachine.Forward)
		svc = g.Service
		most := c.maxBodyBytes(&g.ServiceConfig)
		if body.remaining = most - int64(len(body.buffered)); r.ContentLength > most || body.remaining < 0 {
			c.owner.Notify(statemachine.AttemptDone{ID: id, Outcome: statemachine.ClientGone, Last: true})
			fail(413, 0, config.ErrorBody{Code: "body", Message: "the body is over the service's limit"})
			return
		}
		repeats := g.Route.Idempotent()
		if g.Route.Kind == "" {
			repeats = r.Method == "GET" || r.Method == "HEAD" || r.Method == "OPTIONS"
		}
		if isAhead && !repeats { // the owner does not give these; nothing of it goes out in any case
			c.owner.Notify(statemachine.AttemptDone{ID: id, Outcome: statemachine.ClientGone, Last: true})
			ahead.deferred = true
			return
		}
		t := c.try(w, r, &g, body, repeats)
		switch {
		case t.status != 0:
			status = t.status
			c.Counts.Served.Add(1)
			if t.cut {
				c.Counts.Truncated.Add(1)
				panic(http.ErrAbortHandler)
			}
			return
		case body.callerGone(r):
			if t.outcome != statemachine.ClientGone {
				c.owner.Notify(statemachine.Cancel{ID: id})
			}
			gone()
		case body.tooLarge:
			fail(413, 0, config.ErrorBody{Code: "body", Message: "the body is over the service's limit", Ran: "unknown"})
			return
		case body.aborted:
			fail(400, 0, config.ErrorBody{Code: "bad_request", Message: "the body ended early", Ran: "unknown"})
			return
		}
		last = t.code
		if t.ran {
			ran = "unknown"
			lastStatus = 502
			if t.late {
				lastStatus = 504
			}
		}
		if t.spare != nil && spare == nil {
			spare = t.spare
		}
		if t.late || t.ran && !repeats || body.restRead {
			c.owner.Notify(statemachine.Cancel{ID: id, Failed: true})
			if spare != nil {
				status = spare.http.StatusCode
				c.Counts.Served.Add(1)
				c.passAnswer(w, r, spare)
				return
			}
			st := lastStatus
			if st == 0 {
				st = 503
			}
			fail(st, tuning.RetryAfterMin+time.Duration(id*2654435761>>8)%tuning.RetryAfterSpan, config.ErrorBody{Code: last, Message: t.msg, Ran: ran})
			return
		}
		ans = c.owner.Ask(r.Context(), id, statemachine.Retry{ID: id, Sent: t.sent})
	}
}

// receive reads the body within the time that the caller gave.
func (c *Forwarder) receive(w http.ResponseWriter, r *http.Request, start time.Time, timeout time.Duration) (*requestBody, error) {
	if timeout == 0 || r.ContentLength == 0 {
		return receive(r)
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(start.Add(timeout))
	u, err := receive(r)
	if err == nil {
		rc.SetReadDeadline(time.Time{})
	}
	return u, err
}

// tried is the end of one try: an answer that was passed on (status), or why not.
type tried struct {
	status  int
	cut     bool
	sent    bool // something of it came or may have come to a target
	ran     bool // and may have run there
	late    bool
	spare   *response
	code    string
	msg     string
	load    *statemachine.TargetLoad
	outcome statemachine.Outcome
}

// conn is an idle connection to the target or a new one; its deadline is set.
func (c *Forwarder) conn(ctx context.Context, g *statemachine.Forward, idle time.Duration, till time.Time) (*Conn, error) {
	if idle > 0 {
		if p := c.pool.take(g.Target.ID(), idle, till); p != nil {
			c.Counts.ConnsReused.Add(1)
			return p, nil
		}
	}
	open, cancel := context.WithDeadline(ctx, earlier(till, time.Now().Add(g.ConnectTimeout)))
	defer cancel()
	p, err := Dial(open, g.Target.Addr, c.SourceAddr)
	if err != nil {
		return nil, err
	}
	if !g.ServiceConfig.HasHealthCheck() {
		b, again, err := p.Identify(earlier(till, time.Now().Add(tuning.DialTimeout)), g.Target.Addr)
		if err == nil && b.ID() != g.Target.ID() {
			err = errors.Wrapf(errWrongIdentity, "%s/%s/%d", b.Service, b.Name, b.Incarnation)
		}
		if err == nil && !again {
			err = errors.New("the target closes its connections")
		}
		if err != nil {
			p.Close()
			return nil, err
		}
	}
	p.netConn.SetDeadline(till)
	if !p.isIdle() { // a target that is full may reset a connection at once: then nothing was written
		p.Close()
		return nil, net.ErrClosed
	}
	c.Counts.ConnsOpened.Add(1)
	return p, nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// keepIdle keeps a connection for later, as far as the owner lets this proxy keep any.
func (c *Forwarder) keepIdle(g *statemachine.Forward, p *Conn) {
	c.pool.put(g.Target.ID(), p, g.MaxIdle)
}

// compose writes the request's head, and its body as far as it is kept.
func (c *Forwarder) compose(out []byte, r *http.Request, g *statemachine.Forward, u *requestBody, left time.Duration) []byte {
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	out = append(append(append(append(out[:0], r.Method...), ' '), uri...), " HTTP/1.1\r\nHost: "...)
	out = append(append(out, r.Host...), "\r\n"...)
	named := r.Header["Connection"]
	for k, vs := range r.Header {
		if k == "Content-Length" || k == "Host" || strings.EqualFold(k, c.Headers.Deadline) || strings.EqualFold(k, c.Headers.ExpectTarget) || drops(named, k) {
			continue
		}
		if c.SendForwardedFor && k == "X-Forwarded-For" && !g.ServiceConfig.HasHealthCheck() {
			continue
		}
		for _, v := range vs {
			out = appendHeader(out, k, v)
		}
	}
	if slices.Contains(r.Header["Te"], "trailers") {
		out = appendHeader(out, "Te", "trailers")
	}
	if c.SendForwardedFor && !g.ServiceConfig.HasHealthCheck() {
		if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
			out = appendHeader(out, "X-Forwarded-For", strings.Join(append(slices.Clone(r.Header["X-Forwarded-For"]), ip), ", "))
		}
	}
	if g.ServiceConfig.HasHealthCheck() {
		out = appendHeader(out, c.Headers.ExpectTarget, g.Target.Name)
	}
	out = append(append(out, c.Headers.Deadline...), ": "...)
	out = append(strconv.AppendInt(out, max(1, (left-tuning.NetHop).Milliseconds()), 10), "\r\n"...)
	switch {
	case u.size > 0 || u.size == 0 && (r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH"):
		out = append(out, "Content-Length: "...)
		out = append(strconv.AppendInt(out, u.size, 10), "\r\n\r\n"...)
		return append(out, u.buffered...)
	case u.size == 0:
		return append(out, "\r\n"...)
	}
	for k := range u.trailer {
		out = appendHeader(out, "Trailer", k)
	}
	out = appendChunk(append(out, "Transfer-Encoding: chunked\r\n\r\n"...), u.buffered)
	if u.rest == nil {
		out = u.appendLastChunk(out)
	}
	return out
}

// drops says whether a header concerns one connection only.
func drops(named []string, k string) bool {
	if slices.Contains(hopByHopHeaders, k) {
		return true
	}
	for _, v := range named {
		for f := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(textproto.TrimString(f), k) {
				return true
			}
		}
	}
	return false
}

// mayAbandon says whether a request that may be repeated need not wait for a target any longer.
// A proxy that is leaving waits: it may not find another one in the time it has left, and
// planned work is no reason to end an answer sooner.
func (c *Forwarder) mayAbandon(id wire.TargetID) bool {
	return !c.Draining.Load() && c.pool.isUnreachable(id)
}

func (c *Forwarder) try(w http.ResponseWriter, r *http.Request, g *statemachine.Forward, u *requestBody, repeats bool) (t tried) {
	start := time.Now()
	told := false
	tell := func(t *tried, last bool) {
		if !told {
			told = true
			c.owner.Notify(statemachine.AttemptDone{ID: g.ID, Outcome: t.outcome, Milliseconds: float64(time.Since(start)) / 1e6, Last: last, Load: t.load})
		}
	}
	defer func() { tell(&t, t.status != 0 || t.outcome == statemachine.ClientGone) }()
	till := start.Add(g.TimeLeft)
	workTill := till
	if g.WorkTime > 0 {
		workTill = earlier(till, start.Add(g.WorkTime))
	}
	idle := tuning.ConnIdle
	switch {
	case g.ServiceConfig.HasHealthCheck() && r.Header.Get(c.Headers.Attempt) == "":
		idle = 0 // a surplus answer on a used connection could not be told from its own
	case !repeats:
		idle = tuning.NonIdempotentIdleMax
	}
	for {
		p, err := c.conn(r.Context(), g, idle, till)
		if err != nil {
			switch {
			case r.Context().Err() != nil:
				return tried{outcome: statemachine.ClientGone}
			case errors.Is(err, errWrongIdentity):
				c.Counts.WrongIdentity.Add(1)
				return tried{outcome: statemachine.WrongIdentity, code: "foreign", msg: "the target's address answers for another"}
			}
			if !time.Now().Before(till) {
				return tried{outcome: statemachine.ChoiceExpired, code: "late", msg: "the deadline came before a connection to the target", late: true}
			}
			return tried{outcome: statemachine.ConnectFailed, code: "closed", msg: "no connection to the target"}
		}
		p.writeBuffer = c.compose(p.writeBuffer, r, g, u, time.Until(workTill))
		if c.owner.Now() > g.WriteBy {
			c.keepIdle(g, p)
			return tried{outcome: statemachine.ChoiceExpired, code: "stale", msg: "the choice of a target grew too old before anything was sent"}
		}
		stop := context.AfterFunc(r.Context(), func() { p.netConn.SetDeadline(expiredDeadline()) })
		n, err := p.netConn.Write(p.writeBuffer)
		if cap(p.writeBuffer) > tuning.HeaderMax {
			p.writeBuffer = nil
		}
		if n == 0 && err != nil && idle > 0 && !p.fresh {
			stop()
			p.Close()
			idle = 0 // the connection was dead and nothing went out: a new one tells more
			continue
		}
		p.fresh = false
		if n == 0 && err != nil {
			stop()
			p.Close()
			if r.Context().Err() != nil {
				return tried{outcome: statemachine.ClientGone}
			}
			return tried{outcome: statemachine.ConnectFailed, code: "closed", msg: "the connection to the target was closed", late: !time.Now().Before(till)}
		}
		var sent chan error
		if u.rest != nil {
			sent = make(chan error, 1)
			go func() {
				err := u.sendRest(p.netConn)
				short := u.aborted || u.tooLarge
				sent <- err
				if short {
					p.Close() // the target waits for what will not come
				}
			}()
		}
		p.partlyWritten = err != nil
		t = c.readAnswer(w, r, g, p, u, repeats, till, sent, tell, stop)
		return t
	}
}
